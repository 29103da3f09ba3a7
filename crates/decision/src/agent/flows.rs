//! The flow table: the authoritative record of the flows that this agent's upstream holds.

use std::collections::VecDeque;

use super::flow_map::FlowMap;
use super::{Packet, PacketKind, limits};
use crate::keys::FlowId;
use crate::message::Opening;
use crate::time::Millis;

/// State of a flow. Only open flows count as load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowState {
    /// Established or in the handshake.
    Open,
    /// The caller has sent a FIN. The upstream may still be sending its answer.
    Finishing,
    /// The caller has sent an RST. Only stray packets follow.
    Reset,
}

/// One flow of the upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    /// Nonce of the opening, `None` for a flow that was adopted without a record of its opening.
    pub(super) nonce: Option<u32>,
    pub(super) state: FlowState,
    pub(super) opened_at: Millis,
    pub(super) last_seen: Millis,
    /// Whether the caller has sent a packet after its opening.
    pub(super) answered: bool,
    /// Sequence number of the caller's newest packet, `None` before the first one.
    sequence: Option<u32>,
    /// Sequence number of another connection on the same ports that the upstream may have: a later
    /// one whose opening was delivered to it, or an older one that this flow has replaced.
    other_sequence: Option<u32>,
    /// Whether the caller has reset an older connection on the same ports. It does so if the
    /// upstream answered its opening for the older connection.
    pub(super) older_was_reset: bool,
    /// Whether the flow is known only from peers after a restart. Its first packet leads to a
    /// lookup, since the peer may have missed the end of the flow, and another agent may hold a
    /// later one on the same ports.
    pub(super) peer_reported: bool,
    /// Whether a previous incarnation of this agent accepted the flow. It is then unknown to which
    /// peers the flow was announced.
    pub(super) relearned: bool,
}

/// Guards the memory figure stated at [`limits::MAX_FLOWS`].
const _: () = assert!(size_of::<Flow>() <= 48);

/// How long flows without packets are kept.
#[derive(Clone, Copy, Debug)]
pub(super) struct FlowLifetimes {
    pub(super) idle_ms: u64,
    pub(super) unanswered_ms: u64,
}

/// All flows of the upstream.
#[derive(Debug, Default)]
pub(super) struct FlowTable {
    flows: FlowMap<Flow>,
    open: usize,
    /// Open flows that are known only from peers.
    peer_reported: usize,
    /// Open flows that were adopted without a record of their opening.
    adopted: usize,
    unanswered: usize,
    /// Openings and adopted flows by age. Entries whose caller has answered meanwhile are removed
    /// lazily.
    openings: VecDeque<(Millis, FlowId)>,
    /// Closing flows, ordered by the time of their last check.
    closing: VecDeque<(Millis, FlowId)>,
    swept_at: Millis,
    last_progress: Millis,
}

