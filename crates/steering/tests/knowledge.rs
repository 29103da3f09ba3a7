//! What a balancer believes after the configuration service has come back from an older copy.

use std::net::Ipv4Addr;
use std::sync::Arc;

use rstest::rstest;
use steering::flow::Millis;
use steering::history::{History, HistoryContents, HistorySummary};
use steering::knowledge::{Knowledge, Listing, Outcome, ViewContents};
use steering::membership::{COPY_HOLD_MS, Change, UpstreamRecord};
use steering::peers::{Comparison, Summary, compare};
use steering::revision::Revision;
use steering::view::{Route, RouteTable, Service, ServiceStamp, Share, Standing, View, ZoneStamp};

const SERVICE: ServiceStamp = ServiceStamp(1);
const ZONE: ZoneStamp = ZoneStamp(3);
/// The service as it was known, and after its return from a copy.
const KNOWN: Revision = Revision { era: 1, number: 18 };
const RETURNED: Revision = Revision { era: 2, number: 11 };
const RETURNED_MS: Millis = 10_000;

fn record(number: u8, draining: bool) -> UpstreamRecord {
    UpstreamRecord {
        id: format!("u-{number}").into(),
        born_ms: 1_000 + u64::from(number),
        address: Ipv4Addr::new(10, 0, 0, number),
        service: SERVICE,
        zone: ZoneStamp(1),
        draining,
        warmup_left_ms: 0,
        slots: 7,
    }
}

fn routes(version: u64) -> Arc<RouteTable> {
    let route = Route {
        endpoint: "198.18.0.1:443".parse().unwrap(),
        shares: [Share { service: SERVICE, weight: 1 }].into(),
        slo_ms: 0,
        wait_slos: 0,
        urgent: false,
        repeatable: true,
        regions: [].into(),
    };
    Arc::new(RouteTable::new(version, vec![route], [Service::unlimited(SERVICE)]))
}

fn list(revision: Revision, version: u64, changes: Vec<Change>) -> Listing {
    Listing { revision, changes, routes: vec![routes(version)], ..Listing::default() }
}

fn changes(after: Revision, number: u64, changes: Vec<Change>) -> Listing {
    let revision = Revision { number, ..after };
    Listing { after: Some(after), revision, changes, ..Listing::default() }
}

fn listed(number: u8, draining: bool) -> Change {
    Change::Listed(record(number, draining))
}

fn take(knowledge: &mut Knowledge, now_ms: Millis, listing: Listing) {
    let outcome = knowledge.apply_listing(now_ms, listing);
    assert!(matches!(outcome, Outcome::Taken(_)), "{outcome:?}");
}

/// Knows upstream 1, upstream 2, which is draining, a closed zone, and version 28 of the routes.
fn known() -> Knowledge {
    let mut knowledge = Knowledge::new(History::default());
    let changes = vec![listed(1, false), listed(2, true), Change::ZoneClosed(ZONE)];
    take(&mut knowledge, 0, list(KNOWN, 28, changes));
    knowledge
}

/// Has then read a copy in which upstream 2 is ready and the rest is missing.
fn returned() -> Knowledge {
    let mut knowledge = known();
    take(&mut knowledge, RETURNED_MS, list(RETURNED, 20, vec![listed(2, false)]));
    knowledge
}

fn view(knowledge: &mut Knowledge, now_ms: Millis) -> View {
    knowledge.membership.expire(now_ms);
    let (routes, history) = (Arc::clone(&knowledge.routes), Arc::clone(&knowledge.history));
    knowledge.membership.view_since(routes, history)
}

fn standing(knowledge: &mut Knowledge, now_ms: Millis, number: u8) -> Option<Standing> {
    let view = view(knowledge, now_ms);
    view.upstream_at(Ipv4Addr::new(10, 0, 0, number)).map(|upstream| upstream.standing)
}

fn contents(knowledge: &Knowledge, now_ms: Millis) -> ViewContents {
    knowledge.contents(now_ms, 0, 0).unwrap()
}

