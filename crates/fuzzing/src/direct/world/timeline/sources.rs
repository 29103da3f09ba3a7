//! What the world enters into its time line.

use steering::flow::FlowKey;
use steering::knowledge::Knowledge;
use steering::view::{Standing, View};

use super::super::{
    Balancer, Event, Packet, SERVICES, SERVICES_COUNT, World, ZONES, endpoint, upstream_of,
    zone_stamp,
};
use super::Entry;
use super::entry::{Former, Intake, List, Received};
use crate::direct::Violation;
use crate::direct::caller::State;
use crate::direct::upstream::{LongAnswer, Reaction};

impl World {
    /// Notes an event that is about to be handled.
    pub(in crate::direct::world) fn note_event(&mut self, event: &Event) {
        if self.timeline.is_none() {
            return;
        }
        if let Some(entry) = self.entry_of(event) {
            self.note(|_| entry);
        }
    }

    fn entry_of(&self, event: &Event) -> Option<Entry> {
        let entry = match *event {
            Event::ToBalancer(balancer, packet) => {
                Entry::AtBalancer { balancer, packet, intake: self.intake(balancer) }
            }
            Event::Reply { balancer, upstream, verdict, packet } => {
                let intake = self.intake(balancer);
                Entry::Reply { balancer, upstream, verdict, packet, intake }
            }
            Event::ToAgent { packet, to, .. } => {
                let upstream = upstream_of(to.address);
                let cut_off = self.is_cut_off(upstream);
                if !cut_off && self.agents[upstream].is_some() {
                    return None;
                }
                Entry::AgentMissed { upstream, packet, cut_off }
            }
            Event::Accepted { caller, flow, upstream, incarnation } => {
                self.caller_received(caller, flow, Received::Accept { upstream, incarnation })
            }
            Event::Answered { caller, flow } => {
                self.caller_received(caller, flow, Received::Answer)
            }
            Event::Part { caller, flow, part: LongAnswer { end_bytes, .. } } => {
                self.caller_received(caller, flow, Received::Part { end_bytes })
            }
            Event::ResetCaller { caller, flow } => {
                self.caller_received(caller, flow, Received::Reset)
            }
            Event::Closed { caller, flow } => {
                self.caller_received(caller, flow, Received::Confirmation)
            }
            Event::SlowAnswer { upstream, incarnation, packet } => {
                let finished = self.upstreams[upstream].incarnation == incarnation;
                Entry::SlowAnswer { upstream, packet, finished }
            }
            Event::OpenZone(zone) => Entry::ZoneOpened(zone),
            _ => return None,
        };
        Some(entry)
    }

    fn intake(&self, balancer: usize) -> Intake {
        let Balancer { up, paused_until_ms, .. } = self.balancers[balancer];
        match up {
            false => Intake::Lost,
            true if paused_until_ms > self.now_ms => Intake::Waits { until_ms: paused_until_ms },
            true => Intake::Handled,
        }
    }

    fn caller_received(&self, caller: usize, flow: FlowKey, received: Received) -> Entry {
        let current = &self.callers[caller];
        let expects = match received {
            Received::Accept { .. } => matches!(current.state, State::Opening { .. }),
            Received::Answer => {
                matches!(current.state, State::Requesting { .. } | State::Receiving { .. })
            }
            Received::Confirmation => matches!(current.state, State::Ending { .. }),
            Received::Part { .. } | Received::Reset => true,
        };
        Entry::CallerReceived { flow, received, ignored: current.flow != flow || !expects }
    }

    pub(in crate::direct::world) fn caller_left(&self, caller: usize, next: FlowKey) -> Entry {
        let current = &self.callers[caller];
        let gave_up = current.state == State::Ended;
        Entry::CallerLeft { flow: current.flow, gave_up, next_port: next.caller.port() }
    }

