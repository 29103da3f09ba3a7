//! Flows in the middle of a long answer. Their callers send only bare acknowledgements, to which no
//! upstream replies. A balancer that does not know the flow must find its upstream by means of
//! these.

mod common;

use std::net::Ipv4Addr;
use std::sync::Arc;

use common::{SERVICE, packet, target, tick, upstream, verdict};
use rstest::rstest;
use steering::edge::{Edge, Trust, Verdict};
use steering::flow::{FlowKey, Millis, Segment, SegmentKind};
use steering::rank;
use steering::view::{Route, RouteTable, Share, Standing, View};

/// Round trip between a balancer and an agent.
const ROUND_TRIP_MS: Millis = 2;
/// Time within which the holder must receive a packet, so that the flow does not look broken to its
/// caller.
const SEARCH_DEADLINE_MS: Millis = 2_000;
/// When an upstream that receives no acknowledgements retransmits its answer, which its caller
/// acknowledges.
const UPSTREAM_RETRANSMITS_MS: [Millis; 4] = [200, 600, 1_400, 3_000];
/// Acknowledgements of the first packets of an answer, one for every two packets.
const INITIAL_ACKNOWLEDGEMENTS: usize = 8;
const GONE: Standing = Standing::Missing { since_ms: 0, drained: true };

fn acknowledgement(flow: FlowKey) -> Segment {
    Segment {
        flow,
        kind: SegmentKind::Later,
        sequence: 101,
        acknowledged: 20_000,
        data_bytes: 0,
        last: false,
    }
}

/// Number of acknowledgements that a caller sends at this moment if its upstream has received none.
fn acknowledgements_at(now_ms: Millis) -> usize {
    match now_ms {
        0 => INITIAL_ACKNOWLEDGEMENTS,
        _ => usize::from(UPSTREAM_RETRANSMITS_MS.contains(&now_ms)),
    }
}

/// A view of `ready` upstreams, and of `gone` ones that have just left the fleet.
fn view(flow: FlowKey, ready: u16, gone: u16) -> View {
    let shares = [Share { service: SERVICE, weight: 1 }].into();
    let route = Route {
        endpoint: flow.endpoint,
        shares,
        slo_ms: 1_200,
        wait_slos: 0,
        urgent: false,
        repeatable: true,
        regions: [].into(),
    };
    let routes = Arc::new(RouteTable::new(1, vec![route], []));
    let upstreams = (1..=ready + gone)
        .map(|number| upstream(number, if number <= ready { Standing::Ready } else { GONE }));
    View::new(routes, upstreams.collect())
}

/// The ready upstreams of a view, by rank.
fn ready_by_rank(view: &View, flow: FlowKey) -> Vec<Ipv4Addr> {
    let ready = view.upstreams_of(SERVICE).iter().filter(|u| u.standing == Standing::Ready);
    let mut ranked: Vec<Ipv4Addr> = ready.map(|upstream| upstream.address).collect();
    ranked.sort_by_key(|address| std::cmp::Reverse(rank::score(flow, *address)));
    ranked
}

/// When the holder receives the first packet from a balancer that does not know the flow, if the
/// first `lost` packets to it do not arrive.
fn found_ms(view: &View, flow: FlowKey, holder: Ipv4Addr, lost: usize) -> Option<Millis> {
    let (mut edge, segment) = (Edge::default(), acknowledgement(flow));
    let is_ready_at = |address: Ipv4Addr| {
        view.upstream_at(address).is_some_and(|upstream| upstream.standing == Standing::Ready)
    };
    let mut denials: Vec<(Millis, Ipv4Addr)> = Vec::new();
    let mut alive_replies: Vec<(Millis, Ipv4Addr)> = Vec::new();
    let mut sent_to_holder = 0;
    for now_ms in 0..5_000 {
        edge.set_trust(Trust { current_at_ms: now_ms, complete_from_ms: 0 });
        let mut actions = Vec::new();
        for (_, from) in alive_replies.extract_if(.., |(at_ms, _)| *at_ms == now_ms) {
            verdict(&mut edge, now_ms, view, from, Verdict::Alive, &segment);
        }
        for (_, from) in denials.extract_if(.., |(at_ms, _)| *at_ms == now_ms) {
            actions.extend(verdict(&mut edge, now_ms, view, from, Verdict::Denied, &segment));
        }
        for _ in 0..acknowledgements_at(now_ms) {
            actions.extend(packet(&mut edge, now_ms, view, &segment));
        }
        if now_ms % 20 == 0 {
            actions.extend(tick(&mut edge, now_ms, view));
            let pinged = edge.take_pings(now_ms, view).into_iter().filter(|to| is_ready_at(*to));
            alive_replies.extend(pinged.map(|to| (now_ms + ROUND_TRIP_MS, to)));
        }
        for to in actions.iter().filter_map(target) {
            sent_to_holder += usize::from(to == holder);
            if sent_to_holder > lost {
                return Some(now_ms);
            }
            if is_ready_at(to) && to != holder {
                denials.push((now_ms + ROUND_TRIP_MS, to));
            }
        }
    }
    None
}

