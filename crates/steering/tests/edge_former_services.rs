//! Flows that are open at services to which their route no longer leads.

mod common;

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::sync::Arc;

use common::{READY, data, flow, opening, packet, target, upstream, verdict, view_of};
use rstest::rstest;
use steering::edge::{Action, Edge, Reason, Trust, Verdict};
use steering::flow::{Millis, Segment};
use steering::history::{History, STALE_OPENINGS_MS};
use steering::membership::{Membership, UpstreamRecord};
use steering::view::{Route, RouteTable, Service, ServiceStamp, Share, Upstream, View, ZoneStamp};

const FORMER: ServiceStamp = ServiceStamp(1);
const CURRENT: ServiceStamp = ServiceStamp(2);
/// Number of upstreams of the service that the route leads to, and of the one that it has left.
const CURRENT_COUNT: u8 = 35;
const FORMER_COUNT: u8 = 9;
const REROUTED_MS: Millis = 1_000;

fn route(port: u16, service: ServiceStamp) -> Route {
    let mut endpoint = flow(1).endpoint;
    endpoint.set_port(port);
    Route {
        endpoint,
        shares: [Share { service, weight: 1 }].into(),
        slo_ms: 200,
        wait_slos: 0,
        urgent: false,
        repeatable: true,
        regions: [].into(),
    }
}

fn upstreams() -> Vec<Upstream> {
    let of = |service: ServiceStamp, number: u8| Upstream { service, ..upstream(number, READY) };
    let former = (1..=FORMER_COUNT).map(|number| of(FORMER, number));
    former.chain((101..=100 + CURRENT_COUNT).map(|number| of(CURRENT, number))).collect()
}

/// A view in which the route has moved from the former service to the current one.
fn rerouted_view() -> View {
    let old = RouteTable::new(1, vec![route(443, FORMER)], []);
    let new = RouteTable::new(2, vec![route(443, CURRENT)], []);
    let mut history = History::from_first_start(60_000);
    history.on_routes(REROUTED_MS, &old, &new);
    View::new(Arc::new(new), upstreams()).with_history(Arc::new(history))
}

/// The same for a balancer that has just started, as all others have, so that the history of the
/// route is lost. Another route still leads to the former service, at the same address or at
/// another one.
fn view_without_history(same_address: bool) -> View {
    let mut other = route(8443, FORMER);
    if !same_address {
        other.endpoint.set_ip(Ipv4Addr::new(198, 18, 0, 2));
    }
    let routes = RouteTable::new(2, vec![route(443, CURRENT), other], []);
    View::new(Arc::new(routes), upstreams()).with_history(Arc::new(History::from_now(0, 60_000)))
}

/// Lets upstream after upstream deny the flow until `holder` is asked, or the flow is reset.
/// Returns the upstreams asked.
fn ask_in_turn(view: &View, now_ms: Millis, holder: Option<u8>) -> (Vec<Ipv4Addr>, Vec<Action>) {
    let mut edge = Edge::default();
    edge.set_trust(Trust { current_at_ms: now_ms, complete_from_ms: 0 });
    let holder = holder.map(|number| Ipv4Addr::new(10, 0, 0, number));
    let segment: Segment = data(1, 5);
    let mut asked = Vec::new();
    let mut actions = VecDeque::from(packet(&mut edge, now_ms, view, &segment));
    while let Some(to) = actions.front().and_then(target) {
        asked.push(to);
        if Some(to) == holder {
            break;
        }
        actions.pop_front();
        actions.extend(verdict(&mut edge, now_ms, view, to, Verdict::Denied, &segment));
    }
    (asked, actions.into())
}

/// When a route moves to another service, balancers must not reset the flows that are open at the
/// former one.
#[rstest]
fn flow_at_former_service_is_found(#[values(1, 4, 9)] holder: u8) {
    let (_, actions) = ask_in_turn(&rerouted_view(), REROUTED_MS, Some(holder));
    assert_eq!(actions.first().and_then(target), Some(Ipv4Addr::new(10, 0, 0, holder)));
}

/// Flows are placed among the first three ranks, so the search asks as many of each service first.
#[test]
fn flow_at_former_service_is_found_in_few_queries() {
    let former_only = view_of(&[READY; FORMER_COUNT as usize]);
    let (ranks, _) = ask_in_turn(&former_only, 0, None);
    let holder = ranks[2].octets()[3];
    let (asked, _) = ask_in_turn(&rerouted_view(), REROUTED_MS, Some(holder));
    assert_eq!(asked.len(), 6);
}

#[test]
fn reset_requires_denials_by_former_services() {
    let (asked, actions) = ask_in_turn(&rerouted_view(), REROUTED_MS, None);
    assert_eq!(asked.len(), usize::from(CURRENT_COUNT + FORMER_COUNT));
    assert_eq!(actions, [Action::Reset { reason: Reason::Lost }]);
}

