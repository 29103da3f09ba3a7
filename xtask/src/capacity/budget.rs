//! Quantities of the capacity page, and the users' limits on what a node may spend on its control
//! plane.

/// A quantity of the capacity page, most of them limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Quantity {
    /// Bytes per second, sent and received together.
    Bytes,
    /// Microseconds of CPU time per second.
    CpuTime,
    /// Bytes of memory.
    Memory,
    /// Messages per second, sent and received together. Not limited.
    Messages,
    /// Reads of the platform per second by the whole fleet.
    Reads,
    /// Milliseconds until a settings change is in force everywhere.
    Propagation,
    /// Milliseconds of an operation whose duration is not limited.
    Elapsed,
}

impl Quantity {
    /// The limit, or none if the quantity is not limited.
    pub(super) fn budget(self) -> Option<f64> {
        match self {
            Self::Bytes => Some(10_000.0),
            Self::CpuTime => Some(16_000.0),
            Self::Memory => Some(64.0 * 1_024.0 * 1_024.0),
            Self::Messages | Self::Elapsed => None,
            Self::Reads => Some(2_000.0),
            Self::Propagation => Some(7_000.0),
        }
    }

    /// Formats a value with its unit.
    pub(super) fn format_value(self, value: f64) -> String {
        match self {
            Self::Bytes => format!("{:.2} KB/s", value / 1e3),
            Self::CpuTime => format!("{:.3} % of a core", value / 1e4),
            Self::Memory => format!("{:.1} MB", value / 1_024.0 / 1_024.0),
            Self::Messages => format!("{value:.1} messages/s"),
            Self::Reads => format!("{value:.1} reads/s"),
            Self::Elapsed => format!("{value:.0} ms"),
            Self::Propagation => format!("{:.1} s", value / 1e3),
        }
    }

    /// Formats how many times the value fits into the budget, or by how much it exceeds it.
    pub(super) fn headroom(self, value: f64) -> String {
        match self.budget() {
            None => "no limit set".into(),
            Some(budget) if value > budget => format!("**MISSES** ({:.2}x)", value / budget),
            Some(budget) => format!("{:.1}x", budget / value),
        }
    }
}
