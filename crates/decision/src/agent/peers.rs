//! The peers table: the other agents of the service, as far as they have been heard from.

use super::limits;
use super::outbox::Outbox;
use super::relearn::Cursor;
use super::sorted::Sorted;
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
    /// When it became listed, or this agent started.
    pub(super) listed_at: Millis,
    /// Its life, once it has named it.
    pub(super) incarnation: Option<Incarnation>,
    /// First life beside its present upstream process, as far as it has said.
    pub(super) born: Option<Incarnation>,
    /// Its last life before the present one that has been met.
    pub(super) previous_incarnation: Option<Incarnation>,
    /// Its last life that has handed over.
    pub(super) handed_over: Option<(Incarnation, HandedOver)>,
    /// Whether an earlier life of it has been met.
    pub(super) met_before: bool,
    /// When this life of the peer was first heard from.
    pub(super) incarnation_seen_at: Millis,
    pub(super) view: Version,
    pub(super) heartbeat: Option<Heartbeat>,
    /// When the last heartbeat of its present life came.
    pub(super) last_heartbeat_at: Option<Millis>,
    /// Its last life but the present one, and when that one's last heartbeat came.
    pub(super) previous_heartbeat: Option<(Incarnation, Millis)>,
    pub(super) suspected: bool,
    /// Whether the balancers were told that it is down; the next heartbeat takes that back.
    pub(super) reported_down: bool,
    /// Openings assigned to it since its last heartbeat.
    pub(super) assigned: u32,
    /// Highest batch of announcements taken in from its present life.
    pub(super) applied_sequence: u64,
    /// When the newest batch of any of its lives was taken in.
    pub(super) last_announcement_at: Option<Millis>,
    pub(super) outbox: Outbox,
    pub(super) cursor: Cursor,
}

/// All peers, sorted by id.
pub(super) type PeerTable = Sorted<UpstreamId, Peer>;

impl Peer {
    /// Whether this life of it has handed over.
    pub(super) fn has_handed_over(&self, incarnation: Incarnation) -> bool {
        self.handed_over.is_some_and(|(handed_over, _)| handed_over == incarnation)
    }

    /// Whether it is silent or about to end, so that others answer for its flows.
    pub(super) fn cannot_answer(&self) -> bool {
        self.suspected
            || self.incarnation.is_some_and(|incarnation| self.has_handed_over(incarnation))
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.heartbeat.is_some_and(|heartbeat| heartbeat.leaving)
    }

    /// Whether it can be the home of a bucket for now.
    pub(super) fn is_up(&self) -> bool {
        !self.suspected && !self.is_leaving()
    }

    /// Silence since it was last heard from or first listed.
    pub(super) fn ms_since_received(&self, now: Millis) -> u64 {
        now.since(self.last_received_at.unwrap_or(self.listed_at))
    }

    /// Whether it must be heard out about an unknown flow. A listed agent may always hold one, a
    /// retired one as long as it may be alive.
    pub(super) fn may_hold_flows(&self, now: Millis) -> bool {
        if self.listed && !self.retired {
            return true;
        }
        self.last_received_at.is_some() && self.ms_since_received(now) < limits::RETIRED_SILENT_MS
            || self.listed && self.ms_since_received(now) < limits::RETIRED_SILENT_MS
    }
}

/// Period of heartbeats in a service of `peers` other agents.
pub(super) fn heartbeat_period_ms(peers: usize) -> u64 {
    limits::MIN_HEARTBEAT_MS.max(limits::HEARTBEAT_MS_PER_PEER * peers as u64)
}

/// Silence after which a peer is suspected: three heartbeats and half a period for the network.
pub(super) fn suspect_after_ms(peers: usize) -> u64 {
    let period_ms = heartbeat_period_ms(peers);
    limits::MISSED_HEARTBEATS * period_ms + period_ms / 2
}
