//! The way of a packet: balancer, agent, upstream and back.

use std::net::SocketAddrV4;

use rand::RngExt as _;
use steering::edge::{Action, AgentReply, Destination, Reason, Verdict};
use steering::flow::{FlowKey, Segment};
use steering::side::{Answer, Delivery, ForwardMetadata, Report};

use super::{
    BLANK, Balancer, CALM_MS, COLD_OPENINGS_MAX, Event, IN_FORCE_MS, LIMITED, PASSED_OVER_MAX,
    Packet, SERVICES, World, address, balancer_address, balancer_number, endpoint, endpoint_number,
    region, upstream_of, zone_of,
};
use crate::direct::upstream::{LongAnswer, PART_BYTES, Reaction, Upstream, number_of};
use crate::direct::{Mutant, Violation};

impl World {
    pub(super) fn at_balancer(&mut self, balancer: usize, packet: Packet) {
        if self.defer(balancer, Event::ToBalancer(balancer, packet)) {
            return;
        }
        let bytes = self.keep(packet);
        let mut actions = Vec::new();
        let Balancer { edge, view, .. } = &mut self.balancers[balancer];
        edge.on_packet(self.now_ms, view, &packet.segment, &bytes, &mut actions);
        self.apply(balancer, packet, actions);
    }

    /// Packets for a balancer that is down are lost; those for one that is paused wait.
    fn defer(&mut self, balancer: usize, event: Event) -> bool {
        let Balancer { up, paused_until_ms, .. } = self.balancers[balancer];
        if up && paused_until_ms > self.now_ms {
            self.at(paused_until_ms - self.now_ms, event);
            return true;
        }
        !up
    }

    fn keep(&mut self, packet: Packet) -> [u8; 4] {
        self.packets.push(packet);
        u32::try_from(self.packets.len() - 1).unwrap_or_default().to_le_bytes()
    }

    pub(super) fn on_said(
        &mut self,
        balancer: usize,
        upstream: usize,
        verdict: Verdict,
        packet: Packet,
    ) {
        if self.defer(balancer, Event::Said { balancer, upstream, verdict, packet }) {
            return;
        }
        let reply = AgentReply { from: address(upstream), verdict };
        let mut actions = Vec::new();
        let Balancer { edge, view, .. } = &mut self.balancers[balancer];
        edge.on_agent_reply(self.now_ms, view, reply, &packet.segment, &mut actions);
        self.apply(balancer, packet, actions);
    }

    pub(super) fn apply(&mut self, balancer: usize, packet: Packet, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Forward { reason: Reason::Asked, .. }
                    if self.mutant == Some(Mutant::NeverAsked) => {}
                Action::Forward { to, wants_report, .. } => {
                    let delay_ms = self.hop();
                    self.at(
                        delay_ms,
                        Event::ToAgent { balancer, packet, to, report: wants_report },
                    );
                }
                Action::Reset { .. } => self.reset(balancer, packet),
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
        let Balancer { cut_until_ms, alone_since_ms, .. } = self.balancers[balancer];
        // Where all memory was lost at once, within seconds of an outage of the configuration service,
        // nobody can know which entries are missing. The platform's rules count a process as in touch
        // four seconds after its start.
        let informed = alone_since_ms.is_none_or(|since| self.now_ms - since >= CALM_MS);
        let reachable = self.callers[caller].holder.is_some_and(|(at, _)| self.is_reachable(at));
        if cut_until_ms <= self.now_ms && informed && reachable && self.is_held(caller) {
            self.violate(Violation::LivingFlowReset);
        }
        self.outcome.resets += 1;
        let delay_ms = self.hop();
        self.at(delay_ms, Event::ResetCaller { caller, flow });
    }

