//! Services whose names share a short stamp. Client accounts choose the names and do not trust one
//! another, so no decision may take one of these services for the other.

mod common;

use std::sync::Arc;

use common::agent::{BALANCER, metadata};
use common::{READY, data, flow, opening, packet, target, upstream, verdict};
use rstest::rstest;
use steering::edge::{Action, AgentReply, Edge, Verdict};
use steering::flow::Segment;
use steering::side::{AgentCore, Delivery, ForwardMetadata};
use steering::view::{
    AddressedService, Route, RouteTable, ServiceStamp, Share, ShortStamp, Upstream, View,
};

/// Names with one short stamp, of two client accounts.
const OWN_NAME: &str = "yeti51a";
const OTHER_NAME: &str = "baba53b";

fn route(port: u16, service: ServiceStamp) -> Route {
    Route {
        endpoint: std::net::SocketAddrV4::new(*flow(1).endpoint.ip(), port),
        shares: [Share { service, weight: 1 }].into(),
        slo_ms: 200,
        wait_slos: 0,
        urgent: false,
        repeatable: false,
        regions: [].into(),
    }
}

/// Upstreams 1 to 3 run the own service, upstreams 4 to 6 the other one.
fn view(own: ServiceStamp, other: ServiceStamp) -> View {
    let routes = RouteTable::new(1, vec![route(443, own), route(8443, other)], []);
    let service = |number| if number <= 3 { own } else { other };
    let upstreams =
        (1..=6_u16).map(|number| Upstream { service: service(number), ..upstream(number, READY) });
    View::new(Arc::new(routes), upstreams.collect())
}

fn delivery(agent: &mut AgentCore, segment: &Segment, service: AddressedService) -> Delivery {
    let metadata = ForwardMetadata { service, ..metadata(1) };
    agent.on_packet(0, segment, &[0], metadata).delivery
}

fn short(name: &str, can_state: bool) -> AddressedService {
    AddressedService::Short { stamp: ServiceStamp::of(name).short(), can_state }
}

/// Guards against requests of one client account at another one's upstream, which was taken for one
/// of the own service.
#[test]
fn placement_distinguishes_services_of_one_short_stamp() {
    let (own, other) = (ServiceStamp::of(OWN_NAME), ServiceStamp::of(OTHER_NAME));
    assert_eq!(own.short(), other.short());
    let view = view(own, other);
    let own_addresses: Vec<_> = view.upstreams_of(own).iter().map(|own| own.address).collect();
    assert_eq!(own_addresses.len(), 3);
    for number in 1..=200 {
        let mut edge = Edge::default();
        let to = target(&packet(&mut edge, 0, &view, &opening(number, 0))[0]).unwrap();
        assert!(own_addresses.contains(&to), "flow {number} was placed at {to}");
    }
}

/// Guards against delivery to the upstream of another service while a balancer has an old list. What
/// a short stamp leaves open is asked for, unless the balancer's release knows no more.
#[rstest]
#[case::own(AddressedService::Stated(ServiceStamp::of(OWN_NAME)), Delivery::Deliver)]
#[case::same_short_stamp(
    AddressedService::Stated(ServiceStamp::of(OTHER_NAME)),
    Delivery::WrongService { service: ServiceStamp::of(OWN_NAME).short() }
)]
#[case::short_stamp(short(OTHER_NAME, true), Delivery::ServiceNotStated)]
#[case::short_stamp_of_the_last_release(short(OTHER_NAME, false), Delivery::Deliver)]
#[case::other_short_stamp(
    short("shelf", true),
    Delivery::WrongService { service: ServiceStamp::of(OWN_NAME).short() }
)]
fn agent_delivers_only_to_the_addressed_service(
    #[case] addressed: AddressedService,
    #[case] expected: Delivery,
    #[values(opening(1, 0), data(1, 5))] segment: Segment,
) {
    let mut agent = AgentCore::new(ServiceStamp::of(OWN_NAME));
    assert_eq!(delivery(&mut agent, &segment, addressed), expected);
}

/// Guards against packets lost at the first contact with an agent: the packet is sent again and
/// states its service.
#[rstest]
#[case::opening(opening(1, 0))]
#[case::later(data(1, 5))]
fn packet_is_sent_again_when_the_agent_asks_for_its_service(#[case] segment: Segment) {
    let own = ServiceStamp::of(OWN_NAME);
    let view = view(own, ServiceStamp::of(OTHER_NAME));
    let mut edge = Edge::default();
    let to = target(&packet(&mut edge, 0, &view, &segment)[0]).unwrap();
    assert!(!edge.may_state_service(to));
    let actions = verdict(&mut edge, 1, &view, to, Verdict::ServiceNotStated, &segment);
    assert!(edge.may_state_service(to));
    let [Action::Forward { to: again, .. }] = actions[..] else { panic!("{actions:?}") };
    assert_eq!((again.address, again.service), (to, own));
}

/// Guards against packets that an agent of the last release drops, also after it has replaced one of
/// this release. An unknown agent is taken for one of this release if all known ones are.
#[rstest]
#[case::none_known(&[], (false, false))]
#[case::this_release(&[(1, true)], (true, true))]
#[case::last_release(&[(1, false)], (false, false))]
#[case::replaced(&[(1, true), (1, false)], (false, false))]
#[case::replaced_by_this_release(&[(1, false), (1, true)], (true, true))]
#[case::both(&[(1, true), (2, false)], (true, false))]
fn service_is_not_stated_to_agents_of_the_last_release(
    #[case] replies: &[(u16, bool)],
    #[case] expected: (bool, bool),
) {
    let view = view(ServiceStamp(1), ServiceStamp(2));
    let mut edge = Edge::default();
    let address = |number| upstream(number, READY).address;
    for (number, reads_service) in replies {
        let (from, reads_service) = (address(*number), *reads_service);
        let reply = AgentReply { from, verdict: Verdict::Alive, reads_service, packet: &[] };
        edge.on_agent_reply(0, &view, reply, &data(1, 5), &mut Vec::new());
    }
    let states = |number| edge.may_state_service(address(number));
    assert_eq!((states(1), states(3)), expected);
}

/// Guards against a flow's packets at the upstream that has taken over the address of the flow's
/// upstream: they are addressed to the flow's own service.
#[test]
fn address_that_changed_its_service_gets_no_packet_of_the_flow() {
    let (own, other) = (ServiceStamp::of(OWN_NAME), ServiceStamp::of(OTHER_NAME));
    let mut edge = Edge::default();
    let before = view(own, other);
    let to = target(&packet(&mut edge, 0, &before, &data(1, 5))[0]).unwrap();
    let held = Verdict::Held { busy: 0, opening_sequence: None, load: None };
    verdict(&mut edge, 1, &before, to, held, &data(1, 5));

    let reused = before.upstreams().iter().map(|known| {
        let service = if known.address == to { other } else { known.service };
        Upstream { service, ..*known }
    });
    let after = View::new(Arc::clone(&before.routes), reused.collect());
    for action in packet(&mut edge, 2, &after, &data(1, 105)) {
        let Action::Forward { to, .. } = action else { continue };
        assert_eq!(to.service, own, "{to:?}");
    }
    let wrong = Verdict::WrongService { service: ShortStamp(other.short().0) };
    let next = verdict(&mut edge, 3, &after, to, wrong, &data(1, 105));
    assert!(next.iter().all(|action| target(action) != Some(to)), "{next:?}");
    assert_ne!(to, BALANCER);
}
