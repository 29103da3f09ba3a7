//! Time as a number that the caller passes in.

/// Milliseconds of a monotonic clock that also counts suspended time (`CLOCK_BOOTTIME`).
///
/// ```
/// use decision::time::Millis;
/// assert_eq!(Millis(1_500).since(Millis(500)), 1_000);
/// assert_eq!(Millis(500).since(Millis(1_500)), 0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millis(pub u64);

impl Millis {
    /// Milliseconds from `earlier` to `self`, zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// The time `delay_ms` after `self`, saturating.
    pub fn after(self, delay_ms: u64) -> Millis {
        Millis(self.0.saturating_add(delay_ms))
    }
}
