//! Hosts: an upstream, the agent beside it, and the simulated process (shell) around the agent.

use std::sync::Arc;

use decision::agent::{
    Action, Agent, AgentConfig, Event, HoldKey, MAX_TICK_INTERVAL_MS, Packet, UpstreamReport,
};
use decision::keys::{Incarnation, ServiceId, UpstreamId};
use decision::message::{Message, OutdatedReport};
use decision::time::Millis;
use decision::view::{UpstreamState, View};

use super::balancers::{AgentNotice, hash_of};
use super::fleet::{self, Occupant, SERVICES, Versions};
use super::network::mix;
use super::upstreams::Upstream;
use super::{CallerPacket, Node, QueuedEvent, World};
use crate::oracle::{IncarnationId, Observation};
use crate::step::Report;

/// Input of an agent's process.
#[derive(Clone, Debug)]
pub(super) enum Incoming {
    Packet { packet: Packet, caller_packet: CallerPacket },
    Control { from: UpstreamId, to: UpstreamId, service: ServiceId, message: Message },
    View(Arc<View>),
    Report(Report),
    Hint { peer: UpstreamId, alive: bool },
    Outdated { service: ServiceId, report: OutdatedReport },
    Leave,
}

impl Incoming {
    pub(super) fn hash(&self) -> u64 {
        match self {
            Self::Packet { packet, caller_packet } => hash_of(&(packet.hops, caller_packet)),
            Self::Control { from, message, .. } => {
                hash_of(&(from, std::mem::discriminant(message)))
            }
            Self::Outdated { report, .. } => report.outdated.from.0,
            _ => 0,
        }
    }
}

/// Whether a process is paused, and the input that has queued up meanwhile.
#[derive(Clone, Debug)]
pub(super) struct Process<T> {
    pub(super) paused_until_ms: u64,
    pub(super) backlog: Vec<T>,
}

impl<T> Default for Process<T> {
    fn default() -> Self {
        Self { paused_until_ms: 0, backlog: Vec::new() }
    }
}

/// Capacity of the simulated socket buffer; further items are dropped.
const BACKLOG_MAX: usize = 4_096;

impl<T> Process<T> {
    /// Returns true if the process is running. Otherwise queues the item until it resumes.
    pub(super) fn accept_or_queue(&mut self, now_ms: u64, item: T) -> bool {
        if self.paused_until_ms <= now_ms {
            return true;
        }
        if self.backlog.len() < BACKLOG_MAX {
            self.backlog.push(item);
        }
        false
    }

    /// Returns the queued items, none while the process is still paused.
    pub(super) fn take_backlog(&mut self, now_ms: u64) -> Vec<T> {
        if self.paused_until_ms > now_ms {
            return Vec::new();
        }
        std::mem::take(&mut self.backlog)
    }
}

/// A place for an upstream and its agent.
#[derive(Debug, Default)]
pub(super) struct Host {
    pub(super) occupant: Occupant,
    pub(super) upstream: Option<Upstream>,
    pub(super) agent: Option<Shell>,
    pub(super) process: Process<Incoming>,
    pub(super) report: Option<Report>,
}

/// One incarnation of an agent, with the state of its shell.
#[derive(Debug)]
pub(super) struct Shell {
    pub(super) incarnation: IncarnationId,
    pub(super) id: UpstreamId,
    pub(super) service: ServiceId,
    pub(super) versions: Versions,
    pub(super) view: Arc<View>,
    pub(super) held: Vec<(HoldKey, Packet, CallerPacket, u64)>,
    pub(super) fetching: bool,
    pub(super) agent: Agent,
    clock_offset_ms: u64,
    leaving: bool,
    reported_draining: bool,
    known_draining: bool,
    ticks: u64,
}

impl Shell {
    /// Time of the agent's own clock.
    fn clock(&self, now_ms: u64) -> Millis {
        Millis(self.clock_offset_ms + now_ms)
    }

    pub(super) fn open_flows(&self) -> usize {
        self.agent.open_flows()
    }

    fn knows_draining(&self) -> bool {
        let upstream = self
            .view
            .find_service(self.service)
            .and_then(|service| self.view.find_upstream(service, self.id));
        let state = upstream.map(|key| self.view.upstream(key).spec.state);
        let draining = state.is_some_and(|state| state != UpstreamState::Active);
        self.leaving || self.reported_draining || draining
    }
}

/// Ticks between two reports of the upstream's state.
const TICKS_PER_REPORT: u64 = 20;
/// Range of the clock offsets. Real clocks may differ by any amount; the limit keeps traces
/// readable.
const CLOCK_SPREAD_MS: u64 = 1_000_000_000;

