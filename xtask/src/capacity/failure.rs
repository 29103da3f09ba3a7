//! Orders the lines of all roles by their headroom, to find the limit that is reached first.

use super::budget::Quantity;

/// A line of the page with its computed value.
#[derive(Clone, Debug)]
pub(super) struct CapacityLine {
    /// Role.
    pub(super) role: &'static str,
    /// Mechanism.
    pub(super) mechanism: &'static str,
    /// Limited quantity.
    pub(super) quantity: Quantity,
    /// Value at the target.
    pub(super) value: f64,
}

impl CapacityLine {
    /// Budget divided by value. Below one, the target exceeds the budget.
    pub(super) fn headroom(&self) -> Option<f64> {
        self.quantity.budget().map(|budget| budget / self.value)
    }
}

/// Lines with a limit, those with the least headroom first.
pub(super) fn by_headroom(mut lines: Vec<CapacityLine>) -> Vec<CapacityLine> {
    lines.retain(|line| line.headroom().is_some());
    lines.sort_by(|a, b| {
        a.headroom().partial_cmp(&b.headroom()).unwrap_or(std::cmp::Ordering::Equal)
    });
    lines
}
