//! Estimates the load of the upstream for reports to balancers.
//!
//! Load pattern: upstreams of one service differ in speed, and requests queue beside them. The
//! number of requests in progress is limited by the slots, so that it alone does not distinguish
//! a slow upstream with a long queue from a fast one that is merely busy.

use super::queue::Queue;
use super::service_time::ServiceTime;
use super::types::LoadEstimate;

/// The estimate for a report that is sent now.
pub(super) fn load_estimate(queue: &Queue, service_time: &ServiceTime) -> LoadEstimate {
    let service_time_ms = service_time.mean_ms().map_or(0, in_whole_ms);
    let queued = u16::try_from(queue.awaited()).unwrap_or(u16::MAX);
    LoadEstimate { queued, service_time_ms }
}

/// A measured mean in whole milliseconds, at least one: zero stands for no measurement.
fn in_whole_ms(mean_ms: f64) -> u16 {
    mean_ms.round().clamp(1.0, f64::from(u16::MAX)) as u16
}
