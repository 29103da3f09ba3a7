//! Carries out agents' verdicts, and exchanges packets between callers and upstreams.

use decision::agent::{Forwarding, HoldKey, Packet, PacketKind, TimelineEntry, Verdict};

use super::agents::{Incoming, address_of};
use super::balancers::{hash_of, initial_sequence};
use super::callers::{Inner, Phase, Reply};
use super::network::mix;
use super::upstreams::Token;
use super::{CallerPacket, Node, QueuedEvent, World};
use crate::oracle::Observation;

impl World {
    /// Carries out the verdict about a packet.
    pub(super) fn apply_verdict(
        &mut self,
        host: usize,
        packet: Packet,
        caller_packet: CallerPacket,
        verdict: Verdict,
    ) {
        self.note(|| format!("host {host}: {:?} {:?} -> {verdict:?}", caller_packet.inner, packet));
        match verdict {
            Verdict::Deliver => self.deliver(host, caller_packet, packet.forwarding),
            Verdict::Drop(_) => {}
            Verdict::Refuse(_) => self.refuse(&packet, caller_packet),
            Verdict::Hold(key) => {
                let now_ms = self.now_ms;
                let Some(shell) = &mut self.hosts[host].agent else { return };
                shell.held.push((key, packet, caller_packet, now_ms));
            }
            Verdict::Forward { to, forwarding } => {
                let Some(shell) = &self.hosts[host].agent else { return };
                let Some(target) = address_of(shell, to) else { return };
                let Some(service) = shell.view.find_service(shell.service) else { return };
                let view = shell.view.account(shell.view.service(service).account).version;
                let packet =
                    Packet { hops: packet.hops.saturating_add(1), forwarding, view, ..packet };
                self.tally.forwarded += 1;
                self.send(Node::Host(host), target, Incoming::Packet { packet, caller_packet });
            }
        }
    }

    /// Carries out the verdict about a held packet.
    pub(super) fn resolve(&mut self, host: usize, key: HoldKey, verdict: Verdict) {
        let Some(shell) = &mut self.hosts[host].agent else { return };
        let Some(index) = shell.held.iter().position(|(held, ..)| *held == key) else { return };
        let (_, packet, caller_packet, _) = shell.held.remove(index);
        self.apply_verdict(host, packet, caller_packet, verdict);
    }

    /// Records a timeline entry of an agent, and reports installed settings to the oracle.
    pub(super) fn record_entry(&mut self, host: usize, note: TimelineEntry) {
        self.note(|| format!("host {host}: {note:?}"));
        let Some(shell) = &self.hosts[host].agent else { return };
        if let TimelineEntry::ViewInstalled(version) = note {
            let agent = shell.incarnation;
            self.observe(Observation::InForce { agent, version: version.0 });
        }
    }

    /// Delivers a packet to the upstream of a host.
    pub(super) fn deliver(
        &mut self,
        host: usize,
        caller_packet: CallerPacket,
        forwarding: Forwarding,
    ) {
        let now_ms = self.now_ms;
        let request = caller_packet.inner.request();
        let target = &mut self.hosts[host];
        let agent = target.agent.as_ref().map_or(0, |shell| shell.incarnation);
        let (Some((reached, _)), Some(upstream)) = (target.occupant, &mut target.upstream) else {
            return;
        };
        self.tally.delivered += 1;
        let effect = upstream.receive(now_ms, caller_packet.flow, caller_packet.inner);
        let upstream = upstream.incarnation;
        self.observe(Observation::Delivered { meant: request.service, reached });
        if effect.ran {
            self.tally.ran += 1;
            let promise = Self::promise(request.service);
            let assigned = forwarding == Forwarding::Assigned;
            self.observe(Observation::Ran { request, promise, upstream, agent, assigned });
        }
        if effect.established {
            self.tally.established += 1;
            self.observe(Observation::Established { request, upstream });
        }
        if effect.ended {
            self.observe(Observation::Closed { request });
        }
        if let Some(reply) = effect.reply {
            self.answer(request.caller, reply);
        }
    }

