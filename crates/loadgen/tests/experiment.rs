//! Validation of experiment files: load must stay on loopback and must be limited in time.

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

/// Replaces `from` by `to` in a valid file and checks that parsing fails with `expected`, or
/// succeeds if that is `None`.
fn check_edit(from: &str, to: &str, expected: Option<&str>) {
    assert!(YAML.contains(from), "the case has no effect, the file does not contain `{from}`");
    let error = Experiment::parse(&YAML.replacen(from, to, 1)).err();
    let actual = error.map(|error| error.to_string());
    match expected {
        None => assert_eq!(actual, None),
        Some(expected) => {
            let actual = actual.unwrap_or_default();
            assert!(
                actual.contains(expected),
                "expected an error with `{expected}`, got `{actual}`"
            );
        }
    }
}

#[rstest]
#[case::unchanged("runs: 3", "runs: 3", None)]
#[case::target_not_on_loopback("127.90.0.3", "192.0.2.3", Some("not on loopback"))]
#[case::receiver_not_on_loopback("127.64.0.0", "0.0.0.0", Some("not on loopback"))]
#[case::zero_flows("flows: 100", "flows: 0", Some("flows: 1 to"))]
#[case::too_many_flows("flows: 100", "flows: 200001", Some("flows: 1 to"))]
#[case::no_rates("[1000, 2000]", "[]", Some("rates: 1 to"))]
#[case::zero_rate("[1000, 2000]", "[0]", Some("rates: 1 to"))]
#[case::rate_too_high("[1000, 2000]", "[1000001]", Some("rates: 1 to"))]
#[case::run_too_long("duration_ms: 900", "duration_ms: 9901", Some("at most 10000 ms"))]
#[case::zero_duration("duration_ms: 900", "duration_ms: 0", Some("at most 10000 ms"))]
#[case::total_too_long("runs: 3", "runs: 61", Some("at most 120000 ms"))]
#[case::zero_runs("runs: 3", "runs: 0", Some("at most 120000 ms"))]
#[case::total_overflows("runs: 3", "runs: 18446744073709551615", Some("at most 120000 ms"))]
#[case::unknown_field("runs: 3", "runs: 3\nspeed: 1", Some("unknown field"))]
fn experiment_bounds(#[case] from: &str, #[case] to: &str, #[case] expected: Option<&str>) {
    check_edit(from, to, expected);
}