impl FlowTable {
    pub(super) fn get(&self, flow: FlowId) -> Option<&Flow> {
        self.flows.get(&flow)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (FlowId, &Flow)> {
        self.flows.iter().map(|(id, flow)| (*id, flow))
    }

    pub(super) fn open(&self) -> usize {
        self.open
    }

    /// Number of open flows that the upstream may never have had: peers have reported them, or this
    /// agent has adopted them.
    pub(super) fn uncertain(&self) -> usize {
        self.peer_reported + self.adopted
    }

    /// Number of open flows that the upstream is known to have accepted.
    pub(super) fn certain(&self) -> usize {
        self.open - self.uncertain()
    }

    pub(super) fn closing(&self) -> usize {
        self.flows.len() - self.open
    }

    pub(super) fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// Whether one more flow can be inserted without evicting an open one.
    pub(super) fn has_room(&self) -> bool {
        self.open < limits::MAX_FLOWS
    }

    /// Time of the last first packet that a caller sent after its opening.
    pub(super) fn last_progress(&self) -> Millis {
        self.last_progress
    }

    /// Time of the oldest opening after which the caller has sent no further packet.
    pub(super) fn oldest_unanswered(&mut self) -> Option<Millis> {
        while let Some(&(opened_at, id)) = self.openings.front() {
            let is_waiting = |flow: &Flow| flow.opened_at == opened_at && flow.is_unanswered();
            if self.flows.get(&id).is_some_and(is_waiting) {
                return Some(opened_at);
            }
            self.openings.pop_front();
        }
        None
    }

    /// The fast path: records a packet of a flow that is confirmed open. Returns false for all
    /// other packets.
    ///
    /// A reset is not progress, since a caller also sends one if the answer to its opening was for
    /// an older connection.
    pub(super) fn touch(&mut self, now: Millis, packet: &Packet) -> bool {
        let Some(flow) = self.flows.get_mut(&packet.flow) else { return false };
        // A reset with another sequence number may be for a connection that the upstream still has.
        let reset = packet.kind == PacketKind::Reset;
        if !flow.is_confirmed_open() || !(reset || flow.may_match_connection(packet.sequence)) {
            return false;
        }
        if !flow.matches_connection(packet.sequence)
            && !flow.is_later_connection(now, packet.sequence)
        {
            return true;
        }
        flow.last_seen = now;
        if packet.kind == PacketKind::Reset {
            return true;
        }
        flow.sequence = Some(packet.sequence);
        if !flow.answered {
            flow.answered = true;
            self.last_progress = now;
            self.unanswered -= usize::from(flow.state == FlowState::Open && flow.nonce.is_some());
        }
        true
    }

    /// Records a copy of the opening, which does not show that the caller was answered, or a later
    /// opening on the ports of the flow.
    pub(super) fn touch_opening(&mut self, now: Millis, opening: Opening) {
        let Some(flow) = self.flows.get_mut(&opening.flow) else { return };
        match flow.nonce == Some(opening.nonce) {
            true => flow.last_seen = now,
            false => flow.other_sequence = Some(opening.nonce),
        }
    }

    /// Inserts a flow and returns the closing flow that was evicted for it, if any.
    pub(super) fn insert(
        &mut self,
        now: Millis,
        id: FlowId,
        nonce: Option<u32>,
        answered: bool,
    ) -> Option<(FlowId, Flow)> {
        let replaced = self.remove(id).filter(Flow::is_confirmed_open);
        let evicted = self.make_room();
        let flow = Flow {
            nonce,
            state: FlowState::Open,
            opened_at: now,
            last_seen: now,
            answered,
            sequence: nonce,
            other_sequence: replaced.and_then(|replaced| replaced.sequence),
            older_was_reset: false,
            peer_reported: false,
            relearned: false,
        };
        self.flows.insert(id, flow);
        self.open += 1;
        self.adopted += usize::from(flow.is_open_adopted());
        if !answered {
            self.unanswered += usize::from(nonce.is_some());
            self.openings.push_back((now, id));
        }
        evicted
    }

    /// Inserts a flow of a previous incarnation that a peer has reported. Its age is unknown, so it
    /// always counts as the older one of two.
    pub(super) fn insert_peer_reported(&mut self, now: Millis, opening: Opening) {
        self.insert(now, opening.flow, Some(opening.nonce), true);
        if let Some(flow) = self.flows.get_mut(&opening.flow) {
            flow.peer_reported = true;
            self.peer_reported += 1;
            flow.relearned = true;
            flow.sequence = None;
            flow.opened_at = Millis(0);
        }
    }

    /// Confirms a flow that no other agent holds. Returns false if the flow is unknown.
    pub(super) fn confirm(&mut self, now: Millis, id: FlowId) -> bool {
        let Some(flow) = self.flows.get_mut(&id) else { return false };
        self.peer_reported -= usize::from(flow.is_open_peer_reported());
        flow.peer_reported = false;
        flow.last_seen = now;
        true
    }

    /// Closes a flow that the caller has ended. Returns false if it is unknown or already in this
    /// state, or if the packet belongs to an older connection on its ports.
    ///
    /// As in TCP, the sequence number distinguishes the connections, up to the window of packets
    /// that may be in flight.
    pub(super) fn close(&mut self, now: Millis, packet: &Packet, state: FlowState) -> bool {
        let id = packet.flow;
        let Some(flow) = self.flows.get_mut(&id) else { return false };
        if !flow.matches_connection(packet.sequence) {
            flow.older_was_reset |= state == FlowState::Reset;
            return false;
        }
        flow.last_seen = now;
        if flow.state == state || flow.state == FlowState::Reset {
            return false;
        }
        let was_open = flow.state == FlowState::Open;
        self.peer_reported -= usize::from(flow.is_open_peer_reported());
        self.adopted -= usize::from(flow.is_open_adopted());
        self.unanswered -= usize::from(flow.is_unanswered() && flow.nonce.is_some());
        self.open -= usize::from(was_open);
        flow.state = state;
        self.closing.push_back((now, id));
        was_open
    }

    pub(super) fn remove(&mut self, id: FlowId) -> Option<Flow> {
        let flow = self.flows.remove(&id)?;
        self.peer_reported -= usize::from(flow.is_open_peer_reported());
        self.adopted -= usize::from(flow.is_open_adopted());
        self.open -= usize::from(flow.state == FlowState::Open);
        self.unanswered -= usize::from(flow.is_unanswered() && flow.nonce.is_some());
        Some(flow)
    }

    /// Removes and returns the flows whose linger or idle time has elapsed.
    pub(super) fn expire(&mut self, now: Millis, lifetimes: FlowLifetimes) -> Vec<(FlowId, Flow)> {
        let mut ended = Vec::new();
        self.expire_closing(now, &mut ended);
        while let Some(opened_at) = self.oldest_unanswered() {
            if now.since(opened_at) < lifetimes.unanswered_ms {
                break;
            }
            let Some((_, id)) = self.openings.pop_front() else { break };
            ended.extend(self.remove(id).map(|flow| (id, flow)));
        }
        if now.since(self.swept_at) >= limits::IDLE_SWEEP_INTERVAL_MS {
            self.swept_at = now;
            self.expire_idle(now, lifetimes.idle_ms, &mut ended);
        }
        ended
    }

    fn expire_closing(&mut self, now: Millis, ended: &mut Vec<(FlowId, Flow)>) {
        while let Some(&(checked_at, id)) = self.closing.front() {
            if now.since(checked_at) < limits::RESET_LINGER_MS {
                return;
            }
            self.closing.pop_front();
            let Some(flow) = self.flows.get(&id) else { continue };
            match flow.linger_ms() {
                None => {}
                Some(linger_ms) if now.since(flow.last_seen) >= linger_ms => {
                    ended.extend(self.remove(id).map(|flow| (id, flow)));
                }
                Some(_) => self.closing.push_back((now, id)),
            }
        }
    }

    fn expire_idle(&mut self, now: Millis, idle_ms: u64, ended: &mut Vec<(FlowId, Flow)>) {
        let idle =
            |flow: &Flow| flow.state == FlowState::Open && now.since(flow.last_seen) >= idle_ms;
        let ids: Vec<FlowId> =
            self.flows.iter().filter(|(_, flow)| idle(flow)).map(|(id, _)| *id).collect();
        for id in ids {
            ended.extend(self.remove(id).map(|flow| (id, flow)));
        }
    }

    /// Evicts the flow that has been closing for longest if the table is full, but never an open
    /// one.
    fn make_room(&mut self) -> Option<(FlowId, Flow)> {
        while self.flows.len() >= limits::MAX_FLOWS {
            let (_, id) = self.closing.pop_front()?;
            let closing = |flow: &Flow| flow.state != FlowState::Open;
            if self.flows.get(&id).is_some_and(closing) {
                return self.remove(id).map(|flow| (id, flow));
            }
        }
        None
    }
}

impl Flow {
    /// Opening of the flow, with nonce zero if it is unknown.
    pub(super) fn opening(&self, flow: FlowId) -> Opening {
        Opening { flow, nonce: self.nonce.unwrap_or(0) }
    }

