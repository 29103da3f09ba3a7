//! Callers: they open flows, retransmit, send, and end flows.

use decision::keys::FlowId;

use super::fleet::SERVICES;
use super::network::mix;
use super::upstreams::Token;
use crate::oracle::Request;

/// A packet of a caller as the upstream sees it.
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

    /// The connection that the packet belongs to; an opening has none.
    pub(super) fn token(&self) -> Option<Token> {
        match *self {
            Self::Open(_) => None,
            Self::Middle(_, token) | Self::Finish(_, token) | Self::Reset(_, token) => Some(token),
        }
    }
}

/// An answer to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[allow(missing_docs, reason = "the fields repeat: which request, which connection")]
pub(super) enum Reply {
    /// SYN-ACK.
    Accepted { request: Request, token: Token },
    /// Answer to a datagram request.
    Done { request: Request },
    /// Challenge ACK: the upstream has an older connection on these ports.
    Challenge { request: Request, token: Token },
    /// Acknowledges a packet in the middle.
    Acknowledged { token: Token },
    /// The flow's orderly end.
    Finished { token: Token },
    /// RST to a packet of this connection.
    Reset { token: Token },
    /// An agent's refusal of an opening.
    Refused { request: Request },
}

/// Where a caller stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Nothing open.
    Idle,
    /// Waits for the answer to its opening.
    Opening,
    /// Flow open; `unacknowledged` while a packet is not acknowledged.
    Open {
        /// Connection that it knows.
        token: Token,
        /// Whether a packet of it is not acknowledged.
        unacknowledged: bool,
    },
    /// Has sent its FIN.
    Closing {
        /// Connection that it knows.
        token: Token,
    },
}

/// One caller of one service, always on the same ports.
#[derive(Clone, Copy, Debug)]
pub(super) struct Caller {
    /// Its number.
    pub(super) number: usize,
    /// The service that it calls.
    pub(super) service: usize,
    /// Its flow on its present ports.
    pub(super) flow: FlowId,
    /// Counts the ports it has used.
    port: u64,
    seed: u64,
    /// Whether its last flow ended by its own reset, after which ports may be used again at once.
    aborted: bool,
    /// True time of the last answer of any kind, or at which it gave up.
    last_reply_ms: u64,
    /// Where it stands.
    pub(super) phase: Phase,
    /// Counts its openings.
    pub(super) nonce: u32,
    /// Transmissions of what it waits for.
    pub(super) tries: u32,
    /// Counts its timers; an older one is void.
    pub(super) timer: u32,
    /// True time of its opening's first transmission.
    pub(super) first_sent_ms: u64,
    /// True time of the last answer in its flow.
    pub(super) answered_ms: u64,
    /// What became of its last opening.
    pub(super) outcome: Outcome,
}

/// What a caller knows about its last opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// Nothing yet.
    Unknown,
    /// Accepted, or answered.
    Served,
    /// Refused.
    Refused,
    /// An older connection of its own is in the way; the caller has to end that first.
    Challenged,
}

/// Transmissions before a caller gives up: the last SYN of Linux is sent after 31 s.
const TRIES_MAX: u32 = 6;
/// First retransmission of an opening or FIN; doubled each time.
const OPENING_RETRANSMIT_MS: u64 = 1_000;
/// First retransmission in an open flow; doubled each time.
const FLOW_RETRANSMIT_MS: u64 = 200;
/// Longest time between two transmissions in an open flow.
const FLOW_RETRANSMIT_MAX_MS: u64 = 4_000;

/// How long a caller's own system keeps the ports of an orderly ended flow from being used again.
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

    /// What it wants to be served now.
    pub(super) fn request(&self) -> Request {
        Request { service: self.service, caller: self.number, nonce: self.nonce }
    }

    /// The packet that it transmits, again and again, until it is answered.
    pub(super) fn pending(&self) -> Option<Inner> {
        match self.phase {
            Phase::Idle | Phase::Open { unacknowledged: false, .. } => None,
            Phase::Opening => Some(Inner::Open(self.request())),
            Phase::Open { token, .. } => Some(Inner::Middle(self.request(), token)),
            Phase::Closing { token } => Some(Inner::Finish(self.request(), token)),
        }
    }

    /// Begins an opening.
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

    /// Enters a phase; its first transmission is due.
    pub(super) fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.tries = 0;
        self.timer += 1;
    }

    /// Ends its flow by a reset.
    pub(super) fn abort(&mut self) {
        self.aborted = true;
        self.enter(Phase::Idle);
    }

    /// Counts a transmission and says when the next is due; `None` once it gives up.
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

    /// Takes in an answer; returns a packet that it sends at once besides the pending one.
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
