//! A balancer with and without memory: where openings go, how flows are found, when they are reset.

use std::net::Ipv4Addr;
use std::sync::Arc;

use rstest::rstest;
use steering::edge::{Action, Edge, REPEAT_AFTER_MS, Reason, Said, Tally, Trust, Verdict};
use steering::flow::{FlowKey, Millis, Segment, SegmentKind};
use steering::view::{Route, RouteTable, ServiceStamp, Share, Standing, Upstream, View};

const SERVICE: ServiceStamp = ServiceStamp(1);
const UPSTREAMS: u8 = 5;
const READY: Standing = Standing::Ready;

fn flow(number: u16) -> FlowKey {
    FlowKey {
        caller: format!("100.64.0.1:{number}").parse().unwrap(),
        endpoint: "198.18.0.1:443".parse().unwrap(),
    }
}

fn upstream(number: u8, standing: Standing) -> Upstream {
    let address = Ipv4Addr::new(10, 0, 0, number);
    Upstream { address, service: SERVICE, standing, warm_at_ms: 0, slots: 7 }
}

fn view_of(standings: &[Standing]) -> View {
    let shares = [Share { service: SERVICE, weight: 1 }].into();
    let route = Route { endpoint: flow(1).endpoint, shares };
    let routes = Arc::new(RouteTable::new(1, vec![route]));
    let numbered = standings.iter().zip(1..);
    View::new(routes, numbered.map(|(standing, number)| upstream(number, *standing)).collect())
}

fn calm_view() -> View {
    view_of(&[READY; UPSTREAMS as usize])
}

fn opening(number: u16, copy: u32) -> Segment {
    let kind = SegmentKind::Opening { copy };
    Segment { flow: flow(number), kind, sequence: 1, acknowledged: 0, data_bytes: 0 }
}

fn data(number: u16, sequence: u32) -> Segment {
    Segment {
        flow: flow(number),
        kind: SegmentKind::Later,
        sequence,
        acknowledged: 0,
        data_bytes: 100,
    }
}

fn packet(edge: &mut Edge, now_ms: Millis, view: &View, segment: &Segment) -> Vec<Action> {
    let mut actions = Vec::new();
    edge.on_packet(now_ms, view, segment, &[7; 36], &mut actions);
    actions
}

fn verdict(
    edge: &mut Edge,
    now_ms: Millis,
    view: &View,
    from: Ipv4Addr,
    verdict: Verdict,
    segment: &Segment,
) -> Vec<Action> {
    let mut actions = Vec::new();
    edge.on_verdict(now_ms, view, Said { from, verdict }, segment, &mut actions);
    actions
}

fn tick(edge: &mut Edge, now_ms: Millis, view: &View) -> Vec<Action> {
    let mut actions = Vec::new();
    edge.on_tick(now_ms, view, &mut actions);
    actions.into_iter().map(|(_, action)| action).collect()
}

fn target(action: &Action) -> Option<Ipv4Addr> {
    match action {
        Action::Forward { to, .. } => Some(to.address),
        Action::Reset { .. } | Action::Drop { .. } => None,
    }
}

