//! The balancer's table of flows: a shortcut, bounded, and forgotten without harm.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use crate::flow::{FlowKey, Millis, Segment};

/// Most flows remembered. With 120 bytes each this is 8 MB, far above today's need.
pub const FLOWS_MAX: usize = 65_536;
/// A flow without packets for this long is forgotten; finding it again costs some round trips.
const IDLE_MS: Millis = 30_000;
/// A flow that a caller has ended is forgotten after this time, so that late packets still find it.
const CLOSING_MS: Millis = 2_000;
/// After this time without a further denial, what upstreams denied says nothing any more. Counted
/// from the first denial of a search, it would end no search that takes longer.
const DENIAL_MS: Millis = 1_000;
/// First and longest pause before an upstream that has not answered is asked once more by a search that
/// has gone on: it denies or returns within a few milliseconds, and packets get lost.
const ASK_AGAIN_MS: Millis = 100;
const ASK_AGAIN_MAX_MS: Millis = 800;
/// A packet with the same data that comes again after this time is taken as repeated because
/// nobody answered; the callers' first pause is 200 ms.
const REPEAT_MS: Millis = 150;
/// Repetitions without an answer after which an upstream is doubted: 1.4 s after the first sending,
/// twice as long as a request waits beside its upstream.
const REPEATS_MAX: u32 = 3;
/// Pause between two looks for flows to forget.
const SWEEP_MS: Millis = 1_000;

/// What is known about a flow.
#[derive(Debug, Default)]
pub(super) struct Entry {
    /// Where its packets go.
    pub(super) target: Option<Ipv4Addr>,
    /// Whether the upstream there has answered on this flow.
    pub(super) confirmed: bool,
    /// Sequence number of the opening, if it was seen.
    pub(super) sequence: Option<u32>,
    /// Whether the opening may be refused if every upstream returns it.
    pub(super) refusable: bool,
    /// Upstreams that do not hold the flow, or did not take its opening, in order.
    denials: Vec<Ipv4Addr>,
    /// Whether one of them was taken for another service's: the packet did not reach it.
    misled: bool,
    /// How often the caller has repeated its data without an answer.
    pub(super) repeats: u32,
    /// Upstreams that have answered the opening, with their numbers.
    answers: Vec<(Ipv4Addr, u32)>,
    /// Upstreams that were asked, by address.
    asked: Vec<Asked>,
    /// Since when packets go to the present target.
    asked_ms: Option<Millis>,
    /// Where the opening went first, and when, until there is a word from there.
    awaited: Option<(Ipv4Addr, Millis)>,
    /// Upstreams that got a copy and have not denied the flow since, in order.
    copied: Vec<Ipv4Addr>,
    round: usize,
    /// Whether these are denials of the opening.
    opening_denied: bool,
    /// When the last of them said so.
    denied_ms: Millis,
    expires_ms: Millis,
    last_data: Option<(u32, Millis)>,
}

/// An upstream that was asked.
#[derive(Clone, Copy, Debug)]
struct Asked {
    address: Ipv4Addr,
    /// When it may be asked once more, if it has not answered.
    again_ms: Millis,
    pause_ms: Millis,
}

impl Entry {
    /// Begins anew for another opening of the same flow.
    pub(super) fn restart(&mut self, sequence: u32) {
        *self = Self { sequence: Some(sequence), expires_ms: self.expires_ms, ..Self::default() };
    }

    /// Notes that the upstream at `address` is asked.
    pub(super) fn ask(&mut self, now_ms: Millis, address: Ipv4Addr) {
        if self.target != Some(address) {
            self.target = Some(address);
            self.confirmed = false;
            self.asked_ms = Some(now_ms);
        }
        self.note_asked(now_ms, address);
    }

    /// Notes that the upstream at `address` is asked beside the one that the packet goes to.
    pub(super) fn ask_beside(&mut self, now_ms: Millis, address: Ipv4Addr) {
        self.note_asked(now_ms, address);
        self.note_copy(address);
    }

