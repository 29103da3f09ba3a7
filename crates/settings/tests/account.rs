//! Parsing of accounts' subtrees: faults have the expected code, line, column and path.

mod common;

use common::{ACCOUNT, check_faults, edit};
use decision::view::{Transport, UpstreamState, WhenInDoubt};
use rstest::rstest;
use settings::account;

fn check(yaml: &str, expected: &[&str]) {
    let faults = account::parse(yaml, &common::root(), "cascadia").err().unwrap_or_default();
    check_faults(&faults, expected);
}

#[test]
fn parse_valid() {
    let spec = account::parse(ACCOUNT, &common::root(), "cascadia").unwrap();
    assert_eq!((&*spec.name, spec.version.0), ("cascadia", 7));
    let shelf = &spec.services[0];
    assert_eq!((shelf.when_in_doubt, shelf.zone_spill_percent), (WhenInDoubt::Refuse, 25));
    assert_eq!(shelf.endpoints[1].address.to_string(), "2001:db8:1::1");
    assert_eq!((shelf.endpoints[1].port, shelf.endpoints[1].transport), (8443, Transport::Udp));
    let [first, second] = shelf.upstreams.as_slice() else { panic!("two upstreams") };
    assert_eq!((first.weight, first.max_flows, first.since.0), (100, 2000, 1));
    assert_eq!(first.control_address.to_string(), "127.20.1.1:9080");
    assert_eq!((second.state, second.retired.map(|v| v.0)), (UpstreamState::Retired, Some(7)));
}

#[rstest]
#[case::syntax("services:", "services: [", "E1001 line 4")]
#[case::tab("zone: pnw-a", "\tzone: pnw-a", "E1001 line 9 column 15")]
#[case::two_documents(
    "    zone_spill",
    "---\na: 1\n    zone_spill",
    "E1001 line 8 column 1: more than one document"
)]
#[case::tag("weight: 100", "weight: !w 100", "E1001 line 11 column 20")]
#[case::null_as_key("state: active", "~: active\n        state: active", "E1001 line 16 column 9")]
#[case::list_as_key(
    "state: active",
    "[1]: active\n        state: active",
    "E1001 line 16 column 9"
)]
#[case::anchor("zone: pnw-a", "zone: &z pnw-a", "E1017 line 10 column 18")]
#[case::merge_key("weight: 100", "<<: {a: 1}\n        weight: 100", "E1017 line 11 column 9")]
#[case::nesting("weight: 100", "weight: [[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]", "E1017 line 11")]
fn parse_unreadable(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    check(&edit(ACCOUNT, from, to), &[expected]);
}

const UPSTREAM: &str = "services[0].upstreams[0]";

