//! Tests of the time line.

use rstest::rstest;
use telemetry::clock::Timestamp;
use telemetry::timeline::{Fields, Timeline, Value};

fn recorded(capacity: usize, events: u64) -> Timeline {
    let timeline = Timeline::new("shelf-1".into(), capacity);
    for number in 0..events {
        let fields = Fields::default().with("number", Value::Number(number));
        timeline.record("cascadia", "counted", fields);
    }
    timeline
}

fn numbers(timeline: &Timeline, after: Timestamp) -> Vec<u64> {
    let events = serde_json::to_value(timeline.after(after)).unwrap();
    let events = events.as_array().unwrap().clone();
    events.iter().map(|event| event["fields"]["number"].as_u64().unwrap()).collect()
}

#[rstest]
#[case::empty(3, 0, &[])]
#[case::within_bound(3, 2, &[0, 1])]
#[case::oldest_are_evicted(3, 5, &[2, 3, 4])]
fn after_zero_returns_kept(#[case] capacity: usize, #[case] events: u64, #[case] kept: &[u64]) {
    assert_eq!(numbers(&recorded(capacity, events), Timestamp(0)), kept);
}

#[rstest]
#[case::first(0, &[1, 2])]
#[case::last(2, &[])]
fn after_event_returns_later(#[case] index: usize, #[case] later: &[u64]) {
    let timeline = recorded(9, 3);
    let after = timeline.after(Timestamp(0))[index].hlc;
    assert_eq!(numbers(&timeline, after), later);
}

#[test]
fn event_as_json() {
    let timeline = Timeline::new("shelf-1".into(), 1);
    let fields = Fields::default()
        .with("flow", Value::Id(258))
        .with("reason", Value::Static("all_full"))
        .with("peer", Value::Text("shelf-2".into()))
        .with("version", Value::Number(7))
        .with("fifth", Value::Number(0));
    timeline.record("cascadia", "refused", fields);
    let events = timeline.after(Timestamp(0));
    let expected = format!(
        concat!(
            r#"[{{"hlc":{},"instance":"shelf-1","account":"cascadia","kind":"refused","#,
            r#""fields":{{"flow":"0000000000000102","reason":"all_full","peer":"shelf-2","version":7}}}}]"#,
        ),
        events[0].hlc.0
    );
    assert_eq!(serde_json::to_string(&events).unwrap(), expected);
}
