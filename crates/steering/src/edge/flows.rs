//! The balancer's flow table: a bounded cache whose entries can be lost without harm.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use super::visits::Visits;
use crate::flow::{FlowKey, Millis, Segment};
use crate::view::{ShortStamp, Upstream};

/// Maximum number of flows in the table: 8 MB at 120 bytes each, far above the present load.
pub const FLOWS_MAX: usize = 65_536;
/// A flow without packets for this long is removed; finding it again costs a few round trips.
const IDLE_TIMEOUT_MS: Millis = 30_000;
/// A flow that its caller has closed is removed after this time, so that late packets still find
/// it.
const CLOSING_TIMEOUT_MS: Millis = 2_000;
/// Denials expire this long after the latest one. If they expired this long after the first one, a
/// search that takes longer would never end.
const DENIAL_TTL_MS: Millis = 1_000;
/// The same while the flow may be at an upstream that its search does not ask. Asking the others again
/// shows nothing new, and all callers of lost flows together would fill the links.
const DOUBTED_DENIAL_TTL_MS: Millis = 15_000;
/// Data that arrives again after this time counts as retransmitted for lack of an answer; callers
/// first retransmit after 200 ms.
const RETRANSMISSION_MIN_MS: Millis = 150;
/// Unanswered retransmissions after which an upstream is suspected: 1.4 s after the first packet,
/// twice as long as a request waits beside its upstream.
const RETRANSMISSIONS_MAX: u32 = 3;
/// Most queries that the packets of a flow's caller can pay for in advance.
const SEARCH_CREDIT_MAX: u8 = 8;
/// Interval between two removals of expired flows.
const SWEEP_INTERVAL_MS: Millis = 1_000;

/// State of a flow.
#[derive(Debug, Default)]
pub(super) struct Entry {
    /// The upstream that gets its packets.
    pub(super) target: Option<Ipv4Addr>,
    /// Whether that upstream has answered on this flow.
    pub(super) confirmed: bool,
    /// Sequence number of the opening, if this balancer received it.
    pub(super) sequence: Option<u32>,
    /// Until when the opening may be reset if every upstream denies it.
    pub(super) resettable_until_ms: Millis,
    /// Number of times that an overloaded upstream refused the opening.
    pub(super) overload_refusals: u8,
    /// Whether the flow may be open although every upstream has denied it: one that counts as
    /// denying the opening has received it nevertheless, or the opening was sent more than once, and
    /// one packet may have been refused and another one taken.
    pub(super) denials_in_doubt: bool,
    /// Upstreams that do not hold the flow, or did not take its opening, sorted.
    denials: Vec<Ipv4Addr>,
    /// Those among them that did not get the packet, because it was addressed to another service
    /// than theirs, with the service that each of them runs.
    wrong_services: Vec<(Ipv4Addr, ShortStamp)>,
    /// Whether the upstream that answered the opening has stopped answering, so that the flow may
    /// be at any other.
    suspected: bool,
    /// How often the caller has retransmitted its latest data.
    retransmissions: u32,
    /// Upstreams that have answered the opening, with their sequence numbers.
    answers: Vec<(Ipv4Addr, u32)>,
    /// Upstreams that were searched for the flow.
    pub(super) visits: Visits,
    /// Since when packets go to the current target.
    target_since_ms: Option<Millis>,
    /// Where the opening was sent first, and when; cleared by the first reply from there.
    awaited_reply: Option<(Ipv4Addr, Millis)>,
    /// Whether `denials` are denials of the opening.
    opening_denied: bool,
    /// Time of the latest denial.
    denied_ms: Millis,
    expires_ms: Millis,
    last_data: Option<(u32, Millis)>,
    /// Since when the flow may be at an upstream that its search does not ask.
    doubted_since_ms: Option<Millis>,
    /// When all listed upstreams had denied the flow for the first time since it was last found.
    absent_since_ms: Option<Millis>,
    /// Queries that the packets of its caller after the first have paid for.
    search_credit: u8,
}

impl Entry {
    /// Starts over for another opening of the same flow.
    pub(super) fn reset_for_opening(&mut self, sequence: u32) {
        *self = Self { sequence: Some(sequence), expires_ms: self.expires_ms, ..Self::default() };
    }

    /// Makes the upstream at `address` the target and records a query to it.
    pub(super) fn ask(&mut self, now_ms: Millis, address: Ipv4Addr) {
        if self.target != Some(address) {
            self.target = Some(address);
            self.confirmed = false;
            self.target_since_ms = Some(now_ms);
        }
        self.visits.ask(now_ms, address);
    }

    /// Records when and where the opening was sent first.
    pub(super) fn await_first_reply(&mut self, now_ms: Millis, address: Ipv4Addr) {
        self.awaited_reply = Some((address, now_ms));
    }

