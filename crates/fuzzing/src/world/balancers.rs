//! Balancers, and balancing policies that can replace the core's.

use std::hash::Hasher as _;
use std::sync::Arc;

use decision::agent::{Forwarding, Packet, PacketKind};
use decision::keys::{FlowId, ServiceId, ServiceKey, UpstreamKey};
use decision::message::OutdatedReport;
use decision::outdated::OutdatedTable;
use decision::router::Router;
use decision::time::Millis;
use decision::view::View;
use siphasher::sip::SipHasher13;

use super::agents::{Incoming, Process};
use super::callers::Inner;
use super::fleet::{self, Versions};
use super::{CallerPacket, Node, QueuedEvent, World};
use crate::oracle::Request;

/// How packets are distributed.
pub enum Balancing {
    /// By the core's router and agents.
    Core,
    /// By the balancer alone, which delivers packets directly to upstreams.
    Direct(DirectPolicy),
}

/// A policy that selects the upstream without agents; `None` drops the packet.
pub type DirectPolicy = Box<dyn FnMut(&DirectInput<'_>) -> Option<UpstreamKey>>;

/// What a balancer knows about a packet, as input of a [`DirectPolicy`].
pub struct DirectInput<'a> {
    /// Number of the balancer.
    pub balancer: usize,
    /// Settings of the balancer.
    pub view: &'a View,
    /// Service that the packet is addressed to.
    pub service: ServiceKey,
    /// Flow that the packet belongs to.
    pub flow: FlowId,
    /// Whether the packet opens the flow.
    pub opening: bool,
}

/// A balancer process.
#[derive(Debug)]
pub(super) struct Balancer {
    pub(super) versions: Versions,
    pub(super) router: Router,
    pub(super) down: Vec<decision::keys::UpstreamId>,
    pub(super) process: Process<CallerPacket>,
    /// What agents have reported; lost when the balancer is replaced.
    pub(super) outdated: OutdatedTable,
}

/// A notice of an agent to a balancer.
#[derive(Clone, Copy, Debug)]
pub(super) enum AgentNotice {
    ReportOutdated(OutdatedReport),
    AskOutdated,
}

impl Balancer {
    pub(super) fn new(versions: Versions, view: Arc<View>) -> Self {
        let router = Router::new(view, Vec::new());
        let (process, outdated) = (Process::default(), OutdatedTable::default());
        Self { versions, router, down: Vec::new(), process, outdated }
    }

    pub(super) fn set(&mut self, versions: Versions, view: Arc<View>) {
        self.versions = versions;
        self.router = Router::new(view, self.down.clone());
    }
}

impl World {
    pub(super) fn at_balancer(&mut self, balancer: usize, caller_packet: CallerPacket) {
        let now_ms = self.now_ms;
        if !self.balancers[balancer].process.accept_or_queue(now_ms, caller_packet) {
            return;
        }
        self.forward(balancer, caller_packet);
    }

    pub(super) fn forward(&mut self, balancer: usize, caller_packet: CallerPacket) {
        if caller_packet.is_expired(self.now_ms) {
            return;
        }
        let request = caller_packet.inner.request();
        let flow = caller_packet.flow;
        let router = &self.balancers[balancer].router;
        let Some(service) = router.service(fleet::endpoint(request.service)) else { return };
        if let Balancing::Direct(policy) = &mut self.balancing {
            let view = router.view();
            let opening = matches!(caller_packet.inner, Inner::Open(_));
            let input = DirectInput { balancer, view, service, flow, opening };
            let Some(upstream) = policy(&input) else { return };
            let host = fleet::host_at(view.upstream(upstream).spec.agent_address);
            self.deliver(host, caller_packet, Forwarding::Direct);
            return;
        }
        let Some(route) = router.route(service, flow) else { return };
        let view = router.view();
        let host = fleet::host_at(view.upstream(route.home).spec.agent_address);
        let packet = Packet {
            service: view.service(service).id,
            flow,
            kind: kind(caller_packet.inner),
            sequence: caller_packet.sequence,
            view: view.account(view.service(service).account).version,
            hops: 0,
            forwarding: Forwarding::Direct,
        };
        self.send(Node::Balancer(balancer), host, Incoming::Packet { packet, caller_packet });
    }

    /// Sends a notice of the agent on a host to all balancers.
    pub(super) fn notify_balancers(&mut self, host: usize, notice: AgentNotice) {
        let Some(service) = self.hosts[host].agent.as_ref().map(|shell| shell.service) else {
            return;
        };
        for balancer in 0..self.balancers.len() {
            if self.network.separates(self.now_ms, Node::Host(host), Node::Balancer(balancer)) {
                continue;
            }
            let kind = match notice {
                AgentNotice::ReportOutdated(report) => report.outdated.from.0,
                AgentNotice::AskOutdated => 0,
            };
            let hash = hash_of(&(host, balancer, kind));
            self.transmit_over(hash, || QueuedEvent::Notice { balancer, host, service, notice });
        }
    }

    /// Handles an agent's notice; a paused balancer loses it.
    pub(super) fn notice_received(
        &mut self,
        balancer: usize,
        host: usize,
        service: ServiceId,
        notice: AgentNotice,
    ) {
        let (now_ms, now) = (self.now_ms, Millis(self.now_ms));
        let target = &mut self.balancers[balancer];
        let separated = self.network.separates(now_ms, Node::Host(host), Node::Balancer(balancer));
        if target.process.paused_until_ms > now_ms || separated {
            return;
        }
        match notice {
            AgentNotice::ReportOutdated(report) => target.outdated.learn(now, service, report),
            AgentNotice::AskOutdated => {
                for report in target.outdated.of_service(now, service) {
                    let incoming = Incoming::Outdated { service, report };
                    self.send(Node::Balancer(balancer), host, incoming);
                }
            }
        }
    }

    /// Sends from a process to the agent on a host.
    pub(super) fn send(&mut self, from: Node, host: usize, incoming: Incoming) {
        if self.network.separates(self.now_ms, from, Node::Host(host)) {
            return;
        }
        let hash = hash_of(&(from, host, incoming.hash()));
        self.transmit_over(hash, || QueuedEvent::AtAgent {
            from,
            host,
            incoming: incoming.clone(),
        });
    }
}

/// A hash that is the same in every run and with every compiler version.
pub(super) fn hash_of(value: &impl std::hash::Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Initial sequence number of the connection that a request opens. It differs between callers and
/// is far from that of the caller's previous connection.
pub(super) fn initial_sequence(request: Request) -> u32 {
    const SPREAD: u32 = 0x9e37_79b1;
    ((request.caller as u32) << 16 | request.nonce).wrapping_mul(SPREAD)
}

fn kind(inner: Inner) -> PacketKind {
    match inner {
        Inner::Open(request) => PacketKind::Opening { nonce: initial_sequence(request) },
        Inner::Middle(..) => PacketKind::Middle,
        Inner::Finish(..) => PacketKind::Finish,
        Inner::Reset(..) => PacketKind::Reset,
    }
}
