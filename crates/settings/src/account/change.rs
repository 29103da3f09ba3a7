//! Checks of the change from one version of a subtree to the next.
//!
//! The upstreams of a service are the witnesses of its claims. A claim counts once a majority has
//! recorded it. While the set of witnesses changes, it needs a majority of the previous *and* of
//! the current set. Any two claims on one opening then share a witness, whichever versions the
//! claimants use.
//!
//! Each subtree must therefore define both sets by itself. The current set consists of the
//! upstreams that are not retired. The previous set is the current one without the upstreams whose
//! `since` equals the version, plus those whose `retired` equals it. The rules here make that hold:
//!
//! - A new upstream has the version that adds it as `since`.
//! - An upstream is listed as retired for at least one version before it is removed.
//! - An upstream never returns with the same `since`.
//! - Neither `since` nor `retired` ever changes once it is set.
//!
//! Without these rules an opening could gain two disjoint majorities in successive versions and run
//! twice.

use decision::view::{AccountSpec, ServiceSpec, UpstreamSpec, WhenInDoubt};

use crate::codes;
use crate::document::Cursor;
use crate::fault::Fault;
use crate::step::VersionStep;

/// Checks a new subtree against the one that it replaces. The faults have paths but no positions,
/// since the text is not available here; [`parse_next`](super::parse_next) reports positions as
/// well.
///
/// ```
/// use decision::{keys::Version, view::AccountSpec};
/// let old = AccountSpec { name: "cascadia".into(), version: Version(7), services: vec![] };
/// let new = AccountSpec { version: Version(6), ..old.clone() };
/// let faults = settings::account::check_change(&old, &new);
/// assert_eq!(faults[0].code, settings::codes::VERSION_NOT_GROWN);
/// ```
pub fn check_change(old: &AccountSpec, new: &AccountSpec) -> Vec<Fault> {
    let mut faults = Vec::new();
    check(old, new, &Cursor::without_text(), &mut faults);
    faults
}

/// Like [`check_change`], with positions from the document of `new`.
pub(super) fn check(
    old: &AccountSpec,
    new: &AccountSpec,
    at: &Cursor<'_>,
    faults: &mut Vec<Fault>,
) {
    let versions = (old.version, new.version);
    let Some(step) = VersionStep::forward(versions, old == new, at, faults) else { return };
    let list = at.field("services");
    for service in &old.services {
        let successor = new.services.iter().find(|candidate| candidate.name == service.name);
        let at = if successor.is_some() { list.named(&service.name) } else { list.clone() };
        check_removals(step, service, successor, &at, faults);
    }
    for service in &new.services {
        let previous = old.services.iter().find(|candidate| candidate.name == service.name);
        let at = list.named(&service.name).field("upstreams");
        for upstream in &service.upstreams {
            let previous = previous.and_then(|previous| find(&previous.upstreams, &upstream.name));
            check_upstream(step, previous, upstream, &at.named(&upstream.name), faults);
        }
    }
}

/// Reports upstreams that are removed without having been retired. An upstream removed in one step
/// would take its recorded claims with it, so an opening that it witnessed could be granted again
/// and run twice. Listing it as retired for one version is enough, since in that version the
/// majority of the previous set, which includes it, still counts.
fn check_removals(
    step: VersionStep,
    old: &ServiceSpec,
    new: Option<&ServiceSpec>,
    at: &Cursor<'_>,
    faults: &mut Vec<Fault>,
) {
    let needs_quorum = |service: &ServiceSpec| service.when_in_doubt == WhenInDoubt::Refuse;
    if step.has_gap() || !(needs_quorum(old) || new.is_some_and(needs_quorum)) {
        return;
    }
    for upstream in old.upstreams.iter().filter(|upstream| upstream.retired.is_none()) {
        if new.is_some_and(|new| find(&new.upstreams, &upstream.name).is_some()) {
            continue;
        }
        let text = format!(
            "`{}` of `{}` was removed without being retired first",
            upstream.name, old.name
        );
        let at = if new.is_some() { at.field("upstreams") } else { at.clone() };
        faults.push(at.fault(codes::REMOVED_BEFORE_RETIRED, text));
    }
}

fn check_upstream(
    step: VersionStep,
    old: Option<&UpstreamSpec>,
    new: &UpstreamSpec,
    at: &Cursor<'_>,
    faults: &mut Vec<Fault>,
) {
    let Some(old) = old else { return check_new(step, new, at, faults) };
    if new.since == old.since {
        return check_retirement(step, old, new, at, faults);
    }
    let may_have_returned = step.has_gap() && step.covers(new.since);
    if !may_have_returned {
        let text = format!("`since` was {} and is now {}", old.since.0, new.since.0);
        faults.push(at.field("since").fault(codes::SINCE_CHANGED, text));
    }
}

fn check_new(step: VersionStep, new: &UpstreamSpec, at: &Cursor<'_>, faults: &mut Vec<Fault>) {
    if !step.covers(new.since) {
        let text = format!("`{}` is new, but has `since: {}`", new.name, new.since.0);
        faults.push(at.field("since").fault(codes::SINCE_NOT_NEW, text));
    }
}

fn check_retirement(
    step: VersionStep,
    old: &UpstreamSpec,
    new: &UpstreamSpec,
    at: &Cursor<'_>,
    faults: &mut Vec<Fault>,
) {
    let text = match (old.retired, new.retired) {
        (None, Some(retired)) if !step.covers(retired) => {
            format!("`{}` was not retired in version {}", new.name, retired.0)
        }
        (Some(previous), None) => {
            format!(
                "`{}` was retired in {} and cannot return with the same `since`",
                new.name, previous.0
            )
        }
        (Some(previous), Some(retired)) if previous != retired => {
            format!("`retired` was {} and is now {}", previous.0, retired.0)
        }
        _ => return,
    };
    let field = if new.retired.is_some() { "retired" } else { "state" };
    faults.push(at.field(field).fault(codes::RETIRED_NOT_NEW, text));
}

fn find<'a>(upstreams: &'a [UpstreamSpec], name: &str) -> Option<&'a UpstreamSpec> {
    upstreams.iter().find(|upstream| &*upstream.name == name)
}
