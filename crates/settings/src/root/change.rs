//! Checks of the change from one root to the next.

use super::{Root, RootAccount};
use crate::codes;
use crate::document::Cursor;
use crate::fault::Fault;
use crate::prefix::Prefix;
use crate::step::VersionStep;

/// Checks a new root against the one that it replaces. The faults have paths but no positions,
/// since the text is not available here; [`parse_next`](super::parse_next) reports positions as
/// well.
///
/// ```
/// use settings::root;
/// let parse = |yaml| root::parse(yaml).unwrap();
/// let one = parse("version: 1\naccounts: [{name: a, prefixes: [10.0.0.0/8]}]\n");
/// let moved = parse("version: 2\naccounts: [{name: b, prefixes: [10.0.0.0/8]}]\n");
/// let code = settings::codes::MOVED_WITHOUT_QUARANTINE;
/// assert_eq!(root::check_change(&one, &moved)[0].code, code);
/// ```
pub fn check_change(old: &Root, new: &Root) -> Vec<Fault> {
    let mut faults = Vec::new();
    check(old, new, &Cursor::without_text(), &mut faults);
    faults
}

/// Like [`check_change`], with positions from the document of `new`.
pub(super) fn check(old: &Root, new: &Root, at: &Cursor<'_>, faults: &mut Vec<Fault>) {
    let versions = (old.version, new.version);
    let Some(step) = VersionStep::forward(versions, old == new, at, faults) else { return };
    if step.has_gap() {
        return;
    }
    for account in &new.accounts {
        let list = at.field("accounts").named(&account.name).field("prefixes");
        for (index, prefix) in account.prefixes.iter().enumerate() {
            check_prefix(old, account, *prefix, &list.element(index), faults);
        }
    }
}

/// Reports a range that moves to another account without quarantine. If it moved in one step, a
/// caller's packet could reach the previous owner while some instances still use the old root. One
/// version in which no account may use the range is enough: the next version is published only once
/// every instance uses this one, and from then on packets sent with older views are refused.
fn check_prefix(
    old: &Root,
    account: &RootAccount,
    prefix: Prefix,
    at: &Cursor<'_>,
    faults: &mut Vec<Fault>,
) {
    let owns_part = |other: &&RootAccount| {
        other.name != account.name && other.prefixes.iter().any(|owned| owned.overlaps(&prefix))
    };
    if let Some(previous) = old.accounts.iter().find(owns_part) {
        let text =
            format!("{prefix} belonged to `{}` until now: quarantine it first", previous.name);
        faults.push(at.fault(codes::MOVED_WITHOUT_QUARANTINE, text));
    }
}
