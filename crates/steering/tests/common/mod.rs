//! Shared helpers of the tests of balancers and agents: flows, packets and views.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod agent;
pub(crate) mod overload;
pub(crate) mod replay;

use std::net::Ipv4Addr;
use std::sync::Arc;

use steering::edge::{Action, AgentReply, Edge, Verdict};
use steering::flow::{FlowKey, Millis, Segment, SegmentKind};
use steering::view::{Route, RouteTable, ServiceStamp, Share, Standing, Upstream, View, ZoneStamp};

pub(crate) const SERVICE: ServiceStamp = ServiceStamp(1);
/// Number of upstreams in [`all_ready_view`].
pub(crate) const UPSTREAMS: u8 = 5;
pub(crate) const READY: Standing = Standing::Ready;

pub(crate) fn flow(number: u16) -> FlowKey {
    FlowKey {
        caller: format!("100.64.0.1:{number}").parse().unwrap(),
        endpoint: "198.18.0.1:443".parse().unwrap(),
    }
}

pub(crate) fn upstream(number: impl Into<u16>, standing: Standing) -> Upstream {
    let [high, low] = number.into().to_be_bytes();
    let address = Ipv4Addr::new(10, 0, high, low);
    Upstream {
        address,
        service: SERVICE,
        zone: ZoneStamp(0),
        standing,
        warm_at_ms: 0,
        slots: 7,
        born_ms: 0,
        listed_ms: 0,
    }
}

/// A view with one upstream per standing, numbered from 1.
pub(crate) fn view_of(standings: &[Standing]) -> View {
    view_with(standings, true)
}

/// The same as [`view_of`]; `repeatable` states whether the requests of the route may be sent
/// twice.
pub(crate) fn view_with(standings: &[Standing], repeatable: bool) -> View {
    let shares = [Share { service: SERVICE, weight: 1 }].into();
    let endpoint = flow(1).endpoint;
    let regions = [].into();
    let route =
        Route { endpoint, shares, slo_ms: 200, wait_slos: 0, urgent: false, repeatable, regions };
    let routes = Arc::new(RouteTable::new(1, vec![route], []));
    let numbered = standings.iter().zip(1_u16..);
    View::new(routes, numbered.map(|(standing, number)| upstream(number, *standing)).collect())
}

pub(crate) fn all_ready_view() -> View {
    view_of(&[READY; UPSTREAMS as usize])
}

pub(crate) fn opening(number: u16, copy: u32) -> Segment {
    let kind = SegmentKind::Opening { copy };
    Segment { flow: flow(number), kind, sequence: 1, acknowledged: 0, data_bytes: 0, last: false }
}

pub(crate) fn data(number: u16, sequence: u32) -> Segment {
    Segment {
        flow: flow(number),
        kind: SegmentKind::Later,
        sequence,
        acknowledged: 0,
        data_bytes: 100,
        last: false,
    }
}

/// The packet with which a caller closes its side of a flow.
pub(crate) fn closing(number: u16, sequence: u32) -> Segment {
    Segment { data_bytes: 0, last: true, ..data(number, sequence) }
}

/// Passes a packet of a caller to the balancer and returns its actions. The packet's first two
/// bytes are the port of the caller, by which [`tick_with_segments`] finds the flow.
pub(crate) fn packet(
    edge: &mut Edge,
    now_ms: Millis,
    view: &View,
    segment: &Segment,
) -> Vec<Action> {
    let mut actions = Vec::new();
    edge.on_packet(now_ms, view, segment, &packet_bytes(segment), &mut actions);
    actions
}

fn packet_bytes(segment: &Segment) -> [u8; 36] {
    let mut bytes = [7; 36];
    bytes[..2].copy_from_slice(&segment.flow.caller.port().to_le_bytes());
    bytes
}

/// Passes an agent's reply about a packet to the balancer and returns its actions.
pub(crate) fn verdict(
    edge: &mut Edge,
    now_ms: Millis,
    view: &View,
    from: Ipv4Addr,
    verdict: Verdict,
    segment: &Segment,
) -> Vec<Action> {
    let mut actions = Vec::new();
    let reply = AgentReply { from, verdict, reads_service: true, packet: &packet_bytes(segment) };
    edge.on_agent_reply(now_ms, view, reply, segment, &mut actions);
    actions
}

/// Same as [`tick`], with the segment that each action applies to. The flow is found by the port in
/// the first two bytes of the packet.
pub(crate) fn tick_with_segments(
    edge: &mut Edge,
    now_ms: Millis,
    view: &View,
) -> Vec<(Segment, Action)> {
    let mut actions = Vec::new();
    edge.on_tick(now_ms, view, &mut actions);
    let number = |kept: &[u8]| u16::from_le_bytes([kept[0], kept[1]]);
    actions.into_iter().map(|(kept, action)| (data(number(&kept), 5), action)).collect()
}

/// Runs a tick and returns the actions without the packets that they apply to.
pub(crate) fn tick(edge: &mut Edge, now_ms: Millis, view: &View) -> Vec<Action> {
    let mut actions = Vec::new();
    edge.on_tick(now_ms, view, &mut actions);
    actions.into_iter().map(|(_, action)| action).collect()
}

/// The address to which an action forwards the packet.
pub(crate) fn target(action: &Action) -> Option<Ipv4Addr> {
    match action {
        Action::Forward { to, .. } => Some(to.address),
        Action::Reset { .. } | Action::Drop { .. } => None,
    }
}

/// Lets every upstream that these actions or their consequences ask deny the flow. Returns the actions
/// that ask none.
pub(crate) fn deny_all(
    edge: &mut Edge,
    now_ms: Millis,
    view: &View,
    segment: &Segment,
    mut actions: Vec<Action>,
) -> Vec<Action> {
    while let Some(index) = actions.iter().position(|action| target(action).is_some()) {
        let to = target(&actions.remove(index)).unwrap();
        actions.extend(verdict(edge, now_ms, view, to, Verdict::Denied, segment));
    }
    actions
}

/// Lets upstream after upstream deny the flow until `holder` is asked. Returns the number of
/// upstreams asked, or `None` if the flow was reset instead.
pub(crate) fn hops_to(
    edge: &mut Edge,
    view: &View,
    segment: &Segment,
    holder: Option<Ipv4Addr>,
) -> Option<usize> {
    let mut actions = packet(edge, 0, view, segment);
    for hop in 1..=usize::from(UPSTREAMS) + 1 {
        let to = target(actions.first()?)?;
        if Some(to) == holder {
            return Some(hop);
        }
        actions = verdict(edge, 0, view, to, Verdict::Denied, segment);
    }
    panic!("more queries than upstreams");
}