    pub(super) fn at_agent(
        &mut self,
        balancer: usize,
        packet: Packet,
        to: Destination,
        wants_report: bool,
    ) {
        let upstream = upstream_of(to.address);
        if self.is_cut(upstream) {
            return;
        }
        let own = SERVICES[self.upstreams[upstream].service];
        let unchecked = self.mutant == Some(Mutant::ServiceNotChecked);
        let Some(side) = &mut self.agents[upstream] else { return };
        let ask = ForwardMetadata {
            balancer: balancer_address(balancer),
            service: if unchecked { own } else { to.service },
            slots: 0,
            slo_ms: 0,
            wait_slos: 0,
            urgent: false,
            wants_report,
            refuses_new_flows: to.turns_away,
            limit_per_ks: to.limit_per_ks,
            cold: to.cold,
        };
        let received = side.on_packet(self.now_ms, &packet.segment, &[], ask);
        if let Some(report) = received.report {
            self.report(upstream, &report, packet);
        }
        match received.delivery {
            Delivery::Deliver => self.at_upstream(upstream, balancer, packet),
            Delivery::DeliverUnresponsive { for_ms } => {
                self.at_upstream(upstream, balancer, packet);
                self.say(balancer, upstream, Verdict::Unresponsive { for_ms }, packet);
            }
            Delivery::Foreign { service } => {
                self.say(balancer, upstream, Verdict::WrongService { service }, packet);
            }
            Delivery::NotHeld | Delivery::NotAccepting => {
                self.say(balancer, upstream, Verdict::Denied, packet);
            }
            Delivery::RateLimited { for_ms } => {
                self.say(balancer, upstream, Verdict::RateLimited { for_ms }, packet);
            }
            // Without known slots nothing waits.
            Delivery::Queued => {}
        }
    }

    /// An agent that is there says so.
    pub(super) fn at_pinged(&mut self, balancer: usize, upstream: usize) {
        if let Some(side) = &mut self.agents[upstream] {
            side.note_reply_sent(balancer_address(balancer));
            self.say(balancer, upstream, Verdict::Alive, BLANK);
        }
    }

    fn report(&mut self, upstream: usize, report: &Report, packet: Packet) {
        let balancer = balancer_number(report.balancer);
        let Report { busy, opening_sequence, .. } = *report;
        self.say(balancer, upstream, Verdict::Held { busy, opening_sequence }, packet);
    }

    pub(super) fn say(
        &mut self,
        balancer: usize,
        upstream: usize,
        verdict: Verdict,
        packet: Packet,
    ) {
        if self.is_cut(upstream) {
            return;
        }
        let delay_ms = self.hop();
        self.at(delay_ms, Event::Said { balancer, upstream, verdict, packet });
    }

    fn at_upstream(&mut self, upstream: usize, balancer: usize, packet: Packet) {
        let flow = packet.segment.flow;
        let is_new = !self.upstreams[upstream].knows(flow);
        let reaction = self.upstreams[upstream].take(&packet);
        match reaction {
            Reaction::Nothing => {}
            Reaction::Take => self.acknowledge(upstream, packet),
            Reaction::Return => {
                if let Some(side) = &mut self.agents[upstream] {
                    side.on_returned(self.now_ms, flow);
                    side.note_reply_sent(balancer_address(balancer));
                }
                self.say(balancer, upstream, Verdict::Denied, packet);
            }
            Reaction::Accept => {
                self.judge_opening(upstream, balancer, flow);
                if is_new {
                    self.judge_cold(upstream);
                    self.judge_spread(upstream);
                }
                self.answer(upstream, packet, true);
            }
            Reaction::Close => self.close(upstream, packet),
            Reaction::Answer => self.work(upstream, packet),
        }
    }

