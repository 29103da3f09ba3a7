//! The peers table: the other agents of the service, as far as they have been heard from.

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
    pub(super) last_heard: Option<Millis>,
    /// When it became listed, or this agent started.
    pub(super) listed_at: Millis,
    /// Its life, once it has named it.
    pub(super) incarnation: Option<Incarnation>,
    /// First life beside its present upstream process, as far as it has said.
    pub(super) born: Option<Incarnation>,
    /// Its last life before the present one that has been met.
    pub(super) former: Option<Incarnation>,
    /// Its last life that has handed over.
    pub(super) handed_over: Option<(Incarnation, HandedOver)>,
    /// Whether an earlier life of it has been met.
    pub(super) met_before: bool,
    /// When this life of the peer was first heard from.
    pub(super) incarnation_at: Millis,
    pub(super) view: Version,
    pub(super) heartbeat: Option<Heartbeat>,
    /// When the last heartbeat of its present life came.
    pub(super) beat_at: Option<Millis>,
    /// Its last life but the present one, and when that one's last heartbeat came.
    pub(super) past_beat: Option<(Incarnation, Millis)>,
    pub(super) suspected: bool,
    /// Whether the balancers were told that it is down; the next heartbeat takes that back.
    pub(super) reported_down: bool,
    /// Openings assigned to it since its last heartbeat.
    pub(super) assigned: u32,
    /// Highest batch of announcements taken in from its present life.
    pub(super) applied: u64,
    /// When the newest batch of any of its lives was taken in.
    pub(super) announced_at: Option<Millis>,
    pub(super) outbox: Outbox,
    pub(super) cursor: Cursor,
}

/// All peers, sorted by id.
pub(super) type PeerTable = SortedMap<UpstreamId, Peer>;

impl Peer {
    /// Whether this life of it has handed over.
    pub(super) fn has_handed_over(&self, life: Incarnation) -> bool {
        self.handed_over.is_some_and(|(handed_over, _)| handed_over == life)
    }

    /// Whether it is silent or about to end, so that others answer for its flows.
    pub(super) fn cannot_tell(&self) -> bool {
        self.suspected || self.incarnation.is_some_and(|life| self.has_handed_over(life))
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.heartbeat.is_some_and(|heartbeat| heartbeat.leaving)
    }

    /// Whether it can be the home of a bucket for now.
    pub(super) fn is_up(&self) -> bool {
        !self.suspected && !self.is_leaving()
    }

    /// Silence since it was last heard from or first listed.
    pub(super) fn silent_ms(&self, now: Millis) -> u64 {
        now.since(self.last_heard.unwrap_or(self.listed_at))
    }

    /// Whether it must be heard out about an unknown flow. A listed agent may always hold one, a
    /// retired one as long as it may be alive.
    pub(super) fn may_hold_flows(&self, now: Millis) -> bool {
        if self.listed && !self.retired {
            return true;
        }
        self.last_heard.is_some() && self.silent_ms(now) < limits::RETIRED_PEER_TIMEOUT_MS
            || self.listed && self.silent_ms(now) < limits::RETIRED_PEER_TIMEOUT_MS
    }
}

/// Period of heartbeats in a service of `peers` other agents.
pub(super) fn heartbeat_ms(peers: usize) -> u64 {
    limits::MIN_HEARTBEAT_INTERVAL_MS.max(limits::HEARTBEAT_MS_PER_PEER * peers as u64)
}

/// Silence after which a peer is suspected: three heartbeats and half a period for the network.
pub(super) fn suspect_ms(peers: usize) -> u64 {
    let period_ms = heartbeat_ms(peers);
    limits::MISSED_HEARTBEATS * period_ms + period_ms / 2
}