/// Asks upstream after upstream until `holder` is reached; `None` if there was a reset instead.
fn hops_to(
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

/// The fabric moves a caller's flow to a balancer that never saw it. Wherever the flow lives, it is
/// found by asking, each upstream once, and the next packet goes there directly.
#[rstest]
fn flow_without_memory_is_found(#[values(1, 2, 3, 4, 5)] holder: u8) {
    let (mut edge, view) = (Edge::default(), calm_view());
    let holder = Ipv4Addr::new(10, 0, 0, holder);
    assert!(hops_to(&mut edge, &view, &data(1, 5), Some(holder)).is_some());
    verdict(
        &mut edge,
        1,
        &view,
        holder,
        Verdict::Held { busy: 0, opening_sequence: None },
        &data(1, 5),
    );
    let actions = packet(&mut edge, 2, &view, &data(1, 105));
    assert_eq!(actions.iter().filter_map(target).collect::<Vec<_>>(), [holder]);
}

/// A balancer that knows an opening, and one that does not, ask the same upstreams first.
#[test]
fn placement_stays_within_the_first_ranks() {
    let view = calm_view();
    for number in 1..200 {
        let placed = target(&packet(&mut Edge::default(), 0, &view, &opening(number, 0))[0]);
        let hops = hops_to(&mut Edge::default(), &view, &data(number, 5), placed);
        assert!(hops.is_some_and(|hops| hops <= 3), "flow {number}: {hops:?}");
    }
}

/// All upstreams have crashed and started again: every one denies the flow. The caller would repeat
/// its request until its time is up; a reset lets it ask anew at once.
#[test]
fn flow_that_all_deny_is_reset() {
    let (mut edge, view) = (Edge::default(), calm_view());
    assert_eq!(hops_to(&mut edge, &view, &data(1, 5), None), None);
}

/// A reset is sent only if it is proven that nobody holds the flow. An entry that went lately may
/// belong to an upstream that lives, silence is no denial, and right after an outage of the
/// configuration service the list may lack upstreams.
#[rstest]
#[case::all_deny(calm_view(), 0, true)]
#[case::one_went_lately(view_of(&[READY, READY, Standing::Missing { since_ms: 0, drained: false }]), 1, false)]
#[case::one_drains(view_of(&[READY, Standing::Draining, READY]), 1, false)]
#[case::nothing_known(View::default(), 0, false)]
fn reset_needs_proof(#[case] view: View, #[case] silent: usize, #[case] reset: bool) {
    let mut edge = Edge::default();
    let segment = data(1, 5);
    let mut actions = packet(&mut edge, 0, &view, &segment);
    let quiet: Vec<Ipv4Addr> = view
        .upstreams()
        .iter()
        .filter(|upstream| upstream.standing != READY)
        .map(|upstream| upstream.address)
        .collect();
    assert_eq!(quiet.len(), silent);
    let mut seen = Vec::new();
    for _ in 0..20 {
        let Some(to) = actions.first().and_then(target) else { break };
        seen.extend(actions.iter().copied());
        if quiet.contains(&to) {
            break;
        }
        actions = verdict(&mut edge, 0, &view, to, Verdict::Denied, &segment);
    }
    seen.extend(actions.iter().copied());
    let is_reset = |action: &Action| matches!(action, Action::Reset { .. });
    assert_eq!(seen.iter().any(is_reset), reset, "{seen:?}");
}

/// A denial says something about now only: the upstream may have been too full a second ago, or the
/// packet overtook the opening.
#[test]
fn old_denials_prove_nothing() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY, READY]));
    let segment = data(1, 5);
    let first = target(&packet(&mut edge, 0, &view, &segment)[0]).unwrap();
    let second =
        target(&verdict(&mut edge, 0, &view, first, Verdict::Denied, &segment)[0]).unwrap();
    let actions = verdict(&mut edge, 1_500, &view, second, Verdict::Denied, &segment);
    assert_eq!(actions.iter().filter_map(target).collect::<Vec<_>>(), [first]);
}

/// An upstream is dead, its agent too: the opening vanishes. Waiting for the caller's next copy
/// costs 200 ms, most of the time in which an answer is wanted.
#[rstest]
#[case::answered(true, 0)]
#[case::unanswered(false, 1)]
fn unanswered_opening_goes_to_the_next(#[case] answered: bool, #[case] replays: usize) {
    let (mut edge, view) = (Edge::default(), calm_view());
    let first = target(&packet(&mut edge, 0, &view, &opening(1, 0))[0]).unwrap();
    if answered {
        verdict(
            &mut edge,
            2,
            &view,
            first,
            Verdict::Held { busy: 1, opening_sequence: None },
            &opening(1, 0),
        );
    }
    assert!(tick(&mut edge, REPEAT_AFTER_MS - 1, &view).is_empty());
    let actions = tick(&mut edge, REPEAT_AFTER_MS, &view);
    assert_eq!(actions.len(), replays);
    assert!(actions.iter().all(|action| target(action) != Some(first)));
}

/// After one opening stayed unanswered, the next flows pass that upstream over for a while.
#[test]
fn silent_upstream_is_passed_over() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY, READY]));
    let silent = target(&packet(&mut edge, 0, &view, &opening(1, 0))[0]).unwrap();
    tick(&mut edge, REPEAT_AFTER_MS, &view);
    for number in 2..30 {
        let actions = packet(&mut edge, 70, &view, &opening(number, 0));
        assert_ne!(target(&actions[0]), Some(silent), "flow {number}");
    }
}