/// No flow of the former service can still be open, so proving a flow lost takes no more queries
/// than before the route moved.
#[test]
fn former_service_is_not_asked_after_the_flow_ttl() {
    let (asked, _) = ask_in_turn(&rerouted_view(), REROUTED_MS + 60_000 + STALE_OPENINGS_MS, None);
    assert_eq!(asked.len(), usize::from(CURRENT_COUNT));
}

/// No balancer knows which services the route has left. The services of other routes at the same
/// address are asked too, but not those of other client accounts.
#[rstest]
#[case::same_address(true, CURRENT_COUNT + FORMER_COUNT)]
#[case::other_address(false, CURRENT_COUNT)]
fn incomplete_history_extends_the_search_to_services_of_the_address(
    #[case] same_address: bool,
    #[case] expected: u8,
) {
    let (asked, _) = ask_in_turn(&view_without_history(same_address), 100, None);
    assert_eq!(asked.len(), usize::from(expected));
}

/// No balancer knows which service the route has left, and no route leads to that service any more.
/// It may belong to another client account, so the flow is not searched for there, and it is not
/// reset either.
#[rstest]
#[case::incomplete_history(false, Action::Drop { reason: Reason::Unknown })]
#[case::first_start(true, Action::Reset { reason: Reason::Lost })]
fn unrouted_service_prevents_reset_if_history_is_incomplete(
    #[case] first_start: bool,
    #[case] expected: Action,
) {
    let former = Service::unlimited(FORMER);
    let routes = RouteTable::new(2, vec![route(443, CURRENT)], [former]);
    let history = match first_start {
        true => History::from_first_start(60_000),
        false => History::from_now(0, 60_000),
    };
    let view = View::new(Arc::new(routes), upstreams()).with_history(Arc::new(history));
    let (asked, actions) = ask_in_turn(&view, 100, None);
    assert_eq!(asked.len(), usize::from(CURRENT_COUNT));
    assert_eq!(actions, [expected]);
}

/// The address of an upstream was reassigned to another one, which the balancer does not know yet.
/// The agent there returns the packet undelivered, but its upstream may hold the flow.
#[rstest]
#[case::current_service(CURRENT, false)]
#[case::former_service(FORMER, false)]
#[case::unrelated_service(ServiceStamp(9), true)]
fn wrong_service_reply_is_inconclusive(#[case] actual_service: ServiceStamp, #[case] proves: bool) {
    let (view, segment) = (rerouted_view(), data(1, 5));
    let mut edge = Edge::default();
    edge.set_trust(Trust { current_at_ms: REROUTED_MS, complete_from_ms: 0 });
    let mut actions = VecDeque::from(packet(&mut edge, REROUTED_MS, &view, &segment));
    let first = target(&actions[0]).unwrap();
    while let Some(to) = actions.front().and_then(target) {
        let reply = match to == first {
            true => Verdict::WrongService { service: actual_service.short() },
            false => Verdict::Denied,
        };
        actions.pop_front();
        actions.extend(verdict(&mut edge, REROUTED_MS, &view, to, reply, &segment));
    }
    assert_eq!(actions.contains(&Action::Reset { reason: Reason::Lost }), proves);
}

/// The configuration no longer contains the former service, but its upstreams keep running.
#[test]
fn upstreams_of_former_service_stay_in_the_view() {
    let record = UpstreamRecord {
        id: "i-1".into(),
        born_ms: 1,
        address: Ipv4Addr::new(10, 0, 0, 1),
        service: FORMER,
        zone: ZoneStamp(0),
        draining: false,
        warmup_left_ms: 0,
        slots: 7,
    };
    let mut membership = Membership::default();
    membership.insert(0, &record);
    let rerouted = rerouted_view();
    let history = Arc::new(rerouted.history().clone());
    assert_eq!(membership.view(Arc::clone(&rerouted.routes)).upstreams().len(), 0);
    assert_eq!(membership.view_since(rerouted.routes, history).upstreams().len(), 1);
}

/// Neither an opening nor a copy of it goes to a service that the route has left.
#[test]
fn openings_go_to_the_current_service_only() {
    let view = rerouted_view();
    let mut edge = Edge::default();
    for number in 1..200 {
        let mut actions = packet(&mut edge, REROUTED_MS, &view, &opening(number, 0));
        actions.extend(packet(&mut edge, REROUTED_MS + 200, &view, &opening(number, 1)));
        for to in actions.iter().filter_map(target) {
            assert_eq!(view.upstream_at(to).unwrap().service, CURRENT);
        }
    }
}