    /// Time since the opening was sent to the upstream at `address`, if this is its first reply.
    pub(super) fn take_round_trip(&mut self, now_ms: Millis, address: Ipv4Addr) -> Option<Millis> {
        let (_, asked_ms) = self.awaited_reply.take_if(|(awaited, _)| *awaited == address)?;
        Some(now_ms.saturating_sub(asked_ms))
    }

    /// Records that the upstream at `address` did not take the flow's opening.
    pub(super) fn record_opening_denial(&mut self, address: Ipv4Addr, now_ms: Millis) {
        if !std::mem::replace(&mut self.opening_denied, true) {
            self.clear_denials();
        }
        self.push_denial(address, now_ms);
    }

    /// Whether the opening may be reset if no upstream takes it: every upstream to which it was
    /// sent has denied it. One that has not replied may have opened the flow.
    pub(super) fn may_be_reset(&self, now_ms: Millis) -> bool {
        let has_denied = |address| self.denials.binary_search(&address).is_ok();
        now_ms < self.resettable_until_ms && self.visits.addresses().all(has_denied)
    }

    /// Clears refusals by overloaded upstreams. Their agents take later copies of an opening, which
    /// can no longer be reset.
    pub(super) fn forget_overload_refusals(&mut self) {
        if std::mem::take(&mut self.overload_refusals) > 0 {
            self.clear_denials();
            self.resettable_until_ms = 0;
        }
    }

    /// Records that the upstream at `address` does not hold the flow.
    pub(super) fn record_denial(&mut self, address: Ipv4Addr, now_ms: Millis) {
        self.forget_opening_denials();
        self.wrong_services.retain(|(other, _)| *other != address);
        self.push_denial(address, now_ms);
    }

    /// Clears the denials of the opening.
    ///
    /// An upstream that did not reply in time may have taken the opening after all.
    pub(super) fn forget_opening_denials(&mut self) {
        if std::mem::take(&mut self.opening_denied) {
            self.clear_denials();
        }
    }

    /// Clears all denials.
    pub(super) fn clear_denials(&mut self) {
        self.denials.clear();
        self.wrong_services.clear();
    }

    /// Records that the packet was not delivered at `address`, since the upstream there runs
    /// `service` and not the addressed one. It may still hold the flow.
    pub(super) fn record_wrong_service(
        &mut self,
        address: Ipv4Addr,
        service: ShortStamp,
        now_ms: Millis,
    ) {
        self.record_denial(address, now_ms);
        self.wrong_services.push((address, service));
    }

