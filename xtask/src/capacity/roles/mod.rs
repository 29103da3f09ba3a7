//! Resource usage of each role at the target size, term by term.

mod agent;
mod balancer;
mod direct;
mod others;

use super::budget::Quantity;
use super::figure::{Lookup, Term};

/// Settings changes per second: 3,800 a day.
const CHANGES_PER_S: f64 = 3_800.0 / 86_400.0;
/// Services at the target size; the series of the settings tree are fitted over their number.
const SERVICES: f64 = 1_900.0;
/// Balancers at the target size.
const BALANCERS: f64 = 1_600.0;
/// Open flows of the mean agent: 37 million flows on 10,000 agents.
const MEAN_FLOWS: f64 = 3_700.0;
/// New flows per second of the mean agent: 120,000 on 10,000 agents.
const MEAN_OPENINGS_PER_S: f64 = 12.0;
/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;
/// Lookup in a series that has a single point.
const SINGLE_POINT: Lookup = Lookup::Point(1.0);

/// One line of a role's table.
#[derive(Clone, Debug)]
pub(super) struct Row {
    /// Limited quantity.
    pub(super) quantity: Quantity,
    /// Activity that uses the quantity, with its mechanism.
    pub(super) mechanism: &'static str,
    /// Terms whose sum is the value.
    pub(super) terms: Vec<Term>,
}

/// A role, with its state and the rows of its table.
#[derive(Clone, Debug)]
pub(super) struct Role {
    /// Name.
    pub(super) name: &'static str,
    /// State that the role keeps.
    pub(super) state: &'static str,
    /// Rows of its table.
    pub(super) rows: Vec<Row>,
    /// Proposal for the rows that exceed the budget.
    pub(super) proposal: &'static str,
}

/// All roles.
pub(super) fn all() -> Vec<Role> {
    let first = [balancer::role(), agent::role()];
    direct::roles().into_iter().chain(first).chain(others::roles()).collect()
}

fn row(quantity: Quantity, mechanism: &'static str, terms: &[Term]) -> Row {
    Row { quantity, mechanism, terms: terms.to_vec() }
}
