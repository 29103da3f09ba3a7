//! Tests of times and tables as text.

use rstest::rstest;

use super::{Table, date_time};

#[rstest]
#[case::epoch(0, "1970-01-01T00:00:00.000Z")]
#[case::leap_day(1_709_164_800_000, "2024-02-29T00:00:00.000Z")]
#[case::day_after_leap_day(1_709_251_200_000, "2024-03-01T00:00:00.000Z")]
#[case::no_leap_century(4_107_542_400_000, "2100-03-01T00:00:00.000Z")]
#[case::last_of_year(1_735_689_599_999, "2024-12-31T23:59:59.999Z")]
fn date_time_of(#[case] wall_ms: u64, #[case] expected: &str) {
    assert_eq!(date_time(wall_ms), expected);
}

#[test]
fn table_columns() {
    let mut table = Table::new(["A", "LONG", "C"]);
    table.push_row(["wide", "é", ""].map(str::to_owned));
    table.push_row(["short row".to_owned()]);
    assert_eq!(table.to_string(), "A          LONG  C\nwide       é\nshort row\n");
}
