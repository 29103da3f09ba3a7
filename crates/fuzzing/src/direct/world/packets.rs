//! Path of a packet: from a balancer through an agent to an upstream, and back.

use std::net::SocketAddrV4;

use rand::RngExt as _;
use steering::edge::{Action, AgentReply, Destination, Reason, Verdict};
use steering::flow::{FlowKey, Segment};
use steering::side::{Answer, Delivery, ForwardMetadata, Report};
use steering::view::AddressedService;

use super::{
    Balancer, COLD_OPENINGS_MAX, EMPTY_PACKET, Entry, Event, LIMITED_SERVICE, PASSED_OVER_MAX,
    PROPAGATION_MS, Packet, SERVICES, SETTLE_MS, World, address, balancer_address, balancer_index,
    endpoint, endpoint_index, region_of, upstream_of, zone_of,
};
use crate::direct::upstream::{LongAnswer, PART_BYTES, Reaction, Upstream, initial_sequence_of};
use crate::direct::{Mutant, Violation};

impl World {
    pub(super) fn at_balancer(&mut self, balancer: usize, packet: Packet) {
        if self.defer(balancer, Event::ToBalancer(balancer, packet)) {
            return;
        }
        let bytes = self.store_packet(packet);
        let mut actions = Vec::new();
        let Balancer { edge, view, .. } = &mut self.balancers[balancer];
        edge.on_packet(self.now_ms, view, &packet.segment, &bytes, &mut actions);
        self.apply(balancer, packet, actions);
    }

    /// Reschedules an event for a paused balancer, and returns true if the balancer can't handle it
    /// now. Packets for a balancer that is down are lost.
    pub(super) fn defer(&mut self, balancer: usize, event: Event) -> bool {
        let Balancer { up, serves_from_ms, paused_until_ms, .. } = self.balancers[balancer];
        if up && paused_until_ms > self.now_ms {
            self.schedule(paused_until_ms - self.now_ms, event);
            return true;
        }
        !up || serves_from_ms > self.now_ms
    }

    pub(super) fn store_packet(&mut self, packet: Packet) -> [u8; 4] {
        self.packets.push(packet);
        u32::try_from(self.packets.len() - 1).unwrap_or_default().to_le_bytes()
    }

    pub(super) fn on_reply(
        &mut self,
        balancer: usize,
        upstream: usize,
        verdict: Verdict,
        packet: Packet,
    ) {
        if self.defer(balancer, Event::Reply { balancer, upstream, verdict, packet }) {
            return;
        }
        self.note_verdict(balancer, upstream, verdict);
        let from = address(upstream);
        let bytes = self.store_packet(packet);
        let reply = AgentReply { from, verdict, reads_service: true, packet: &bytes };
        let mut actions = Vec::new();
        let Balancer { edge, view, .. } = &mut self.balancers[balancer];
        edge.on_agent_reply(self.now_ms, view, reply, &packet.segment, &mut actions);
        self.apply(balancer, packet, actions);
    }

    pub(super) fn apply(&mut self, balancer: usize, packet: Packet, actions: Vec<Action>) {
        for action in actions {
            self.note(|_| Entry::Decided { balancer, packet, action });
            match action {
                Action::Forward { reason: Reason::Asked, .. }
                    if self.mutant == Some(Mutant::NeverAsked) => {}
                Action::Forward { to, wants_report, .. } => {
                    if self.loses_datagram() {
                        continue;
                    }
                    let delay_ms = self.network_delay_ms();
                    self.schedule(
                        delay_ms,
                        Event::ToAgent { balancer, packet, to, report: wants_report },
                    );
                }
                Action::Reset { reason } => {
                    self.check_overload_reset(balancer, packet.segment.flow, reason);
                    self.reset(balancer, packet);
                }
                Action::Drop { .. } if self.mutant == Some(Mutant::ResetWithoutProof) => {
                    self.reset(balancer, packet);
                }
                Action::Drop { .. } => {}
            }
        }
    }

