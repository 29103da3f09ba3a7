//! From one root to the next.

use super::{Root, RootAccount};
use crate::codes;
use crate::document::Cursor;
use crate::fault::Fault;
use crate::prefix::Prefix;
use crate::step::VersionStep;

/// Checks a new root against the one that it replaces. The faults have paths, but, as the text is
/// not at hand, no positions; [`parse_next`](super::parse_next) reports these too.
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

/// Failure: a range moves in one step, while some instances still run the old root. Symptom: a
/// caller's packet reaches the former owner. A version in which nobody may use the range is
/// enough: the step after it is published only once every instance runs that version, and
/// packets of older views are refused from then on.
fn check_prefix(
    old: &Root,
    account: &RootAccount,
    prefix: Prefix,
    at: &Cursor<'_>,
    faults: &mut Vec<Fault>,
) {
    let owns_part = |other: &&RootAccount| {
        other.name != account.name && other.prefixes.iter().any(|held| held.overlaps(&prefix))
    };
    if let Some(previous) = old.accounts.iter().find(owns_part) {
        let text = format!("{prefix} was `{}`'s until now: quarantine it first", previous.name);
        faults.push(at.fault(codes::MOVED_WITHOUT_QUARANTINE, text));
    }
}