#[rstest]
#[case::unknown_field("weight:", "colour: 1\n        weight:", "E1003 line 11 column 9", "colour")]
#[case::number_as_key("state:", "1: active\n        state:", "E1003 line 16 column 9", "1")]
#[case::unknown_unit(
    "weight:",
    "max_flows_pct: 1\n        weight:",
    "E1007 line 11 column 9",
    "max_flows_pct"
)]
#[case::duplicate_key(
    "max_flows:",
    "weight: 2\n        max_flows:",
    "E1004 line 12 column 9",
    "weight"
)]
#[case::missing_field("        weight: 100\n", "", "E1005 line 9 column 9", "weight")]
#[case::text_for_number("weight: 100", "weight: heavy", "E1006 line 11 column 17", "weight")]
#[case::quoted_number("weight: 100", "weight: \"100\"", "E1006 line 11 column 17", "weight")]
#[case::fraction("weight: 100", "weight: 1.5", "E1006 line 11 column 17", "weight")]
#[case::nothing("weight: 100", "weight:", "E1006 line 11 column 15", "weight")]
#[case::list_for_number("weight: 100", "weight: [1]", "E1006 line 11 column 17", "weight")]
#[case::number_for_text("zone: pnw-a", "zone: 7", "E1006 line 10 column 15", "zone")]
#[case::unit_in_value("weight: 100", "weight: 100%", "E1007 line 11 column 17", "weight")]
#[case::weight_zero("weight: 100", "weight: 0", "E1008 line 11 column 17", "weight")]
#[case::weight_large("weight: 100", "weight: 1001", "E1008 line 11 column 17", "weight")]
#[case::weight_negative("weight: 100", "weight: -1", "E1008 line 11 column 17", "weight")]
#[case::weight_huge(
    "weight: 100",
    "weight: 18446744073709551615",
    "E1008 line 11 column 17",
    "weight"
)]
#[case::max_flows_zero("max_flows: 2000", "max_flows: 0", "E1008 line 12 column 20", "max_flows")]
#[case::state("state: active", "state: gone", "E1009 line 16 column 16", "state")]
#[case::name_upper("shelf-1", "Shelf-1", "E1012 line 9 column 15", "name")]
#[case::name_empty("name: shelf-1", "name: ''", "E1012 line 9 column 15", "name")]
#[case::zone_with_space("pnw-a", "pnw a", "E1012 line 10 column 15", "zone")]
#[case::address("127.20.1.1:6080", "agent.local:6080", "E1013 line 13 column 24", "agent_address")]
#[case::port_zero("127.20.1.1:6080", "127.20.1.1:0", "E1008 line 13 column 24", "agent_address")]
#[case::port_large(
    "127.20.1.1:6080",
    "127.20.1.1:65536",
    "E1013 line 13 column 24",
    "agent_address"
)]
#[case::since_future("since: 1", "since: 8", "E1027 line 17 column 16", "since")]
#[case::version_without_retired_state(
    "since: 1",
    "since: 1\n        retired: 2",
    "E1026 line 16 column 16",
    "state"
)]
#[case::retired_state_without_version(
    "state: active",
    "state: retired",
    "E1026 line 16 column 16",
    "state"
)]
fn parse_upstream(
    #[case] from: &str,
    #[case] to: &str,
    #[case] position: &str,
    #[case] field: &str,
) {
    check(&edit(ACCOUNT, from, to), &[&format!("{position} {UPSTREAM}.{field}: ")]);
}

#[rstest]
#[case::empty("", &["E1006 line 1 column 1: "])]
#[case::list("[]", &["E1006 line 1 column 1: "])]
#[case::all_missing("{}", &[
    "E1005 line 1 column 1 account: ",
    "E1005 line 1 column 1 version: ",
    "E1005 line 1 column 1 services: ",
])]
#[case::not_yaml("\u{0}", &["E1001 line 1 column 1"])]
fn parse_whole(#[case] yaml: &str, #[case] expected: &[&str]) {
    check(yaml, expected);
}

#[rstest]
#[case::other_account("account: cascadia", "account: bajio", "E1020 line 1 column 10 account: ")]
#[case::version_zero("version: 7", "version: 0", "E1008 line 2 column 10 version: ")]
#[case::version_text("version: 7", "version: v7", "E1006 line 2 column 10 version: ")]
#[case::foreign(
    "203.0.113.1:",
    "203.0.113.17:",
    "E1022 line 5 column 17 services[0].addresses[0]: "
)]
#[case::unowned(
    "203.0.113.1:",
    "198.51.100.1:",
    "E1022 line 5 column 17 services[0].addresses[0]: "
)]
#[case::quarantined(
    "203.0.113.1:",
    "203.0.113.65:",
    "E1025 line 5 column 17 services[0].addresses[0]: "
)]
#[case::mapped(
    "203.0.113.1:",
    "[::ffff:203.0.113.1]:",
    "E1022 line 5 column 17 services[0].addresses[0]: "
)]
#[case::same_endpoint(
    "[2001:db8:1::1]:8443/udp",
    "203.0.113.1:8443/tcp",
    "E1023 line 5 column 41 services[0].addresses[1]: "
)]
#[case::protocol("8443/tcp", "8443/sctp", "E1013 line 5 column 17 services[0].addresses[0]: ")]
#[case::no_protocol("8443/tcp", "8443", "E1013 line 5 column 17 services[0].addresses[0]: ")]
#[case::port_zero("8443/tcp", "0/tcp", "E1008 line 5 column 17 services[0].addresses[0]: ")]
#[case::in_doubt("refuse", "maybe", "E1009 line 6 column 20 services[0].when_in_doubt: ")]
#[case::spill_unit(
    "zone_spill_percent",
    "zone_spill_ratio",
    "E1007 line 7 column 5 services[0].zone_spill_ratio: "
)]
#[case::same_name("shelf-2", "shelf-1", "E1016 line 18 column 15 services[0].upstreams[1].name: ")]
#[case::same_process_address(
    "127.20.1.2:6080",
    "127.20.1.1:6080",
    "E1016 line 22 column 24 services[0].upstreams[1].agent_address: "
)]
#[case::retired_before_since(
    "retired: 7",
    "retired: 2",
    "E1027 line 27 column 18 services[0].upstreams[1].retired: "
)]
#[case::retired_future(
    "retired: 7",
    "retired: 8",
    "E1027 line 27 column 18 services[0].upstreams[1].retired: "
)]
fn parse_document(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let mut expected = vec![expected];
    // A field with the wrong unit also counts as missing under its right name.
    if to == "zone_spill_ratio" {
        expected.push("E1005 line 4 column 5 services[0].zone_spill_percent: ");
    }
    check(&edit(ACCOUNT, from, to), &expected);
}