/// An opening never goes to an upstream that leaves, is gone, or has denied it; if all have denied
/// it, the caller learns so at once instead of repeating it for 1.4 s.
#[rstest]
#[case::draining(&[Standing::Draining, READY], &[2])]
#[case::gone(&[Standing::Missing { since_ms: 0, drained: true }, READY], &[2])]
#[case::both(&[READY, READY], &[1, 2])]
#[case::list_lost_all(&[Standing::Missing { since_ms: 0, drained: false }], &[1])]
fn opening_goes_to_ready_upstreams(#[case] standings: &[Standing], #[case] expected: &[u8]) {
    let (mut edge, view) = (Edge::default(), view_of(standings));
    let segment = opening(1, 0);
    let mut asked = Vec::new();
    let mut actions = packet(&mut edge, 0, &view, &segment);
    while let Some(to) = actions.first().and_then(target) {
        asked.push(to.octets()[3]);
        actions = verdict(&mut edge, 0, &view, to, Verdict::Denied, &segment);
    }
    asked.sort_unstable();
    assert_eq!(asked, expected);
    assert_eq!(actions, [Action::Reset { reason: Reason::Refused }]);
}

#[rstest]
#[case::known_version(calm_view(), Action::Reset { reason: Reason::NoRoute })]
#[case::nothing_known(View::default(), Action::Drop { reason: Reason::Unknown })]
fn opening_without_route(#[case] view: View, #[case] expected: Action) {
    let endpoint = "198.18.0.9:443".parse().unwrap();
    let segment = Segment { flow: FlowKey { endpoint, ..flow(1) }, ..opening(1, 0) };
    assert_eq!(packet(&mut Edge::default(), 0, &view, &segment), [expected]);
}

/// Among the first ranks, the least loaded upstream gets the flow.
#[test]
fn load_decides_among_the_first_ranks() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY, READY]));
    let busy = Ipv4Addr::new(10, 0, 0, 1);
    verdict(
        &mut edge,
        0,
        &view,
        busy,
        Verdict::Held { busy: 50, opening_sequence: None },
        &opening(1, 0),
    );
    for number in 2..30 {
        let actions = packet(&mut edge, 10, &view, &opening(number, 0));
        assert_ne!(target(&actions[0]), Some(busy), "flow {number}");
    }
}

/// The caller repeats its data since the flow's agent is dead, or the entry is wrong: copies go to
/// others as well, so that the flow is found without the one that is silent.
#[test]
fn repeated_data_asks_others_too() {
    let (mut edge, view) = (Edge::default(), calm_view());
    packet(&mut edge, 0, &view, &data(1, 5));
    assert_eq!(packet(&mut edge, 20, &view, &data(1, 5)).len(), 1, "a copy of the network's");
    assert_eq!(packet(&mut edge, 200, &view, &data(1, 5)).len(), 4);
}

/// Packets of flows that nobody knows cost no more memory than the bound allows.
#[test]
fn flood_of_unknown_flows_is_bounded() {
    let (mut edge, view) = (Edge::default(), calm_view());
    for number in 0..200_000_u32 {
        let caller = std::net::SocketAddrV4::new(
            Ipv4Addr::from_bits(number / 50_000),
            (number % 50_000) as u16,
        );
        let segment = Segment { flow: FlowKey { caller, ..flow(1) }, ..data(1, 5) };
        packet(&mut edge, 0, &view, &segment);
    }
    assert!(edge.flow_count() <= steering::edge::FLOWS_MAX);
}

