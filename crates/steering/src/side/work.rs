//! How long the upstream usually works on a request.

use crate::flow::Millis;

/// Weight of one answer: about the last eight, so that a cold start and its end are followed within some
/// hundred milliseconds.
const WEIGHT: f64 = 1.0 / 8.0;

/// Mean time from a request to the first packet of its answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Work {
    mean_ms: Option<f64>,
}

impl Work {
    /// Takes the time of one answer.
    pub(super) fn take(&mut self, worked_ms: Millis) {
        let worked_ms = worked_ms as f64;
        let mean_ms = self.mean_ms.get_or_insert(worked_ms);
        *mean_ms += (worked_ms - *mean_ms) * WEIGHT;
    }

    /// What to expect; zero before the first answer.
    pub(super) fn usual_ms(&self) -> Millis {
        self.mean_ms.unwrap_or_default() as Millis
    }
}