/// A third of a service's upstreams has just left, including the ones that a balancer asks first.
/// The fabric then moves flows to that balancer while their upstreams are sending long answers. If
/// the search does not get past the departed upstreams, the senders receive no acknowledgement for
/// seconds.
#[rstest]
#[case::service(24, 13, 200)]
#[case::twice_the_service(48, 26, 200)]
#[case::fleet(543, 270, 100)]
#[case::twice_the_fleet(1_086, 540, 50)]
fn flow_in_a_long_answer_is_found_despite_departed_upstreams(
    #[case] ready: u16,
    #[case] gone: u16,
    #[case] flows: u16,
    #[values(0, 1)] lost: usize,
) {
    let mut late = Vec::new();
    for port in 1..=flows {
        let flow = common::flow(port);
        let view = view(flow, ready, gone);
        for holder in ready_by_rank(&view, flow).into_iter().take(3) {
            match found_ms(&view, flow, holder, lost) {
                Some(at_ms) if at_ms < SEARCH_DEADLINE_MS => {}
                at_ms => late.push((port, holder, at_ms)),
            }
        }
    }
    assert_eq!(late, [], "{} of {}", late.len(), 3 * flows);
}

/// Simulates flows of a neighbour that reach a balancer all at once; each caller sends an
/// acknowledgement whenever its upstream retransmits. Returns the number of flows whose holder
/// receives no packet in time.
fn count_flows_not_found(flows: u16, ready: u16, gone: u16) -> usize {
    let (mut edge, view) = (Edge::default(), view(common::flow(1), ready, gone));
    let segments: Vec<Segment> =
        (1..=flows).map(|port| acknowledgement(common::flow(port))).collect();
    let mut searched: Vec<(Ipv4Addr, bool)> =
        segments.iter().map(|segment| (ready_by_rank(&view, segment.flow)[2], false)).collect();
    let mut replies: Vec<(Millis, Ipv4Addr, usize, Verdict)> = Vec::new();
    for now_ms in 0..SEARCH_DEADLINE_MS {
        edge.set_trust(Trust { current_at_ms: now_ms, complete_from_ms: 0 });
        let mut sent: Vec<(usize, Ipv4Addr)> = Vec::new();
        for (_, from, index, reply) in replies.extract_if(.., |(at_ms, ..)| *at_ms == now_ms) {
            let actions = verdict(&mut edge, now_ms, &view, from, reply, &segments[index]);
            sent.extend(actions.iter().filter_map(target).map(|to| (index, to)));
        }
        for (index, segment) in segments.iter().enumerate() {
            let count = if searched[index].1 { 0 } else { acknowledgements_at(now_ms) };
            for _ in 0..count {
                let actions = packet(&mut edge, now_ms, &view, segment);
                sent.extend(actions.iter().filter_map(target).map(|to| (index, to)));
            }
        }
        if now_ms % 20 == 0 {
            let mut actions = Vec::new();
            edge.on_tick(now_ms, &view, &mut actions);
            let index = |bytes: &[u8]| usize::from(u16::from_le_bytes([bytes[0], bytes[1]])) - 1;
            let own = actions.iter().map(|(bytes, action)| (index(bytes), target(action)));
            sent.extend(own.filter_map(|(index, to)| Some((index, to?))));
            let pinged = edge.take_pings(now_ms, &view).into_iter().map(|to| (0, to));
            let is_ready = |to| view.upstream_at(to).is_some_and(|u| u.standing == Standing::Ready);
            let alive = pinged.filter(|(_, to)| is_ready(*to));
            replies.extend(alive.map(|(i, to)| (now_ms + ROUND_TRIP_MS, to, i, Verdict::Alive)));
        }
        for (index, to) in sent {
            let upstream = view.upstream_at(to).unwrap();
            let (holder, found) = &mut searched[index];
            *found |= to == *holder;
            let reply = match to == *holder {
                true => Verdict::Held { busy: 0, opening_sequence: None, load: None },
                false => Verdict::Denied,
            };
            if upstream.standing == Standing::Ready {
                replies.push((now_ms + ROUND_TRIP_MS, to, index, reply));
            }
        }
    }
    searched.iter().filter(|(_, found)| !found).count()
}

/// Copies sent beside the first queries must not use up the budget for extra packets: searches that
/// need one more query would not advance.
#[rstest]
#[case::service(400, 24, 13)]
#[case::largest_service(400, 109, 54)]
#[case::fleet(400, 543, 270)]
#[case::twice_the_fleet(800, 1_086, 540)]
fn flows_taken_over_from_a_neighbour_are_all_found(
    #[case] flows: u16,
    #[case] ready: u16,
    #[case] gone: u16,
) {
    assert_eq!(count_flows_not_found(flows, ready, gone), 0);
}
