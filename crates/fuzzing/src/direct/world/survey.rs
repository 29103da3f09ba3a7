//! Questions of balancers about the endpoints of upstreams' flows, and the agents' answers.

use rand::RngExt as _;
use steering::edge::Question;
use steering::side::EndpointReport;

use super::layout::{SERVICES, address, upstream_of};
use super::overload::LOST_SHARE;
use super::{Balancer, Event, World};

impl World {
    pub(super) fn send_questions(&mut self, balancer: usize) {
        let Balancer { edge, view, .. } = &mut self.balancers[balancer];
        for Question { to, number } in edge.take_questions(self.now_ms, view) {
            if !self.loses_question() {
                let delay_ms = self.question_delay_ms();
                let upstream = upstream_of(to);
                self.schedule(delay_ms, Event::Question { balancer, upstream, number });
            }
        }
    }

    pub(super) fn at_question(&mut self, balancer: usize, upstream: usize, number: u32) {
        let Some(agent) = &self.agents[upstream] else { return };
        let report = agent.endpoint_report(self.now_ms);
        if !self.is_cut_off(upstream) && !self.loses_question() {
            let delay_ms = self.question_delay_ms();
            let service = self.upstreams[upstream].service;
            let answer = Event::EndpointAnswer { balancer, upstream, service, number, report };
            self.schedule(delay_ms, answer);
        }
    }

    pub(super) fn on_endpoint_answer(
        &mut self,
        balancer: usize,
        upstream: usize,
        service: usize,
        number: u32,
        report: EndpointReport,
    ) {
        let copy = report.clone();
        let event = Event::EndpointAnswer { balancer, upstream, service, number, report: copy };
        if self.defer(balancer, event) {
            return;
        }
        let edge = &mut self.balancers[balancer].edge;
        let service = SERVICES[service];
        edge.on_endpoint_report(self.now_ms, address(upstream), service, number, &report);
    }

    fn question_delay_ms(&mut self) -> u64 {
        self.survey_rng.random_range(1..4)
    }

    fn loses_question(&mut self) -> bool {
        let in_burst = self.overload.burst_until_ms > self.now_ms;
        in_burst && self.survey_rng.random_bool(LOST_SHARE)
    }
}
