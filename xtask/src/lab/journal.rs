//! Time-stamped record of what the lab did and observed, for the verdict at the end.

use super::scenario::PhaseKind;

/// Everything recorded in a run. Times are from the clock that the stand-ins also use.
#[derive(Default)]
pub(super) struct Journal {
    /// Start time and kind of each phase.
    pub(super) phases: Vec<(u64, PhaseKind)>,
    pub(super) publications: Vec<Publication>,
    pub(super) drains: Vec<Drain>,
    /// Upstreams that the lab killed, and when.
    pub(super) killed: Vec<(String, u64)>,
    /// Daemons that did not exit with status 0 in time after SIGTERM.
    pub(super) unclean_exits: Vec<String>,
    /// Daemons that the lab killed, paused or replaced, and when. Their settings latency does not
    /// reflect the product.
    pub(super) disturbed: Vec<(String, u64)>,
    /// Each change of the version that an instance reports.
    pub(super) in_force: Vec<InForce>,
    /// Instances that reverted to an older version.
    pub(super) reverted: Vec<String>,
    /// Instances that did not have the newest settings at the end.
    pub(super) lagging: Vec<String>,
    /// Samples of the open connections of a service's active upstreams.
    pub(super) loads: Vec<Load>,
}

/// A published version.
pub(super) struct Publication {
    pub(super) account: &'static str,
    pub(super) version: u64,
    pub(super) at_ms: u64,
}

/// Period in which an upstream is drained.
pub(super) struct Drain {
    pub(super) upstream: String,
    pub(super) from_ms: u64,
    /// When the upstream accepted openings again.
    pub(super) until_ms: Option<u64>,
}

/// A version that an instance reports as in force.
#[derive(serde::Serialize)]
pub(super) struct InForce {
    pub(super) instance: String,
    pub(super) account: String,
    pub(super) version: u64,
    pub(super) at_ms: u64,
}

/// Sample of the open connections of a service.
pub(super) struct Load {
    pub(super) service: &'static str,
    /// Name and number of open connections of each upstream.
    pub(super) open: Vec<(String, u64)>,
}

impl Journal {
    /// Kind of the phase at a point in time.
    pub(super) fn kind_at(&self, at_ms: u64) -> PhaseKind {
        let phase = self.phases.iter().rev().find(|(from_ms, _)| *from_ms <= at_ms);
        phase.map_or(PhaseKind::Planned, |(_, kind)| *kind)
    }

    /// Records that an upstream accepts openings again.
    pub(super) fn end_drain(&mut self, upstream: &str, at_ms: u64) {
        let open = self.drains.iter_mut().rev().find(|drain| drain.upstream == upstream);
        if let Some(drain) = open {
            drain.until_ms = Some(at_ms);
        }
    }
}