    fn reset(&mut self, balancer: usize, packet: Packet) {
        let flow = packet.segment.flow;
        let Some(caller) = self.callers.iter().position(|caller| caller.flow == flow) else {
            return;
        };
        let Balancer { started_alone_ms, .. } = self.balancers[balancer];
        // If all balancers lost their state at once, within seconds of an outage of the
        // configuration service, none can know which entries are missing. The platform's rules
        // count a process as connected only from four seconds after its start.
        let informed = started_alone_ms.is_none_or(|since| self.now_ms - since >= SETTLE_MS);
        let reachable = self.callers[caller].holder.is_some_and(|(at, _)| self.is_reachable(at));
        if informed && reachable && self.is_held(caller) {
            self.record_violation(Violation::LivingFlowReset, flow);
        }
        self.outcome.resets += 1;
        let delay_ms = self.network_delay_ms();
        self.schedule(delay_ms, Event::ResetCaller { caller, flow });
    }

    pub(super) fn at_agent(
        &mut self,
        balancer: usize,
        packet: Packet,
        to: Destination,
        wants_report: bool,
    ) {
        let upstream = upstream_of(to.address);
        if self.is_cut_off(upstream) {
            return;
        }
        let bytes = self.queued_bytes(balancer, packet);
        let own = SERVICES[self.upstreams[upstream].service];
        let unchecked = self.mutant == Some(Mutant::ServiceNotChecked);
        let Some(agent) = &mut self.agents[upstream] else { return };
        let metadata = ForwardMetadata {
            balancer: balancer_address(balancer),
            service: AddressedService::Stated(if unchecked { own } else { to.service }),
            slots: if self.size.bursts { to.slots } else { 0 },
            slo_ms: to.slo_ms,
            wait_slos: to.wait_slos,
            urgent: to.urgent,
            wants_report,
            refuses_new_flows: to.refuses_new_flows,
            limit_per_ks: to.limit_per_ks,
            cold: to.cold,
        };
        let received = agent.on_packet(self.now_ms, &packet.segment, &bytes, metadata);
        self.note(|_| Entry::AtAgent { upstream, balancer, packet, outcome: received });
        if let Some(report) = received.report {
            self.send_report(upstream, &report, packet);
        }
        match received.delivery {
            Delivery::Deliver => self.at_upstream(upstream, balancer, packet),
            Delivery::DeliverUnresponsive { for_ms } => {
                self.at_upstream(upstream, balancer, packet);
                self.send_reply(balancer, upstream, Verdict::Unresponsive { for_ms }, packet);
            }
            Delivery::WrongService { service } => {
                self.send_reply(balancer, upstream, Verdict::WrongService { service }, packet);
            }
            Delivery::ServiceNotStated => {
                self.send_reply(balancer, upstream, Verdict::ServiceNotStated, packet);
            }
            Delivery::NotHeld | Delivery::NotAccepting => {
                self.send_reply(balancer, upstream, Verdict::Denied, packet);
            }
            Delivery::RateLimited { for_ms } => {
                self.send_reply(balancer, upstream, Verdict::RateLimited { for_ms }, packet);
            }
            Delivery::Overloaded { for_ms } => {
                self.send_reply(balancer, upstream, Verdict::Overloaded { for_ms }, packet);
            }
            Delivery::Queued => {}
        }
        self.release_queued(upstream);
    }

    /// A running agent replies that it is alive.
    pub(super) fn at_ping(&mut self, balancer: usize, upstream: usize) {
        if let Some(agent) = &mut self.agents[upstream] {
            agent.note_reply_sent(balancer_address(balancer));
            self.send_reply(balancer, upstream, Verdict::Alive, EMPTY_PACKET);
        }
    }

    fn send_report(&mut self, upstream: usize, report: &Report, packet: Packet) {
        let balancer = balancer_index(report.balancer);
        let Report { busy, opening_sequence, load, .. } = *report;
        let verdict = Verdict::Held { busy, opening_sequence, load };
        self.send_reply(balancer, upstream, verdict, packet);
    }