/// All instances lost power and come back one after the other. A request of a flow that is lost finds
/// four upstreams that deny it, and one that is still down. Once that one is up and denies it too,
/// the caller learns it by a reset, without having to repeat its request first.
#[test]
fn flow_is_proven_lost_when_the_last_upstream_is_back() {
    let (mut edge, view) = (Edge::default(), calm_view());
    let segment = data(1, 5);
    let down = Ipv4Addr::new(10, 0, 0, 3);
    let mut actions = packet(&mut edge, 0, &view, &segment);
    while let Some(to) = actions.first().and_then(target) {
        if to == down {
            // Nobody answers; others are asked only when the packet is repeated.
            actions = tick(&mut edge, REPEAT_AFTER_MS, &view);
            actions.retain(|action| target(action) != Some(down));
            continue;
        }
        actions = verdict(&mut edge, REPEAT_AFTER_MS, &view, to, Verdict::Denied, &segment);
        if actions.first().and_then(target) == Some(down) && actions.len() == 1 {
            break;
        }
    }
    for now_ms in (REPEAT_AFTER_MS..900).step_by(20) {
        for action in tick(&mut edge, now_ms, &view) {
            assert!(target(&action).is_some(), "no proof yet: {action:?}");
            if let Some(to) = target(&action).filter(|to| *to != down) {
                verdict(&mut edge, now_ms, &view, to, Verdict::Denied, &segment);
            }
        }
    }
    let actions = verdict(&mut edge, 900, &view, down, Verdict::Denied, &segment);
    assert_eq!(actions, [Action::Reset { reason: Reason::Lost }]);
}

/// A flood of packets of unknown flows is not kept for repetition beyond the bound.
#[test]
fn repetition_of_a_flood_is_bounded() {
    let (mut edge, view) = (Edge::default(), calm_view());
    for number in 1..20_000 {
        packet(&mut edge, 0, &view, &data(number, 5));
    }
    let repeated = tick(&mut edge, REPEAT_AFTER_MS, &view);
    assert!(repeated.len() <= 3 * steering::edge::PENDING_BYTES_MAX / 36);
}

/// Two copies of an opening were answered by two upstreams. The caller took one of them, and its next
/// packet says which; the other would take the flow's packets without a word.
#[rstest]
#[case::the_first(1_001, 0)]
#[case::the_second(77_301, 1)]
#[case::the_second_across_zero(2, 2)]
fn flow_opened_twice_is_where_the_caller_says(#[case] acknowledged: u32, #[case] expected: usize) {
    let (mut edge, view) = (Edge::default(), calm_view());
    let first = target(&packet(&mut edge, 0, &view, &opening(1, 0))[0]).unwrap();
    let second = target(&packet(&mut edge, 200, &view, &opening(1, 1))[0]).unwrap();
    assert_ne!(first, second);
    let numbers = if expected == 2 { (70_000, u32::MAX) } else { (1_000, 77_000) };
    for (from, number) in [(first, numbers.0), (second, numbers.1)] {
        let held = Verdict::Held { busy: 0, opening_sequence: Some(number) };
        verdict(&mut edge, 210, &view, from, held, &opening(1, 0));
    }
    let segment = Segment { acknowledged, ..data(1, 2) };
    let actions = packet(&mut edge, 215, &view, &segment);
    assert_eq!(target(&actions[0]), Some([first, second, second][expected]));
}

/// This balancer is cut off from all others, and knows no upstream that started since; or it has
/// just started, or the configuration service has just returned, and entries may be missing. A flow
/// that lives at an unknown upstream finds only denials here: silence costs its caller time, a reset
/// costs the flow.
#[rstest]
#[case::trusted(9_000, 0, true)]
#[case::cut_off(3_000, 0, false)]
#[case::list_may_lack_some(9_900, 10_001, false)]
#[case::list_is_whole_again(9_900, 10_000, true)]
fn reset_needs_a_trusted_list(
    #[case] confirmed_ms: Millis,
    #[case] whole_from_ms: Millis,
    #[case] reset: bool,
) {
    let (mut edge, view) = (Edge::default(), view_of(&[READY]));
    edge.trust(Trust { confirmed_ms, whole_from_ms });
    let now_ms = 10_000;
    (0..now_ms).step_by(50).for_each(|tick_ms| drop(tick(&mut edge, tick_ms, &view)));
    let segment = data(1, 5);
    let only = target(&packet(&mut edge, now_ms, &view, &segment)[0]).unwrap();
    let actions = verdict(&mut edge, now_ms, &view, only, Verdict::Denied, &segment);
    assert_eq!(actions == [Action::Reset { reason: Reason::Lost }], reset, "{actions:?}");
}

