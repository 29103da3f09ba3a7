//! What the lab did and noticed, with the moment; the verdict is read from it at the end.

use super::scenario::PhaseKind;

/// Everything noted in a run. Times are of the clock that the stand-ins use as well.
#[derive(Default)]
pub(super) struct Journal {
    /// Beginning and kind of each phase.
    pub(super) phases: Vec<(u64, PhaseKind)>,
    pub(super) publications: Vec<Publication>,
    pub(super) drains: Vec<Drain>,
    /// Upstreams that the lab killed.
    pub(super) killed: Vec<(String, u64)>,
    /// Daemons told to end that ended otherwise than with 0 in time.
    pub(super) unclean_exits: Vec<String>,
    /// Daemons that the lab killed, paused or replaced, and when. Their settings latency says
    /// nothing about the product.
    pub(super) disturbed: Vec<(String, u64)>,
    /// First moment at which an instance's life showed a version.
    pub(super) in_force: Vec<InForce>,
    /// Instances that went back to an older version.
    pub(super) reverted: Vec<String>,
    /// Instances that did not have the newest settings at the end.
    pub(super) lagging: Vec<String>,
    /// Open connections of all active upstreams of a service at one moment.
    pub(super) loads: Vec<Load>,
}

/// A published version.
pub(super) struct Publication {
    pub(super) account: &'static str,
    pub(super) version: u64,
    pub(super) at_ms: u64,
}

/// An upstream that leaves.
pub(super) struct Drain {
    pub(super) upstream: String,
    pub(super) from_ms: u64,
    /// When it took openings again.
    pub(super) until_ms: Option<u64>,
}

/// A version that an instance shows.
#[derive(serde::Serialize)]
pub(super) struct InForce {
    pub(super) instance: String,
    pub(super) account: String,
    pub(super) version: u64,
    pub(super) at_ms: u64,
}

/// Open connections by upstream.
pub(super) struct Load {
    pub(super) service: &'static str,
    /// Names with their numbers.
    pub(super) open: Vec<(String, u64)>,
}

impl Journal {
    /// Kind of the phase that ran at a moment.
    pub(super) fn kind_at(&self, at_ms: u64) -> PhaseKind {
        let phase = self.phases.iter().rev().find(|(from_ms, _)| *from_ms <= at_ms);
        phase.map_or(PhaseKind::Planned, |(_, kind)| *kind)
    }

    /// Notes that an upstream takes openings again.
    pub(super) fn end_drain(&mut self, upstream: &str, at_ms: u64) {
        let open = self.drains.iter_mut().rev().find(|drain| drain.upstream == upstream);
        if let Some(drain) = open {
            drain.until_ms = Some(at_ms);
        }
    }
}
