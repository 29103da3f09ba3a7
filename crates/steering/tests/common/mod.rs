//! What the tests of balancer and agent share: flows, packets, views.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod agent;

use std::net::Ipv4Addr;
use std::sync::Arc;

use steering::edge::{Action, AgentReply, Edge, Verdict};
use steering::flow::{FlowKey, Millis, Segment, SegmentKind};
use steering::view::{Route, RouteTable, ServiceStamp, Share, Standing, Upstream, View, ZoneStamp};

pub(crate) const SERVICE: ServiceStamp = ServiceStamp(1);
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
    }
}

pub(crate) fn view_of(standings: &[Standing]) -> View {
    view_with(standings, true)
}

/// The same with requests that may be sent twice, or not.
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

/// The packet with which a caller ends its side of a flow.
pub(crate) fn ending(number: u16, sequence: u32) -> Segment {
    Segment { data_bytes: 0, last: true, ..data(number, sequence) }
}

pub(crate) fn packet(
    edge: &mut Edge,
    now_ms: Millis,
    view: &View,
    segment: &Segment,
) -> Vec<Action> {
    let mut actions = Vec::new();
    let mut bytes = [7; 36];
    bytes[..2].copy_from_slice(&segment.flow.caller.port().to_le_bytes());
    edge.on_packet(now_ms, view, segment, &bytes, &mut actions);
    actions
}

pub(crate) fn verdict(
    edge: &mut Edge,
    now_ms: Millis,
    view: &View,
    from: Ipv4Addr,
    verdict: Verdict,
    segment: &Segment,
) -> Vec<Action> {
    let mut actions = Vec::new();
    edge.on_agent_reply(now_ms, view, AgentReply { from, verdict }, segment, &mut actions);
    actions
}

/// As [`tick`] for flows whose packets tell their numbers: with the data at which each action is.
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

pub(crate) fn tick(edge: &mut Edge, now_ms: Millis, view: &View) -> Vec<Action> {
    let mut actions = Vec::new();
    edge.on_tick(now_ms, view, &mut actions);
    actions.into_iter().map(|(_, action)| action).collect()
}

pub(crate) fn target(action: &Action) -> Option<Ipv4Addr> {
    match action {
        Action::Forward { to, .. } => Some(to.address),
        Action::Reset { .. } | Action::Drop { .. } => None,
    }
}

/// Asks upstream after upstream until `holder` is reached; `None` if there was a reset instead.
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
    panic!("asked longer than there are upstreams");
}
