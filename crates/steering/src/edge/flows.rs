//! The balancer's table of flows: a shortcut, bounded, and forgotten without harm.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use super::visits::Visits;
use crate::flow::{FlowKey, Millis, Segment};

/// Most flows remembered. With 120 bytes each this is 8 MB, far above today's need.
pub const FLOWS_MAX: usize = 65_536;
/// A flow without packets for this long is forgotten; finding it again costs some round trips.
const IDLE_TIMEOUT_MS: Millis = 30_000;
/// A flow that a caller has ended is forgotten after this time, so that late packets still find it.
const CLOSING_TIMEOUT_MS: Millis = 2_000;
/// After this time without a further denial, what upstreams denied says nothing any more. Counted
/// from the first denial of a search, it would end no search that takes longer.
const DENIAL_TTL_MS: Millis = 1_000;
/// A packet with the same data that comes again after this time is taken as repeated because
/// nobody answered; the callers' first pause is 200 ms.
const RETRANSMISSION_MIN_MS: Millis = 150;
/// Repetitions without an answer after which an upstream is doubted: 1.4 s after the first sending,
/// twice as long as a request waits beside its upstream.
const RETRANSMISSIONS_MAX: u32 = 3;
/// Questions that a caller's packets earn at most for their flow.
const SEARCH_CREDIT_MAX: u8 = 8;
/// Pause between two looks for flows to forget.
const SWEEP_INTERVAL_MS: Millis = 1_000;

/// What is known about a flow.
#[derive(Debug, Default)]
pub(super) struct Entry {
    /// Where its packets go.
    pub(super) target: Option<Ipv4Addr>,
    /// Whether the upstream there has answered on this flow.
    pub(super) confirmed: bool,
    /// Sequence number of the opening, if it was seen.
    pub(super) sequence: Option<u32>,
    /// Until when the opening may be refused if every upstream returns it.
    pub(super) resettable_until_ms: Millis,
    /// Upstreams that do not hold the flow, or did not take its opening, in order.
    denials: Vec<Ipv4Addr>,
    /// Whether one of them was taken for another service's: the packet did not reach it.
    inconclusive_denial: bool,
    /// Whether the upstream that answered takes packets without a word, so that the flow may be anywhere.
    suspected: bool,
    /// How often the caller has repeated its data without an answer.
    retransmissions: u32,
    /// Upstreams that have answered the opening, with their numbers.
    answers: Vec<(Ipv4Addr, u32)>,
    /// Upstreams at which it was looked for.
    pub(super) visits: Visits,
    /// Since when packets go to the present target.
    target_since_ms: Option<Millis>,
    /// Where the opening went first, and when, until there is a word from there.
    awaited_reply: Option<(Ipv4Addr, Millis)>,
    /// Whether these are denials of the opening.
    opening_denied: bool,
    /// When the last of them said so.
    denied_ms: Millis,
    expires_ms: Millis,
    last_data: Option<(u32, Millis)>,
    /// Questions that its caller's packets after the first have earned.
    search_credit: u8,
}

impl Entry {
    /// Begins anew for another opening of the same flow.
    pub(super) fn reset_for_opening(&mut self, sequence: u32) {
        *self = Self { sequence: Some(sequence), expires_ms: self.expires_ms, ..Self::default() };
    }

    /// Notes that the upstream at `address` is asked.
    pub(super) fn ask(&mut self, now_ms: Millis, address: Ipv4Addr) {
        if self.target != Some(address) {
            self.target = Some(address);
            self.confirmed = false;
            self.target_since_ms = Some(now_ms);
        }
        self.visits.ask(now_ms, address);
    }

    /// Notes when the opening went out for the first time.
    pub(super) fn await_first_reply(&mut self, now_ms: Millis, address: Ipv4Addr) {
        self.awaited_reply = Some((address, now_ms));
    }

    /// Time since the opening went to the upstream at `address`, if it speaks for the first time.
    pub(super) fn take_round_trip(&mut self, now_ms: Millis, address: Ipv4Addr) -> Option<Millis> {
        let (_, asked_ms) = self.awaited_reply.take_if(|(awaited, _)| *awaited == address)?;
        Some(now_ms.saturating_sub(asked_ms))
    }

    /// Notes that the upstream at `address` did not take the flow's opening.
    pub(super) fn record_opening_denial(&mut self, address: Ipv4Addr, now_ms: Millis) {
        if !std::mem::replace(&mut self.opening_denied, true) {
            self.clear_denials();
        }
        self.push_denial(address, now_ms);
    }