/// Forty-six upstreams, and a request whose upstream is at work: the balancer's copies are denied by
/// others. Each such denial led to another upstream, so that the search multiplied, the flow's next
/// packets went astray, and its upstream got none of them for two seconds.
#[test]
fn denied_copies_do_not_lead_on() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY; 46]));
    let segment = data(1, 5);
    let holder = target(&packet(&mut edge, 0, &view, &segment)[0]).unwrap();
    let copies = packet(&mut edge, 200, &view, &segment);
    assert_eq!(target(&copies[0]), Some(holder));
    for copy in &copies[1..] {
        let from = target(copy).unwrap();
        let actions = verdict(&mut edge, 201, &view, from, Verdict::Denied, &segment);
        assert_eq!(actions, [], "a copy denied by {from}");
    }
    assert_eq!(target(&packet(&mut edge, 300, &view, &data(1, 105))[0]), Some(holder));
}

/// The flow was found; denials of upstreams that were asked before arrive late.
#[test]
fn late_denials_change_nothing_once_the_flow_is_found() {
    let (mut edge, view) = (Edge::default(), calm_view());
    let segment = data(1, 5);
    let first = target(&packet(&mut edge, 0, &view, &segment)[0]).unwrap();
    let asked = tick(&mut edge, 150, &view);
    let holder = asked.iter().filter_map(target).find(|to| *to != first).unwrap();
    verdict(
        &mut edge,
        151,
        &view,
        holder,
        Verdict::Held { busy: 1, opening_sequence: None },
        &segment,
    );
    verdict(&mut edge, 152, &view, first, Verdict::Denied, &segment);
    let actions = packet(&mut edge, 153, &view, &data(1, 105));
    assert_eq!(actions.iter().filter_map(target).collect::<Vec<_>>(), [holder]);
}

/// The balancer was paused for two seconds and wakes up with packets waiting. What it believes is from
/// before: an upstream may have started meanwhile, and the flow may live there. Only after news of its
/// view does a denial by all others prove anything.
#[rstest]
#[case::before_any_news(2_900, false)]
#[case::after_news(5_001, true)]
fn reset_after_a_pause_needs_news(#[case] confirmed_ms: Millis, #[case] reset: bool) {
    let (mut edge, view) = (Edge::default(), view_of(&[READY]));
    (0..3_000).step_by(50).for_each(|tick_ms| drop(tick(&mut edge, tick_ms, &view)));
    let segment = data(1, 5);
    let only = target(&packet(&mut edge, 5_000, &view, &segment)[0]).unwrap();
    edge.trust(Trust { confirmed_ms, whole_from_ms: 0 });
    let actions = verdict(&mut edge, 5_002, &view, only, Verdict::Denied, &segment);
    assert_eq!(actions == [Action::Reset { reason: Reason::Lost }], reset, "{actions:?}");
}

/// Time from a balancer to an agent and back.
const ROUND_TRIP_MS: Millis = 2;

/// Looks for a flow from the first packet on, which comes at zero. Every upstream denies it but for the
/// silent ones. Returns who gets a packet, and when.
fn search(
    edge: &mut Edge,
    view: &View,
    segment: &Segment,
    silent: &[Ipv4Addr],
    until_ms: Millis,
) -> Vec<(Millis, Ipv4Addr)> {
    let mut arrivals = Vec::new();
    for now_ms in 0..until_ms {
        let mut actions = if now_ms == 0 { packet(edge, 0, view, segment) } else { Vec::new() };
        if now_ms % 20 == 0 {
            actions.extend(tick(edge, now_ms, view));
        }
        let due = |arrival: &&(Millis, Ipv4Addr)| arrival.0 + ROUND_TRIP_MS == now_ms;
        let answers: Vec<_> = arrivals.iter().filter(due).map(|(_, to)| *to).collect();
        for from in answers.into_iter().filter(|from| !silent.contains(from)) {
            actions.extend(verdict(edge, now_ms, view, from, Verdict::Denied, segment));
        }
        arrivals.extend(actions.iter().filter_map(target).map(|to| (now_ms, to)));
    }
    arrivals
}

