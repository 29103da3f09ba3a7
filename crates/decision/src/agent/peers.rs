//! The peers table: what is known about the other agents of the service.

use super::limits;
use super::outbox::Outbox;
use super::relearn::Cursor;
use super::sorted::SortedMap;
use crate::keys::{Incarnation, UpstreamId, Version};
use crate::message::{HandedOver, Heartbeat};
use crate::time::Millis;

/// One peer.
#[derive(Debug, Default)]
pub(super) struct Peer {
    /// Whether the settings in force list it.
    pub(super) listed: bool,
    /// Whether the settings in force list it as retired.
    pub(super) retired: bool,
    pub(super) last_received_at: Option<Millis>,
    /// When this agent first knew of the peer, or last resumed after a pause of its own. A lack of
    /// messages before that is no evidence against the peer.
    pub(super) listed_at: Millis,
    /// Its present incarnation, once it has sent one.
    pub(super) incarnation: Option<Incarnation>,
    /// First incarnation beside its present upstream process, as far as it has reported one.
    pub(super) born: Option<Incarnation>,
    /// Its last incarnation before the present one that this agent has seen.
    pub(super) previous_incarnation: Option<Incarnation>,
    /// Its last incarnation that has handed over, with the state that it sent.
    pub(super) handed_over: Option<(Incarnation, HandedOver)>,
    /// Whether this agent has seen an earlier incarnation of it.
    pub(super) met_before: bool,
    /// When the first message of its present incarnation arrived.
    pub(super) incarnation_seen_at: Millis,
    pub(super) view: Version,
    pub(super) heartbeat: Option<Heartbeat>,
    /// When the last heartbeat of its present incarnation arrived.
    pub(super) last_heartbeat_at: Option<Millis>,
    /// Its previous incarnation, and when the last heartbeat of that one arrived.
    pub(super) previous_heartbeat: Option<(Incarnation, Millis)>,
    pub(super) suspected: bool,
    /// Whether it was reported down to the balancers; its next heartbeat revokes the report.
    pub(super) reported_down: bool,
    /// Openings assigned to it since its last heartbeat.
    pub(super) assigned: u32,
    /// Highest sequence number of an announcement applied from its present incarnation.
    pub(super) applied_sequence: u64,
    /// When an announcement of any of its incarnations was last applied.
    pub(super) last_announcement_at: Option<Millis>,
    pub(super) outbox: Outbox,
    /// Progress of relearning this agent's flows from the peer.
    pub(super) relearn_cursor: Cursor,
}

/// All peers, sorted by id.
pub(super) type PeerTable = SortedMap<UpstreamId, Peer>;

impl Peer {
    /// Whether the given incarnation of the peer has handed over.
    pub(super) fn has_handed_over(&self, incarnation: Incarnation) -> bool {
        self.handed_over.is_some_and(|(handed_over, _)| handed_over == incarnation)
    }

    /// Whether it is unresponsive or about to end, so that others have to report its flows.
    pub(super) fn cannot_answer(&self) -> bool {
        self.suspected
            || self.incarnation.is_some_and(|incarnation| self.has_handed_over(incarnation))
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.heartbeat.is_some_and(|heartbeat| heartbeat.leaving)
    }

    /// Whether it can currently be the home of a bucket.
    pub(super) fn is_up(&self) -> bool {
        !self.suspected && !self.is_leaving()
    }

    /// Time since its last message, or since it was listed if it has never sent one.
    pub(super) fn ms_since_received(&self, now: Millis) -> u64 {
        now.since(self.last_received_at.unwrap_or(self.listed_at))
    }

    /// Whether it may hold flows, so that it must be asked about an unknown one. A listed agent
    /// always may, a retired one as long as it may be alive.
    pub(super) fn may_hold_flows(&self, now: Millis) -> bool {
        if self.listed && !self.retired {
            return true;
        }
        self.last_received_at.is_some()
            && self.ms_since_received(now) < limits::RETIRED_PEER_TIMEOUT_MS
            || self.listed && self.ms_since_received(now) < limits::RETIRED_PEER_TIMEOUT_MS
    }
}

/// Period of heartbeats in a service with `peers` other agents.
pub(super) fn heartbeat_period_ms(peers: usize) -> u64 {
    limits::MIN_HEARTBEAT_INTERVAL_MS.max(limits::HEARTBEAT_MS_PER_PEER * peers as u64)
}

/// Time without a message after which a peer is suspected: three heartbeat periods, and half a
/// period for network delay.
pub(super) fn suspect_after_ms(peers: usize) -> u64 {
    let period_ms = heartbeat_period_ms(peers);
    limits::MISSED_HEARTBEATS * period_ms + period_ms / 2
}