    /// Notes that the upstream at `address` does not hold the flow.
    pub(super) fn record_denial(&mut self, address: Ipv4Addr, now_ms: Millis) {
        self.forget_opening_denials();
        self.push_denial(address, now_ms);
    }

    /// Forgets who did not take the opening.
    ///
    /// One that was silent may have taken it after all.
    pub(super) fn forget_opening_denials(&mut self) {
        if std::mem::take(&mut self.opening_denied) {
            self.clear_denials();
        }
    }

    /// Forgets all denials.
    pub(super) fn clear_denials(&mut self) {
        self.denials.clear();
        self.inconclusive_denial = false;
    }

    /// Notes that the upstream at `address` got nothing, and may hold the flow: it was asked for
    /// another service than it runs.
    pub(super) fn record_wrong_service(&mut self, address: Ipv4Addr, now_ms: Millis) {
        self.record_denial(address, now_ms);
        self.inconclusive_denial = true;
    }

    /// Whether some denial proves nothing.
    pub(super) fn has_inconclusive_denial(&self) -> bool {
        self.inconclusive_denial
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

    /// Forgets denials that are too old to prove anything.
    pub(super) fn forget_old_denials(&mut self, now_ms: Millis) {
        if now_ms.saturating_sub(self.denied_ms) >= DENIAL_TTL_MS {
            self.clear_denials();
        }
    }

    /// Doubts an upstream that answered before and takes packets without a word now: it may hold the
    /// flow half open only. It keeps getting the flow's packets, and others get copies.
    pub(super) fn suspect_if_unresponsive(&mut self) {
        if self.retransmissions >= RETRANSMISSIONS_MAX {
            self.confirmed = false;
            self.suspected = true;
        }
    }

    /// Takes the word of the flow's upstream.
    pub(super) fn clear_suspicion(&mut self) {
        self.retransmissions = 0;
        self.suspected = false;
    }

    /// Whether the flow lives at one of those that got its opening from here, as far as is known.
    pub(super) fn is_opened_here(&self) -> bool {
        self.sequence.is_some() && !self.suspected
    }

    /// Asks no upstream any more that is not listed, unless it has answered on this flow: its entry
    /// went because it is gone, and the flow is elsewhere or lost.
    pub(super) fn drop_unlisted_target(&mut self, is_listed: impl FnOnce(Ipv4Addr) -> bool) {
        let asked = self.target.filter(|_| !self.confirmed);
        if asked.is_some_and(|address| !is_listed(address)) {
            self.target = None;
        }
    }

    /// Notes that the upstream at `address` has answered the opening with this number.
    pub(super) fn record_answer(&mut self, address: Ipv4Addr, sequence: u32) {
        self.answers.retain(|(answered, _)| *answered != address);
        self.answers.push((address, sequence));
    }

    /// Decides between several upstreams that have answered the opening: the flow is open at the one
    /// whose number the caller acknowledges. The others keep a half-open flow, and take its packets
    /// without a word.
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

    /// Whether the upstream at `address` has denied the flow.
    pub(super) fn has_denied(&self, address: Ipv4Addr) -> bool {
        self.denials.binary_search(&address).is_ok()
    }

    /// Whether the upstream that is asked has said nothing for so long that the packets that nobody
    /// answers should go to others as well.
    ///
    /// A caller that takes a long answer sends bare acknowledgements only, which nobody answers.
    fn is_unanswered(&self, now_ms: Millis) -> bool {
        let waits_since = self.target_since_ms.filter(|_| !self.confirmed);
        waits_since.is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= RETRANSMISSION_MIN_MS)
    }

    /// Spends a question that the caller's packets have earned, if there is one.
    pub(super) fn take_search_credit(&mut self) -> bool {
        let left = self.search_credit.checked_sub(1);
        self.search_credit = left.unwrap_or(0);
        left.is_some()
    }

    /// Notes a packet and says whether the same came before, some time ago: nobody has answered it.
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

/// All flows known.
#[derive(Default)]
pub(super) struct FlowTable {
    entries: HashMap<FlowKey, Entry>,
    last_sweep_ms: Millis,
}

impl FlowTable {
    /// The entry of a flow, new if there is none. A full table starts anew: entries are shortcuts,
    /// and a flood must not cost more than that.
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

    /// Forgets a flow soon.
    pub(super) fn expire_soon(&mut self, flow: FlowKey, now_ms: Millis) {
        if let Some(entry) = self.entries.get_mut(&flow) {
            entry.expires_ms = now_ms + CLOSING_TIMEOUT_MS;
        }
    }

    /// Forgets what is old.
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