    /// Upstreams that did not get the packet, and the services that they run.
    pub(super) fn wrong_services(&self) -> impl Iterator<Item = (Ipv4Addr, ShortStamp)> + '_ {
        self.wrong_services.iter().copied()
    }

    fn push_denial(&mut self, address: Ipv4Addr, now_ms: Millis) {
        self.forget_old_denials(now_ms);
        self.denied_ms = now_ms;
        if let Err(index) = self.denials.binary_search(&address) {
            self.denials.insert(index, address);
        }
        if self.target == Some(address) {
            self.target = None;
            self.confirmed = false;
        }
    }

    /// Since when the flow may be at an upstream that its search does not ask; from now on if it was
    /// not doubted before.
    pub(super) fn doubted_since_ms(&mut self, now_ms: Millis) -> Millis {
        *self.doubted_since_ms.get_or_insert(now_ms)
    }

    /// When all listed upstreams had denied the flow; now if they had not before.
    pub(super) fn absent_since_ms(&mut self, now_ms: Millis) -> Millis {
        *self.absent_since_ms.get_or_insert(now_ms)
    }

    /// Notes that the flow was found.
    pub(super) fn end_doubt(&mut self) {
        self.doubted_since_ms = None;
        self.absent_since_ms = None;
    }

    /// Clears denials that are too old to prove anything.
    pub(super) fn forget_old_denials(&mut self, now_ms: Millis) {
        let is_doubted = self.doubted_since_ms.is_some();
        let ttl_ms = if is_doubted && !self.denials_in_doubt {
            DOUBTED_DENIAL_TTL_MS
        } else {
            DENIAL_TTL_MS
        };
        if now_ms.saturating_sub(self.denied_ms) >= ttl_ms {
            self.clear_denials();
        }
    }

    /// Marks the target as suspected if it answered before and now receives packets without
    /// replying: the flow may be only half open there. The target still gets the flow's packets,
    /// and other upstreams get copies.
    pub(super) fn suspect_if_unresponsive(&mut self) {
        if self.retransmissions >= RETRANSMISSIONS_MAX {
            self.confirmed = false;
            self.suspected = true;
        }
    }

    /// Clears the suspicion after a reply from the flow's upstream.
    pub(super) fn clear_suspicion(&mut self) {
        self.retransmissions = 0;
        self.suspected = false;
    }

    /// Whether the flow is, as far as is known, at one of the upstreams to which this balancer sent
    /// its opening.
    pub(super) fn is_opened_here(&self) -> bool {
        self.sequence.is_some() && !self.suspected
    }

    /// Clears a target that is no longer listed, unless it has answered on this flow. Its entry was
    /// removed because the upstream is gone, so the flow is elsewhere or lost.
    pub(super) fn drop_unlisted_target(&mut self, is_listed: impl FnOnce(Ipv4Addr) -> bool) {
        let asked = self.target.filter(|_| !self.confirmed);
        if asked.is_some_and(|address| !is_listed(address)) {
            self.target = None;
        }
    }

    /// Records that the upstream at `address` has answered the opening with this sequence number.
    pub(super) fn record_answer(&mut self, address: Ipv4Addr, sequence: u32) {
        self.answers.retain(|(answered, _)| *answered != address);
        self.answers.push((address, sequence));
    }

    /// Decides between several upstreams that have answered the opening: the flow is open at the
    /// one whose sequence number the caller acknowledges. The others keep a half-open flow and
    /// accept its packets without answering.
    pub(super) fn resolve_answers(&mut self, acknowledged: u32) {
        if self.answers.len() < 2 {
            return;
        }
        let ahead = |(_, sequence): &&(Ipv4Addr, u32)| acknowledged.wrapping_sub(*sequence);
        if let Some((address, _)) = self.answers.iter().min_by_key(ahead) {
            self.target = Some(*address);
            self.confirmed = true;
        }
        self.answers.clear();
    }

    /// Whether this upstream has denied the flow. It has not if it did not get the packet and is
    /// now listed with a service that may be the one that it named: it would get the next one.
    pub(super) fn has_denied(&self, upstream: &Upstream) -> bool {
        let Upstream { address, service, .. } = *upstream;
        self.denials.binary_search(&address).is_ok()
            && !self.wrong_services.contains(&(address, service.short()))
    }

    /// Whether the target has not replied for so long that packets to which no answer is due should
    /// go to other upstreams as well.
    ///
    /// A caller that receives a long answer sends only bare acknowledgements, which are never
    /// answered.
    fn is_unanswered(&self, now_ms: Millis) -> bool {
        let unconfirmed_since = self.target_since_ms.filter(|_| !self.confirmed);
        unconfirmed_since
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= RETRANSMISSION_MIN_MS)
    }

    /// Takes one query that the caller's packets have paid for, if there is one.
    pub(super) fn take_search_credit(&mut self) -> bool {
        let left = self.search_credit.checked_sub(1);
        self.search_credit = left.unwrap_or(0);
        left.is_some()
    }

    /// Records a packet and returns whether the flow lacks an answer: the packet is a
    /// retransmission, or a bare acknowledgement while the target has not replied for long.
    pub(super) fn record_packet(&mut self, now_ms: Millis, segment: &Segment) -> bool {
        let is_first = self.visits.asked_count() == 0;
        self.search_credit = (self.search_credit + u8::from(!is_first)).min(SEARCH_CREDIT_MAX);
        if !segment.wants_answer() {
            return self.is_unanswered(now_ms);
        }
        if let Some((sequence, at_ms)) = self.last_data
            && sequence == segment.sequence
        {
            let repeated = now_ms.saturating_sub(at_ms) >= RETRANSMISSION_MIN_MS;
            self.retransmissions += u32::from(repeated);
            return repeated;
        }
        self.retransmissions = 0;
        self.last_data = Some((segment.sequence, now_ms));
        false
    }
}

/// All known flows.
#[derive(Default)]
pub(super) struct FlowTable {
    entries: HashMap<FlowKey, Entry>,
    last_sweep_ms: Millis,
}

impl FlowTable {
    /// The entry of a flow, created if there is none. A full table is emptied: entries are only a
    /// cache, and a flood of flows must not cost more than that.
    pub(super) fn entry(&mut self, flow: FlowKey, now_ms: Millis) -> &mut Entry {
        if self.entries.len() >= FLOWS_MAX && !self.entries.contains_key(&flow) {
            self.entries = HashMap::new();
        }
        let entry = self.entries.entry(flow).or_default();
        entry.expires_ms = now_ms + IDLE_TIMEOUT_MS;
        entry
    }

    /// The entry of a flow, if there is one.
    pub(super) fn get(&mut self, flow: FlowKey) -> Option<&mut Entry> {
        self.entries.get_mut(&flow)
    }

    /// Lets a closed flow expire soon.
    pub(super) fn expire_soon(&mut self, flow: FlowKey, now_ms: Millis) {
        if let Some(entry) = self.entries.get_mut(&flow) {
            entry.expires_ms = now_ms + CLOSING_TIMEOUT_MS;
        }
    }

    /// Removes expired flows.
    pub(super) fn expire(&mut self, now_ms: Millis) {
        if now_ms.saturating_sub(self.last_sweep_ms) < SWEEP_INTERVAL_MS {
            return;
        }
        self.last_sweep_ms = now_ms;
        self.entries.retain(|_, entry| entry.expires_ms > now_ms);
    }

    /// Number of flows.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
