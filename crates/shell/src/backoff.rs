//! Growing pauses between retries.

use std::time::Duration;

/// First pause.
const FIRST: Duration = Duration::from_millis(100);
/// Longest pause; bounds how late a reader notices that the platform is back.
const LONGEST: Duration = Duration::from_millis(5_000);

/// Exponential backoff with jitter: after an outage the readers would otherwise all come back in
/// the same moment and be over budget together, again and again.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
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
        let full = FIRST.saturating_mul(1 << self.failures.min(8)).min(LONGEST);
        self.failures += 1;
        floor + full.mul_f64(rand::random_range(0.5..1.0))
    }
}
