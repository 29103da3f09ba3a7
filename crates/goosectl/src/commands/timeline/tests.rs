//! Tests of the merging, filtering and printing of events.

use rstest::rstest;
use serde_json::{Value, json};
use telemetry::clock::Clock;

use super::merge::{self, Filter};
use super::names::Names;
use super::{html, svg, text};
use crate::fleet::{Event, ServedUpstream};

fn event(hlc: u64, instance: &str, kind: &str, fields: Value) -> Event {
    serde_json::from_value(json!({
        "hlc": hlc, "instance": instance, "account": "cascadia", "kind": kind, "fields": fields,
    }))
    .unwrap()
}

fn plain(hlc: u64, instance: &str) -> Event {
    event(hlc, instance, "started", json!({}))
}

#[rstest]
#[case::by_time(&[(1, "a"), (5, "a")], &[(3, "b")], &[(1, "a"), (3, "b"), (5, "a")])]
#[case::ties_by_instance(&[(1, "b")], &[(1, "a")], &[(1, "a"), (1, "b")])]
#[case::duplicate(&[(1, "a"), (2, "a")], &[(2, "a")], &[(1, "a"), (2, "a")])]
#[case::none(&[], &[], &[])]
fn merge_order(
    #[case] first: &[(u64, &str)],
    #[case] second: &[(u64, &str)],
    #[case] expected: &[(u64, &str)],
) {
    let list = |list: &[(u64, &str)]| list.iter().map(|(hlc, name)| plain(*hlc, name)).collect();
    let merged = merge::merge(vec![list(first), list(second)]);
    let found: Vec<(u64, &str)> = merged.iter().map(|e| (e.hlc, &*e.instance)).collect();
    assert_eq!(found, expected);
}

/// The clock of `b` is five seconds behind. `a` assigns an opening, `b` admits it and reports that,
/// and `a` records the report. By the wall clocks alone the admission would come first.
#[test]
fn merge_cause_before_effect() {
    let (a, b) = (Clock::default(), Clock::default());
    let assigned = a.now_at(10_000);
    b.observe_at(assigned, 5_000);
    let admitted = b.now_at(5_001);
    a.observe_at(admitted, 10_001);
    let recorded = a.now_at(10_002);
    let lists = vec![
        vec![event(admitted.0, "b", "admitted", json!({}))],
        vec![
            event(assigned.0, "a", "assigned", json!({})),
            event(recorded.0, "a", "recorded", json!({})),
        ],
    ];
    let kinds: Vec<String> = merge::merge(lists).into_iter().map(|event| event.kind).collect();
    assert_eq!(kinds, ["assigned", "admitted", "recorded"]);
}

/// Builds an event from its time in milliseconds and the text `instance kind nonce`.
fn brief((at_ms, text): (u64, &str)) -> Event {
    let words: Vec<&str> = text.split(' ').collect();
    event(at_ms << 16, words[0], words[1], json!({"flow": "01", "nonce": words[2]}))
}

#[rstest]
#[case::in_order(&[(1, "a assigned 7"), (2, "b admitted 7")], &["a assigned 7", "b admitted 7"])]
#[case::assignment_recorded_late(
    &[(1, "b admitted 7"), (2, "a assigned 7")], &["a assigned 7", "b admitted 7"]
)]
#[case::own_events_follow(
    &[(1, "b admitted 7"), (2, "b ended 0"), (3, "c ended 0"), (4, "a assigned 7"), (5, "b ended 1")],
    &["c ended 0", "a assigned 7", "b admitted 7", "b ended 0", "b ended 1"]
)]
#[case::other_opening(
    &[(1, "b admitted 7"), (2, "a assigned 8")], &["b admitted 7", "a assigned 8"]
)]
#[case::same_process(&[(1, "a admitted 7"), (2, "a assigned 7")], &["a admitted 7", "a assigned 7"])]
#[case::copy_much_later(
    &[(1, "b admitted 7"), (502, "a assigned 7")], &["b admitted 7", "a assigned 7"]
)]
#[case::first_assignment_counts(
    &[(1, "a assigned 7"), (2, "b admitted 7"), (3, "c assigned 7")],
    &["a assigned 7", "b admitted 7", "c assigned 7"]
)]
#[case::chain(
    &[(1, "c admitted 8"), (2, "b admitted 7"), (3, "b assigned 8"), (4, "a assigned 7")],
    &["a assigned 7", "b admitted 7", "b assigned 8", "c admitted 8"]
)]
#[case::cycle(
    &[(1, "a admitted 7"), (2, "b admitted 8"), (3, "b assigned 7"), (4, "a assigned 8")],
    &["a admitted 7", "b admitted 8", "b assigned 7", "a assigned 8"]
)]
fn merge_by_opening(#[case] list: &[(u64, &str)], #[case] expected: &[&str]) {
    let merged = merge::merge(vec![list.iter().copied().map(brief).collect()]);
    let show = |e: &Event| format!("{} {} {}", e.instance, e.kind, e.field("nonce"));
    assert_eq!(merged.iter().map(show).collect::<Vec<_>>(), expected);
}

