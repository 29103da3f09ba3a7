//! Growing pauses between retries.

use std::time::Duration;

/// First pause.
const FIRST: Duration = Duration::from_millis(100);
/// Longest pause; bounds how late a reader notices that the platform is back.
const LONGEST: Duration = Duration::from_millis(5_000);

/// Exponential backoff with jitter: after an outage the readers would otherwise all come back in
/// the same moment and be over budget together, again and again.
#[derive(Debug)]
pub struct Backoff {
    failures: u32,
    longest: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::up_to(LONGEST)
    }
}

impl Backoff {
    /// Pauses that grow up to `longest`.
    pub fn up_to(longest: Duration) -> Self {
        Self { failures: 0, longest }
    }

    /// Forgets the failures.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The pause after one more failure, at least `floor` if the server named one.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut backoff = shell::backoff::Backoff::default();
    /// let floor = Duration::from_secs(1);
    /// assert!(backoff.next(floor) >= floor);
    /// ```
    pub fn next(&mut self, floor: Duration) -> Duration {
        let full = FIRST.saturating_mul(1 << self.failures.min(8)).min(self.longest);
        self.failures += 1;
        floor + full.mul_f64(rand::random_range(0.5..1.0))
    }
}