/// Guards against lists that count as outdated because the revisions went back: what is written after
/// the return is in force at once.
#[test]
fn list_of_a_later_era_is_taken_whatever_its_number() {
    let mut knowledge = returned();
    assert_eq!(knowledge.revision, Some(RETURNED));
    let drain = changes(RETURNED, 12, vec![listed(1, true)]);
    take(&mut knowledge, RETURNED_MS + 300, drain);
    assert_eq!(standing(&mut knowledge, RETURNED_MS + 300, 1), Some(Standing::Draining));
}

/// Guards against changes that are skipped because their numbers were given out again: a watch that
/// continues in another era is no continuation.
#[rstest]
#[case::numbers_passed(19)]
#[case::numbers_behind(12)]
fn changes_of_another_era_are_no_continuation(#[case] number: u64) {
    let mut knowledge = known();
    let mut answer = changes(KNOWN, number, vec![listed(9, false)]);
    answer.revision.era = RETURNED.era;
    let outcome = knowledge.apply_listing(RETURNED_MS, answer);
    assert!(matches!(outcome, Outcome::ListNeeded), "{outcome:?}");
    assert_eq!((knowledge.revision, knowledge.membership.len()), (Some(KNOWN), 2));
}

/// An answer that left the service before its return arrives late, or a reader that was cut off since
/// then still tells its higher number.
#[test]
fn earlier_era_changes_nothing() {
    let mut knowledge = returned();
    let late = list(Revision { number: 40, ..KNOWN }, 28, vec![listed(9, false)]);
    let outcome = knowledge.apply_listing(RETURNED_MS + COPY_HOLD_MS, late);
    assert!(matches!(outcome, Outcome::Outdated), "{outcome:?}");
    let theirs = known().summary();
    assert_eq!(compare(theirs, knowledge.summary()), Comparison::NotNewer);
    assert!(!knowledge.is_confirmed_by(theirs), "nobody stands behind the old numbers");
    assert!(knowledge.is_confirmed_by(returned().summary()));
}

/// Guards against an old version of the routes that comes back with the copy.
#[test]
fn routes_never_fall_back() {
    assert_eq!(returned().routes.version, 28);
    let mut follower = known();
    assert!(follower.apply_view(RETURNED_MS, contents(&returned(), RETURNED_MS)));
    assert_eq!(follower.routes.version, 28);
}

/// Guards against an upstream that turns ready again by the copy: also after it has left, and is
/// forgotten.
#[rstest]
#[case::listed_as_draining(false, 0)]
#[case::left(true, 100)]
#[case::left_and_forgotten(true, 8_000)]
fn drained_upstream_stays_so(#[case] leaves: bool, #[case] before_ms: Millis) {
    let mut knowledge = known();
    if leaves {
        let gone = changes(KNOWN, 19, vec![Change::Gone("u-2".into())]);
        take(&mut knowledge, RETURNED_MS - before_ms, gone);
        knowledge.membership.expire(RETURNED_MS);
    }
    take(&mut knowledge, RETURNED_MS, list(RETURNED, 20, vec![listed(2, false)]));
    for now_ms in [RETURNED_MS, RETURNED_MS + COPY_HOLD_MS] {
        assert_eq!(standing(&mut knowledge, now_ms, 2), Some(Standing::Draining));
    }
    let restarted = UpstreamRecord { born_ms: 5_000, ..record(2, false) };
    let written = changes(RETURNED, 12, vec![Change::Listed(restarted)]);
    take(&mut knowledge, RETURNED_MS + 500, written);
    assert_eq!(standing(&mut knowledge, RETURNED_MS + 500, 2), Some(Standing::Ready));
}

/// Guards against entries that vanish and zones that open because the copy lacks them, and against
/// such that stay for ever because nobody writes them again.
#[test]
fn what_the_copy_lacks_is_held_for_a_moment() {
    let mut knowledge = returned();
    let last_ms = RETURNED_MS + COPY_HOLD_MS - 1;
    assert_eq!(standing(&mut knowledge, last_ms, 1), Some(Standing::Ready));
    assert!(view(&mut knowledge, last_ms).is_closed(ZONE));
    let since_ms = RETURNED_MS + COPY_HOLD_MS;
    let missing = Standing::Missing { since_ms, drained: false };
    assert!(knowledge.membership.is_release_due(since_ms));
    assert_eq!(standing(&mut knowledge, since_ms, 1), Some(missing));
    assert!(!view(&mut knowledge, since_ms).is_closed(ZONE));
}

