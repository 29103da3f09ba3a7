//! The promises, stated over what the outside sees. Shares no code with the core.

/// One opening: retransmissions are the same request, a later flow of the caller is another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Request {
    /// Number of the service that the caller means.
    pub service: usize,
    /// Number of the caller.
    pub caller: usize,
    /// Counts the caller's requests.
    pub nonce: u32,
}

/// Identifies one life of an upstream or an agent over the whole episode.
pub type IncarnationId = u64;

/// What a service promises about its openings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Promise {
    /// Openings run at most once and refusals are final.
    pub at_most_once: bool,
    /// The opening is a whole request, so that a copy at the same upstream is a second run.
    pub datagram: bool,
}

/// Something that the outside can see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "the names say what was seen")]
pub enum Observation {
    /// Something broke that nobody planned.
    Fault,
    /// A packet was handed to an upstream of `reached`.
    Delivered { meant: usize, reached: usize },
    /// An opening began at an upstream; `assigned` if by another agent's recorded choice.
    Ran {
        request: Request,
        promise: Promise,
        upstream: IncarnationId,
        agent: IncarnationId,
        assigned: bool,
    },
    /// An agent answered that an opening was not run.
    Refused { request: Request, promise: Promise },
    /// The upstream got the caller's first packet after the opening.
    Established { request: Request, upstream: IncarnationId },
    /// The caller's flow was reset or refused although the caller had it open.
    Broken { request: Request, upstream: IncarnationId },
    /// The caller or its upstream has ended the flow.
    Closed { request: Request },
    /// An upstream died, and its flows with it.
    UpstreamDied { upstream: IncarnationId },
    /// An agent was told, or no longer is, that its upstream drains or that it leaves.
    Told { agent: IncarnationId, leaving: bool },
    /// An agent showed the settings version that it has in force.
    InForce { agent: IncarnationId, version: u64 },
    /// Sizes of an agent's tables, and the flows that its upstream ever began.
    Tables { agent: IncarnationId, flows: usize, flows_begun: usize, held: usize },
    /// All agents that can have been told of an open flow have lost their memory together.
    Forgotten { request: Request },
    /// Long after all faults have ended, the caller still gets no answer in its open flow.
    Stuck { request: Request },
    /// Long after all faults have ended, an opening gets no answer.
    Unanswered { request: Request },
    /// Long after all faults have ended, a service refuses every opening.
    Shut { service: usize },
    /// Long after all flows have ended, an agent still counts some.
    Remembered { agent: IncarnationId, flows: usize },
    /// Long after all faults have ended, an agent still holds a packet back.
    HeldBack { agent: IncarnationId },
}

impl Observation {
    /// The request that it is about, if it is about one.
    ///
    /// ```
    /// use fuzzing::oracle::{Observation, Request};
    /// let request = Request { service: 0, caller: 1, nonce: 1 };
    /// assert_eq!(Observation::Closed { request }.request(), Some(request));
    /// assert_eq!(Observation::Fault.request(), None);
    /// ```
    pub fn request(&self) -> Option<Request> {
        match *self {
            Self::Ran { request, .. }
            | Self::Refused { request, .. }
            | Self::Established { request, .. }
            | Self::Broken { request, .. }
            | Self::Closed { request }
            | Self::Forgotten { request }
            | Self::Stuck { request }
            | Self::Unanswered { request } => Some(request),
            _ => None,
        }
    }
}

/// A broken promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: Observation,
    /// True time.
    pub now_ms: u64,
}

/// An agent that was told to drain starts no opening after this long.
pub const DRAIN_MS: u64 = 3_000;
/// Packets that one agent may hold at a time.
pub const HELD_MAX: usize = 4_096;

/// What the oracle remembers; sorted vectors.
#[derive(Debug, Default)]
pub struct Oracle {
    faulted: bool,
    runs: Vec<(Request, IncarnationId)>,
    refused: Vec<Request>,
    open: Vec<(Request, IncarnationId)>,
    /// Flows that an upstream's application has ever got to see.
    accepted: Vec<Request>,
    /// Flows beyond help: openings that began at two upstreams before the caller had finished one
    /// handshake, and flows that everybody who was told of them has forgotten.
    excused: Vec<Request>,
    dead: Vec<IncarnationId>,
    draining: Vec<(IncarnationId, u64)>,
    in_force: Vec<(IncarnationId, u64)>,
}

impl Oracle {
    /// Takes in what was seen; an error is a broken promise.
    ///
    /// ```
    /// use fuzzing::oracle::{Observation, Oracle};
    /// let mut oracle = Oracle::default();
    /// assert!(oracle.observe(0, Observation::Delivered { meant: 1, reached: 1 }).is_ok());
    /// assert!(oracle.observe(0, Observation::Delivered { meant: 1, reached: 2 }).is_err());
    /// ```
    pub fn observe(&mut self, now_ms: u64, seen: Observation) -> Result<(), Violation> {
        self.check(now_ms, seen).map_err(|promise| Violation { promise, seen, now_ms })
    }

