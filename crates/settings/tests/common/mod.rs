//! Valid documents, from which the test cases are made by replacing text.
#![allow(dead_code, reason = "each test file uses its part")]

use settings::{Fault, Root, root};

pub(crate) const ROOT: &str = r#"version: 3
accounts:
  - name: cascadia
    prefixes: ["203.0.113.0/28", "2001:db8:1::/48"]
    quarantine: ["203.0.113.64/28"]
  - name: bajio
    prefixes: ["203.0.113.16/28"]
"#;

pub(crate) const ACCOUNT: &str = r#"account: cascadia
version: 7
services:
  - name: shelf
    addresses: ["203.0.113.1:8443/tcp", "[2001:db8:1::1]:8443/udp"]
    when_in_doubt: refuse
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

pub(crate) const BALANCER: &str = r#"instance: bal-c1
zone: pnw-a
region: pnw
data_address: 127.10.1.1:6080
control_address: "[::1]:9080"
platform_address: 127.1.0.1:8000
peers: ["127.10.1.2:9080"]
keys:
  - {id: 2, secret_hex: "00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF"}
  - {id: 1, secret_hex: "ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"}
flow_key_hex: "000102030405060708090a0b0c0d0e0f"
receive_threads: 2
shutdown_grace_ms: 3000
"#;

pub(crate) const AGENT: &str = r#"instance: agent-s1
account: cascadia
service: shelf
upstream: shelf-1
upstream_address: 127.30.1.1:6080
upstream_status_address: 127.30.1.1:9000
gateway_address: 127.2.0.1:6081
zone: pnw-a
region: pnw
data_address: 127.20.1.1:6080
control_address: 127.20.1.1:9080
platform_address: 127.1.0.1:8000
peers: []
keys: [{id: 1, secret_hex: "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"}]
flow_key_hex: "000102030405060708090a0b0c0d0e0f"
receive_threads: 1
shutdown_grace_ms: 0
"#;

/// The parsed root document.
pub(crate) fn root() -> Root {
    root::parse(ROOT).expect("the root of the tests has no fault")
}

/// Returns `document` with the first `from` replaced by `to`. Panics if there is none, so that no
/// case tests an unchanged document by mistake.
pub(crate) fn edit(document: &str, from: &str, to: &str) -> String {
    assert!(document.contains(from), "the case replaces nothing: {from}");
    document.replacen(from, to, 1)
}

/// Panics unless there are as many faults as expected texts and each begins with its text.
pub(crate) fn check_faults(found: &[Fault], expected: &[&str]) {
    let found: Vec<String> = found.iter().map(ToString::to_string).collect();
    let is_match = found.len() == expected.len()
        && found.iter().zip(expected).all(|(found, expected)| found.starts_with(expected));
    assert!(is_match, "expected {expected:#?}, found {found:#?}");
}