/// The upstream that is asked first holds the flow and is at work for a while, beside an agent that has
/// just started, among forty-six. The search goes on, but packets keep reaching it: led away for two
/// seconds, its caller would see a flow that stalls although nothing is wrong.
#[test]
fn upstream_at_work_keeps_its_packets() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY; 46]));
    let segment = data(1, 5);
    let holder = target(&packet(&mut Edge::default(), 0, &view, &segment)[0]).unwrap();
    let arrivals = search(&mut edge, &view, &segment, &[holder], 1_400);
    let own: Vec<Millis> =
        arrivals.iter().filter(|(_, to)| *to == holder).map(|(at, _)| *at).collect();
    assert!(own.windows(2).all(|pair| pair[1] - pair[0] < 1_000), "{own:?}");
    assert!(own.len() >= 5, "{own:?}");
    for (now_ms, sequence) in [(1_600, 5), (1_700, 105)] {
        let actions = packet(&mut edge, now_ms, &view, &data(1, sequence));
        assert!(actions.iter().filter_map(target).any(|to| to == holder), "{now_ms}");
    }
}

/// The upstreams that are asked first are dead with their machines, and the flow lives at any of the
/// others, among sixty. By copies alone, three at a time, the search takes longer than the two seconds
/// after which the caller's flow counts as led astray; each dead one must cost one pause only.
#[rstest]
#[case::one(1, 400)]
#[case::three(3, 800)]
fn dead_upstreams_do_not_hold_up_the_search(#[case] dead: usize, #[case] within_ms: Millis) {
    let view = view_of(&[READY; 60]);
    let segment = data(1, 5);
    let mut asked: Vec<Ipv4Addr> = Vec::new();
    for _ in 0..dead {
        let arrivals = search(&mut Edge::default(), &view, &segment, &asked, 1_400);
        asked.extend(arrivals.iter().map(|(_, to)| *to).find(|to| !asked.contains(to)));
    }
    let arrivals = search(&mut Edge::default(), &view, &segment, &asked, within_ms);
    let mut reached: Vec<Ipv4Addr> = arrivals.iter().map(|(_, to)| *to).collect();
    reached.sort_unstable();
    reached.dedup();
    assert_eq!(reached.len(), 60);
}

/// A copy reaches the flow's upstream, which answers it: the flow stays there.
#[test]
fn flow_found_by_a_copy_stays_found() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY; 46]));
    let segment = data(1, 5);
    let dead = target(&packet(&mut Edge::default(), 0, &view, &segment)[0]).unwrap();
    let arrivals = search(&mut edge, &view, &segment, &[dead], 170);
    let copied = arrivals.iter().map(|(_, to)| *to).find(|to| *to != dead).unwrap();
    let found = Verdict::Held { busy: 0, opening_sequence: None };
    verdict(&mut edge, 160, &view, copied, found, &segment);
    assert_eq!(target(&packet(&mut edge, 161, &view, &data(1, 105))[0]), Some(copied));
}

/// The flow is open. A copy of its opening was under way for long, and its upstream returns it, since it
/// takes no second one. Taken for a denial of the flow, this placed the opening elsewhere, and all
/// further packets went there for seconds.
#[test]
fn denied_copy_of_an_opening_leaves_the_open_flow() {
    let (mut edge, view) = (Edge::default(), calm_view());
    let holder = target(&packet(&mut edge, 0, &view, &opening(1, 0))[0]).unwrap();
    let held = Verdict::Held { busy: 0, opening_sequence: Some(1_000) };
    verdict(&mut edge, 2, &view, holder, held, &opening(1, 0));
    let late = opening(1, 1);
    assert_eq!(target(&packet(&mut edge, 210, &view, &late)[0]), Some(holder));
    assert_eq!(verdict(&mut edge, 211, &view, holder, Verdict::Denied, &late), []);
    let segment = Segment { acknowledged: 1_001, ..data(1, 2) };
    assert_eq!(target(&packet(&mut edge, 220, &view, &segment)[0]), Some(holder));
}

