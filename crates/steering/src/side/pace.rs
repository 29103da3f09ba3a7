//! Whether an upstream works more slowly than it used to.

use crate::flow::Millis;

/// Weight of one answer in the short mean: about the last eight answers.
const SHORT_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of one answer in the long mean: about the last 250, some seconds.
const LONG_WEIGHT: f64 = 1.0 / 250.0;
/// Answers before anything is said: a starting upstream is slow by itself.
const ANSWERS_MIN: u32 = 50;
/// An upstream turns slow when the short mean is this many times the long one. Works differ by half
/// from each other, so means of eight by far less.
const SLOW_FACTOR: f64 = 2.0;
/// It is well again when the short mean is below this many times the long one.
const WELL_FACTOR: f64 = 1.25;

/// Times from a request to the first packet of its answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowdownDetector {
    short_ms: f64,
    long_ms: f64,
    answers: u32,
    slow: bool,
}

/// A change of pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowdownChange {
    /// Whether the upstream is slow from now on.
    pub slow: bool,
    /// Mean of the latest answers.
    pub recent_ms: Millis,
    /// Mean before.
    pub usual_ms: Millis,
}

impl SlowdownDetector {
    /// Takes the time of one answer, and tells when the upstream turns slow or is well again.
    pub fn record(&mut self, service_time_ms: Millis) -> Option<SlowdownChange> {
        let service_time_ms = service_time_ms as f64;
        if self.answers == 0 {
            (self.short_ms, self.long_ms) = (service_time_ms, service_time_ms);
        }
        self.answers = self.answers.saturating_add(1);
        self.short_ms += (service_time_ms - self.short_ms) * SHORT_WEIGHT;
        if !self.slow {
            // What is usual is learnt while the upstream is well.
            let weight = LONG_WEIGHT.max(1.0 / f64::from(self.answers));
            self.long_ms += (service_time_ms - self.long_ms) * weight;
        }
        let factor = if self.slow { WELL_FACTOR } else { SLOW_FACTOR };
        let slow = self.short_ms > self.long_ms * factor;
        if self.answers < ANSWERS_MIN || slow == self.slow {
            return None;
        }
        self.slow = slow;
        Some(SlowdownChange {
            slow,
            recent_ms: self.short_ms as Millis,
            usual_ms: self.long_ms as Millis,
        })
    }
}
