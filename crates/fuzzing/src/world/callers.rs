//! Callers, which open flows, send, retransmit and close flows.

use decision::keys::FlowId;

use super::fleet::SERVICES;
use super::network::mix;
use super::upstreams::Token;
use crate::oracle::Request;

/// Contents of a caller's packet as the upstream receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Inner {
    /// A SYN, or a request to a datagram service.
    Open(Request),
    /// A packet in the middle of a flow.
    Middle(Request, Token),
    /// A FIN.
    Finish(Request, Token),
    /// A RST.
    Reset(Request, Token),
}

impl Inner {
    /// The request whose flow the packet belongs to.
    pub(super) fn request(&self) -> Request {
        match *self {
            Self::Open(request)
            | Self::Middle(request, _)
            | Self::Finish(request, _)
            | Self::Reset(request, _) => request,
        }
    }

    /// The connection that the packet belongs to; none for an opening.
    pub(super) fn token(&self) -> Option<Token> {
        match *self {
            Self::Open(_) => None,
            Self::Middle(_, token) | Self::Finish(_, token) | Self::Reset(_, token) => Some(token),
        }
    }
}

/// A reply to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[allow(missing_docs, reason = "the same fields recur: the request and the connection")]
pub(super) enum Reply {
    /// SYN-ACK.
    Accepted { request: Request, token: Token },
    /// Reply to a datagram request.
    Done { request: Request },
    /// Challenge ACK: the upstream has an older connection with the same ports.
    Challenge { request: Request, token: Token },
    /// Acknowledges a packet in the middle.
    Acknowledged { token: Token },
    /// Acknowledges the orderly close of the flow.
    Finished { token: Token },
    /// RST in reply to a packet of this connection.
    Reset { token: Token },
    /// An agent refused the opening.
    Refused { request: Request },
}

/// Connection state of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No flow.
    Idle,
    /// Waits for the reply to its opening.
    Opening,
    /// The flow is open.
    Open {
        /// Connection that the upstream's reply identified.
        token: Token,
        /// Whether a packet that the caller sent is not acknowledged yet.
        unacknowledged: bool,
    },
    /// Has sent a FIN.
    Closing {
        /// Connection that the upstream's reply identified.
        token: Token,
    },
}

/// A caller of one service with at most one flow at a time. It changes ports only if the previous
/// ones may not be reused yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Caller {
    /// Number of the caller.
    pub(super) number: usize,
    /// The service that it calls.
    pub(super) service: usize,
    /// Flow id of its current ports.
    pub(super) flow: FlowId,
    /// Number of port changes so far.
    port: u64,
    seed: u64,
    /// Whether it reset its last flow itself, after which the ports may be reused at once.
    aborted: bool,
    /// True time of the last reply of any kind, or of giving up.
    last_reply_ms: u64,
    /// Connection state.
    pub(super) phase: Phase,
    /// Number of openings so far.
    pub(super) nonce: u32,
    /// Transmissions of the pending packet so far.
    pub(super) tries: u32,
    /// Number of the current timer; older timers are ignored.
    pub(super) timer: u32,
    /// True time of the first transmission of the last opening.
    pub(super) first_sent_ms: u64,
    /// True time of the last acknowledgement in its flow.
    pub(super) answered_ms: u64,
    /// Result of its last opening.
    pub(super) outcome: Outcome,
}

/// Result of an opening as the caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// No reply yet.
    Unknown,
    /// Accepted (TCP) or answered (datagram).
    Served,
    /// Refused.
    Refused,
    /// The upstream still has an older connection of the caller, which the caller resets first.
    Challenged,
}

/// Transmissions before a caller gives up. As on Linux, the last SYN is sent after 31 s.
const TRIES_MAX: u32 = 6;
/// Delay of the first retransmission of an opening or FIN; doubled each time.
const OPENING_RETRANSMIT_MS: u64 = 1_000;
/// Base delay of retransmissions in an open flow; doubled each time.
const FLOW_RETRANSMIT_MS: u64 = 200;
/// Longest time between two transmissions in an open flow.
const FLOW_RETRANSMIT_MAX_MS: u64 = 4_000;

/// Time for which the caller's operating system doesn't reuse the ports of an orderly closed flow.
const TIME_WAIT_MS: u64 = 60_000;

