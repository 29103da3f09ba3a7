//! What an agent knows about a flow from the packets of both ends.

use std::net::Ipv4Addr;

use super::types::Answer;
use crate::flow::{Millis, Segment};

/// Largest distance between two consecutive packets from an upstream: 16 packets may be in flight,
/// a retransmitted one may be as far behind the first of these, and one more number ends the flow.
const IN_FLIGHT_BYTES: u32 = 2 * 16 * 1_200 + 1;
/// When callers send an opening and its copies, relative to the first one.
const OPENING_OFFSETS_MS: [Millis; 3] = [0, 200, 600];

#[derive(Debug, Default)]
pub(super) struct Flow {
    pub(super) report_to: Option<Ipv4Addr>,
    /// The flow's opening, until the first request on the flow is answered.
    pub(super) opening: Option<Opening>,
    /// Sequence number of the flow's opening, if that was seen.
    pub(super) opening_sequence: Option<u32>,
    /// The arrival of the latest request, until a request on the flow is answered.
    pub(super) arrival: Option<Arrival>,
    /// Whether the caller has ended the flow by a packet without data. It awaits no answer, and
    /// the upstream discards the flow's requests without processing them.
    pub(super) ended: bool,
    /// Whether the flow's requests take precedence over others.
    pub(super) urgent: bool,
    /// Sequence numbers that the upstream has sent on the flow; `None` if it may not hold the flow.
    pub(super) sent: Option<SentRange>,
    /// When the upstream last answered a request on the flow.
    pub(super) answered_ms: Option<Millis>,
    /// Sequence number after the last request data seen.
    pub(super) next_sequence: Option<u32>,
    pub(super) busy_since_ms: Option<Millis>,
    pub(super) seen_ms: Millis,
}

/// An opening, which shows how long its caller has been waiting.
#[derive(Clone, Copy, Debug)]
pub(super) struct Opening {
    pub(super) seen_ms: Millis,
    /// Age of the opening when it was seen: this process may have started after the caller sent the
    /// first copy.
    pub(super) age_ms: Millis,
}

impl Opening {
    pub(super) fn elapsed_ms(self, now_ms: Millis) -> Millis {
        now_ms.saturating_sub(self.seen_ms) + self.age_ms
    }
}

/// The arrival of a request, from which its age counts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// When the first packet of the request was seen.
    pub(super) first_ms: Millis,
    /// Whether the request's caller was found to have given up while it was queued.
    pub(super) given_up: bool,
    /// Sequence number after the request's data, by which the request is identified.
    next_sequence: u32,
    /// Whether the last packet of the request was seen.
    complete: bool,
}

/// How much of what an upstream has sent on a flow is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    /// Everything: the upstream opened the flow in the life of this process.
    Whole,
    /// Where it begins: the upstream has answered an opening, which may be a late copy of the
    /// opening of a flow on which it had sent more before.
    Begin,
    /// Where it ends: the flow was open before.
    End,
}

/// Range of sequence numbers that an upstream has sent on a flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentRange {
    first: u32,
    next: u32,
    known: Known,
}

impl SentRange {
    /// Whether the upstream has sent everything before this number; `None` if that cannot be told.
    pub(super) fn covers(self, acknowledged: u32) -> Option<bool> {
        if acknowledged.wrapping_sub(self.first) <= self.next.wrapping_sub(self.first) {
            return Some(true);
        }
        let is_ahead = (acknowledged.wrapping_sub(self.next) as i32) > 0;
        match self.known {
            Known::Begin if is_ahead => None,
            // The caller may have sent the packet long ago.
            Known::End if !is_ahead => None,
            Known::Whole | Known::Begin | Known::End => Some(false),
        }
    }
}

impl Flow {
    /// How long the caller has been waiting for the answer to the latest request.
    pub(super) fn request_age_ms(&self, now_ms: Millis) -> Millis {
        let opening_ms = self.opening.map_or(0, |opening| opening.elapsed_ms(now_ms));
        let request_ms = self.arrival.map_or(0, |seen| now_ms.saturating_sub(seen.first_ms));
        opening_ms.max(request_ms)
    }