#[test]
fn parse_several_faults() {
    let yaml = edit(ACCOUNT, "weight: 100", "weight: 0");
    let yaml = edit(&yaml, "zone: pnw-b", "zone: [pnw-b]");
    let upstream = "services[0].upstreams";
    let expected = [
        format!("E1008 line 11 column 17 {upstream}[0].weight: "),
        format!("E1006 line 19 column 15 {upstream}[1].zone: "),
    ];
    check(&yaml, &[&expected[0], &expected[1]]);
}

#[rstest]
#[case::no_addresses(&["\"203.0.113.1:8443/tcp\", ", "\"[2001:db8:1::1]:8443/udp\""], "E1010 line 5 column 16 services[0].addresses: ")]
fn parse_empty_list(#[case] removed: &[&str], #[case] expected: &str) {
    let yaml = removed.iter().fold(ACCOUNT.to_owned(), |yaml, from| edit(&yaml, from, ""));
    check(&yaml, &[expected]);
}

#[test]
fn parse_empty_upstreams() {
    let end = ACCOUNT.find("    upstreams:").unwrap();
    let yaml = format!("{}    upstreams: []\n", &ACCOUNT[..end]);
    check(&yaml, &["E1010 line 8 column 16 services[0].upstreams: "]);
}

#[rstest]
#[case::addresses(65, "E1011 line 1 column ")]
#[case::services(257, "E1011 line 1 column ")]
fn parse_too_many(#[case] count: usize, #[case] expected: &str) {
    let services = vec!["{}"; count].join(",");
    let addresses = vec!["a"; count].join(",");
    let upstreams = vec!["1"; count].join(",");
    let head = "account: cascadia, version: 7";
    let yaml = if count == 257 {
        format!("{{{head}, services: [{services}]}}")
    } else {
        let rest = "name: a, when_in_doubt: admit, zone_spill_percent: 1";
        format!(
            "{{{head}, services: [{{{rest}, addresses: [{addresses}], upstreams: [{upstreams}]}}]}}"
        )
    };
    let faults = account::parse(&yaml, &common::root(), "cascadia").unwrap_err();
    check_faults(&faults[..1], &[expected]);
}

#[test]
fn parse_too_large() {
    let yaml = format!("{ACCOUNT}# {}\n", "x".repeat(settings::MAX_SUBTREE_BYTES));
    check(&yaml, &["E1002 line 1 column 1: "]);
}

/// A subtree close to the platform's size limit is accepted: no limit of the parser may be stricter
/// than the documented size.
#[test]
fn parse_largest() {
    let mut yaml = String::from("account: cascadia\nversion: 1\nservices:\n");
    for service in 0..21 {
        yaml += &format!(
            "  - {{name: s{service}, addresses: [\"203.0.113.1:{}/tcp\"], when_in_doubt: admit, \
             zone_spill_percent: 0, upstreams: [\n",
            service + 1
        );
        for upstream in 0..256 {
            let port = 1000 + 3 * upstream;
            let (a, b, c) = (port, port + 1, port + 2);
            yaml += &format!(
                "      {{name: u{upstream}, zone: pnw-a, weight: 1, max_flows: 1, agent_address: \
                 \"127.0.{service}.1:{a}\", control_address: \"127.0.{service}.1:{b}\", address: \
                 \"127.0.{service}.1:{c}\", state: active, since: 1}},\n"
            );
        }
        yaml += "    ]}\n";
    }
    assert!((900_000..settings::MAX_SUBTREE_BYTES).contains(&yaml.len()), "{}", yaml.len());
    check(&yaml, &[]);
}