    pub(super) fn send_reply(
        &mut self,
        balancer: usize,
        upstream: usize,
        verdict: Verdict,
        packet: Packet,
    ) {
        if self.is_cut_off(upstream) || self.loses_datagram() {
            self.note(|_| Entry::ReplyLost { balancer, upstream, verdict, packet });
            return;
        }
        let delay_ms = self.network_delay_ms();
        self.schedule(delay_ms, Event::Reply { balancer, upstream, verdict, packet });
    }

    pub(super) fn at_upstream(&mut self, upstream: usize, balancer: usize, packet: Packet) {
        let flow = packet.segment.flow;
        let is_new = !self.upstreams[upstream].has_flow(flow);
        let target = &mut self.upstreams[upstream];
        let mut reaction = target.receive(&packet);
        if self.size.bursts {
            reaction = target.slots.react(reaction, &packet);
        }
        self.note(|world| world.reaction(upstream, packet, reaction));
        match reaction {
            Reaction::Drop => {}
            Reaction::Consume => self.acknowledge(upstream, packet),
            Reaction::Return => {
                if let Some(agent) = &mut self.agents[upstream] {
                    agent.on_returned(self.now_ms, flow);
                    agent.note_reply_sent(balancer_address(balancer));
                }
                self.send_reply(balancer, upstream, Verdict::Denied, packet);
            }
            Reaction::Accept => {
                self.check_opening(upstream, balancer, flow);
                if is_new {
                    self.check_cold_limit(upstream, flow);
                    self.check_spread(upstream, flow);
                }
                self.answer(upstream, packet, true);
            }
            Reaction::Close => self.close(upstream, packet),
            Reaction::Queue => self.start_requests(upstream),
            Reaction::Answer if self.size.bursts => self.answer_data(upstream, packet),
            Reaction::Answer => self.answer_when_done(upstream, packet),
        }
    }

    /// Answers a request. A slow upstream does so later, and sends nothing meanwhile.
    fn answer_when_done(&mut self, upstream: usize, packet: Packet) {
        let Upstream { incarnation, slow_until_ms, .. } = self.upstreams[upstream];
        if slow_until_ms <= self.now_ms {
            return self.answer_data(upstream, packet);
        }
        let work_ms = self.rng.random_range(500..2_500);
        self.schedule(work_ms, Event::SlowAnswer { upstream, incarnation, packet });
    }

    pub(super) fn answer_data(&mut self, upstream: usize, packet: Packet) {
        if !self.size.long_answers {
            return self.answer(upstream, packet, false);
        }
        let flow = packet.segment.flow;
        self.acknowledge(upstream, packet);
        if let Some(part) = self.upstreams[upstream].begin_answer(flow) {
            self.send_part(upstream, flow, part);
        }
    }

    /// Passes an acknowledgement to the upstream, and sends the part that may follow.
    fn acknowledge(&mut self, upstream: usize, packet: Packet) {
        let Packet { segment, acknowledged_incarnation } = packet;
        let target = &mut self.upstreams[upstream];
        if acknowledged_incarnation != target.incarnation {
            return;
        }
        let bytes = segment
            .acknowledged
            .wrapping_sub(initial_sequence_of(target.incarnation).wrapping_add(1));
        if let Some(part) = target.acknowledge(segment.flow, bytes) {
            self.send_part(upstream, segment.flow, part);
        }
    }

    pub(super) fn resend(
        &mut self,
        upstream: usize,
        incarnation: u64,
        flow: FlowKey,
        part: LongAnswer,
    ) {
        if self.upstreams[upstream].incarnation != incarnation {
            return;
        }
        if let Some(part) = self.upstreams[upstream].resend(flow, part) {
            self.send_part(upstream, flow, part);
        }
    }

