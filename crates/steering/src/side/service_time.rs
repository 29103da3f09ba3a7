//! Mean service time of the upstream.

use crate::flow::Millis;

/// Weight of one answer. The mean covers about the last eight answers, so that it follows a cold
/// start and its end within some hundred milliseconds.
const WEIGHT: f64 = 1.0 / 8.0;

/// Mean time from a request to the first packet of its answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTime {
    mean_ms: Option<f64>,
}

impl ServiceTime {
    /// Records the service time of one answer.
    pub(super) fn record(&mut self, service_time_ms: Millis) {
        let service_time_ms = service_time_ms as f64;
        let mean_ms = self.mean_ms.get_or_insert(service_time_ms);
        *mean_ms += (service_time_ms - *mean_ms) * WEIGHT;
    }

    /// The mean service time; `None` before the first answer.
    pub(super) fn mean_ms(&self) -> Option<f64> {
        self.mean_ms
    }

    /// The mean service time; zero before the first answer.
    pub(super) fn mean_or_zero_ms(&self) -> Millis {
        self.mean_ms.unwrap_or_default() as Millis
    }
}
