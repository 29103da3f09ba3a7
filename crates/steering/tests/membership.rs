//! Tests of the list of upstreams: changes, gaps, and addresses that are reused.

use std::net::Ipv4Addr;
use std::sync::Arc;

use rstest::rstest;
use steering::flow::Millis;
use steering::membership::{
    Change, DRAINED_LINGER_MS, Delta, LAPSED_LINGER_MS, Membership, OUTAGE_LINGER_MS,
    UpstreamRecord, whole_in_ms,
};
use steering::revision::Revision;
use steering::view::{RouteTable, Service, ServiceStamp, Standing, ZoneStamp};

const ADDRESS: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

fn record(id: &str, draining: bool) -> UpstreamRecord {
    UpstreamRecord {
        id: id.into(),
        born_ms: 0,
        address: ADDRESS,
        service: ServiceStamp(1),
        zone: ZoneStamp(1),
        draining,
        warmup_left_ms: 0,
        slots: 7,
    }
}

fn standings(membership: &Membership) -> Vec<Standing> {
    let view = membership.view(Arc::new(RouteTable::default()));
    view.upstreams().iter().map(|upstream| upstream.standing).collect()
}

/// An entry disappears while its upstream may still hold flows: after an outage of the
/// configuration service, the entry comes back within two seconds, and an upstream that has drained
/// may run for a little longer. If the entry were dropped at once, balancers would find no holder
/// for its callers' packets and would reset open flows.
#[rstest]
#[case::lapsed(false, LAPSED_LINGER_MS)]
#[case::drained(true, DRAINED_LINGER_MS)]
fn expire_removed_entry(#[case] draining: bool, #[case] linger_ms: Millis) {
    let mut membership = Membership::default();
    membership.insert(0, &record("a", draining));
    membership.remove(100, "a");
    assert_eq!(standings(&membership), [Standing::Missing { since_ms: 100, drained: draining }]);
    assert!(!membership.expire(100 + linger_ms - 1));
    assert!(membership.expire(100 + linger_ms));
    assert!(membership.is_empty());
}

/// An upstream crashes and restarts within a second under its name. The lease of its previous
/// incarnation expires later, and the entry is missing until the upstream writes its next one. When
/// the upstream was dropped in between, balancers reset flows that it held.
#[test]
fn expire_restarted_upstream() {
    let mut membership = Membership::default();
    membership.insert(0, &record("a", false));
    membership.insert(1_000, &UpstreamRecord { born_ms: 9, ..record("a", false) });
    membership.remove(1_500, "a");
    assert!(!membership.expire(4_560), "three seconds until its next write, and the network delay");
    membership.insert(4_561, &UpstreamRecord { born_ms: 9, ..record("a", false) });
    assert_eq!(standings(&membership), [Standing::Ready]);
}

#[test]
fn insert_removed_entry() {
    let mut membership = Membership::default();
    membership.insert(0, &record("a", false));
    membership.remove(100, "a");
    membership.insert(1_900, &record("a", false));
    assert_eq!(standings(&membership), [Standing::Ready]);
}

#[test]
fn replace_removes_missing() {
    let mut membership = Membership::default();
    membership.insert(0, &record("a", false));
    membership.replace(50, &[], []);
    membership.replace(90, &[], []);
    assert_eq!(standings(&membership), [Standing::Missing { since_ms: 50, drained: false }]);
}

/// An address is assigned to another upstream, so the previous one no longer runs. Two entries with
/// one address would send packets of the new upstream's callers to the wrong service.
#[test]
fn insert_reused_address() {
    let mut membership = Membership::default();
    membership.insert(0, &record("a", false));
    membership.remove(10, "a");
    membership.insert(20, &UpstreamRecord { service: ServiceStamp(2), ..record("b", false) });
    assert_eq!(standings(&membership), [Standing::Ready]);
    let view = membership.view(Arc::new(RouteTable::default()));
    assert_eq!(view.upstreams()[0].service, ServiceStamp(2));
}

/// An upstream that restarts under its name is a new incarnation, which warms up and accepts flows
/// at once. Late updates about an earlier incarnation, from another balancer or from a page of the
/// list, change nothing.
#[rstest]
#[case::later(8, Standing::Ready, 2_100)]
#[case::same(7, Standing::Ready, 2_100)]
#[case::earlier(6, Standing::Draining, 500)]
fn insert_incarnation(
    #[case] born_ms: u64,
    #[case] standing: Standing,
    #[case] warm_at_ms: Millis,
) {
    let mut membership = Membership::default();
    let first = UpstreamRecord { born_ms: 7, warmup_left_ms: 500, ..record("a", true) };
    membership.insert(0, &first);
    let restarted = UpstreamRecord { born_ms, warmup_left_ms: 2_000, ..record("a", false) };
    membership.insert(100, &restarted);
    let view = membership.view(Arc::new(RouteTable::default()));
    let upstream = view.upstreams()[0];
    assert_eq!((upstream.standing, upstream.warm_at_ms), (standing, warm_at_ms));
}