fn flow(seed: u64, number: usize, port: u64) -> FlowId {
    FlowId(mix(seed ^ ((number as u64) << 8) ^ (port << 32)))
}

impl Caller {
    /// An idle caller.
    pub(super) fn new(number: usize, service: usize, seed: u64) -> Self {
        let phase = Phase::Idle;
        Self {
            number,
            service,
            flow: flow(seed, number, 0),
            port: 0,
            seed,
            aborted: false,
            last_reply_ms: 0,
            phase,
            nonce: 0,
            tries: 0,
            timer: 0,
            first_sent_ms: 0,
            answered_ms: 0,
            outcome: Outcome::Unknown,
        }
    }

    /// The current request.
    pub(super) fn request(&self) -> Request {
        Request { service: self.service, caller: self.number, nonce: self.nonce }
    }

    /// The packet that is retransmitted until it is answered.
    pub(super) fn pending(&self) -> Option<Inner> {
        match self.phase {
            Phase::Idle | Phase::Open { unacknowledged: false, .. } => None,
            Phase::Opening => Some(Inner::Open(self.request())),
            Phase::Open { token, .. } => Some(Inner::Middle(self.request(), token)),
            Phase::Closing { token } => Some(Inner::Finish(self.request(), token)),
        }
    }

    /// Starts a new opening.
    pub(super) fn open(&mut self, now_ms: u64) {
        let ports_reusable = self.nonce == 0 || now_ms >= self.last_reply_ms + TIME_WAIT_MS;
        if !ports_reusable && !self.aborted && !SERVICES[self.service].is_datagram() {
            self.port += 1;
            self.flow = flow(self.seed, self.number, self.port);
        }
        self.aborted = false;
        self.nonce += 1;
        self.first_sent_ms = now_ms;
        self.outcome = Outcome::Unknown;
        self.enter(Phase::Opening);
    }

    /// Enters a phase and resets the retransmission state.
    pub(super) fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.tries = 0;
        self.timer += 1;
    }

    /// Ends the flow by a reset.
    pub(super) fn abort(&mut self) {
        self.aborted = true;
        self.enter(Phase::Idle);
    }

    /// Counts a transmission and returns the delay until the next; `None` if the caller gives up.
    pub(super) fn transmit(&mut self, now_ms: u64) -> Option<u64> {
        let persistent = matches!(self.phase, Phase::Open { .. });
        if self.tries >= TRIES_MAX && !persistent {
            self.last_reply_ms = now_ms;
            self.enter(Phase::Idle);
            return None;
        }
        self.tries += 1;
        if persistent {
            return Some((FLOW_RETRANSMIT_MS << self.tries.min(5)).min(FLOW_RETRANSMIT_MAX_MS));
        }
        Some(OPENING_RETRANSMIT_MS << (self.tries - 1))
    }

    /// Handles a reply; returns a packet to send at once besides the pending one.
    pub(super) fn receive(&mut self, now_ms: u64, reply: Reply) -> Option<Inner> {
        let request = self.request();
        self.last_reply_ms = now_ms;
        match (self.phase, reply) {
            (Phase::Opening, Reply::Accepted { request: known, token }) if known == request => {
                self.outcome = Outcome::Served;
                self.enter(Phase::Open { token, unacknowledged: true });
            }
            (Phase::Opening, Reply::Done { request: known }) if known == request => {
                self.outcome = Outcome::Served;
                self.enter(Phase::Idle);
            }
            (Phase::Opening, Reply::Refused { request: known }) if known == request => {
                self.outcome = Outcome::Refused;
                self.enter(Phase::Idle);
            }
            (Phase::Opening, Reply::Challenge { request: known, token }) if known == request => {
                self.outcome = Outcome::Challenged;
                return Some(Inner::Reset(request, token));
            }
            (Phase::Open { token, .. }, Reply::Acknowledged { token: known }) if known == token => {
                self.answered_ms = now_ms;
                self.enter(Phase::Open { token, unacknowledged: false });
            }
            (Phase::Open { token, .. }, Reply::Reset { token: known }) if known == token => {
                self.enter(Phase::Idle);
            }
            (
                Phase::Closing { token },
                Reply::Finished { token: known } | Reply::Reset { token: known },
            ) if known == token => {
                self.enter(Phase::Idle);
            }
            _ => {}
        }
        None
    }
}
