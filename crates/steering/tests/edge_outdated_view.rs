//! Searches that begin while the balancer's view is outdated: the address of an upstream belongs to
//! another service than the view says, and its agent returns the packet undelivered.

mod common;

use std::net::Ipv4Addr;
use std::sync::Arc;

use common::{READY, data, flow, packet, tick, upstream, verdict};
use rstest::rstest;
use steering::edge::{Action, Destination, Edge, Question, Reason, Trust, Verdict};
use steering::flow::{Millis, Segment};
use steering::history::History;
use steering::side::EndpointReport;
use steering::view::{Route, RouteTable, ServiceStamp, Share, Upstream, View};

const FIRST: ServiceStamp = ServiceStamp(1);
const SECOND: ServiceStamp = ServiceStamp(2);
/// A service to which no route of the flow's address leads.
const UNRELATED: ServiceStamp = ServiceStamp(9);
/// Number of the upstream whose address the first service has passed on to another one.
const REUSED: u8 = 3;
const START_MS: Millis = 10_000;
/// When the new view arrives, after the flow's first packet and its first retransmission.
const UPDATE_MS: Millis = START_MS + 300;
/// When the new list arrives, if it is later than the new routes.
const LIST_MS: Millis = START_MS + 500;
const END_MS: Millis = START_MS + 6_000;
const ROUND_TRIP_MS: Millis = 2;
const TICK_MS: Millis = 20;
/// When the caller sends its request, and when it retransmits it.
const SENT_MS: [Millis; 5] = [0, 200, 600, 1_400, 3_000];

/// How the routes of the new view differ from those of the outdated one, which lead from the flow's
/// endpoint to the first service only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Routes {
    /// They lead to the second service.
    Moved,
    /// They lead to both services.
    Split,
    /// They led to the second service for a while, as another balancer reports.
    Returned,
    /// It is unknown where they led for a while, and another route of the address leads to the
    /// second service.
    Unknown,
    /// They are the same.
    Same,
}

fn route(port: u16, services: &[ServiceStamp]) -> Route {
    let mut endpoint = flow(1).endpoint;
    endpoint.set_port(port);
    Route {
        endpoint,
        shares: services.iter().map(|service| Share { service: *service, weight: 1 }).collect(),
        slo_ms: 200,
        wait_slos: 0,
        urgent: false,
        repeatable: true,
        regions: [].into(),
    }
}

fn table(version: u64, services: &[ServiceStamp], others: &[ServiceStamp]) -> RouteTable {
    RouteTable::new(version, vec![route(443, services), route(8443, others)], [])
}

/// Upstreams 1 to 3 of the first service and 4 of the second one. In the new list, the reused
/// address belongs to its new service.
fn list(reused_by: ServiceStamp) -> Vec<Upstream> {
    let of = |service: ServiceStamp, number: u8| Upstream { service, ..upstream(number, READY) };
    vec![of(FIRST, 1), of(FIRST, 2), of(reused_by, REUSED), of(SECOND, 4)]
}

fn outdated_view() -> View {
    View::new(Arc::new(table(1, &[FIRST], &[FIRST])), list(FIRST))
}

fn updated_view(routes: Routes, reused_by: ServiceStamp) -> View {
    let old = table(1, &[FIRST], &[FIRST]);
    let mut history = History::from_first_start(60_000);
    let new = match routes {
        Routes::Moved => table(2, &[SECOND], &[FIRST]),
        Routes::Split => table(2, &[FIRST, SECOND], &[FIRST]),
        Routes::Returned => table(3, &[FIRST], &[FIRST]),
        Routes::Unknown => table(3, &[FIRST], &[SECOND]),
        Routes::Same => table(2, &[FIRST], &[FIRST]),
    };
    match routes {
        Routes::Returned => history.on_routes(START_MS, &table(2, &[SECOND], &[FIRST]), &new),
        Routes::Unknown => history.on_gap(START_MS),
        Routes::Moved | Routes::Split | Routes::Same => history.on_routes(START_MS, &old, &new),
    }
    View::new(Arc::new(new), list(reused_by)).with_history(Arc::new(history))
}

fn reused_address() -> Ipv4Addr {
    upstream(REUSED, READY).address
}