    /// A slow upstream takes its time, and says nothing meanwhile.
    fn work(&mut self, upstream: usize, packet: Packet) {
        let Upstream { boot, slow_until_ms, .. } = self.upstreams[upstream];
        if slow_until_ms <= self.now_ms {
            return self.answer_data(upstream, packet);
        }
        let work_ms = self.rng.random_range(500..2_500);
        self.at(work_ms, Event::Speaks { upstream, boot, packet });
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

    /// The upstream takes an acknowledgement, and sends what may follow.
    fn acknowledge(&mut self, upstream: usize, packet: Packet) {
        let Packet { segment, acknowledged_boot } = packet;
        let target = &mut self.upstreams[upstream];
        if acknowledged_boot != target.boot {
            return;
        }
        let bytes = segment.acknowledged.wrapping_sub(number_of(target.boot).wrapping_add(1));
        if let Some(part) = target.acknowledge(segment.flow, bytes) {
            self.send_part(upstream, segment.flow, part);
        }
    }

    pub(super) fn resend(&mut self, upstream: usize, boot: u64, flow: FlowKey, part: LongAnswer) {
        if self.upstreams[upstream].boot != boot {
            return;
        }
        if let Some(part) = self.upstreams[upstream].resend(flow, part) {
            self.send_part(upstream, flow, part);
        }
    }

    /// A part goes to the caller through the agent, and again if it is not acknowledged.
    fn send_part(&mut self, upstream: usize, flow: FlowKey, part: LongAnswer) {
        let boot = self.upstreams[upstream].boot;
        self.at(part.pause_ms(), Event::Resend { upstream, boot, flow, part });
        let begins = part.end_bytes - u32::from(PART_BYTES);
        let sequence = number_of(boot).wrapping_add(1 + begins);
        let answer = Answer { flow, data_bytes: PART_BYTES, last: false, sequence, opening: false };
        let Some(side) = &mut self.agents[upstream] else { return };
        if let Some(report) = side.on_answer(self.now_ms, answer).report {
            let segment = Segment { flow, ..BLANK.segment };
            self.report(upstream, &report, Packet { segment, ..BLANK });
        }
        let caller = self.callers.iter().position(|caller| caller.flow == flow);
        if let Some(caller) = caller.filter(|_| !self.is_cut(upstream)) {
            let delay_ms = self.hop();
            self.at(delay_ms, Event::Part { caller, flow, part });
        }
    }

    fn close(&mut self, upstream: usize, packet: Packet) {
        let flow = packet.segment.flow;
        let sequence = number_of(self.upstreams[upstream].boot).wrapping_add(1);
        let answer = Answer { flow, data_bytes: 0, last: true, sequence, opening: false };
        let Some(side) = &mut self.agents[upstream] else { return };
        if let Some(report) = side.on_answer(self.now_ms, answer).report {
            self.report(upstream, &report, packet);
        }
        let caller = self.callers.iter().position(|caller| caller.flow == flow);
        if let Some(caller) = caller.filter(|_| !self.is_cut(upstream)) {
            let delay_ms = self.hop();
            self.at(delay_ms, Event::Closed { caller, flow });
        }
    }

    fn judge_opening(&mut self, upstream: usize, balancer: usize, flow: FlowKey) {
        let target = &self.upstreams[upstream];
        let led_until_ms = self.led_until_ms[endpoint_number(flow)][target.service];
        if led_until_ms == 0 {
            self.violate(Violation::WrongService);
            return;
        }
        let Balancer { cut_until_ms, paused_until_ms, .. } = self.balancers[balancer];
        let in_touch = cut_until_ms.max(paused_until_ms) + CALM_MS <= self.now_ms;
        let long_since =
            |since: Option<u64>| since.is_some_and(|at| self.now_ms - at > IN_FORCE_MS);
        let leaving = long_since(target.leaving_ms);
        let closed = long_since(self.closed_since_ms[zone_of(upstream)]);
        if in_touch && led_until_ms.saturating_add(IN_FORCE_MS) < self.now_ms {
            self.violate(Violation::OpeningAtFormerService);
        }
        if in_touch && leaving {
            self.violate(Violation::OpeningOnLeaving);
        }
        if in_touch && closed {
            self.violate(Violation::OpeningInClosedZone);
        }
        if !self.is_allowed(upstream, flow.endpoint) {
            self.violate(Violation::RegionNotAllowed);
        }
    }

    fn is_allowed(&self, upstream: usize, endpoint: SocketAddrV4) -> bool {
        let route = self.routes.find(endpoint);
        let region = region(zone_of(upstream));
        route.is_some_and(|route| route.regions.is_empty() || route.regions.contains(&region))
    }

    /// Any second counts, wherever it begins.
    fn judge_cold(&mut self, upstream: usize) {
        let target = &mut self.upstreams[upstream];
        let count = target.count_opening(self.now_ms);
        let is_cold = target.cold_until_ms > self.now_ms && target.service == LIMITED;
        if is_cold && count > COLD_OPENINGS_MAX {
            self.violate(Violation::ColdLimitExceeded);
        }
    }

    /// An upstream that may take new flows gets its share of them sooner or later.
    ///
    /// How many flows a service gets is not known where routes change.
    fn judge_spread(&mut self, opened: usize) {
        if self.size.moving {
            return;
        }
        let service = self.upstreams[opened].service;
        let is_able = |upstream: &usize| {
            self.upstreams[*upstream].service == service && self.takes_flows(*upstream)
        };
        let able: Vec<usize> = (0..self.upstreams.len()).filter(is_able).collect();
        let is_up = |upstream: &&Upstream| upstream.service == service && upstream.boot > 0;
        let up = self.upstreams.iter().filter(is_up).count();
        for upstream in 0..self.upstreams.len() {
            if self.upstreams[upstream].service != service {
                continue;
            }
            let passed_over = upstream != opened && able.contains(&upstream);
            let count = &mut self.passed_over[upstream];
            *count = if passed_over { *count + 1 } else { 0 };
            if *count > PASSED_OVER_MAX * up {
                *count = 0;
                self.violate(Violation::UpstreamPassedOver);
            }
        }
    }

    /// Whether all balancers know that this upstream takes new flows.
    fn takes_flows(&self, upstream: usize) -> bool {
        let target = &self.upstreams[upstream];
        let zone = zone_of(upstream);
        let open_ms = self.now_ms.saturating_sub(self.opened_since_ms[zone]);
        let is_open = self.closed_since_ms[zone].is_none() && open_ms > IN_FORCE_MS;
        let is_up =
            target.boot > 0 && target.leaving_ms.is_none() && self.listed[upstream].is_some();
        let is_warm = target.cold_until_ms + IN_FORCE_MS <= self.now_ms;
        let is_quick = target.slow_until_ms + IN_FORCE_MS <= self.now_ms;
        let is_known = self.balancers.iter().all(|b| b.cut_until_ms + IN_FORCE_MS <= self.now_ms);
        let is_well = is_up && is_warm && is_quick && is_known;
        // An agent that has just started takes a warm upstream for cold.
        let is_settled = self.away_until_ms[upstream] + IN_FORCE_MS <= self.now_ms;
        let is_allowed = self.is_allowed(upstream, endpoint(target.service));
        is_open && is_well && is_settled && self.is_reachable(upstream) && is_allowed
    }

    pub(super) fn answer(&mut self, upstream: usize, packet: Packet, opening: bool) {
        let flow = packet.segment.flow;
        let data_bytes = if opening { 0 } else { 500 };
        let number = number_of(self.upstreams[upstream].boot);
        let sequence = if opening { number } else { number.wrapping_add(1) };
        let answer = Answer { flow, data_bytes, last: false, sequence, opening };
        let Some(side) = &mut self.agents[upstream] else { return };
        if let Some(report) = side.on_answer(self.now_ms, answer).report {
            self.report(upstream, &report, packet);
        }
        let Some(caller) = self.callers.iter().position(|caller| caller.flow == flow) else {
            return;
        };
        if self.is_cut(upstream) {
            return;
        }
        let boot = self.upstreams[upstream].boot;
        let delay_ms = self.hop();
        self.at(
            delay_ms,
            match opening {
                true => Event::Accepted { caller, flow, upstream, boot },
                false => Event::Answered { caller, flow },
            },
        );
    }
}
