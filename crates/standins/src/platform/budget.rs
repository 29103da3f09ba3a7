//! The read budget: one token bucket shared by all readers.

use decision::time::Millis;

/// Size of the burst that is allowed after an idle period, in seconds of the read rate.
const BURST_SECONDS: f64 = 1.0;

/// Token bucket that refuses reads above the configured rate.
#[derive(Clone, Debug)]
pub struct Budget {
    reads_per_s: f64,
    tokens: f64,
    refilled_at: Millis,
}

impl Budget {
    /// Creates a full budget.
    ///
    /// ```
    /// use decision::time::Millis;
    /// let mut budget = standins::platform::Budget::new(1);
    /// assert_eq!(budget.take(Millis(0)), Ok(()));
    /// assert_eq!(budget.take(Millis(0)), Err(1));
    /// assert_eq!(budget.take(Millis(1_000)), Ok(()));
    /// ```
    pub fn new(reads_per_s: u32) -> Self {
        let reads_per_s = f64::from(reads_per_s);
        Self { reads_per_s, tokens: reads_per_s * BURST_SECONDS, refilled_at: Millis(0) }
    }

    /// Takes one read from the budget, or returns the seconds after which to retry.
    pub fn take(&mut self, now: Millis) -> Result<(), u32> {
        let elapsed_s = now.since(self.refilled_at) as f64 / 1_000.0;
        let capacity = self.reads_per_s * BURST_SECONDS;
        self.tokens = (self.tokens + elapsed_s * self.reads_per_s).min(capacity);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return Err(1);
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