/// A fleet whose upstream at the reused address runs another service than the outdated view says.
struct Fleet {
    /// The service at the reused address.
    reused_by: ServiceStamp,
    /// Whether the upstream at the reused address holds the flow. Otherwise no upstream does.
    held: bool,
    /// Views of the balancer, and from when on each is in effect.
    views: Vec<(Millis, View)>,
    /// Whether the balancer is cut off until the first change of its view, so that it can't prove
    /// that a flow is lost.
    cut_off: bool,
    /// Whether the caller retransmits its request. If not, the balancer alone does.
    retransmits: bool,
}

/// What happened to the flow. Times count from the caller's first packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Outcome {
    /// When the balancer reset it.
    reset_ms: Option<Millis>,
    /// When the reply of its upstream arrived.
    found_ms: Option<Millis>,
    /// Whether the upstream at the reused address has looked for it.
    looked_up: bool,
}

impl Fleet {
    fn new(routes: Routes, reused_by: ServiceStamp, held: bool) -> Self {
        let views = vec![(0, outdated_view()), (UPDATE_MS, updated_view(routes, reused_by))];
        Self { reused_by, held, views, cut_off: true, retransmits: true }
    }

    /// The same fleet, but the new routes arrive before the new list.
    fn with_late_list(mut self, routes_ms: Millis) -> Self {
        let (_, updated) = self.views.pop().unwrap();
        let routes_only = View::new(Arc::clone(&updated.routes), list(FIRST))
            .with_history(Arc::new(updated.history().clone()));
        self.views.extend([(routes_ms, routes_only), (LIST_MS, updated)]);
        self
    }

    fn view(&self, now_ms: Millis) -> &View {
        let (_, view) = self.views.iter().rfind(|(from_ms, _)| *from_ms <= now_ms).unwrap();
        view
    }

    /// What the agent at the destination replies to a packet of the flow.
    fn reply(&self, to: Destination) -> Verdict {
        let reused = to.address == reused_address();
        let listed = list(self.reused_by).into_iter().find(|other| other.address == to.address);
        let service = listed.unwrap().service;
        match (reused, service == to.service) {
            (_, false) => Verdict::WrongService { service: service.short() },
            (true, true) if self.held => {
                Verdict::Held { busy: 0, opening_sequence: None, load: None }
            }
            (_, true) => Verdict::Denied,
        }
    }

    /// Lets the agent answer that its upstream holds no flow.
    fn answer(&self, edge: &mut Edge, now_ms: Millis, question: Question) {
        let Question { to, number } = question;
        let listed = list(self.reused_by).into_iter().find(|other| other.address == to);
        let report = EndpointReport { held: vec![], is_whole: true };
        edge.on_endpoint_report(now_ms, to, listed.unwrap().service, number, &report);
    }

    /// Plays a request of the flow, which the balancer does not know.
    fn play(&self) -> Outcome {
        let (mut edge, segment): (Edge, Segment) = (Edge::default(), data(1, 5));
        let mut outcome = Outcome::default();
        let mut replies: Vec<(Millis, Ipv4Addr, Verdict)> = Vec::new();
        let mut answers: Vec<(Millis, Question)> = Vec::new();
        for now_ms in START_MS..END_MS {
            let cut_off = self.cut_off && now_ms < UPDATE_MS;
            let current_at_ms = if cut_off { 0 } else { now_ms };
            edge.set_trust(Trust { current_at_ms, complete_from_ms: 0 });
            let view = self.view(now_ms);
            let mut actions = Vec::new();
            let sent = SENT_MS.iter().position(|sent_ms| START_MS + sent_ms == now_ms);
            if sent.is_some_and(|index| index == 0 || self.retransmits) {
                actions.extend(packet(&mut edge, now_ms, view, &segment));
            }
            if now_ms % TICK_MS == 0 {
                actions.extend(tick(&mut edge, now_ms, view));
                let questions = edge.take_questions(now_ms, view).into_iter();
                answers.extend(questions.map(|question| (now_ms + ROUND_TRIP_MS, question)));
            }
            for (_, question) in answers.extract_if(.., |(at_ms, _)| *at_ms == now_ms) {
                self.answer(&mut edge, now_ms, question);
            }
            let due = replies.extract_if(.., |(at_ms, ..)| *at_ms == now_ms).collect::<Vec<_>>();
            for (_, from, reply) in due {
                actions.extend(verdict(&mut edge, now_ms, view, from, reply, &segment));
                let wrong_service = matches!(reply, Verdict::WrongService { .. });
                outcome.looked_up |= from == reused_address() && !wrong_service;
                if matches!(reply, Verdict::Held { .. }) {
                    outcome.found_ms = Some(now_ms - START_MS);
                    return outcome;
                }
            }
            for action in actions {
                match action {
                    Action::Forward { to, .. } => {
                        replies.push((now_ms + ROUND_TRIP_MS, to.address, self.reply(to)));
                    }
                    Action::Reset { reason } => {
                        assert_eq!(reason, Reason::Lost);
                        outcome.reset_ms = Some(now_ms - START_MS);
                        return outcome;
                    }
                    Action::Drop { .. } => {}
                }
            }
        }
        outcome
    }
}