    fn note_asked(&mut self, now_ms: Millis, address: Ipv4Addr) {
        match self.asked.binary_search_by_key(&address, |asked| asked.address) {
            Ok(index) => {
                let asked = &mut self.asked[index];
                asked.pause_ms = (2 * asked.pause_ms).min(ASK_AGAIN_MAX_MS);
                asked.again_ms = now_ms + asked.pause_ms;
            }
            Err(index) => {
                let (again_ms, pause_ms) = (now_ms + ASK_AGAIN_MS, ASK_AGAIN_MS);
                self.asked.insert(index, Asked { address, again_ms, pause_ms });
            }
        }
    }

    /// Whether the upstream at `address` was asked, and has had its time to answer.
    pub(super) fn is_overdue(&self, now_ms: Millis, address: Ipv4Addr) -> bool {
        let index = self.asked.binary_search_by_key(&address, |asked| asked.address);
        index.is_ok_and(|index| self.asked[index].again_ms <= now_ms)
    }

    /// Notes when the opening went out for the first time.
    pub(super) fn await_word(&mut self, now_ms: Millis, address: Ipv4Addr) {
        self.awaited = Some((address, now_ms));
    }

    /// Time since the opening went to the upstream at `address`, if it speaks for the first time.
    pub(super) fn take_round_trip(&mut self, now_ms: Millis, address: Ipv4Addr) -> Option<Millis> {
        let (_, asked_ms) = self.awaited.take_if(|(awaited, _)| *awaited == address)?;
        Some(now_ms.saturating_sub(asked_ms))
    }

    /// Notes that the upstream at `address` did not take the flow's opening.
    pub(super) fn deny_opening(&mut self, address: Ipv4Addr, now_ms: Millis) {
        if !std::mem::replace(&mut self.opening_denied, true) {
            self.clear_denials();
        }
        self.note_denial(address, now_ms);
    }

    /// Notes that the upstream at `address` does not hold the flow.
    pub(super) fn deny(&mut self, address: Ipv4Addr, now_ms: Millis) {
        self.forget_opening();
        self.note_denial(address, now_ms);
    }

    /// Forgets who did not take the opening.
    ///
    /// One that was silent may have taken it after all.
    pub(super) fn forget_opening(&mut self) {
        if std::mem::take(&mut self.opening_denied) {
            self.clear_denials();
        }
    }

    /// Forgets all denials.
    pub(super) fn clear_denials(&mut self) {
        self.denials.clear();
        self.misled = false;
    }

    /// Notes that the upstream at `address` got nothing, and may hold the flow: it was asked for
    /// another service than it runs.
    pub(super) fn mislead(&mut self, address: Ipv4Addr, now_ms: Millis) {
        self.deny(address, now_ms);
        self.misled = true;
    }

    /// Whether some denial proves nothing.
    pub(super) fn is_misled(&self) -> bool {
        self.misled
    }

    fn note_denial(&mut self, address: Ipv4Addr, now_ms: Millis) {
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
        if now_ms.saturating_sub(self.denied_ms) >= DENIAL_MS {
            self.clear_denials();
        }
    }

    /// Doubts an upstream that answered before and takes packets without a word now: it may hold the
    /// flow half open only. It keeps getting the flow's packets, and others get copies.
    pub(super) fn doubt_if_mute(&mut self) {
        if self.repeats >= REPEATS_MAX {
            self.confirmed = false;
        }
    }

    /// Asks no upstream any more that is not listed, unless it has answered on this flow: its entry
    /// went because it is gone, and the flow is elsewhere or lost.
    pub(super) fn leave_unlisted(&mut self, is_listed: impl FnOnce(Ipv4Addr) -> bool) {
        let asked = self.target.filter(|_| !self.confirmed);
        if asked.is_some_and(|address| !is_listed(address)) {
            self.target = None;
        }
    }

    /// Notes that the upstream at `address` has answered the opening with this number.
    pub(super) fn note_answer(&mut self, address: Ipv4Addr, sequence: u32) {
        self.answers.retain(|(answered, _)| *answered != address);
        self.answers.push((address, sequence));
    }

