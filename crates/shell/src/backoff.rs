//! Exponential backoff between retries.

use std::time::Duration;

const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Default upper bound, which limits how late a reader notices that the platform has recovered.
const LONGEST_PAUSE: Duration = Duration::from_millis(5_000);

/// Exponential backoff with jitter.
///
/// Without jitter, all readers would retry at the same moment after an outage and exceed the read
/// budget together each time.
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
    /// Creates a backoff whose pauses grow up to `max_pause`.
    pub fn up_to(max_pause: Duration) -> Self {
        Self { failures: 0, max_pause }
    }

    /// Resets the failure count after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns the pause before the next attempt.
    ///
    /// `floor` is the retry delay that the server asked for, or zero. The pause is at least that.
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