/// Guards against the reset of an open flow whose upstream was asked while the balancer was cut
/// off, with routes that did not lead to the upstream's service, and has not looked at the packet.
/// When the balancer learns of the new routes, it must ask that upstream again.
#[rstest]
fn undelivered_packet_is_no_denial_after_a_move(
    #[values(Routes::Moved, Routes::Split, Routes::Returned, Routes::Unknown)] routes: Routes,
    #[values(true, false)] retransmits: bool,
) {
    let outcome = Fleet { retransmits, ..Fleet::new(routes, SECOND, true) }.play();
    assert_eq!(outcome.reset_ms, None, "{outcome:?}");
    assert!(outcome.found_ms.is_some(), "{outcome:?}");
}

/// The same if the new routes arrive before the new list. Until the list arrives the upstream can't
/// be asked, and the flow must not be reset.
#[rstest]
fn undelivered_packet_is_no_denial_before_the_list(
    #[values(Routes::Moved, Routes::Split, Routes::Returned, Routes::Unknown)] routes: Routes,
) {
    let outcome = Fleet::new(routes, SECOND, true).with_late_list(UPDATE_MS).play();
    assert_eq!(outcome.reset_ms, None, "{outcome:?}");
    assert!(outcome.found_ms.is_some(), "{outcome:?}");
}

/// Guards against a lost flow whose caller is told late, because the upstream that has not looked
/// at the packet is asked again.
#[rstest]
fn lost_flow_is_reset_in_time_after_a_move(
    #[values(Routes::Moved, Routes::Split, Routes::Returned, Routes::Unknown)] routes: Routes,
    #[values(true, false)] retransmits: bool,
) {
    let outcome = Fleet { retransmits, ..Fleet::new(routes, SECOND, false) }.play();
    assert!(outcome.looked_up, "{outcome:?}");
    assert_eq!(outcome.reset_ms, Some(302), "{outcome:?}");
}

/// Guards against a lost flow whose caller is not told after the new list has arrived: the upstream
/// that has not looked at the packet may hold the flow, as the routes were new when it was asked.
#[rstest]
fn lost_flow_is_reset_in_time_after_the_list(
    #[values(Routes::Moved, Routes::Split, Routes::Returned, Routes::Unknown)] routes: Routes,
    #[values(true, false)] retransmits: bool,
) {
    let fleet = Fleet { cut_off: false, retransmits, ..Fleet::new(routes, SECOND, false) };
    let outcome = fleet.with_late_list(0).play();
    assert!(outcome.looked_up, "{outcome:?}");
    assert_eq!(outcome.reset_ms, Some(522), "{outcome:?}");
}

/// Guards against a lost flow whose caller is told late although nothing is in doubt: each upstream
/// has denied the flow, or runs a service at which the flow can't be open. Where it is unknown to
/// which services the route has led, the agent tells so before the next retransmission.
#[rstest]
#[case::same_view(Routes::Same, FIRST, false, 6)]
#[case::unrelated_service(Routes::Same, UNRELATED, false, 6)]
#[case::unrelated_service_after_a_move(Routes::Moved, UNRELATED, true, 302)]
#[case::unrelated_service_if_unknown(Routes::Unknown, UNRELATED, true, 420)]
#[case::moved(Routes::Moved, FIRST, true, 302)]
#[case::split(Routes::Split, FIRST, true, 302)]
#[case::same_after_the_cut(Routes::Same, FIRST, true, 300)]
fn lost_flow_is_reset_in_time(
    #[case] routes: Routes,
    #[case] reused_by: ServiceStamp,
    #[case] cut_off: bool,
    #[case] reset_ms: Millis,
    #[values(true, false)] retransmits: bool,
) {
    let fleet = Fleet { cut_off, retransmits, ..Fleet::new(routes, reused_by, false) };
    assert_eq!(fleet.play().reset_ms, Some(reset_ms));
}