    fn refuse(&mut self, packet: &Packet, caller_packet: CallerPacket) {
        let request = caller_packet.inner.request();
        if matches!(packet.kind, PacketKind::Opening { .. }) {
            self.tally.refused += 1;
            let promise = Self::promise(request.service);
            self.observe(Observation::Refused { request, promise });
            self.answer(request.caller, Reply::Refused { request });
        } else if let Some(token) = caller_packet.inner.token() {
            self.answer(request.caller, Reply::Reset { token });
        }
    }

    /// Sends a reply to a caller. Replies don't pass through the balancers.
    fn answer(&mut self, caller: usize, reply: Reply) {
        if let Reply::Reset { token } = reply {
            self.check_reset(caller, token);
        }
        self.note(|| format!("caller {caller} <- {reply:?}"));
        let hash = hash_of(&(caller, reply));
        self.transmit_over(hash, || QueuedEvent::AtCaller { caller, reply });
    }

    /// Reports a broken flow if the caller receives a reset for a connection that the upstream
    /// still has.
    fn check_reset(&mut self, caller: usize, token: Token) {
        let known = match self.callers[caller].phase {
            Phase::Open { token, .. } | Phase::Closing { token } => token,
            Phase::Idle | Phase::Opening => return,
        };
        if known == token && self.is_held(token) {
            let request = self.callers[caller].request();
            self.tally.broken += 1;
            self.observe(Observation::Broken { request, upstream: token.life });
        }
    }

    /// Whether the upstream of a connection still has it.
    pub(super) fn is_held(&self, token: Token) -> bool {
        let mut upstreams = self.hosts.iter().filter_map(|host| host.upstream.as_ref());
        let holder = upstreams.find(|upstream| upstream.incarnation == token.life);
        holder.is_some_and(|upstream| upstream.connection(token).is_some())
    }

    pub(super) fn at_caller(&mut self, caller: usize, reply: Reply) {
        let before = self.callers[caller].timer;
        let extra = self.callers[caller].receive(self.now_ms, reply);
        if let Some(inner) = extra {
            self.emit(caller, inner);
        }
        if self.callers[caller].timer != before {
            self.transmit(caller);
        }
    }

    /// Transmits the caller's pending packet and schedules its retransmission.
    pub(super) fn transmit(&mut self, caller: usize) {
        let Some(inner) = self.callers[caller].pending() else { return };
        let Some(delay_ms) = self.callers[caller].transmit(self.now_ms) else { return };
        let timer = self.callers[caller].timer;
        self.emit(caller, inner);
        self.schedule(delay_ms, QueuedEvent::Timer { caller, timer });
    }

    /// Sends a packet through the network fabric, which may pick any balancer.
    pub(super) fn emit(&mut self, caller: usize, inner: Inner) {
        let sent_ms = match inner {
            Inner::Open(_) => self.callers[caller].first_sent_ms,
            _ => self.now_ms,
        };
        let (flow, sequence) = (self.callers[caller].flow, self.sequence_of(inner));
        let caller_packet = CallerPacket { inner, flow, sequence, sent_ms };
        if self.timeline.is_some() && matches!(inner, Inner::Open(_)) {
            let name = format!("caller {caller} port {:x}", caller_packet.flow.0 >> 52);
            self.flows.push((caller_packet.flow, name));
        }
        let hash = hash_of(&(caller, caller_packet));
        let balancer = (mix(hash ^ self.seed) % self.balancers.len() as u64) as usize;
        self.note(|| format!("caller {caller} -> balancer {balancer}: {inner:?}"));
        self.transmit_over(hash, || QueuedEvent::AtBalancer { balancer, caller_packet });
    }

    /// Sequence number of a caller's segment. All segments of a connection carry its initial
    /// number. A reset in reply to a challenge belongs to the older connection on the same ports.
    fn sequence_of(&self, inner: Inner) -> u32 {
        let upstreams = self.hosts.iter().filter_map(|host| host.upstream.as_ref());
        let connection = inner
            .token()
            .and_then(|token| upstreams.into_iter().find_map(|known| known.connection(token)));
        let own = initial_sequence(inner.request());
        let answers = self.callers[inner.request().caller].phase == Phase::Opening;
        let older = matches!(inner, Inner::Reset(..)) && answers;
        match connection {
            Some(known) => initial_sequence(known.request),
            None if older => !own,
            None => own,
        }
    }
}
