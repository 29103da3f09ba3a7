//! What breaks first, worked out from the lines of the roles.

use super::budget::Quantity;

/// A line as it came out.
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
    /// Budget over value; below one it does not fit today's target.
    pub(super) fn headroom(&self) -> Option<f64> {
        self.quantity.budget().map(|budget| budget / self.value)
    }
}

/// Limited lines, the tightest first.
pub(super) fn by_headroom(mut lines: Vec<CapacityLine>) -> Vec<CapacityLine> {
    lines.retain(|line| line.headroom().is_some());
    lines.sort_by(|a, b| {
        a.headroom().partial_cmp(&b.headroom()).unwrap_or(std::cmp::Ordering::Equal)
    });
    lines
}