    /// Whether the flow is open by the packets that this agent has seen, and not only by reports of
    /// peers.
    pub(super) fn is_confirmed_open(&self) -> bool {
        self.state == FlowState::Open && !self.peer_reported
    }

    fn is_open_peer_reported(&self) -> bool {
        self.state == FlowState::Open && self.peer_reported
    }

    fn is_open_adopted(&self) -> bool {
        self.state == FlowState::Open && self.nonce.is_none()
    }

    /// Whether the flow is announced to peers.
    pub(super) fn is_announced(&self) -> bool {
        self.state == FlowState::Open && self.nonce.is_some()
    }

    /// Whether a packet with this sequence number belongs to this connection, and not to an older
    /// one on the same ports.
    fn matches_connection(&self, sequence: u32) -> bool {
        self.sequence.is_none_or(|known| within_sequence_window(known, sequence))
    }

    /// Whether a packet may belong to any connection on these ports that the upstream may have.
    pub(super) fn may_match_connection(&self, sequence: u32) -> bool {
        let other =
            self.other_sequence.is_some_and(|known| within_sequence_window(known, sequence));
        sequence == 0 || self.matches_connection(sequence) || other
    }

    /// Whether a packet belongs to a later connection on the same ports and to the same upstream.
    ///
    /// Packets of an older connection may arrive late. A packet therefore counts as later only if
    /// none has arrived for as long as such copies can exist.
    fn is_later_connection(&self, now: Millis, sequence: u32) -> bool {
        let later =
            self.other_sequence.is_some_and(|known| within_sequence_window(known, sequence));
        later && now.since(self.last_seen) >= limits::CLAIM_TTL_MS
    }

    fn is_unanswered(&self) -> bool {
        !self.answered && self.state == FlowState::Open
    }

    fn linger_ms(&self) -> Option<u64> {
        match self.state {
            FlowState::Open => None,
            FlowState::Finishing => Some(limits::FINISH_LINGER_MS),
            FlowState::Reset => Some(limits::RESET_LINGER_MS),
        }
    }
}

/// Whether packets with these sequence numbers may belong to one connection. Datagrams have the
/// sequence number zero, which matches any other.
pub(super) fn may_share_connection(one: u32, other: u32) -> bool {
    one == 0 || other == 0 || within_sequence_window(one, other)
}

/// Whether two sequence numbers can belong to packets that are in flight at the same time.
fn within_sequence_window(one: u32, other: u32) -> bool {
    let ahead = one.wrapping_sub(other);
    ahead.min(ahead.wrapping_neg()) <= limits::SEQUENCE_WINDOW_BYTES
}