/// What is written again during the hold stays after it, and what is removed then goes at once.
#[test]
fn word_after_the_return_ends_the_hold_of_an_item() {
    let (now_ms, mut knowledge) = (RETURNED_MS + 500, returned());
    let written = vec![listed(1, false), listed(2, true), Change::ZoneOpened(ZONE)];
    take(&mut knowledge, now_ms, changes(RETURNED, 13, written));
    assert!(!view(&mut knowledge, now_ms).is_closed(ZONE));
    assert_eq!(knowledge.membership.held_count(), 0);
    assert_eq!(standing(&mut knowledge, now_ms + COPY_HOLD_MS, 1), Some(Standing::Ready));
    let gone = changes(Revision { number: 13, ..RETURNED }, 14, vec![Change::Gone("u-1".into())]);
    take(&mut knowledge, now_ms + 1, gone);
    assert!(matches!(standing(&mut knowledge, now_ms + 1, 1), Some(Standing::Missing { .. })));
}

/// The service returns twice in a row, the second time from before the first return.
#[test]
fn second_return_holds_what_the_first_one_held() {
    let mut knowledge = returned();
    let again_ms = RETURNED_MS + COPY_HOLD_MS - 100;
    take(&mut knowledge, again_ms, list(Revision { era: 3, number: 9 }, 20, Vec::new()));
    let later_ms = again_ms + COPY_HOLD_MS - 1;
    assert_eq!(standing(&mut knowledge, later_ms, 1), Some(Standing::Ready));
    assert_eq!(standing(&mut knowledge, later_ms, 2), Some(Standing::Draining));
    assert!(view(&mut knowledge, later_ms).is_closed(ZONE));
}

/// The second return brings the same list, so that nothing is fetched.
#[test]
fn second_return_with_the_same_list_prolongs_the_hold() {
    let mut knowledge = returned();
    let again_ms = RETURNED_MS + COPY_HOLD_MS - 100;
    let revision = Revision { era: 3, ..RETURNED };
    let theirs = Summary { revision, ..knowledge.summary() };
    assert_eq!(compare(theirs, knowledge.summary()), Comparison::Same);
    knowledge.confirm(again_ms, theirs);
    assert!(view(&mut knowledge, again_ms + COPY_HOLD_MS - 1).is_closed(ZONE));
    assert!(!view(&mut knowledge, again_ms + COPY_HOLD_MS).is_closed(ZONE));
}

/// Guards against resets right after a return that was too short for any call to fail: an upstream
/// which the copy lacks, and which this balancer does not know either, holds its flows.
#[test]
fn list_counts_as_incomplete_after_a_return() {
    assert_eq!(known().incomplete_until_ms(), 0);
    assert_eq!(returned().incomplete_until_ms(), RETURNED_MS + COPY_HOLD_MS);
    let mut follower = known();
    let mut same_list = known();
    same_list.revision = Some(RETURNED);
    assert_eq!(compare(same_list.summary(), follower.summary()), Comparison::Same);
    follower.confirm(RETURNED_MS, same_list.summary());
    assert_eq!(follower.incomplete_until_ms(), RETURNED_MS + COPY_HOLD_MS);
}

/// A balancer that starts between the return and the writing learns from the others what the copy
/// lacks: from one that has heard of the return and one that has not.
#[rstest]
#[case::holds_it(returned())]
#[case::has_not_heard(known())]
fn started_balancer_learns_what_others_hold(#[case] other: Knowledge) {
    let now_ms = RETURNED_MS + 300;
    let mut started = Knowledge::new(History::default());
    take(&mut started, now_ms, list(RETURNED, 20, vec![listed(2, false)]));
    assert!(started.lacks_held_of(now_ms, other.summary()));
    assert_eq!(compare(other.summary(), started.summary()), Comparison::Fetch, "for its routes");
    assert!(!started.apply_view(now_ms, contents(&other, now_ms)), "its list is not newer");
    assert_eq!((started.revision, started.routes.version), (Some(RETURNED), 28));
    assert_eq!(standing(&mut started, now_ms, 1), Some(Standing::Ready));
    assert_eq!(standing(&mut started, now_ms, 2), Some(Standing::Draining));
    assert!(view(&mut started, now_ms).is_closed(ZONE));
    let since_ms = now_ms + COPY_HOLD_MS;
    assert!(!view(&mut started, since_ms).is_closed(ZONE), "held no longer than by the others");
}

