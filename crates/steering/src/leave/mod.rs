//! When a balancer that was told to stop may end.

use crate::flow::Millis;

/// Refused probes after which the fabric takes an instance out of rotation.
const PROBES_TO_LEAVE: u32 = 2;
/// Without a caller's packet for this long after that, the fabric has stopped. Staying longer would
/// overlap with the next instance of a rolling restart, and the fabric sends packets to all
/// instances of a zone, ended ones too, while fewer than half are in rotation.
const QUIET_MS: Millis = 100;
/// Longest stay; instances are killed six seconds after they were told.
const STAY_MAX_MS: Millis = 4_500;

/// What has happened since a balancer was told to stop.
#[derive(Clone, Copy, Debug)]
pub struct Departure {
    /// Time since it was told.
    pub told_for_ms: Millis,
    /// Probes of the fabric that it has refused since.
    pub refused_probes: u32,
    /// Time since the last packet of a caller.
    pub quiet_for_ms: Millis,
}

/// Whether a balancer may end without losing packets that the fabric still sends to it.
///
/// ```
/// use steering::leave::{Departure, may_end};
/// let departure = Departure { told_for_ms: 900, refused_probes: 2, quiet_for_ms: 150 };
/// assert!(may_end(departure));
/// ```
pub fn may_end(departure: Departure) -> bool {
    let out_of_rotation = departure.refused_probes >= PROBES_TO_LEAVE;
    let quiet = departure.quiet_for_ms >= QUIET_MS;
    (out_of_rotation && quiet) || departure.told_for_ms >= STAY_MAX_MS
}