/// Another writer has published an entry for a service that does not exist, with the address of an
/// upstream. If it counted as the new owner of the address, it would hide the upstream, whose
/// callers' packets would find no holder.
#[rstest]
#[case::unknown_service(ServiceStamp(9), ServiceStamp(1))]
#[case::known_service(ServiceStamp(2), ServiceStamp(2))]
fn view_unknown_service(#[case] service: ServiceStamp, #[case] expected: ServiceStamp) {
    let mut membership = Membership::default();
    membership.insert(0, &record("a", false));
    membership.insert(10, &UpstreamRecord { service, ..record("b", false) });
    let routes =
        RouteTable::new(1, Vec::new(), [1, 2].map(|stamp| Service::unlimited(ServiceStamp(stamp))));
    let view = membership.view(Arc::new(routes));
    let services: Vec<ServiceStamp> = view.upstreams().iter().map(|u| u.service).collect();
    assert_eq!(services, [expected]);
}

/// A list contains the upstreams with one address in the order of their names. The one that started
/// last owns the address.
#[rstest]
#[case::first_name_is_newer("a", "b")]
#[case::last_name_is_newer("b", "a")]
fn view_newest_at_address(#[case] newer: &str, #[case] older: &str) {
    let mut records = [
        UpstreamRecord { born_ms: 9, service: ServiceStamp(2), ..record(newer, false) },
        UpstreamRecord { born_ms: 5, ..record(older, false) },
    ];
    records.sort_by_key(|record| Arc::clone(&record.id));
    let mut membership = Membership::default();
    membership.replace(0, &records, []);
    let view = membership.view(Arc::new(RouteTable::default()));
    assert_eq!(view.upstreams().len(), 1);
    assert_eq!(view.upstreams()[0].service, ServiceStamp(2));
}

#[rstest]
#[case::same("a", 900, false, true)]
#[case::another("b", 0, false, false)]
#[case::draining("a", 0, true, false)]
fn digest_equality(
    #[case] id: &str,
    #[case] warmup_left_ms: Millis,
    #[case] draining: bool,
    #[case] same: bool,
) {
    let (mut ours, mut theirs) = (Membership::default(), Membership::default());
    ours.insert(0, &record("a", false));
    theirs.insert(0, &UpstreamRecord { warmup_left_ms, ..record(id, draining) });
    assert_eq!(ours.digest() == theirs.digest(), same);
}

/// How long the list may still be incomplete, as reported to other balancers: without an outage,
/// after an outage that this balancer saw end, or during one.
#[rstest]
#[case::no_outage(10_000, 9_000, false, 0)]
#[case::after_an_outage(10_000, 11_500, false, 1_500)]
#[case::in_an_outage(10_000, 0, true, OUTAGE_LINGER_MS)]
#[case::in_the_next_outage(10_000, 10_200, true, OUTAGE_LINGER_MS)]
fn whole_in_ms_outage(
    #[case] now_ms: Millis,
    #[case] complete_from_ms: Millis,
    #[case] unreachable: bool,
    #[case] expected: Millis,
) {
    assert_eq!(whole_in_ms(now_ms, complete_from_ms, unreachable), expected);
}

/// A reader sends deltas, and another balancer's list is brought up to date by them alone, also if
/// it contains some of the changes already. If it lacks an earlier change, the digests differ.
#[rstest]
#[case::just_before(2, true)]
#[case::some_known(3, true)]
#[case::one_lost(0, false)]
fn patch_delta(#[case] known: usize, #[case] patched: bool) {
    let other_address =
        UpstreamRecord { address: Ipv4Addr::new(10, 0, 0, 2), ..record("b", false) };
    let changes = [
        Change::Listed(record("a", false)),
        Change::Listed(record("c", false)),
        Change::Listed(other_address),
        Change::Listed(record("a", true)),
        Change::Gone("b".into()),
        Change::Listed(UpstreamRecord { born_ms: 9, ..record("a", false) }),
    ];
    let (mut ours, mut theirs) = (Membership::default(), Membership::default());
    changes.iter().for_each(|change| theirs.apply(0, change));
    changes[..known].iter().for_each(|change| ours.apply(0, change));
    let delta = Delta::new(Revision::default(), changes[2..].to_vec());
    assert_eq!(ours.patch(0, &delta, theirs.digest()), patched);
}

/// An upstream has crashed, and another one with a new name runs at its address. Neither entry
/// states when its upstream started. A balancer reads the whole list, sorted by name, while it
/// contains both. Once the old entry is removed, it must not hide the new one. When it did, flows
/// of the new upstream were reset because it counted as gone.
#[rstest]
#[case::new_name_sorts_first("a", "z")]
#[case::new_name_sorts_last("z", "a")]
fn view_removed_entry_at_address(#[case] new: &str, #[case] old: &str) {
    let mut membership = Membership::default();
    membership.insert(0, &record(old, false));
    let mut both = [record(new, false), record(old, false)];
    both.sort_by(|one, other| one.id.cmp(&other.id));
    membership.replace(10, &both, []);
    membership.remove(100, old);
    assert_eq!(standings(&membership), [Standing::Ready]);
}