/// Such a balancer may be the reader of all others. They tell it, but not because holds end at
/// different moments.
#[test]
fn reader_that_knows_only_the_copy_is_told() {
    let now_ms = RETURNED_MS + 300;
    let mut reader = Knowledge::new(History::default());
    take(&mut reader, now_ms, list(RETURNED, 20, vec![listed(2, false)]));
    let other = returned();
    assert!(other.exceeds(now_ms, reader.summary()));
    reader.apply_view(now_ms, contents(&other, now_ms));
    assert!(!other.exceeds(now_ms, reader.summary()));
    view(&mut reader, RETURNED_MS + COPY_HOLD_MS);
    assert!(!other.exceeds(RETURNED_MS + COPY_HOLD_MS - 100, reader.summary()));
}

/// Guards against a draining upstream that turns ready at a balancer which holds more entries than
/// the one that knows of the drain, because an entry that it holds has been removed there.
#[test]
fn other_holds_are_learnt_whichever_holds_more() {
    let (now_ms, mut other) = (RETURNED_MS + 300, known());
    let gone = changes(KNOWN, 19, vec![Change::Gone("u-1".into())]);
    take(&mut other, RETURNED_MS - 100, gone);
    let copy = || list(RETURNED, 20, vec![listed(2, false)]);
    take(&mut other, RETURNED_MS, copy());
    let mut behind = Knowledge::new(History::default());
    let before = (1..=9).map(|number| listed(number, false)).collect();
    take(&mut behind, 0, list(KNOWN, 28, before));
    take(&mut behind, now_ms, copy());
    assert!(behind.lacks_held_of(now_ms, other.summary()));
    behind.apply_view(now_ms, contents(&other, now_ms));
    assert_eq!(standing(&mut behind, now_ms, 2), Some(Standing::Draining));
}

/// What is held is no part of the list: digests are equal wherever the same list is known, so that
/// deltas still apply.
#[test]
fn delta_applies_during_a_hold() {
    let (mut reader, mut follower) = (returned(), known());
    let now_ms = RETURNED_MS + 10;
    follower.apply_view(now_ms, contents(&reader, now_ms));
    let listing = changes(RETURNED, 12, vec![listed(3, false)]);
    let Outcome::Taken(Some(update)) = reader.apply_listing(now_ms, listing) else { panic!() };
    assert!(follower.apply_delta(now_ms, reader.summary(), &update.delta.unwrap()));
    assert_eq!(follower.summary(), reader.summary());
    assert_eq!(standing(&mut follower, now_ms, 1), Some(Standing::Ready));
}

/// A delta of one era does not apply to contents of another one, whatever the numbers.
#[test]
fn delta_of_a_later_era_does_not_apply() {
    let (mut reader, mut follower) = (returned(), known());
    let listing = changes(RETURNED, 12, vec![listed(3, false)]);
    let Outcome::Taken(Some(update)) = reader.apply_listing(RETURNED_MS, listing) else { panic!() };
    assert!(!follower.apply_delta(RETURNED_MS, reader.summary(), &update.delta.unwrap()));
    assert_eq!(follower.revision, Some(KNOWN));
}

/// A list that lags behind the return states the new era with an old number. The service refuses to
/// continue from there, and its next list counts although its number is lower.
#[test]
fn refused_revision_is_dropped() {
    let stale = Revision { era: RETURNED.era, number: 18 };
    let mut knowledge = Knowledge::new(History::default());
    take(&mut knowledge, RETURNED_MS, list(stale, 20, vec![listed(1, false)]));
    let ignored = list(RETURNED, 20, vec![listed(2, false)]);
    take(&mut knowledge, RETURNED_MS, ignored.clone());
    assert_eq!(knowledge.revision, Some(stale), "the list may have been overtaken");
    take(&mut knowledge, RETURNED_MS, Listing { replaces: Some(stale), ..ignored });
    assert_eq!(knowledge.revision, Some(RETURNED));
    assert_eq!(standing(&mut knowledge, RETURNED_MS, 1), Some(Standing::Ready), "it is held");
}

