//! Parsing of the settings files of processes.

mod common;

use common::{AGENT, BALANCER, check_faults, edit};
use rstest::rstest;
use settings::process::{agent, balancer};

#[test]
fn parse_valid_balancer() {
    let settings = balancer::parse(BALANCER).unwrap();
    assert_eq!(
        (&*settings.instance, &*settings.zone, &*settings.region),
        ("bal-c1", "pnw-a", "pnw")
    );
    assert_eq!(settings.control_address.to_string(), "[::1]:9080");
    assert_eq!(settings.peers, ["127.10.1.2:9080".parse().unwrap()]);
    assert_eq!(settings.keys.iter().map(|key| key.id).collect::<Vec<_>>(), [2, 1]);
    assert_eq!(settings.keys[0].secret[..3], [0x00, 0x11, 0x22]);
    assert_eq!(settings.keys[0].secret[31], 0xff);
    assert_eq!(settings.flow_key, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15]);
    assert_eq!((settings.receive_threads, settings.shutdown_grace_ms), (2, 3000));
}

#[test]
fn parse_valid_agent() {
    let settings = agent::parse(AGENT).unwrap();
    let names = (&*settings.account, &*settings.service, &*settings.upstream);
    assert_eq!(names, ("cascadia", "shelf", "shelf-1"));
    assert_eq!(settings.upstream_address.to_string(), "127.30.1.1:6080");
    assert_eq!(settings.upstream_status_address.to_string(), "127.30.1.1:9000");
    assert_eq!(settings.gateway_address.to_string(), "127.2.0.1:6081");
}

#[rstest]
#[case::unit(
    "shutdown_grace_ms: 3000",
    "shutdown_grace_s: 3",
    "E1005 line 1 column 1 shutdown_grace_ms: "
)]
#[case::unit_in_value("3000", "3s", "E1007 line 13 column 20 shutdown_grace_ms: ")]
#[case::threads(
    "receive_threads: 2",
    "receive_threads: 0",
    "E1008 line 12 column 18 receive_threads: "
)]
#[case::port("127.10.1.1:6080", "127.10.1.1:0", "E1008 line 4 column 15 data_address: ")]
#[case::peer("127.10.1.2:9080", "127.10.1.2", "E1013 line 7 column 9 peers[0]: ")]
#[case::same_key("id: 1", "id: 2", "E1016 line 10 column 10 keys[1].id: ")]
#[case::key_number("id: 1", "id: 256", "E1008 line 10 column 10 keys[1].id: ")]
#[case::short_key("ff112233", "ff1122", "E1015 line 10 column 25 keys[1].secret_hex: ")]
#[case::no_hex("ff112233", "fg112233", "E1015 line 10 column 25 keys[1].secret_hex: ")]
#[case::wide_hex("ff112233", "éé112233", "E1015 line 10 column 25 keys[1].secret_hex: ")]
#[case::flow_key("0e0f", "0e", "E1015 line 11 column 15 flow_key_hex: ")]
#[case::unquoted_key(
    "\"000102030405060708090a0b0c0d0e0f\"",
    "12345678",
    "E1006 line 11 column 15 flow_key_hex: "
)]
#[case::unknown("receive_threads", "threads", "E1005 line 1 column 1 receive_threads: ")]
fn parse_faulty_balancer(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let fault = balancer::parse(&edit(BALANCER, from, to)).unwrap_err();
    check_faults(&[fault], &[expected]);
}

/// A secret must not reach a log, neither through a fault nor through debug output.
#[test]
fn secrets_are_not_printed() {
    let secret = "ff112233445566778899aabbccddeeff";
    let fault = balancer::parse(&edit(BALANCER, secret, &secret[1..])).unwrap_err();
    assert!(!fault.to_string().contains("112233"), "{fault}");
    let settings = balancer::parse(BALANCER).unwrap();
    let shown = format!("{:?}", settings.keys);
    assert_eq!(shown, "[Key { id: 2, .. }, Key { id: 1, .. }]");
}
