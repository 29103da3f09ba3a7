//! Bounds of experiment files: a load must stay on loopback and end.

use loadgen::flows::Experiment;
use rstest::rstest;

const YAML: &str = "\
name: balancer
to: 127.90.0.3:6080
receivers: ['127.64.0.0:6080']
source: {fabric: {services: ['10.0.0.1:443']}}
flows: 100
rates: [1000, 2000]
runs: 3
warm_up_ms: 100
duration_ms: 900
";

/// Replaces `from` in a file without faults and compares the fault.
fn check(from: &str, to: &str, expected: Option<&str>) {
    assert!(YAML.contains(from), "the case replaces nothing: {from}");
    let error = Experiment::parse(&YAML.replacen(from, to, 1)).err();
    let found = error.map(|error| error.to_string());
    match expected {
        None => assert_eq!(found, None),
        Some(expected) => {
            let found = found.unwrap_or_default();
            assert!(found.contains(expected), "expected {expected}, found {found}");
        }
    }
}

#[rstest]
#[case::unchanged("runs: 3", "runs: 3", None)]
#[case::target_elsewhere("127.90.0.3", "192.0.2.3", Some("not on loopback"))]
#[case::receiver_elsewhere("127.64.0.0", "0.0.0.0", Some("not on loopback"))]
#[case::no_flow("flows: 100", "flows: 0", Some("flows: 1 to"))]
#[case::too_many_flows("flows: 100", "flows: 200001", Some("flows: 1 to"))]
#[case::no_rate("[1000, 2000]", "[]", Some("rates: 1 to"))]
#[case::rate_zero("[1000, 2000]", "[0]", Some("rates: 1 to"))]
#[case::rate_too_high("[1000, 2000]", "[1000001]", Some("rates: 1 to"))]
#[case::run_too_long("duration_ms: 900", "duration_ms: 9901", Some("at most 10000 ms"))]
#[case::no_duration("duration_ms: 900", "duration_ms: 0", Some("at most 10000 ms"))]
#[case::all_too_long("runs: 3", "runs: 61", Some("at most 120000 ms"))]
#[case::no_run("runs: 3", "runs: 0", Some("at most 120000 ms"))]
#[case::sum_overflows("runs: 3", "runs: 18446744073709551615", Some("at most 120000 ms"))]
#[case::unknown_field("runs: 3", "runs: 3\nspeed: 1", Some("unknown field"))]
fn experiment_bounds(#[case] from: &str, #[case] to: &str, #[case] expected: Option<&str>) {
    check(from, to, expected);
}