fn filter(flow: &str, account: &str, kinds: &[&str]) -> Filter {
    let text = |text: &str| (!text.is_empty()).then(|| text.to_owned());
    let kinds = kinds.iter().map(|kind| (*kind).to_owned()).collect();
    Filter { flow: text(flow), account: text(account), kinds }
}

#[rstest]
#[case::all(filter("", "", &[]), &[1, 2, 3])]
#[case::flow(filter("00000000000000ff", "", &[]), &[1])]
#[case::account(filter("", "cascadia", &[]), &[1, 2, 3])]
#[case::other_account(filter("", "bajio", &[]), &[])]
#[case::kinds(filter("", "", &["ended", "started"]), &[2, 3])]
#[case::flow_and_kind(filter("00000000000000ff", "", &["ended"]), &[])]
fn filter_events(#[case] filter: Filter, #[case] expected: &[u64]) {
    let events = vec![
        event(1, "a", "admitted", json!({"flow": "00000000000000ff"})),
        event(2, "a", "ended", json!({"flow": "00000000000000fe"})),
        event(3, "a", "started", json!({})),
    ];
    let found: Vec<u64> = merge::filtered(events, &filter).iter().map(|event| event.hlc).collect();
    assert_eq!(found, expected);
}

#[rstest]
#[case::plain("shelf-1", "shelf-1")]
#[case::markup("<b a=\"1\" c='2'>&amp;", "&lt;b a=&quot;1&quot; c=&#39;2&#39;&gt;&amp;amp;")]
fn escape_text(#[case] text: &str, #[case] expected: &str) {
    assert_eq!(svg::escape(text), expected);
}

/// Answers of instances, which may contain arbitrary text, must not add markup to the page.
#[test]
fn page_shows_text_as_text() {
    let attack = "</title><script>alert(1)</script>";
    let event = event(1 << 16, attack, attack, json!({ attack: attack }));
    let page = html::page(&[event], &Names::default(), &[attack.to_owned()]);
    assert!(!page.contains("<script"), "{page}");
    assert_eq!(page.matches("</title>").count(), 2, "{page}");
}

/// The page refers to no other resource and has no script.
#[test]
fn page_is_self_contained() {
    let events = [plain(1 << 16, "a"), plain(9 << 16, "b")];
    let page =
        html::page(&events, &Names::default(), &[]).replace("http://www.w3.org/2000/svg", "");
    for resource in ["http", "src=", "href", "url(", "@import", "<script"] {
        assert!(!page.contains(resource), "{resource}");
    }
    assert_eq!((page.matches("<circle").count(), page.matches("class=\"lane\"").count()), (2, 2));
}

#[test]
fn page_without_events() {
    assert!(html::page(&[], &Names::default(), &[]).contains("No events."));
}

/// Dots are placed by time, and a line links an assignment only to the admission of its opening.
#[test]
fn draw_places_and_links() {
    let opening = json!({"flow": "01", "nonce": 7});
    let events = [
        event(1_000 << 16, "a", "assigned", opening.clone()),
        event(1_500 << 16, "b", "admitted", opening),
        event(2_000 << 16, "b", "admitted", json!({"flow": "01", "nonce": 8})),
    ];
    let picture = svg::draw(&events, &["admitted", "assigned"], &Names::default());
    let xs: Vec<&str> =
        picture.split("cx=\"").skip(1).filter_map(|rest| rest.split('"').next()).collect();
    assert_eq!(xs, ["180", "880", "1580"]);
    assert_eq!(picture.matches("class=\"link\"").count(), 1);
    assert!(picture.contains("M180 33L880 54"), "{picture}");
}

#[test]
fn lines_with_names() {
    let served =
        ServedUpstream { account: "c".into(), service: "s".into(), upstream: "s-2".into() };
    let id = format!("{:016x}", decision::keys::UpstreamId::of("c", "s", "s-2").0);
    let mut names = Names::default();
    names.add(&served);
    let day = 86_400_000_u64;
    let events = [
        event(((day - 1) << 16) + 2, "agent-1", "assigned", json!({"flow": "01", "to": id})),
        event(day << 16, "bal", "assigned", json!({"to": "ff"})),
    ];
    let mut out = Vec::new();
    text::lines(&mut out, &events, &names).unwrap();
    let expected = "\
1970-01-01 (UTC)
23:59:59.999+0002  agent-1  cascadia    assigned           flow=01 to=s-2
1970-01-02 (UTC)
00:00:00.000+0000  bal      cascadia    assigned           to=ff
2 event(s)
";
    assert_eq!(String::from_utf8(out).unwrap(), expected);
}
