//! What an agent knows of a flow, from the packets of both ends.

use std::net::Ipv4Addr;

use super::types::Answer;
use crate::flow::{Millis, Segment};

/// How far apart two packets of an upstream may be that follow each other: 16 may be under way, one
/// that is sent again may be as far behind the first of these, and one more ends the flow.
const IN_FLIGHT_BYTES: u32 = 2 * 16 * 1_200 + 1;
/// When callers send their openings: the first one, and its copies.
const OPENING_OFFSETS_MS: [Millis; 3] = [0, 200, 600];

#[derive(Debug, Default)]
pub(super) struct Flow {
    pub(super) report_to: Option<Ipv4Addr>,
    /// Its opening, until the first request on it is answered.
    pub(super) opening: Option<Opening>,
    /// Whether its requests go before others.
    pub(super) urgent: bool,
    /// What the upstream has sent on it; nothing if it may not hold it.
    pub(super) sent: Option<SentRange>,
    /// When it last answered a request on it.
    pub(super) answered_ms: Option<Millis>,
    /// Number after the last data seen.
    pub(super) next_sequence: Option<u32>,
    pub(super) busy_since_ms: Option<Millis>,
    pub(super) seen_ms: Millis,
}

/// An opening that tells when its caller began.
#[derive(Clone, Copy, Debug)]
pub(super) struct Opening {
    pub(super) seen_ms: Millis,
    /// How old it was when it was seen: this process may have started after the caller began.
    pub(super) age_ms: Millis,
}

impl Opening {
    pub(super) fn elapsed_ms(self, now_ms: Millis) -> Millis {
        now_ms.saturating_sub(self.seen_ms) + self.age_ms
    }
}

/// Numbers of what an upstream has sent on a flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentRange {
    first: u32,
    next: u32,
}

impl SentRange {
    /// Whether this is the number of something that was sent, or of what comes next.
    pub(super) fn covers(self, acknowledged: u32) -> bool {
        acknowledged.wrapping_sub(self.first) <= self.next.wrapping_sub(self.first)
    }
}

impl Flow {
    /// An agent that did not see the opening has not seen what was under way before, nor what
    /// overtook the packet at hand: upstreams send the packets of one answer in any order, and its
    /// last one ends what is known of the flow.
    pub(super) fn note_sent(&mut self, answer: &Answer) {
        let counted = u32::from(answer.data_bytes) + u32::from(answer.opening || answer.last);
        let next = answer.sequence.wrapping_add(counted);
        let is_reopened = |sent: &SentRange| answer.opening && sent.first != answer.sequence;
        match self.sent.as_mut().filter(|sent| !is_reopened(sent)) {
            Some(sent) if (next.wrapping_sub(sent.next) as i32) > 0 => sent.next = next,
            Some(_) => {}
            None => {
                let in_flight = if answer.opening { 0 } else { IN_FLIGHT_BYTES };
                let first = answer.sequence.wrapping_sub(in_flight);
                self.sent = Some(SentRange { first, next: next.wrapping_add(in_flight) });
            }
        }
    }

    /// Whether this data was handed on before: a caller repeats what it has no answer to, and an
    /// answer may have crossed the repetition. Counted again, it would stay at work forever.
    pub(super) fn has_seen(&self, segment: &Segment) -> bool {
        self.next_sequence
            .is_some_and(|next| (segment.next_sequence().wrapping_sub(next) as i32) <= 0)
    }

    pub(super) fn record_data(&mut self, segment: &Segment) {
        self.next_sequence = Some(segment.next_sequence());
    }
}

/// How long ago a caller has sent the first of its openings, going by the copy that has come.
pub(super) fn opening_age_ms(copy: u32) -> Millis {
    let last = OPENING_OFFSETS_MS.len() - 1;
    OPENING_OFFSETS_MS[usize::try_from(copy).map_or(last, |copy| copy.min(last))]
}
