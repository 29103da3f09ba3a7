//! The load balancer's guarantees (promises), checked against externally visible events only.
//! Shares no code with the decision core.

/// Identifies one opening. Retransmissions belong to the same request; a later flow of the same
/// caller is another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Request {
    /// Number of the service that the caller addresses.
    pub service: usize,
    /// Number of the caller.
    pub caller: usize,
    /// Sequence number among the caller's requests.
    pub nonce: u32,
}

/// Identifies one incarnation of an upstream or an agent; unique within an episode.
pub type IncarnationId = u64;

/// The guarantee that a service gives for its openings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Promise {
    /// Each opening runs at most once, and a refusal is final.
    pub at_most_once: bool,
    /// The opening is a complete request, so a copy delivered to the same upstream is a second run.
    pub datagram: bool,
}

/// An externally visible event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "the variants are named after the event")]
pub enum Observation {
    /// An unplanned fault was injected.
    Fault,
    /// A packet for the service `meant` was delivered to an upstream of the service `reached`.
    Delivered { meant: usize, reached: usize },
    /// An opening began at an upstream. `assigned` means that another agent's recorded claim
    /// assigned it there.
    Ran {
        request: Request,
        promise: Promise,
        upstream: IncarnationId,
        agent: IncarnationId,
        assigned: bool,
    },
    /// An agent refused an opening, which states that it was not run.
    Refused { request: Request, promise: Promise },
    /// The upstream received the caller's first packet after the opening.
    Established { request: Request, upstream: IncarnationId },
    /// A flow that was open at the caller was reset or refused.
    Broken { request: Request, upstream: IncarnationId },
    /// The caller or the upstream ended the flow.
    Closed { request: Request },
    /// An upstream terminated, which ends all its flows.
    UpstreamDied { upstream: IncarnationId },
    /// An agent learned that its upstream is draining or that the agent itself shuts down, or that
    /// this no longer applies.
    Told { agent: IncarnationId, leaving: bool },
    /// An agent published the settings version that it has in force.
    InForce { agent: IncarnationId, version: u64 },
    /// Sizes of an agent's tables, and the number of flows that callers have ever begun.
    Tables { agent: IncarnationId, flows: usize, flows_begun: usize, held: usize },
    /// All agents that may have known an open flow lost their state before any of them could
    /// restore it.
    Forgotten { request: Request },
    /// Long after all faults ended, the caller still receives no reply in its open flow.
    Stuck { request: Request },
    /// Long after all faults ended, an opening receives no reply.
    Unanswered { request: Request },
    /// Long after all faults ended, a service refuses every opening.
    Shut { service: usize },
    /// Long after all flows ended, an agent's flow table still has entries.
    Remembered { agent: IncarnationId, flows: usize },
    /// Long after all faults ended, an agent still holds a packet.
    HeldBack { agent: IncarnationId },
}

impl Observation {
    /// The request that the event concerns, if any.
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

/// A violated promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise that was violated, by its number and a short text.
    pub promise: &'static str,
    /// The event that violated it.
    pub seen: Observation,
    /// True time of the event.
    pub now_ms: u64,
}

/// Time after which an agent that has learned of a drain must not start an opening.
pub const DRAIN_MS: u64 = 3_000;
/// Maximum number of packets that one agent may hold at a time.
pub const HELD_MAX: usize = 4_096;

/// Checks events against the promises. Tables that are searched by request are sorted vectors.
#[derive(Debug, Default)]
pub struct Oracle {
    faulted: bool,
    runs: Vec<(Request, IncarnationId)>,
    refused: Vec<Request>,
    open: Vec<(Request, IncarnationId)>,
    /// Flows that reached an upstream's application, i.e. whose handshake was finished.
    accepted: Vec<Request>,
    /// Flows that may break without a violation: openings that began at two upstreams before the
    /// caller had finished one handshake, and flows that all agents which knew them have lost.
    excused: Vec<Request>,
    dead: Vec<IncarnationId>,
    draining: Vec<(IncarnationId, u64)>,
    in_force: Vec<(IncarnationId, u64)>,
}

impl Oracle {
    /// Records an event and checks it against the promises.
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
                // A recorded claim is the only permission to run an at-most-once opening, so a
                // draining agent honours it even after the limit.
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
            // A repeated SYN that restarts an abandoned, unfinished handshake at the same upstream
            // isn't a second run.
            let seen = promise.datagram || self.accepted.contains(&request);
            let again = contains_request(&self.runs, request) && (seen || !others.is_empty());
            ensure(!again, "3: a request ran twice")?;
        } else if elsewhere {
            // Such a service admits openings when agents' state is incomplete, and the caller
            // finishes only one handshake. The other upstream may then reset the caller, and no
            // agent can tell that reset from a legitimate one.
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
