//! Tests of the figures behind the page.

use loadgen::results::{Results, Series};

use super::budget::Quantity;
use super::figure::Take::{Line, Point, Slope};
use super::figure::{Files, Term, counted, measured, rated};

fn files() -> Files {
    let series = vec![
        Series::new("bytes", "nodes", "B/s", &[(1.0, 12.0), (2.0, 14.0), (4.0, 18.0)]),
        Series::new("memory", "flows", "B", &[(50.0, 7.0)]),
    ];
    Files::of(vec![("agent", Results { command: "measure".into(), series })])
}

fn check(terms: &[Term], expected: Option<f64>) {
    let figure = files().figure(terms).ok();
    let value = figure.map(|figure| (figure.value * 1e6).round() / 1e6);
    assert_eq!(value, expected);
}

#[test]
fn figure_line_between_points() {
    check(&[measured("agent", "bytes", Line(3.0))], Some(16.0));
}

#[test]
fn figure_slope_without_intercept() {
    check(&[measured("agent", "bytes", Slope(100.0))], Some(200.0));
}

#[test]
fn figure_point_must_be_measured() {
    check(&[measured("agent", "bytes", Point(4.0))], Some(18.0));
    check(&[measured("agent", "bytes", Point(3.0))], None);
}

#[test]
fn figure_single_point_has_no_line() {
    check(&[measured("agent", "memory", Point(50.0))], Some(7.0));
    check(&[measured("agent", "memory", Line(50.0))], None);
}

#[test]
fn figure_unknown_series() {
    check(&[measured("agent", "nothing", Line(1.0))], None);
}

#[test]
fn figure_sum_of_terms() {
    let terms = [rated("agent", "bytes", Line(3.0), 0.5), counted(2.0, "counted")];
    check(&terms, Some(10.0));
}

#[test]
fn headroom_on_both_sides_of_the_budget() {
    assert_eq!(Quantity::Bytes.headroom(5_000.0), "2.0x");
    assert_eq!(Quantity::Bytes.headroom(10_001.0), "**MISSES** (1.00x)");
    assert_eq!(Quantity::Messages.headroom(1e9), "no limit set");
}