    /// Sends a part through the agent to the caller, and schedules its retransmission.
    fn send_part(&mut self, upstream: usize, flow: FlowKey, part: LongAnswer) {
        let incarnation = self.upstreams[upstream].incarnation;
        self.note(|world| world.part_sent(upstream, flow, part));
        self.schedule(part.pause_ms(), Event::Resend { upstream, incarnation, flow, part });
        let begins = part.end_bytes - u32::from(PART_BYTES);
        let sequence = initial_sequence_of(incarnation).wrapping_add(1 + begins);
        let answer = Answer { flow, data_bytes: PART_BYTES, last: false, sequence, opening: false };
        let Some(agent) = &mut self.agents[upstream] else { return };
        if let Some(report) = agent.on_answer(self.now_ms, answer).report {
            let segment = Segment { flow, ..EMPTY_PACKET.segment };
            self.send_report(upstream, &report, Packet { segment, ..EMPTY_PACKET });
        }
        let caller = self.callers.iter().position(|caller| caller.flow == flow);
        if let Some(caller) = caller.filter(|_| !self.is_cut_off(upstream)) {
            let delay_ms = self.network_delay_ms();
            self.schedule(delay_ms, Event::Part { caller, flow, part });
        }
    }

    fn close(&mut self, upstream: usize, packet: Packet) {
        let flow = packet.segment.flow;
        let sequence = initial_sequence_of(self.upstreams[upstream].incarnation).wrapping_add(1);
        let answer = Answer { flow, data_bytes: 0, last: true, sequence, opening: false };
        let Some(agent) = &mut self.agents[upstream] else { return };
        if let Some(report) = agent.on_answer(self.now_ms, answer).report {
            self.send_report(upstream, &report, packet);
        }
        let caller = self.callers.iter().position(|caller| caller.flow == flow);
        if let Some(caller) = caller.filter(|_| !self.is_cut_off(upstream)) {
            let delay_ms = self.network_delay_ms();
            self.schedule(delay_ms, Event::Closed { caller, flow });
        }
    }

    fn check_opening(&mut self, upstream: usize, balancer: usize, flow: FlowKey) {
        let target = &self.upstreams[upstream];
        let routed_until_ms = self.routed_until_ms[endpoint_index(flow)][target.service];
        if routed_until_ms == 0 {
            self.record_violation(Violation::WrongService, flow);
            return;
        }
        let Balancer { cut_until_ms, paused_until_ms, .. } = self.balancers[balancer];
        let up_to_date = cut_until_ms.max(paused_until_ms) + SETTLE_MS <= self.now_ms;
        let leaving = self.is_in_force(target.draining_since_ms);
        let closed = self.is_in_force(self.closed_since_ms[zone_of(upstream)]);
        let left_ms = Some(routed_until_ms).filter(|until_ms| *until_ms < u64::MAX);
        if up_to_date && self.is_in_force(left_ms) {
            self.record_violation(Violation::OpeningAtFormerService, flow);
        }
        if up_to_date && leaving {
            self.record_violation(Violation::OpeningOnLeaving, flow);
        }
        if up_to_date && closed {
            self.record_violation(Violation::OpeningInClosedZone, flow);
        }
        if !self.is_allowed(upstream, flow.endpoint) {
            self.record_violation(Violation::RegionNotAllowed, flow);
        }
    }

    fn is_allowed(&self, upstream: usize, endpoint: SocketAddrV4) -> bool {
        let route = self.routes.find(endpoint);
        let region = region_of(zone_of(upstream));
        route.is_some_and(|route| route.regions.is_empty() || route.regions.contains(&region))
    }

    /// Checks the limit of a cold upstream over every window of a second.
    fn check_cold_limit(&mut self, upstream: usize, flow: FlowKey) {
        let target = &mut self.upstreams[upstream];
        let count = target.count_opening(self.now_ms);
        let is_cold = target.cold_until_ms > self.now_ms && target.service == LIMITED_SERVICE;
        if is_cold && count > COLD_OPENINGS_MAX {
            self.record_violation(Violation::ColdLimitExceeded, flow);
        }
    }

