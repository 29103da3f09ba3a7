//! Detects that an upstream processes requests more slowly than before.

use crate::flow::Millis;

/// Weight of one answer in the short-term mean, which covers about the last eight answers.
const SHORT_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of one answer in the long-term mean, which covers about the last 250 answers, or some
/// seconds.
const LONG_WEIGHT: f64 = 1.0 / 250.0;
/// Answers before the detector reports anything: an upstream that has just started is slow anyway.
const ANSWERS_MIN: u32 = 50;
/// The upstream counts as slow when the short-term mean exceeds the long-term mean by this factor.
/// Single service times differ by half, means over eight answers by far less.
const SLOW_FACTOR: f64 = 2.0;
/// The upstream counts as recovered when the short-term mean is below this multiple of the
/// long-term mean.
const RECOVERED_FACTOR: f64 = 1.25;

/// Short-term and long-term means of the time from a request to the first packet of its answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowdownDetector {
    short_ms: f64,
    long_ms: f64,
    answers: u32,
    slow: bool,
}

/// Reports that the upstream has become slow or has recovered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowdownChange {
    /// Whether the upstream is slow from now on.
    pub slow: bool,
    /// Short-term mean.
    pub recent_ms: Millis,
    /// Long-term mean.
    pub usual_ms: Millis,
}

impl SlowdownDetector {
    /// Records the service time of one answer, and returns a change if the upstream became slow or
    /// recovered.
    pub fn record(&mut self, service_time_ms: Millis) -> Option<SlowdownChange> {
        let service_time_ms = service_time_ms as f64;
        if self.answers == 0 {
            (self.short_ms, self.long_ms) = (service_time_ms, service_time_ms);
        }
        self.answers = self.answers.saturating_add(1);
        self.short_ms += (service_time_ms - self.short_ms) * SHORT_WEIGHT;
        if !self.slow {
            // The long-term mean is only updated while the upstream is not slow.
            let weight = LONG_WEIGHT.max(1.0 / f64::from(self.answers));
            self.long_ms += (service_time_ms - self.long_ms) * weight;
        }
        let factor = if self.slow { RECOVERED_FACTOR } else { SLOW_FACTOR };
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