/// The flow's upstream is known, and its request waits beside it for its turn; the caller repeats it.
/// Copies to others find nothing, and count as a flow that is led astray if its own upstream gets no
/// packet for two seconds.
#[test]
fn known_flow_is_not_copied_to_others() {
    let (mut edge, view) = (Edge::default(), calm_view());
    let segment = data(1, 5);
    let holder = target(&packet(&mut edge, 0, &view, &segment)[0]).unwrap();
    let held = Verdict::Held { busy: 0, opening_sequence: None };
    verdict(&mut edge, 1, &view, holder, held, &segment);
    for now_ms in [4_000, 4_200, 4_600] {
        let actions = packet(&mut edge, now_ms, &view, &data(1, 105));
        assert_eq!(actions.iter().filter_map(target).collect::<Vec<_>>(), [holder], "{now_ms}");
    }
}

/// The balancer believes that the flow is open at an upstream that holds it half open only, and says
/// nothing to its packets. When the caller has repeated its request for the third time, 1.4 s after it
/// first sent it, copies go to others, and the flow's own upstream answers one of them.
#[test]
fn flow_at_a_mute_upstream_is_found_in_the_end() {
    let (mut edge, view) = (Edge::default(), view_of(&[READY; 4]));
    let segment = data(1, 5);
    let mute = target(&packet(&mut edge, 0, &view, &segment)[0]).unwrap();
    let held = Verdict::Held { busy: 0, opening_sequence: None };
    verdict(&mut edge, 1, &view, mute, held, &segment);
    let copies = [1_000, 1_200, 1_600, 2_400]
        .map(|now_ms| packet(&mut edge, now_ms, &view, &data(1, 105)).len() - 1);
    assert_eq!(copies, [0, 0, 0, 3]);
}

/// The on-call engineer wants to know how far flows are looked for after balancers were replaced: the
/// mean number of upstreams that are asked for each flow that is found.
#[rstest]
#[case::at_the_first(1, Tally { found: 1, asked: 1, copies: 0, denials: 0 })]
#[case::at_the_third(3, Tally { found: 1, asked: 3, copies: 0, denials: 2 })]
fn tally_of_a_search(#[case] rank: u64, #[case] expected: Tally) {
    let (mut edge, view) = (Edge::default(), calm_view());
    let segment = data(1, 5);
    let mut asked = target(&packet(&mut edge, 0, &view, &segment)[0]).unwrap();
    for _ in 1..rank {
        let next = verdict(&mut edge, 0, &view, asked, Verdict::Denied, &segment);
        asked = target(&next[0]).unwrap();
    }
    let held = Verdict::Held { busy: 0, opening_sequence: None };
    verdict(&mut edge, 1, &view, asked, held, &segment);
    verdict(&mut edge, 2, &view, asked, held, &segment);
    assert_eq!(edge.tally(), expected);
}

/// A balancer was frozen with an opening in its queue, or has got a copy only, and the caller has opened the
/// flow through another one; or a silent upstream has taken the opening before it was sent on. Every
/// upstream returns it, the flow's own too, since it takes no second one. A refusal would reset the flow.
#[rstest]
#[case::fresh(0, 200, 5, true)]
#[case::waited_in_the_queue(0, 3, 5, false)]
#[case::sent_on_after_a_silence(0, 200, 65, false)]
#[case::copy(1, 200, 5, false)]
fn opening_is_refused_while_fresh(
    #[case] copy: u32,
    #[case] awake_ms: Millis,
    #[case] denied_after_ms: Millis,
    #[case] refused: bool,
) {
    let (mut edge, view) = (Edge::default(), calm_view());
    let run = |edge: &mut Edge, from_ms: Millis, to_ms: Millis| {
        (from_ms..=to_ms).step_by(50).for_each(|now_ms| drop(tick(edge, now_ms, &view)));
    };
    run(&mut edge, 0, 1_000);
    run(&mut edge, 4_000, 4_000 + awake_ms);
    let arrived_ms = 4_000 + awake_ms;
    let segment = opening(1, copy);
    let mut actions = packet(&mut edge, arrived_ms, &view, &segment);
    let now_ms = arrived_ms + denied_after_ms;
    actions.extend(tick(&mut edge, now_ms, &view));
    while let Some(to) = actions.first().and_then(target) {
        actions = verdict(&mut edge, now_ms, &view, to, Verdict::Denied, &segment);
    }
    let expected = if refused {
        Action::Reset { reason: Reason::Refused }
    } else {
        Action::Drop { reason: Reason::Unknown }
    };
    assert_eq!(actions, [expected]);
}
