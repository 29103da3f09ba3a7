//! When a balancer that was told to stop may end.

use crate::flow::Millis;

/// Refused probes after which the fabric takes an instance out of rotation.
const PROBES_TO_LEAVE_ROTATION: u32 = 2;
/// Without a caller's packet for this long after that, the fabric has stopped. Staying longer would
/// overlap with the next instance of a rolling restart, and the fabric sends packets to all
/// instances of a zone, ended ones too, while fewer than half are in rotation.
const IDLE_MS: Millis = 100;
/// Longest stay; instances are killed six seconds after they were told.
const SHUTDOWN_MAX_MS: Millis = 4_500;

/// What has happened since a balancer was told to stop.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownProgress {
    /// Time since it was told.
    pub since_stop_request_ms: Millis,
    /// Probes of the fabric that it has refused since.
    pub refused_probes: u32,
    /// Time since the last packet of a caller.
    pub since_last_packet_ms: Millis,
}

/// Whether a balancer may end without losing packets that the fabric still sends to it.
///
/// ```
/// use steering::leave::{ShutdownProgress, may_exit};
/// let progress = ShutdownProgress { since_stop_request_ms: 900, refused_probes: 2, since_last_packet_ms: 150 };
/// assert!(may_exit(progress));
/// ```
pub fn may_exit(progress: ShutdownProgress) -> bool {
    let out_of_rotation = progress.refused_probes >= PROBES_TO_LEAVE_ROTATION;
    let idle = progress.since_last_packet_ms >= IDLE_MS;
    (out_of_rotation && idle) || progress.since_stop_request_ms >= SHUTDOWN_MAX_MS
}
