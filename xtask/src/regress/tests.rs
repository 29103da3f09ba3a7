//! Tests of what counts as a regression.

use rstest::rstest;

use super::{Baseline, compare};
use crate::days::Day;

fn day(name: &str, worth: f64, broken: bool) -> Day {
    Day { name: name.into(), worth, broken }
}

#[rstest]
#[case::unchanged(0.9, false, 0)]
#[case::within_noise(0.875, false, 0)]
#[case::dropped(0.865, false, 1)]
#[case::higher_with_rule_violation(0.95, true, 1)]
fn compare_days(#[case] worth: f64, #[case] broken: bool, #[case] regressions: usize) {
    let baseline = Baseline { site: "a.toml".into(), mean: 0.9 };
    let days = [day("quiet-1", 0.2, false), day("trouble-1", worth, broken)];
    assert_eq!(compare(&baseline, &days).len(), regressions);
}