    /// Notes request data. A retransmitted packet does not make a request younger, nor does a
    /// packet that belongs to a request of several packets or to a queued one.
    pub(super) fn note_arrival(
        &mut self,
        now_ms: Millis,
        segment: &Segment,
        complete: bool,
        queued: bool,
    ) {
        let next_sequence = segment.next_sequence();
        if self.has_seen(segment) {
            return;
        }
        match &mut self.arrival {
            Some(known) if (next_sequence.wrapping_sub(known.next_sequence) as i32) <= 0 => {}
            Some(known) if !known.complete || (queued && !known.given_up) => {
                known.next_sequence = next_sequence;
                known.complete = complete;
            }
            known => {
                // The opening shows only how long the first request on the flow has been awaited.
                if known.is_some() {
                    self.opening = None;
                }
                let first_ms = now_ms;
                self.arrival = Some(Arrival { first_ms, given_up: false, next_sequence, complete });
            }
        }
    }

    /// Whether an opening belongs to another flow than the one known so far: the caller has ended
    /// that one, or the opening is not a copy of its opening.
    pub(super) fn is_ended_or_other(&self, opening: &Segment) -> bool {
        let is_other = |sequence| sequence != opening.sequence;
        self.ended || self.opening_sequence.is_some_and(is_other)
    }

    /// Notes an opening. If it opens another flow on the same ports, nothing of the former one
    /// counts for it. Returns whether a request of the former flow was in progress.
    pub(super) fn note_opening(
        &mut self,
        now_ms: Millis,
        segment: &Segment,
        copy: u32,
        is_other_flow: bool,
    ) -> bool {
        let opening = Opening { seen_ms: now_ms, age_ms: opening_age_ms(copy) };
        self.opening_sequence = Some(segment.sequence);
        if !is_other_flow {
            // A copy that arrives after the upstream's answer says nothing about later requests.
            if self.sent.is_none() {
                self.opening.get_or_insert(opening);
            }
            return false;
        }
        self.next_sequence = None;
        self.opening = Some(opening);
        self.arrival = None;
        self.ended = false;
        self.busy_since_ms.take().is_some()
    }

    /// Extends the range of sent numbers by a packet from the upstream. `knows_older` states whether
    /// the flow would be known here if the upstream had held it before.
    ///
    /// An agent that did not see the opening has seen neither the packets that were in flight
    /// before this one nor those that this one overtook. Upstreams send the packets of an answer in
    /// any order, and the last packet of a flow discards the flow's state.
    pub(super) fn note_sent(&mut self, answer: &Answer, knows_older: bool) {
        let counted = u32::from(answer.data_bytes) + u32::from(answer.opening || answer.last);
        let next = answer.sequence.wrapping_add(counted);
        let is_reopened = |sent: &SentRange| answer.opening && sent.first != answer.sequence;
        match self.sent.as_mut().filter(|sent| !is_reopened(sent)) {
            Some(sent) => {
                let ends_here = sent.known == Known::Begin && !answer.opening;
                let in_flight = if ends_here { IN_FLIGHT_BYTES } else { 0 };
                let next = next.wrapping_add(in_flight);
                if (next.wrapping_sub(sent.next) as i32) > 0 {
                    sent.next = next;
                }
                if ends_here {
                    sent.known = Known::Whole;
                }
            }
            None => {
                let (in_flight, known) = match (answer.opening, knows_older) {
                    (true, true) => (0, Known::Whole),
                    (true, false) => (0, Known::Begin),
                    (false, _) => (IN_FLIGHT_BYTES, Known::End),
                };
                if known != Known::Whole {
                    self.opening = None;
                }
                let first = answer.sequence.wrapping_sub(in_flight);
                self.sent = Some(SentRange { first, next: next.wrapping_add(in_flight), known });
            }
        }
    }

    /// Whether this data was already passed on. A caller repeats data that has not been answered,
    /// and the answer may cross the repetition. If the repetition were counted again, the request
    /// would stay in progress forever.
    pub(super) fn has_seen(&self, segment: &Segment) -> bool {
        self.next_sequence
            .is_some_and(|next| (segment.next_sequence().wrapping_sub(next) as i32) <= 0)
    }

    pub(super) fn record_data(&mut self, segment: &Segment) {
        self.next_sequence = Some(segment.next_sequence());
    }
}

/// How long ago the caller sent the first copy of its opening, given the copy that has arrived.
fn opening_age_ms(copy: u32) -> Millis {
    let last = OPENING_OFFSETS_MS.len() - 1;
    OPENING_OFFSETS_MS[usize::try_from(copy).map_or(last, |copy| copy.min(last))]
}
