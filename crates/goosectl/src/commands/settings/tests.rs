//! Tests of which instances lag, and since when.

use rstest::rstest;
use serde_json::json;
use telemetry::clock::Timestamp;

use super::lag::{self, InstalledVersion};
use crate::fleet::Event;

fn installed(instance: &str, account: &str, version: Option<u64>) -> InstalledVersion {
    InstalledVersion { instance: instance.into(), account: account.into(), version }
}

/// `instance` accepted `version` of `account` at `at_ms`.
fn accepted(instance: &str, account: &str, version: u64, at_ms: u64) -> Event {
    event("settings_accepted", instance, account, version, at_ms)
}

fn event(kind: &str, instance: &str, account: &str, version: u64, at_ms: u64) -> Event {
    let hlc = Timestamp::from_wall_ms(at_ms).0;
    serde_json::from_value(json!({
        "hlc": hlc, "instance": instance, "account": account, "kind": kind,
        "fields": {"version": version},
    }))
    .unwrap()
}

const ONE: &str = "bal-1";
const TWO: &str = "bal-2";

#[rstest]
#[case::all_newest(&[(ONE, Some(7)), (TWO, Some(7))], &[], &[], &[])]
#[case::one_behind(
    &[(ONE, Some(7)), (TWO, Some(6))], &[],
    &[accepted(ONE, "cascadia", 6, 10), accepted(ONE, "cascadia", 7, 30)],
    &[(TWO, Some(30))]
)]
#[case::two_behind_since_first(
    &[(ONE, Some(7)), (TWO, Some(5))], &[],
    &[accepted(ONE, "cascadia", 7, 30), accepted(ONE, "cascadia", 6, 20)],
    &[(TWO, Some(20))]
)]
#[case::other_events_do_not_count(
    &[(ONE, Some(7)), (TWO, Some(6))], &[],
    &[accepted(ONE, "bajio", 9, 5), accepted(ONE, "", 9, 6), event("view_installed", ONE, "cascadia", 7, 7)],
    &[(TWO, None)]
)]
#[case::without_settings(
    &[(ONE, Some(7)), (TWO, None)], &[], &[accepted(ONE, "cascadia", 7, 30)], &[(TWO, Some(30))]
)]
#[case::all_behind_the_platform(
    &[(ONE, Some(7)), (TWO, Some(8))], &[("cascadia", 8)], &[], &[(ONE, None)]
)]
#[case::platform_is_stale(&[(ONE, Some(7))], &[("cascadia", 5)], &[], &[])]
fn lagging(
    #[case] versions: &[(&str, Option<u64>)],
    #[case] published: &[(&str, u64)],
    #[case] events: &[Event],
    #[case] expected: &[(&str, Option<u64>)],
) {
    let all: Vec<InstalledVersion> =
        versions.iter().map(|(name, v)| installed(name, "cascadia", *v)).collect();
    let published: Vec<(String, u64)> =
        published.iter().map(|(name, version)| ((*name).to_owned(), *version)).collect();
    let newest = lag::newest(&all, &published);
    let rows = lag::rows(all, &newest, events);
    let lagging: Vec<(&str, Option<u64>)> = rows
        .iter()
        .filter(|row| row.lags)
        .map(|row| (&*row.installed.instance, row.since_ms))
        .collect();
    assert_eq!(lagging, expected);
}

#[test]
fn newest_by_account() {
    let all = [
        installed(ONE, "cascadia", Some(3)),
        installed(ONE, "bajio", None),
        installed(TWO, "cascadia", Some(4)),
    ];
    let newest = lag::newest(&all, &[("bajio".to_owned(), 2)]);
    assert_eq!(newest, [("bajio".to_owned(), 2), ("cascadia".to_owned(), 4)]);
}