impl World {
    /// Starts a fresh upstream and an agent beside it.
    pub(super) fn start_host(&mut self, host: usize, occupant: Occupant) {
        let Some((service, _)) = occupant else { return };
        let incarnation = self.new_incarnation();
        self.hosts[host] = Host { occupant, ..Host::default() };
        self.hosts[host].upstream =
            Some(Upstream::new(incarnation, SERVICES[service].is_datagram()));
        self.note(|| format!("host {host}: upstream of {occupant:?} starts as life {incarnation}"));
        self.start_agent(host, false);
    }

    /// Starts an agent, unless one is running or the host has no upstream.
    pub(super) fn start_agent(&mut self, host: usize, may_have_prior_flows: bool) {
        let Some((service, name)) = self.hosts[host].occupant else { return };
        if self.hosts[host].agent.is_some() || self.hosts[host].upstream.is_none() {
            return;
        }
        if self.now_ms > 0 {
            self.last_agent_start_ms = self.now_ms;
        }
        let incarnation = self.new_incarnation();
        let versions = self.known_settings();
        let view = self.fleet.view(versions);
        let kind = SERVICES[service];
        let config = AgentConfig {
            upstream: kind.upstream(name),
            service: kind.id(),
            incarnation: Incarnation(incarnation),
            may_have_prior_flows,
            seed: mix(self.seed ^ incarnation),
        };
        let clock_offset_ms = mix(self.seed ^ incarnation << 20) % CLOCK_SPREAD_MS;
        let now = Millis(clock_offset_ms + self.now_ms);
        self.note(|| format!("host {host}: agent starts, {config:?}, settings {versions:?}"));
        let mut agent = Agent::new(config.clone(), view.clone(), now);
        // As the operators' pages ask, the first agents start before the first settings list them.
        if self.now_ms == 0 {
            agent.set_started_before_listing();
        }
        #[cfg(feature = "mutants")]
        agent.set_mutant(self.defects.mutant);
        self.hosts[host].process = Process::default();
        self.hosts[host].agent = Some(Shell {
            incarnation,
            id: config.upstream,
            service: config.service,
            versions,
            view,
            held: Vec::new(),
            fetching: false,
            agent,
            clock_offset_ms,
            leaving: false,
            reported_draining: false,
            known_draining: false,
            ticks: 0,
        });
        self.observe_draining(host);
        self.schedule(
            1 + incarnation % MAX_TICK_INTERVAL_MS,
            QueuedEvent::Tick { host, incarnation },
        );
    }

    /// Passes input to the agent, or queues it while the process is paused.
    pub(super) fn at_agent(&mut self, host: usize, incoming: Incoming) {
        let now_ms = self.now_ms;
        let target = &mut self.hosts[host];
        if target.agent.is_some() && target.process.accept_or_queue(now_ms, incoming.clone()) {
            self.handle_incoming(host, incoming);
        }
    }

    pub(super) fn handle_incoming(&mut self, host: usize, incoming: Incoming) {
        let now_ms = self.now_ms;
        let Some(shell) = &mut self.hosts[host].agent else { return };
        let event = match incoming {
            Incoming::Packet { packet, caller_packet } => {
                return self.process_packet(host, packet, caller_packet);
            }
            // The authentication of a control message covers the service, and the message names its
            // receiver; others drop it.
            Incoming::Control { service, .. } if service != shell.service => return,
            Incoming::Control { to, .. } if to != shell.id => return,
            Incoming::Control { from, message, .. } => Event::Message { from, message },
            Incoming::View(view) => Event::View(view),
            Incoming::Report(report) => {
                self.hosts[host].report = Some(report);
                return self.report(host);
            }
            Incoming::Hint { peer, alive } => Event::PeerHint { upstream: peer, alive },
            Incoming::Outdated { service, .. } if service != shell.service => return,
            Incoming::Outdated { report, .. } => Event::Outdated(report),
            Incoming::Leave => {
                shell.leaving = true;
                Event::Leave
            }
        };
        let mut actions = Vec::new();
        shell.agent.handle(shell.clock(now_ms), event, &mut actions);
        self.observe_draining(host);
        self.perform(host, actions);
    }

    fn process_packet(&mut self, host: usize, packet: Packet, caller_packet: CallerPacket) {
        let now_ms = self.now_ms;
        if caller_packet.is_expired(now_ms) {
            return;
        }
        let Some(shell) = &mut self.hosts[host].agent else { return };
        let mut actions = Vec::new();
        let verdict = shell.agent.handle_packet(shell.clock(now_ms), &packet, &mut actions);
        self.perform(host, actions);
        self.apply_verdict(host, packet, caller_packet, verdict);
    }

