//! Parsing of root documents, and checks of the change from one to the next.

mod common;

use common::{ROOT, check_faults, edit};
use rstest::rstest;
use settings::root;

#[rstest]
#[case::name("bajio", "Bajío", "E1012 line 6 column 11 accounts[1].name: ")]
#[case::same_name("bajio", "cascadia", "E1016 line 6 column 11 accounts[1].name: ")]
#[case::form("203.0.113.16/28", "203.0.113.16", "E1014 line 7 column 16 accounts[1].prefixes[0]: ")]
#[case::length(
    "203.0.113.16/28",
    "203.0.113.16/33",
    "E1014 line 7 column 16 accounts[1].prefixes[0]: "
)]
#[case::sign(
    "203.0.113.16/28",
    "203.0.113.16/+28",
    "E1014 line 7 column 16 accounts[1].prefixes[0]: "
)]
#[case::host_bits(
    "203.0.113.16/28",
    "203.0.113.17/28",
    "E1014 line 7 column 16 accounts[1].prefixes[0]: "
)]
#[case::overlap(
    "203.0.113.16/28",
    "203.0.113.0/30",
    "E1024 line 7 column 16 accounts[1].prefixes[0]: "
)]
#[case::overlap_wider(
    "203.0.113.16/28",
    "2001:db8::/32",
    "E1024 line 7 column 16 accounts[1].prefixes[0]: "
)]
#[case::overlap_quarantine(
    "203.0.113.16/28",
    "203.0.113.64/32",
    "E1024 line 7 column 16 accounts[1].prefixes[0]: "
)]
#[case::overlap_own(
    "203.0.113.64/28",
    "203.0.113.8/29",
    "E1024 line 5 column 18 accounts[0].quarantine[0]: "
)]
#[case::version("version: 3", "version: 0", "E1008 line 1 column 10 version: ")]
#[case::unknown("quarantine:", "quarantined:", "E1003 line 5 column 5 accounts[0].quarantined: ")]
fn parse_fault(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    check_faults(&root::parse(&edit(ROOT, from, to)).unwrap_err(), &[expected]);
}

#[rstest]
#[case::all_ipv4("0.0.0.0/0")]
#[case::all_ipv6("::/0")]
#[case::one_address("198.51.100.7/32")]
fn parse_extreme_prefix(#[case] prefix: &str) {
    let yaml = format!("version: 1\naccounts: [{{name: a, prefixes: [\"{prefix}\"]}}]\n");
    assert_eq!(root::parse(&yaml).unwrap().accounts[0].prefixes[0].to_string(), prefix);
}

const QUARANTINED: &str = "prefixes: []\n    quarantine: [\"203.0.113.0/28\"]";

#[rstest]
#[case::unchanged(4, &[], &[])]
#[case::same_document(3, &[], &[])]
#[case::older(2, &[], &["E1030 line 1 column 10 version: "])]
#[case::split(3, &[("/48", "/49")], &["E1031 line 1 column 10 version: "])]
#[case::given_up(4, &[("\"203.0.113.0/28\", ", "")], &[])]
#[case::into_quarantine(4, &[("\"203.0.113.0/28\", ", ""), ("prefixes: [\"203.0.113.16/28\"]", QUARANTINED)], &[])]
#[case::out_of_quarantine(4, &[("    quarantine: [\"203.0.113.64/28\"]\n", ""), ("203.0.113.16/28", "203.0.113.64/28")], &[])]
#[case::moved(4, &[("\"203.0.113.0/28\", ", ""), ("203.0.113.16/28", "203.0.113.0/28")], &["E1036 line 7 column 16 accounts[1].prefixes[0]: "])]
#[case::part_moved(4, &[("203.0.113.0/28", "203.0.113.8/29"), ("203.0.113.16/28", "203.0.113.0/29")], &["E1036 line 7 column 16 accounts[1].prefixes[0]: "])]
#[case::renamed(4, &[("bajio", "sastreria")], &["E1036 line 7 column 16 accounts[1].prefixes[0]: "])]
#[case::moved_in_gap(5, &[("\"203.0.113.0/28\", ", ""), ("203.0.113.16/28", "203.0.113.0/28")], &[])]
fn step(#[case] version: u64, #[case] edits: &[(&str, &str)], #[case] expected: &[&str]) {
    let new = edit(ROOT, "version: 3", &format!("version: {version}"));
    let new = edits.iter().fold(new, |yaml, (from, to)| edit(&yaml, from, to));
    check_faults(&root::parse_next(&new, &common::root()).err().unwrap_or_default(), expected);
}
