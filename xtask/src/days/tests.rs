//! Tests of parsing the bench's table.

use super::{Day, parse_standard_days};

const BENCH_OUTPUT: &str = "\
7 days, 4 at a time
score on the standard days of a site (set 1394fea4): 0.637
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                 16/0   0.59  0.873  1.000   0.000  0.000  worst windows 1.00
scale-2                 59/0   0.00  0.862  0.927   0.000  0.011  worst windows 0.89  BROKEN: FLOW 56 (else 0.52)
fresh-66b0              16/0   0.76  0.773  0.962   0.000  0.024  worst windows 0.51
fresh-66b0 was drawn just now; it counts for the gate
GATE failed
";

#[test]
fn standard_days_of_a_table() {
    let day = |name: &str, worth, broken| Day { name: name.into(), worth, broken };
    let expected = [day("quiet-1", 0.873, false), day("scale-2", 0.862, true)];
    assert_eq!(parse_standard_days(BENCH_OUTPUT), expected);
}

#[test]
fn standard_days_without_a_table() {
    assert_eq!(parse_standard_days("the build has failed\n"), []);
}