    pub(super) fn tick(&mut self, host: usize, incarnation: IncarnationId) {
        let now_ms = self.now_ms;
        let paused_until_ms = self.hosts[host].process.paused_until_ms;
        let Some(shell) =
            self.hosts[host].agent.as_mut().filter(|shell| shell.incarnation == incarnation)
        else {
            return;
        };
        if paused_until_ms > now_ms {
            // Polls instead of waiting for the end of the pause, which may be cut short at the end
            // of the episode.
            self.schedule(MAX_TICK_INTERVAL_MS, QueuedEvent::Tick { host, incarnation });
            return;
        }
        shell.ticks += 1;
        let report = shell.ticks.is_multiple_of(TICKS_PER_REPORT);
        let mut actions = Vec::new();
        shell.agent.handle(shell.clock(now_ms), Event::Tick, &mut actions);
        self.perform(host, actions);
        if report {
            self.report(host);
            self.observe_tables(host);
        }
        self.schedule(MAX_TICK_INTERVAL_MS, QueuedEvent::Tick { host, incarnation });
    }

    fn report(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let target = &mut self.hosts[host];
        let (Some(shell), Some(upstream)) = (&mut target.agent, &target.upstream) else { return };
        let reported = target.report.unwrap_or(Report::Honest);
        let open_flows = upstream.connections.len() as u32;
        let report = UpstreamReport {
            healthy: reported != Report::Sick,
            draining: reported == Report::Draining,
            shedding: reported == Report::Shedding,
            open_flows: match reported {
                Report::Empty => 0,
                Report::Full => u32::MAX,
                _ => open_flows,
            },
            age_ms: Some(if reported == Report::Empty { 0 } else { 600_000 }),
        };
        shell.reported_draining = report.draining;
        let mut actions = Vec::new();
        shell.agent.handle(shell.clock(now_ms), Event::Upstream(report), &mut actions);
        self.observe_draining(host);
        self.perform(host, actions);
    }

    /// Reports to the oracle when the agent learns that its upstream takes no openings, or takes
    /// them again.
    fn observe_draining(&mut self, host: usize) {
        let Some(shell) = &mut self.hosts[host].agent else { return };
        let known_draining = shell.knows_draining();
        if known_draining != shell.known_draining {
            shell.known_draining = known_draining;
            let agent = shell.incarnation;
            self.observe(Observation::Told { agent, leaving: known_draining });
        }
    }

    fn observe_tables(&mut self, host: usize) {
        let Some(shell) = &self.hosts[host].agent else { return };
        let flows_begun = self.callers.iter().map(|caller| caller.nonce as usize).sum::<usize>();
        let seen = Observation::Tables {
            agent: shell.incarnation,
            flows: shell.open_flows(),
            flows_begun,
            held: shell.held.len(),
        };
        self.observe(seen);
    }

    fn perform(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send_control(host, to, message),
                Action::Resolve { hold, verdict } => self.resolve(host, hold, verdict),
                Action::FetchSettings { .. } => self.fetch(host),
                // Balancers treat agents as down only on `Step::Suspect`, whether true or not.
                Action::Report(_) => {}
                Action::ReportOutdated(report) => {
                    self.notify_balancers(host, AgentNotice::ReportOutdated(report))
                }
                Action::AskOutdated => self.notify_balancers(host, AgentNotice::AskOutdated),
                Action::Record(note) => self.record_entry(host, note),
            }
        }
    }

    fn send_control(&mut self, host: usize, to: UpstreamId, message: Message) {
        let Some(shell) = &self.hosts[host].agent else { return };
        let Some(target) = address_of(shell, to) else { return };
        let (from, service, incarnation) = (shell.id, shell.service, shell.incarnation);
        self.tally.control += 1;
        if let Message::Heartbeat(heartbeat) = &message {
            self.observe(Observation::InForce { agent: incarnation, version: heartbeat.view.0 });
        } else {
            self.note(|| format!("host {host} -> host {target}: {message:?}"));
        }
        let incoming = Incoming::Control { from, to, service, message };
        self.send(Node::Host(host), target, incoming);
    }
}

/// The host of an agent of the same service, according to the settings of `shell`.
pub(super) fn address_of(shell: &Shell, to: UpstreamId) -> Option<usize> {
    let service = shell.view.find_service(shell.service)?;
    let key = shell.view.find_upstream(service, to)?;
    Some(fleet::host_at(shell.view.upstream(key).spec.agent_address))
}