/// A service that states no era: nothing changes, and balancers of earlier releases count as readers.
/// With an era, their numbers mean nothing.
#[rstest]
#[case::no_era(0, Comparison::Fetch, true)]
#[case::with_era(1, Comparison::NotNewer, false)]
fn summary_without_an_era(
    #[case] era: u64,
    #[case] comparison: Comparison,
    #[case] confirms: bool,
) {
    let mut ours = Knowledge::new(History::default());
    take(&mut ours, 0, list(Revision { era, number: 18 }, 28, vec![listed(1, false)]));
    let mut theirs = Knowledge::new(History::default());
    let newer = list(Revision { era: 0, number: 19 }, 28, vec![listed(1, true)]);
    take(&mut theirs, 0, newer);
    assert_eq!(compare(theirs.summary(), ours.summary()), comparison);
    ours.apply_view(0, contents(&theirs, 0));
    assert_eq!(ours.is_confirmed_by(theirs.summary()), confirms);
}

/// Guards against services that count as known although a version of the routes was in force before
/// the reporting balancer started, and after the own list was read: only the same version of the
/// routes, or a list that was read since, shows that there was none.
#[rstest]
#[case::same_version(7, 0, true)]
#[case::other_version(6, 0, false)]
#[case::other_version_read_since(6, 110_000, true)]
fn versions_between_a_list_and_a_view_may_be_unknown(
    #[case] previous_version: u64,
    #[case] called_ms: Millis,
    #[case] is_complete: bool,
) {
    let now_ms = 120_000;
    let mut knowledge = known();
    take(&mut knowledge, called_ms, called(called_ms, changes(KNOWN, 19, Vec::new())));
    knowledge.routes = routes(7);
    let summary = HistorySummary { version: 7, whole_in_ms: 60_000, former_digest: 0 };
    let reported = HistoryContents { summary, routes_version: 7, former: Vec::new() };
    knowledge.merge_history(now_ms, previous_version, &reported);
    assert_eq!(knowledge.history.is_complete(now_ms), is_complete);
}

fn called(called_ms: Millis, listing: Listing) -> Listing {
    Listing { called_ms: Some(called_ms), ..listing }
}

/// Guards against a list that counts as current when its answer arrives: an upstream that registered
/// while the answer was on its way is not in it.
#[test]
fn list_is_current_when_its_call_began() {
    let mut knowledge = known();
    take(&mut knowledge, 5_000, called(4_500, changes(KNOWN, 19, vec![listed(2, false)])));
    assert_eq!(knowledge.current_at_ms(), 4_499);
    // The answer to an earlier call arrives later.
    take(&mut knowledge, 5_100, called(4_300, changes(KNOWN, 19, vec![listed(2, false)])));
    assert_eq!(knowledge.current_at_ms(), 4_499);
    // Nothing has changed since, which shows that the list is still current.
    let revision = knowledge.revision.unwrap();
    take(&mut knowledge, 6_000, called(5_900, changes(revision, 19, Vec::new())));
    assert_eq!(knowledge.current_at_ms(), 5_899);
}

/// Guards against a list that counts as current because of an answer that was not applied, that may
/// be seconds old, or of what another balancer tells, whenever that was true.
#[test]
fn other_answers_do_not_show_that_the_list_is_current() {
    let mut knowledge = known();
    let may_be_stale = changes(KNOWN, 19, vec![listed(2, false)]);
    take(&mut knowledge, 5_000, may_be_stale);
    let later_era = Revision { era: RETURNED.era, number: 19 };
    let not_continued = called(5_000, changes(later_era, 20, Vec::new()));
    assert!(matches!(knowledge.apply_listing(5_000, not_continued), Outcome::ListNeeded));
    let outdated = called(5_000, list(Revision { era: 0, number: 30 }, 1, Vec::new()));
    assert!(matches!(knowledge.apply_listing(5_000, outdated), Outcome::Outdated));
    let mut other = known();
    take(&mut other, 5_000, called(4_900, changes(KNOWN, 25, vec![listed(3, false)])));
    assert!(knowledge.apply_view(5_000, contents(&other, 5_000)));
    knowledge.confirm(5_000, other.summary());
    assert_eq!(knowledge.current_at_ms(), 0);
}