    fn check(&mut self, now_ms: u64, seen: Observation) -> Result<(), &'static str> {
        match seen {
            Observation::Fault => self.faulted = true,
            Observation::Delivered { meant, reached } => {
                ensure(meant == reached, "2: a packet reached another service's upstream")?;
            }
            Observation::Ran { request, promise, upstream, agent, assigned } => {
                // A recorded claim is the only right to run, so it is honoured even late.
                let late =
                    self.draining_since(agent).is_some_and(|since| now_ms > since + DRAIN_MS);
                let excused = promise.at_most_once && assigned;
                ensure(!late || excused, "5: an opening ran on a draining upstream after 3 s")?;
                self.record_run(request, promise, upstream)?;
            }
            Observation::Refused { request, promise } if promise.at_most_once => {
                ensure(
                    !contains_request(&self.runs, request),
                    "4: a request that ran was refused",
                )?;
                insert_sorted(&mut self.refused, request);
            }
            Observation::Refused { .. } => {}
            Observation::Established { request, upstream } => {
                insert_sorted(&mut self.open, (request, upstream));
                insert_sorted(&mut self.accepted, request);
            }
            Observation::Broken { request, upstream } => {
                let alive = !self.dead.contains(&upstream);
                let in_handshake = !contains_request(&self.open, request);
                let excused = self.excused.contains(&request) || (in_handshake && self.faulted);
                ensure(!alive || excused, "1: an open flow was cut")?;
            }
            Observation::Closed { request } => self.open.retain(|(known, _)| *known != request),
            Observation::UpstreamDied { upstream } => self.dead.push(upstream),
            Observation::Told { agent, leaving } => self.set_draining(agent, leaving, now_ms),
            Observation::InForce { agent, version } => {
                let before = self.in_force.iter_mut().find(|(known, _)| *known == agent);
                match before {
                    None => self.in_force.push((agent, version)),
                    Some((_, known)) => {
                        ensure(version >= *known, "7: an agent's settings went back")?;
                        *known = version;
                    }
                }
            }
            Observation::Tables { flows, flows_begun, held, .. } => {
                ensure(flows <= flows_begun, "8: an agent holds flows that never began")?;
                ensure(held <= HELD_MAX, "8: an agent holds too many packets")?;
            }
            Observation::Forgotten { request } => insert_sorted(&mut self.excused, request),
            Observation::Stuck { request } => {
                ensure(self.excused.contains(&request), "1: a living flow is never found again")?;
            }
            Observation::Unanswered { .. } => return Err("1: an opening is never answered"),
            Observation::Shut { .. } => return Err("1: a well service refuses everything"),
            Observation::Remembered { .. } => return Err("8: ended flows stay in a table"),
            Observation::HeldBack { .. } => return Err("8: a held packet is never resolved"),
        }
        Ok(())
    }

    fn record_run(
        &mut self,
        request: Request,
        promise: Promise,
        upstream: IncarnationId,
    ) -> Result<(), &'static str> {
        let others: Vec<IncarnationId> = self
            .runs
            .iter()
            .filter(|(known, incarnation)| *known == request && *incarnation != upstream)
            .map(|(_, incarnation)| *incarnation)
            .collect();
        let elsewhere = others.iter().any(|incarnation| !self.dead.contains(incarnation));
        if promise.at_most_once {
            ensure(!self.refused.contains(&request), "4: a refused request ran")?;
            // A SYN that only renews a handshake given up unfinished is no second run.
            let seen = promise.datagram || self.accepted.contains(&request);
            let again = contains_request(&self.runs, request) && (seen || !others.is_empty());
            ensure(!again, "3: a request ran twice")?;
        } else if elsewhere {
            // In doubt such a service admits, and the caller finishes one handshake only. The
            // other copy may then reset the caller, which no agent can tell apart.
            ensure(self.faulted, "1: an opening ran at two upstreams without a fault")?;
            if !contains_request(&self.open, request) {
                insert_sorted(&mut self.excused, request);
            }
        }
        insert_sorted(&mut self.runs, (request, upstream));
        Ok(())
    }

    fn set_draining(&mut self, agent: IncarnationId, leaving: bool, now_ms: u64) {
        match (self.draining_since(agent), leaving) {
            (None, true) => self.draining.push((agent, now_ms)),
            (Some(_), false) => self.draining.retain(|(known, _)| *known != agent),
            _ => {}
        }
    }

    fn draining_since(&self, agent: IncarnationId) -> Option<u64> {
        self.draining.iter().find(|(known, _)| *known == agent).map(|(_, since)| *since)
    }
}

fn ensure(holds: bool, promise: &'static str) -> Result<(), &'static str> {
    if holds { Ok(()) } else { Err(promise) }
}

fn contains_request(table: &[(Request, IncarnationId)], request: Request) -> bool {
    let index = table.partition_point(|(known, _)| *known < request);
    table.get(index).is_some_and(|(known, _)| *known == request)
}

fn insert_sorted<T: Ord>(table: &mut Vec<T>, entry: T) {
    if let Err(index) = table.binary_search(&entry) {
        table.insert(index, entry);
    }
}
