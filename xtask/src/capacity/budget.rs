//! What a node may spend on control, in the users' numbers.

/// A limited quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Quantity {
    /// Bytes a second, sent and received together.
    Bytes,
    /// Microseconds of processor time a second.
    CpuTime,
    /// Bytes of memory.
    Memory,
    /// Messages a second, sent and received together; not limited.
    Messages,
    /// Reads of the platform a second, by the whole fleet.
    Reads,
    /// Milliseconds until a change is in force everywhere.
    Propagation,
    /// Milliseconds of something that is not limited.
    Elapsed,
}

impl Quantity {
    /// The most that may be spent.
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

    /// A value with its unit.
    pub(super) fn show(self, value: f64) -> String {
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

    /// How many times the value fits into the budget, or that it does not.
    pub(super) fn headroom(self, value: f64) -> String {
        match self.budget() {
            None => "no limit set".into(),
            Some(budget) if value > budget => format!("**MISSES** ({:.2}x)", value / budget),
            Some(budget) => format!("{:.1}x", budget / value),
        }
    }
}