    /// Decides between several upstreams that have answered the opening: the flow is open at the one
    /// whose number the caller acknowledges. The others keep a half-open flow, and take its packets
    /// without a word.
    pub(super) fn settle(&mut self, acknowledged: u32) {
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

    /// Notes that the upstream at `address` gets a copy beside the one that is asked.
    pub(super) fn note_copy(&mut self, address: Ipv4Addr) {
        if let Err(index) = self.copied.binary_search(&address) {
            self.copied.insert(index, address);
        }
    }

    /// Whether the upstream at `address` got a copy; it counts once.
    pub(super) fn take_copied(&mut self, address: Ipv4Addr) -> bool {
        let index = self.copied.binary_search(&address);
        index.map(|index| self.copied.remove(index)).is_ok()
    }

    /// Where in a list of this length the next round of copies begins.
    pub(super) fn next_round(&mut self, length: usize, copies: usize) -> usize {
        let start = self.round.checked_rem(length).unwrap_or(0);
        self.round = self.round.wrapping_add(copies);
        start
    }

    /// Number of upstreams that were asked.
    pub(super) fn asked_count(&self) -> u64 {
        self.asked.len() as u64
    }

    /// Whether the upstream at `address` was asked.
    pub(super) fn has_asked(&self, address: Ipv4Addr) -> bool {
        self.asked.binary_search_by_key(&address, |asked| asked.address).is_ok()
    }

    /// Whether the upstream at `address` has denied the flow.
    pub(super) fn has_denied(&self, address: Ipv4Addr) -> bool {
        self.denials.binary_search(&address).is_ok()
    }

    /// Whether the upstream that is asked has said nothing for so long that the packets that nobody
    /// answers should go to others as well.
    ///
    /// A caller that takes a long answer sends bare acknowledgements only, which nobody answers.
    fn is_stuck(&self, now_ms: Millis) -> bool {
        let waits_since = self.asked_ms.filter(|_| !self.confirmed);
        waits_since.is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= REPEAT_MS)
    }

    /// Notes a packet and says whether the same came before, some time ago: nobody has answered it.
    pub(super) fn note_packet(&mut self, now_ms: Millis, segment: &Segment) -> bool {
        if !segment.wants_answer() {
            return self.is_stuck(now_ms);
        }
        if let Some((sequence, at_ms)) = self.last_data
            && sequence == segment.sequence
        {
            let repeated = now_ms.saturating_sub(at_ms) >= REPEAT_MS;
            self.repeats += u32::from(repeated);
            return repeated;
        }
        self.repeats = 0;
        self.last_data = Some((segment.sequence, now_ms));
        false
    }
}

/// All flows known.
#[derive(Default)]
pub(super) struct FlowTable {
    entries: HashMap<FlowKey, Entry>,
    swept_ms: Millis,
}

impl FlowTable {
    /// The entry of a flow, new if there is none. A full table starts anew: entries are shortcuts,
    /// and a flood must not cost more than that.
    pub(super) fn entry(&mut self, flow: FlowKey, now_ms: Millis) -> &mut Entry {
        if self.entries.len() >= FLOWS_MAX && !self.entries.contains_key(&flow) {
            self.entries = HashMap::new();
        }
        let entry = self.entries.entry(flow).or_default();
        entry.expires_ms = now_ms + IDLE_MS;
        entry
    }

    /// The entry of a flow, if there is one.
    pub(super) fn get(&mut self, flow: FlowKey) -> Option<&mut Entry> {
        self.entries.get_mut(&flow)
    }

    /// Forgets a flow soon.
    pub(super) fn closing(&mut self, flow: FlowKey, now_ms: Millis) {
        if let Some(entry) = self.entries.get_mut(&flow) {
            entry.expires_ms = now_ms + CLOSING_MS;
        }
    }

    /// Forgets what is old.
    pub(super) fn expire(&mut self, now_ms: Millis) {
        if now_ms.saturating_sub(self.swept_ms) < SWEEP_MS {
            return;
        }
        self.swept_ms = now_ms;
        self.entries.retain(|_, entry| entry.expires_ms > now_ms);
    }

    /// Number of flows.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