    pub(in crate::direct::world) fn reaction(
        &self,
        upstream: usize,
        packet: Packet,
        reaction: Reaction,
    ) -> Entry {
        let target = &self.upstreams[upstream];
        let slow = target.slow_until_ms > self.now_ms;
        Entry::AtUpstream { upstream, incarnation: target.incarnation, packet, reaction, slow }
    }

    pub(in crate::direct::world) fn part_sent(
        &self,
        upstream: usize,
        flow: FlowKey,
        part: LongAnswer,
    ) -> Entry {
        let lost = self.is_cut_off(upstream) || self.agents[upstream].is_none();
        Entry::PartSent { upstream, flow, end_bytes: part.end_bytes, lost }
    }

    pub(in crate::direct::world) fn upstream_started(&self, upstream: usize) -> Entry {
        let target = &self.upstreams[upstream];
        let (service, incarnation) = (target.service, target.incarnation);
        Entry::UpstreamStarted { upstream, service, incarnation }
    }

    pub(in crate::direct::world) fn agent_started(&self, upstream: usize) -> Entry {
        Entry::AgentStarted { upstream, service: self.upstreams[upstream].service }
    }

    pub(in crate::direct::world) fn routes_published(
        &self,
        endpoint_index: usize,
        shares: [u32; SERVICES_COUNT],
    ) -> Entry {
        Entry::RoutesPublished { version: self.routes.version, endpoint_index, shares }
    }

    pub(in crate::direct::world) fn list_taken(&self, balancer: usize) -> Entry {
        Entry::List { balancer, starts: false, list: Box::new(self.list_of(balancer)) }
    }

    pub(in crate::direct::world) fn balancer_started(&self, balancer: usize) -> Entry {
        Entry::List { balancer, starts: true, list: Box::new(self.list_of(balancer)) }
    }

    fn list_of(&self, balancer: usize) -> List {
        let Balancer { knowledge, view, complete_from_ms, .. } = &self.balancers[balancer];
        let Knowledge { routes, history, .. } = knowledge;
        let contents = history.contents(self.now_ms, routes.version);
        let former = contents.former.iter().map(|former| Former {
            endpoint_index: usize::from(former.endpoint == endpoint(1)),
            service: SERVICES.iter().position(|stamp| *stamp == former.service).unwrap_or_default(),
            until_ms: self.now_ms + former.left_ms,
        });
        let due = |from_ms: u64| if from_ms > self.now_ms { from_ms } else { 0 };
        let upstreams = |is_meant: fn(Standing) -> bool| upstreams_of(view, is_meant);
        List {
            routes_version: view.routes.version,
            former: former.collect(),
            history_from_ms: due(self.now_ms + contents.summary.whole_in_ms),
            complete_from_ms: due(*complete_from_ms),
            ready: upstreams(|standing| standing == Standing::Ready),
            draining: upstreams(|standing| standing == Standing::Draining),
            missing: upstreams(|standing| matches!(standing, Standing::Missing { .. })),
            closed_zones: (0..ZONES).filter(|zone| view.is_closed(zone_stamp(*zone))).collect(),
        }
    }

    pub(in crate::direct::world) fn broken(&self, violation: Violation, flow: FlowKey) -> Entry {
        let caller = self.callers.iter().find(|caller| caller.flow == flow);
        let holder = caller.and_then(|caller| caller.holder).map(|(upstream, incarnation)| {
            (upstream, incarnation, self.upstreams[upstream].holds(flow, incarnation))
        });
        Entry::Broken { violation, flow, holder }
    }
}

/// Upstreams in a view of each service whose standing is meant.
fn upstreams_of(view: &View, is_meant: fn(Standing) -> bool) -> [Vec<usize>; SERVICES_COUNT] {
    SERVICES.map(|service| {
        let listed = view.upstreams_of(service).iter();
        let meant = listed.filter(|upstream| is_meant(upstream.standing));
        meant.map(|upstream| upstream_of(upstream.address)).collect()
    })
}
