//! The platform: which publications a reader sees at which time, and which reads are refused.

use decision::time::Millis;
use rstest::rstest;
use standins::platform::{Budget, Instance, InstanceList, Store, WatchReply};

fn store() -> Store {
    let mut store = Store::default();
    store.publish(Millis(100), None, "version: 1");
    store.publish(Millis(200), Some("cascadia"), "version: 1");
    store.publish(Millis(300), Some("bajio"), "version: 1");
    store.publish(Millis(400), Some("cascadia"), "version: 2");
    store
}

#[rstest]
#[case::before_all(99, 0, 0, &[])]
#[case::everything(1_000, 0, 4, &["bajio", "cascadia", "root"])]
#[case::as_of_earlier_time(250, 0, 2, &["cascadia", "root"])]
#[case::after_index(1_000, 2, 4, &["bajio", "cascadia"])]
#[case::only_newest(1_000, 3, 4, &["cascadia"])]
#[case::nothing_newer(1_000, 4, 4, &[])]
#[case::reader_behind_its_index(250, 4, 2, &[])]
fn watch_shows_what_changed(
    #[case] seen_at_ms: u64,
    #[case] after: u64,
    #[case] index: u64,
    #[case] changed: &[&str],
) {
    let changed = changed.iter().map(|name| (*name).into()).collect();
    assert_eq!(store().watch(Millis(seen_at_ms), after), WatchReply { index, changed });
}

#[rstest]
#[case::absent(199, None)]
#[case::first(399, Some("version: 1"))]
#[case::second(400, Some("version: 2"))]
fn document_is_as_of_the_read_time(#[case] seen_at_ms: u64, #[case] expected: Option<&str>) {
    let document = store().document(Millis(seen_at_ms), Some("cascadia"));
    assert_eq!(document.as_deref(), expected);
}

#[rstest]
#[case::before_lag(1_499, 0)]
#[case::after_lag(1_500, 1)]
fn instance_list_is_visible_after_its_lag(#[case] seen_at_ms: u64, #[case] expected: usize) {
    let mut store = Store::default();
    let instance = Instance {
        name: "bal-1".into(),
        kind: "balancer".into(),
        account: None,
        service: None,
        upstream: None,
        data_address: "127.0.0.1:6080".parse().unwrap(),
        control_address: "127.0.0.1:9080".parse().unwrap(),
        zone: "pnw-a".into(),
        region: "pnw".into(),
        state: "live".into(),
    };
    store.set_instances(Millis(1_000), InstanceList { instances: vec![instance], lag_ms: 500 });
    assert_eq!(store.instances(Millis(seen_at_ms)).instances.len(), expected);
}

/// All readers together get no more reads than the rate and the burst allow, whether the reads come
/// at once or evenly spread.
#[rstest]
#[case::burst(1, 5_000)]
#[case::steady(5_000, 5_000)]
fn budget_limits_reads(#[case] spread_ms: u64, #[case] reads: u64) {
    let mut budget = Budget::new(1_000);
    let read = |number| budget.take(Millis(number * spread_ms / reads)).is_ok();
    let served = (0..reads).map(read).filter(|served| *served).count() as u64;
    let expected = 1_000 + spread_ms.saturating_sub(1);
    assert!(served.abs_diff(expected.min(reads)) <= 2, "{served}, {expected}");
}

#[test]
fn instance_list_body_round_trips() {
    let text = r#"{"instances":[{"name":"agent-shelf-1","kind":"agent","account":"cascadia",
        "service":"shelf","upstream":"shelf-1","data_address":"127.20.1.1:6080",
        "control_address":"127.20.1.1:9080","zone":"pnw-a","region":"pnw","state":"live"}]}"#;
    let list: InstanceList = serde_json::from_str(text).unwrap();
    let again = serde_json::to_value(&list).unwrap();
    assert_eq!(again, serde_json::from_str::<serde_json::Value>(text).unwrap());
}