    /// Checks that an upstream which may accept new flows eventually gets its share of them.
    ///
    /// Does not apply where routes change, because the number of flows of each service is then
    /// unknown.
    fn check_spread(&mut self, opened: usize, flow: FlowKey) {
        if self.size.moving_routes {
            return;
        }
        let service = self.upstreams[opened].service;
        let is_eligible = |upstream: &usize| {
            self.upstreams[*upstream].service == service
                && self.accepts_flows(*upstream)
                && self.has_free_slot(*upstream)
        };
        let eligible: Vec<usize> = (0..self.upstreams.len()).filter(is_eligible).collect();
        let is_up = |upstream: &&Upstream| upstream.service == service && upstream.incarnation > 0;
        let up = self.upstreams.iter().filter(is_up).count();
        for upstream in 0..self.upstreams.len() {
            if self.upstreams[upstream].service != service {
                continue;
            }
            let passed_over =
                upstream != opened && eligible.contains(&upstream) && self.is_worse_choice(opened);
            let count = &mut self.passed_over[upstream];
            *count = if passed_over { *count + 1 } else { 0 };
            let exceeds = *count > PASSED_OVER_MAX * up;
            if *count <= 1 {
                self.overload.note_passed_over(self.now_ms, upstream);
            }
            if exceeds && self.is_passed_over_for_long(upstream) {
                self.passed_over[upstream] = 0;
                self.note(|_| Entry::PassedOver(upstream));
                self.record_violation(Violation::UpstreamPassedOver, flow);
            }
        }
    }

    /// Whether all balancers know that this upstream accepts new flows.
    pub(super) fn accepts_flows(&self, upstream: usize) -> bool {
        let target = &self.upstreams[upstream];
        let zone = zone_of(upstream);
        let open_ms = self.now_ms.saturating_sub(self.opened_since_ms[zone]);
        let is_open = self.closed_since_ms[zone].is_none() && open_ms > PROPAGATION_MS;
        let is_up = target.incarnation > 0
            && target.draining_since_ms.is_none()
            && self.listed[upstream].is_some();
        let is_warm = target.cold_until_ms + PROPAGATION_MS <= self.now_ms;
        let is_fast = target.slow_until_ms + PROPAGATION_MS <= self.now_ms;
        let is_known =
            self.balancers.iter().all(|b| b.cut_until_ms + PROPAGATION_MS <= self.now_ms);
        let is_ready = is_up && is_warm && is_fast && is_known;
        // An agent that has just started treats a warm upstream as cold.
        let is_settled = self.unreachable_until_ms[upstream] + PROPAGATION_MS <= self.now_ms;
        let is_allowed = self.is_allowed(upstream, endpoint(target.service));
        let is_placed = is_open && is_ready && is_settled && !self.has_returned_recently();
        is_placed && self.is_reachable(upstream) && is_allowed
    }

    pub(super) fn answer(&mut self, upstream: usize, packet: Packet, opening: bool) {
        let flow = packet.segment.flow;
        let data_bytes = if opening { 0 } else { 500 };
        let number = initial_sequence_of(self.upstreams[upstream].incarnation);
        let sequence = if opening { number } else { number.wrapping_add(1) };
        let answer = Answer { flow, data_bytes, last: false, sequence, opening };
        let Some(agent) = &mut self.agents[upstream] else { return };
        if let Some(report) = agent.on_answer(self.now_ms, answer).report {
            self.send_report(upstream, &report, packet);
        }
        let Some(caller) = self.callers.iter().position(|caller| caller.flow == flow) else {
            return;
        };
        // A repetition of an earlier request may arrive after a pause.
        let outdated = !opening && !self.callers[caller].has_latest(packet.segment.sequence);
        if self.size.bursts && outdated {
            return;
        }
        if self.is_cut_off(upstream) || self.loses_datagram() {
            return;
        }
        let incarnation = self.upstreams[upstream].incarnation;
        let delay_ms = self.network_delay_ms();
        self.schedule(
            delay_ms,
            match opening {
                true => Event::Accepted { caller, flow, upstream, incarnation },
                false => Event::Answered { caller, flow },
            },
        );
    }
}
