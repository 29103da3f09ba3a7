//! Decides when a balancer may exit after a stop request.

use crate::flow::Millis;

/// Refused probes after which the fabric takes an instance out of rotation.
const PROBES_TO_LEAVE_ROTATION: u32 = 2;
/// Time without a caller's packet after which the fabric is known to have stopped sending. Staying
/// longer would overlap with the next instance of a rolling restart: while fewer than half of a
/// zone's instances are in rotation, the fabric sends packets to all of them, including those that
/// have exited.
const IDLE_MS: Millis = 100;
/// Maximum time until exit. Instances are killed six seconds after the stop request.
const SHUTDOWN_MAX_MS: Millis = 4_500;

/// What has happened since a balancer received a stop request.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownProgress {
    /// Time since the stop request.
    pub since_stop_request_ms: Millis,
    /// Probes of the fabric refused since the stop request.
    pub refused_probes: u32,
    /// Time since the last packet from a caller.
    pub since_last_packet_ms: Millis,
}

/// Whether a balancer may exit without losing packets that the fabric still sends to it.
///
/// ```
/// use steering::leave::{ShutdownProgress, may_exit};
/// let progress = ShutdownProgress {
///     since_stop_request_ms: 900,
///     refused_probes: 2,
///     since_last_packet_ms: 150,
/// };
/// assert!(may_exit(progress));
/// ```
pub fn may_exit(progress: ShutdownProgress) -> bool {
    let out_of_rotation = progress.refused_probes >= PROBES_TO_LEAVE_ROTATION;
    let idle = progress.since_last_packet_ms >= IDLE_MS;
    (out_of_rotation && idle) || progress.since_stop_request_ms >= SHUTDOWN_MAX_MS
}
