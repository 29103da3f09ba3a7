//! Tests of the table of outdated memberships.

use super::*;

const SERVICE: ServiceId = ServiceId(7);

fn report(from: u64, members: u64, expires_in_ms: u32) -> OutdatedReport {
    let outdated = Outdated { from: Version(from), next: Version(from + 1), expires_in_ms };
    OutdatedReport { outdated, members }
}

/// A repeated report that arrives late must not prolong the wait of an agent that asks.
#[test]
fn learn_earlier_end_counts() {
    let mut table = OutdatedTable::default();
    table.learn(Millis(0), SERVICE, report(1, 9, 1_000));
    table.learn(Millis(500), SERVICE, report(1, 9, 900));
    assert_eq!(table.of_service(Millis(600), SERVICE), [report(1, 9, 400)]);
    assert_eq!(table.of_service(Millis(5_000), SERVICE), [report(1, 9, 0)]);
}

/// Settings of two versions may draw the membership of one version differently, if a name returns.
#[test]
fn learn_other_members() {
    let mut table = OutdatedTable::default();
    table.learn(Millis(0), SERVICE, report(1, 8, 100));
    table.learn(Millis(0), SERVICE, report(1, 9, 200));
    assert_eq!(table.of_service(Millis(0), SERVICE), [report(1, 8, 100), report(1, 9, 200)]);
}

/// One service cannot fill the table, and what is reported for one says nothing about another.
#[test]
fn learn_bounded_for_each_service() {
    let mut table = OutdatedTable::default();
    table.learn(Millis(0), ServiceId(8), report(1, 9, 0));
    (0..100).for_each(|from| table.learn(Millis(0), SERVICE, report(from, 9, 0)));
    let known = table.of_service(Millis(0), SERVICE);
    assert_eq!(known.len(), PER_SERVICE);
    assert_eq!(known.last(), Some(&report(99, 9, 0)));
    assert_eq!(table.of_service(Millis(0), ServiceId(8)), [report(1, 9, 0)]);
    table.retain_services(|service| service == SERVICE);
    assert_eq!(table.of_service(Millis(0), ServiceId(8)), []);
}
