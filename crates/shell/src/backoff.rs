//! Growing pauses between retries.

use std::time::Duration;

/// First pause.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause; bounds how late a reader notices that the platform is back.
const LONGEST_PAUSE: Duration = Duration::from_millis(5_000);

/// Exponential backoff with jitter: after an outage the readers would otherwise all come back in
/// the same moment and be over budget together, again and again.
#[derive(Debug)]
pub struct Backoff {
    failures: u32,
    max_pause: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::up_to(LONGEST_PAUSE)
    }
}

impl Backoff {
    /// Pauses that grow up to `max_pause`.
    pub fn up_to(max_pause: Duration) -> Self {
        Self { failures: 0, max_pause }
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
    /// assert!(backoff.next_pause(floor) >= floor);
    /// ```
    pub fn next_pause(&mut self, floor: Duration) -> Duration {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.failures.min(8)).min(self.max_pause);
        self.failures += 1;
        floor + pause.mul_f64(rand::random_range(0.5..1.0))
    }
}
