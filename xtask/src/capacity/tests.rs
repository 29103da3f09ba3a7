//! Tests of the figures, the budgets and the import of the sweep.

use loadgen::results::{Results, Series};

use super::budget::Quantity;
use super::figure::Lookup::{Line, Point, Slope};
use super::figure::{ResultFiles, Term, computed, measured, scaled};

fn files() -> ResultFiles {
    let series = vec![
        Series::new("bytes", "nodes", "B/s", &[(1.0, 12.0), (2.0, 14.0), (4.0, 18.0)]),
        Series::new("memory", "flows", "B", &[(50.0, 7.0)]),
    ];
    ResultFiles::from_results(vec![("agent", Results { command: "measure".into(), series })])
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
    let terms = [scaled("agent", "bytes", Line(3.0), 0.5), computed(2.0, "counted")];
    check(&terms, Some(10.0));
}

#[test]
fn headroom_on_both_sides_of_the_budget() {
    assert_eq!(Quantity::Bytes.headroom(5_000.0), "2.0x");
    assert_eq!(Quantity::Bytes.headroom(10_001.0), "**MISSES** (1.00x)");
    assert_eq!(Quantity::Messages.headroom(1e9), "no limit set");
}

const SWEEP: &str = "\
middle / busiest or longest, by own machines
                                                          30             100  power  at 1644
agent: processor %                                0.86 / 1.0     0.42 / 0.56  -0.43  0.38
agent: memory MB                                 0.82 / 0.82     0.79 / 0.81  -0.01  0.81
agent: kB a second                               26.8 / 84.6     10.0 / 23.0  -0.74  15.8
balancer: processor %                              1.1 / 1.5      0.84 / 1.6   0.29  4.9
balancer: memory MB                                1.8 / 2.0       2.0 / 2.5   0.38  8.9
balancer: kB a second                            18.9 / 31.1      9.8 / 33.0   0.71  543
config acked, ms                                 83.0 / 83.0     83.0 / 84.0   0.11  129
";

#[test]
fn sweep_values_use_the_units_of_the_budgets() {
    let results = super::sweep::results(SWEEP).unwrap();
    let point = |name: &str| {
        let series = results.series(name).unwrap();
        series.points.iter().map(|point| (point.x, point.y)).collect::<Vec<_>>()
    };
    assert_eq!(point("balancer_bytes_busiest"), [(30.0, 31_100.0), (100.0, 33_000.0)]);
    assert_eq!(point("agent_processor_middle"), [(30.0, 8_600.0), (100.0, 4_200.0)]);
}

#[test]
fn sweep_without_a_quantity_is_rejected() {
    let cut = SWEEP.replace("balancer: memory MB", "balancer: memory");
    assert!(super::sweep::results(&cut).is_err());
    assert!(super::sweep::results("3 days, 1 at a time").is_err());
}
