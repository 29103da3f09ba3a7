//! What each role spends at the target size, term by term.

mod agent;
mod balancer;
mod direct;
mod others;

use super::budget::Quantity;
use super::figure::{Lookup, Term};

/// Changes of settings a second: 3,800 a day.
const CHANGES_PER_S: f64 = 3_800.0 / 86_400.0;
/// Services, over which the tree's slopes are taken.
const SERVICES: f64 = 1_900.0;
/// Balancers.
const BALANCERS: f64 = 1_600.0;
/// Open flows of the mean agent: 37 million on 10,000.
const MEAN_FLOWS: f64 = 3_700.0;
/// New flows a second of the mean agent: 120,000 on 10,000.
const MEAN_OPENINGS_PER_S: f64 = 12.0;
/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;
/// The only point of a series that has one.
const SINGLE_POINT: Lookup = Lookup::Point(1.0);

/// One line of a role's table.
#[derive(Clone, Debug)]
pub(super) struct Row {
    /// Limited quantity.
    pub(super) quantity: Quantity,
    /// What is spent on what, with the mechanism that carries it.
    pub(super) mechanism: &'static str,
    /// Sum that gives the value.
    pub(super) terms: Vec<Term>,
}

/// A role with its state and its lines.
#[derive(Clone, Debug)]
pub(super) struct Role {
    /// Name.
    pub(super) name: &'static str,
    /// State that it keeps, and what carries it.
    pub(super) state: &'static str,
    /// Lines of its table.
    pub(super) rows: Vec<Row>,
    /// What is to be done about the lines that miss the budget.
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
