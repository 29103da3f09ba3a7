//! Subtrees of accounts: literal YAML in, expected faults out.

use rstest::rstest;
use settings::{account, root};

const ROOT: &str = r#"
version: 3
accounts:
  - name: cascadia
    prefixes: ["203.0.113.0/28", "2001:db8:1::/48"]
    quarantine: ["203.0.113.64/28"]
  - name: bajio
    prefixes: ["203.0.113.16/28"]
"#;

const GOOD: &str = r#"account: cascadia
version: 7
services:
  - name: shelf
    addresses: ["203.0.113.1:8443/tcp", "[2001:db8:1::1]:8443/udp"]
    when_in_doubt: admit
    zone_spill_percent: 25
    upstreams:
      - name: shelf-1
        zone: pnw-a
        weight: 100
        max_flows: 2000
        agent_address: "127.20.1.1:6080"
        control_address: "127.20.1.1:9080"
        address: "127.30.1.1:6080"
        state: active
        since: 1
      - name: shelf-2
        zone: pnw-b
        weight: 1000
        max_flows: 2000
        agent_address: "127.20.1.2:6080"
        control_address: "127.20.1.2:9080"
        address: "127.30.1.2:6080"
        state: retired
        since: 2
        retired: 7
"#;

fn faults(yaml: &str) -> Vec<String> {
    let root = root::parse(ROOT).expect("the root of the tests is good");
    let faults = account::parse(yaml, &root, "cascadia").err().unwrap_or_default();
    faults.iter().map(|fault| fault.to_string()).collect()
}

/// Replaces `from` in the good document and expects one fault that begins with `expected`.
fn check(from: &str, to: &str, expected: &str) {
    assert!(GOOD.contains(from), "the case replaces nothing: {from}");
    let found = faults(&GOOD.replacen(from, to, 1));
    let is_expected = found.len() == 1 && found[0].starts_with(expected);
    assert!(is_expected, "expected {expected}, found {found:#?}");
}

#[test]
fn parse_good() {
    assert_eq!(faults(GOOD), Vec::<String>::new());
}

#[rstest]
#[case::syntax("services:", "services: [", "E1001 line 4")]
#[case::unknown_field(
    "weight: 100\n",
    "colour: red\n        weight: 100\n",
    "E1003 line 11 column 9 services[0].upstreams[0].colour: "
)]
#[case::duplicate_key(
    "weight: 100\n",
    "weight: 100\n        weight: 1\n",
    "E1004 line 12 column 9 services[0].upstreams[0].weight: "
)]
#[case::missing_field(
    "        weight: 100\n",
    "",
    "E1005 line 9 column 9 services[0].upstreams[0].weight: "
)]
#[case::wrong_type(
    "weight: 100",
    "weight: heavy",
    "E1006 line 11 column 17 services[0].upstreams[0].weight: "
)]
fn parse_fault(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    check(from, to, expected);
}
