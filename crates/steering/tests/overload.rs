//! Tests of admission control under overload: the load is replayed through real agents and a real
//! balancer, and single decisions of both are checked.

mod common;

use std::net::Ipv4Addr;
use std::ops::Range;
use std::sync::Arc;

use common::agent::{answer, deliver, metadata, opening_answer};
use common::overload::{
    CAPACITY, Call, Event, FIRST_URGENT, ROUND_TRIP_MS, SERVICE_TIME_MS, SLO_MS, START_MS,
    UPSTREAMS, World, on,
};
use common::{SERVICE, all_ready_view, closing, data, opening, packet, target, tick, verdict};
use rstest::rstest;
use steering::edge::{Action, Edge, RETRANSMIT_AFTER_MS, Reason, Verdict};
use steering::flow::{Millis, Segment, SegmentKind};
use steering::policy::Policy;
use steering::side::{AgentCore, Delivery, ForwardMetadata};
use steering::view::{Route, RouteTable, Upstream, View};

/// Time for which callers send four times the capacity.
const LOAD_MS: Millis = 4_000;
/// From then on, no caller gives up any more, and the last one did at least a second ago.
const QUIET_FROM_MS: Millis = LOAD_MS + 2_200;
const END_MS: Millis = 9_000;

/// Number of calls, and how many of them are answered within the SLO.
fn in_time(calls: impl Iterator<Item = (u16, Call)>) -> (usize, usize) {
    let is_in_time = |call: Call| {
        call.answered_ms.is_some_and(|at_ms| at_ms <= call.opened_ms + Millis::from(SLO_MS))
    };
    calls.fold((0, 0), |(all, good), (_, call)| (all + 1, good + usize::from(is_in_time(call))))
}

/// Number of calls under load that are neither answered nor rejected.
fn timed_out(world: &World) -> usize {
    let calls = world.calls(0, LOAD_MS).map(|(_, call)| call);
    calls.filter(|call| call.answered_ms.is_none() && call.reset_ms.is_none()).count()
}

/// Runs four times the capacity for some seconds, and a fifth of it afterwards. Some calls of the
/// first seconds are urgent.
fn overloaded(mut world: World) -> World {
    let capacity = CAPACITY * UPSTREAMS as u64;
    let next = world.call(1, 4 * capacity, 0, LOAD_MS);
    world.call(next, capacity / 5, LOAD_MS, END_MS);
    world.call(FIRST_URGENT, capacity / 5, 0, LOAD_MS);
    world.run(END_MS + 2_000);
    world
}

fn world(balancer: Policy, agents: Policy) -> World {
    World::new(balancer, agents, [SERVICE_TIME_MS; UPSTREAMS])
}

/// After the load, no opening is refused, and every call is answered within the SLO.
fn check_quiet(world: &World) {
    let refused_ms = world.last_refused_ms.saturating_sub(START_MS);
    assert!(refused_ms < QUIET_FROM_MS, "refused {refused_ms} ms after the start");
    let (all, good) = in_time(world.calls(QUIET_FROM_MS, END_MS));
    assert_eq!((all > 0, good), (true, all));
}

/// Callers of a service send four times what its upstreams can process. Those that cannot be served
/// are queued, and learn nothing until their time-out. If openings were refused because of requests
/// that are late already, upstreams would process these instead of new ones, and fewer answers would
/// be in time than without refusals.
///
/// The world checks at each event that only first copies of openings of routes that are not urgent
/// are refused, at most once by each upstream, and that no call is reset that is open anywhere.
#[rstest]
#[case::undisturbed(&[])]
#[case::agents_restart(&[Event::RestartAgents])]
#[case::balancer_restarts(&[Event::RestartBalancer])]
#[case::all_restart(&[Event::RestartBalancer, Event::RestartAgents])]
fn overload_of_all_upstreams(#[case] events: &[Event]) {
    let disturbed = |policy| {
        let mut world = world(policy, policy);
        for event in events {
            world.at(2_000, *event);
            world.at(2_900, *event);
        }
        overloaded(world)
    };
    let (before, after) = (disturbed(Policy::default()), disturbed(on()));
    let good = |world: &World, urgent| {
        let calls = world.calls(0, LOAD_MS);
        in_time(calls.filter(|(number, _)| (*number >= FIRST_URGENT) == urgent)).1
    };
    let (plain, plain_now) = (good(&before, false), good(&after, false));
    assert!(20 * plain_now >= 19 * plain, "plain calls: {plain} in time, now {plain_now}");
    let (urgent, urgent_now) = (good(&before, true), good(&after, true));
    assert!(urgent_now >= urgent, "urgent calls: {urgent} in time, now {urgent_now}");
    let (timed_out, timed_out_now) = (timed_out(&before), timed_out(&after));
    assert!(2 * timed_out_now < timed_out, "{timed_out} time out, now {timed_out_now}");
    let told: Vec<Call> = after
        .calls(0, LOAD_MS)
        .map(|(_, call)| call)
        .filter(|call| call.reset_ms.is_some())
        .collect();
    assert!(told.len() > 1_000, "{} calls were rejected", told.len());
    let told_ms = |call: &Call| call.reset_ms.unwrap() - call.opened_ms;
    // Each agent that returns the opening before all are known to be overloaded takes a round trip.
    assert!(told.iter().all(|call| told_ms(call) <= ROUND_TRIP_MS * (1 + call.refusals)));
    let at_once = told.iter().filter(|call| told_ms(call) <= ROUND_TRIP_MS).count();
    assert!(10 * at_once > 8 * told.len(), "{at_once} of {} within a round trip", told.len());
    check_quiet(&after);
}

/// Verdicts of overloaded agents get lost: openings stay without a reply, and are sent to other
/// upstreams. A balancer that took the missing reply for a refusal would reset calls that are open.
#[test]
fn lost_verdicts() {
    let mut lossy = world(on(), on());
    lossy.verdicts_lost = true;
    let lossy = overloaded(lossy);
    assert!(!lossy.refused.is_empty());
    assert!(lossy.calls(0, END_MS).all(|(_, call)| call.reset_ms.is_none()));
    check_quiet(&lossy);
}

/// Old and new processes run side by side during an upgrade. A balancer without the mechanism takes
/// a refusal for the limit of a cold upstream; agents without it refuse nothing.
#[rstest]
#[case::balancer_without(Policy::default(), on(), true)]
#[case::agents_without(on(), Policy::default(), false)]
#[case::both_without(Policy::default(), Policy::default(), false)]
fn one_side_without_the_mechanism(
    #[case] balancer: Policy,
    #[case] agents: Policy,
    #[case] refuses: bool,
) {
    let world = overloaded(world(balancer, agents));
    assert_eq!(!world.refused.is_empty(), refuses);
    let reset = world.calls(0, END_MS).any(|(_, call)| call.reset_ms.is_some());
    assert_eq!(reset, refuses);
    check_quiet(&world);
}

/// One upstream has become slow, and gets several times what it can process, while the others have
/// room. Its callers fail although another upstream would have served them.
#[rstest]
#[case::five_times_slower(100)]
#[case::slower_than_the_slo(400)]
#[case::forty_times_slower(800)]
fn overload_of_one_upstream(#[case] service_time_ms: Millis) {
    let run = |overload_admission| {
        // Without placement by load, each upstream gets the same share.
        let policy = Policy { load: false, overload_admission, ..Policy::default() };
        let mut world = World::new(policy, policy, [service_time_ms, 20, 20, 20]);
        world.call(1, CAPACITY * 9 / 5, 0, 8_000);
        world.run(10_000);
        world
    };
    let (before, after) = (run(false), run(true));
    let (all, good) = in_time(before.calls(1_000, 8_000));
    let (_, good_now) = in_time(after.calls(1_000, 8_000));
    assert!(2 * (all - good_now) < all - good, "of {all}: {good} in time, now {good_now}");
    assert!(!after.refused.is_empty());
    assert!(after.refused.iter().all(|(_, upstream)| *upstream == 0));
    assert!(after.calls(0, 8_000).all(|(_, call)| call.reset_ms.is_none()));
}

/// Flows of a single agent on which one request has been answered, after 100 ms.
const IDLE_FLOWS: Range<u16> = 200..250;
/// How many SLOs the callers of a single agent wait.
const WAIT_SLOS: u8 = 10;

/// The ways in which the caller of a queued request gives up.
#[derive(Clone, Copy, Debug)]
enum GivesUp {
    No,
    Reset,
    Fin,
    ByTime,
}

/// An agent with one slot and a service time of 100 ms, beside which this many requests were queued
/// and one caller gave up a millisecond ago.
fn queueing_agent(policy: Policy, queued: u16, gives_up: GivesUp) -> (AgentCore, Millis) {
    let mut agent = AgentCore::with_policy(SERVICE, policy);
    agent.on_tick(0);
    let mut now_ms = START_MS;
    let open = |agent: &mut AgentCore, now_ms, number| {
        forward(agent, now_ms, &opening(number, 0));
        agent.on_answer(now_ms, opening_answer(number));
        forward(agent, now_ms, &data(number, 2))
    };
    // As long as the number of slots is unknown, every request goes to the upstream.
    for number in IDLE_FLOWS {
        deliver(&mut agent, now_ms, &opening(number, 0), 0);
        agent.on_answer(now_ms, opening_answer(number));
        assert_eq!(deliver(&mut agent, now_ms, &data(number, 2), 0), Delivery::Deliver);
    }
    now_ms += 100;
    for number in IDLE_FLOWS {
        agent.on_answer(now_ms, answer(number));
    }
    for number in [2, 3] {
        assert_eq!(open(&mut agent, now_ms, number), Delivery::Deliver);
    }
    if matches!(gives_up, GivesUp::ByTime) {
        assert_eq!(open(&mut agent, now_ms + 10, 99), Delivery::Queued);
        // The upstream processes other requests until shortly before the caller must have given up.
        for number in (4..38).step_by(2) {
            now_ms += 100;
            agent.on_answer(now_ms, answer(number - 2));
            agent.on_answer(now_ms, answer(number - 1));
            assert_eq!(open(&mut agent, now_ms, number), Delivery::Deliver);
            assert_eq!(open(&mut agent, now_ms, number + 1), Delivery::Deliver);
        }
    }
    for number in 0..queued {
        assert_eq!(open(&mut agent, now_ms, 100 + number), Delivery::Queued);
    }
    match gives_up {
        GivesUp::No => {}
        GivesUp::Reset => {
            let reset = Segment { kind: SegmentKind::Reset, data_bytes: 0, ..data(100, 102) };
            forward(&mut agent, now_ms, &reset);
        }
        GivesUp::Fin => {
            forward(&mut agent, now_ms, &closing(100, 102));
        }
        GivesUp::ByTime => {
            assert_eq!(agent.last_given_up_ms(), None);
            now_ms += 10;
            agent.on_tick(now_ms);
            assert_eq!(agent.last_given_up_ms(), Some(now_ms));
        }
    }
    (agent, now_ms + 1)
}

fn forward(agent: &mut AgentCore, now_ms: Millis, segment: &Segment) -> Delivery {
    let is_opening = matches!(segment.kind, SegmentKind::Opening { .. });
    let (slo_ms, wait_slos) = if is_opening { (0, 0) } else { (SLO_MS, WAIT_SLOS) };
    let bytes = segment.flow.caller.port().to_le_bytes();
    agent
        .on_packet(now_ms, segment, &bytes, ForwardMetadata { slo_ms, wait_slos, ..metadata(1) })
        .delivery
}

const REFUSED: Delivery = Delivery::Overloaded { for_ms: SLO_MS as Millis / 4 };

/// An upstream is overloaded only if callers give up, or are bound to, while more requests wait than
/// it can answer within the SLO. Otherwise a short burst, or a caller that loses interest, would turn
/// callers away from an upstream that can serve them.
#[rstest]
#[case::nobody_gives_up(on(), 8, GivesUp::No, Delivery::Deliver)]
#[case::bound_to_give_up(on(), 21, GivesUp::No, REFUSED)]
#[case::just_in_time(on(), 20, GivesUp::No, Delivery::Deliver)]
#[case::reset(on(), 8, GivesUp::Reset, REFUSED)]
#[case::reset_of_short_queue(on(), 2, GivesUp::Reset, Delivery::Deliver)]
#[case::reset_of_just_too_long_queue(on(), 3, GivesUp::Reset, REFUSED)]
#[case::fin(on(), 8, GivesUp::Fin, REFUSED)]
#[case::fin_in_just_too_long_queue(on(), 3, GivesUp::Fin, REFUSED)]
#[case::fin_in_short_queue(on(), 2, GivesUp::Fin, Delivery::Deliver)]
#[case::by_time(on(), 8, GivesUp::ByTime, REFUSED)]
#[case::by_time_in_just_too_long_queue(on(), 2, GivesUp::ByTime, REFUSED)]
#[case::by_time_in_short_queue(on(), 1, GivesUp::ByTime, Delivery::Deliver)]
#[case::mechanism_off(Policy::default(), 8, GivesUp::Reset, Delivery::Deliver)]
fn on_packet_opening_of_overloaded_upstream(
    #[case] policy: Policy,
    #[case] queued: u16,
    #[case] gives_up: GivesUp,
    #[case] expected: Delivery,
) {
    let (mut agent, now_ms) = queueing_agent(policy, queued, gives_up);
    assert_eq!(agent.is_overloaded(now_ms), expected == REFUSED);
    assert_eq!(forward(&mut agent, now_ms, &opening(1_000, 0)), expected);
}

/// Urgent openings are always taken. A copy of an opening that the upstream may have received is
/// never returned: the balancer would tell the caller that nothing has run. Later copies cannot be
/// reset by any balancer, so they would be passed round.
#[test]
fn on_packet_openings_that_are_always_taken() {
    let (mut agent, now_ms) = queueing_agent(on(), 8, GivesUp::Reset);
    assert_eq!(forward(&mut agent, now_ms, &opening(1_000, 0)), REFUSED);
    let urgent = ForwardMetadata { urgent: true, slo_ms: 0, ..metadata(1) };
    let taken = agent.on_packet(now_ms, &opening(1_001, 0), &[], urgent).delivery;
    assert_eq!(taken, Delivery::Deliver);
    // The upstream has answered the first, and may yet answer the second.
    assert_eq!(forward(&mut agent, now_ms, &opening(101, 0)), Delivery::Deliver);
    assert_eq!(forward(&mut agent, now_ms, &opening(1_001, 0)), Delivery::Deliver);
    assert_eq!(forward(&mut agent, now_ms, &opening(1_000, 1)), Delivery::Deliver);
}

/// A balancer keeps openings away for as long as it is told. If that were the time that the whole
/// queue takes, the upstream would be left with late requests.
#[rstest]
#[case::quarter_of_the_slo(600, 150)]
#[case::at_least_50_ms(120, 50)]
fn on_packet_opening_is_refused_for_a_quarter_of_the_slo(
    #[case] slo_ms: u32,
    #[case] for_ms: Millis,
) {
    let (mut agent, now_ms) = queueing_agent(on(), 20, GivesUp::Reset);
    let times = ForwardMetadata { slo_ms, wait_slos: WAIT_SLOS, ..metadata(1) };
    agent.on_packet(now_ms, &data(101, 2), &101_u16.to_le_bytes(), times);
    let refused = forward(&mut agent, now_ms, &opening(1_000, 0));
    assert_eq!(refused, Delivery::Overloaded { for_ms });
}

/// Late requests are processed only when slots are free. If openings were refused because of these,
/// the upstream would get none that it can answer in time.
#[test]
fn on_packet_opening_while_only_late_requests_wait() {
    let (mut agent, now_ms) = queueing_agent(on(), 20, GivesUp::Reset);
    // Each needs 100 ms and 3 ms to the caller, of 200 ms.
    let last_ms = now_ms - 1 + 97;
    agent.on_answer(last_ms, opening_answer(101));
    assert_eq!(forward(&mut agent, last_ms, &opening(1_000, 0)), REFUSED);
    assert_eq!(forward(&mut agent, last_ms + 1, &opening(1_001, 0)), Delivery::Deliver);
}

/// The overload ends a second after the last caller has given up, whatever the queue. An agent that
/// has restarted refuses nothing.
#[test]
fn on_packet_opening_after_overload() {
    let (mut agent, now_ms) = queueing_agent(on(), 8, GivesUp::Reset);
    let later_ms = now_ms + 998;
    agent.on_answer(later_ms, opening_answer(101));
    for number in IDLE_FLOWS.take(8) {
        assert_eq!(forward(&mut agent, later_ms, &data(number, 102)), Delivery::Queued);
    }
    assert_eq!(forward(&mut agent, later_ms, &opening(1_000, 0)), REFUSED);
    // The service time is kept, and the slots stay occupied.
    assert_eq!(forward(&mut agent, later_ms + 1, &opening(1_000, 0)), Delivery::Deliver);
    let mut restarted = AgentCore::with_policy(SERVICE, on());
    assert_eq!(forward(&mut restarted, later_ms, &opening(1_001, 0)), Delivery::Deliver);
}

/// An upstream crashes while it is overloaded. Only openings show it: if all were returned, its
/// agent would not notice that the upstream is unresponsive until its callers have given up.
#[test]
fn on_packet_opening_for_silent_upstream() {
    let (mut agent, now_ms) = queueing_agent(on(), 8, GivesUp::Reset);
    // Requests of open flows keep the upstream overloaded.
    let deliveries: Vec<Delivery> = (now_ms..)
        .step_by(10)
        .zip(IDLE_FLOWS)
        .map(|(now_ms, number)| {
            forward(&mut agent, now_ms, &data(number, 102));
            forward(&mut agent, now_ms, &opening(1_000 + number, 0))
        })
        .collect();
    // It may be silent for 100 ms and two service times.
    assert_eq!(deliveries[..30], [REFUSED; 30]);
    assert_eq!(deliveries[30], Delivery::Deliver);
    assert!(matches!(deliveries[49], Delivery::DeliverUnresponsive { .. }), "{deliveries:?}");
}

const FOR_MS: Millis = 200;
const OVERLOADED: Verdict = Verdict::Overloaded { for_ms: FOR_MS };

fn new_edge() -> Edge {
    Edge::with_policy(on())
}

/// Lets upstream after upstream refuse an opening; returns the last actions and the upstreams.
fn refuse_all(
    edge: &mut Edge,
    now_ms: Millis,
    view: &View,
    segment: &Segment,
    mut actions: Vec<Action>,
) -> (Vec<Action>, Vec<Ipv4Addr>) {
    let mut asked = Vec::new();
    while let Some(to) = actions.first().and_then(target) {
        asked.push(to);
        assert!(asked.len() <= 2 * view.upstreams().len(), "passed round: {asked:?}");
        actions = verdict(edge, now_ms, view, to, OVERLOADED, segment);
    }
    (actions, asked)
}

/// An edge that knows that all upstreams are overloaded and has just sent a probe, at time zero.
fn overloaded_edge(view: &View) -> Edge {
    let mut edge = new_edge();
    for number in [9_000, 9_001] {
        let segment = opening(number, 0);
        let actions = packet(&mut edge, 0, view, &segment);
        refuse_all(&mut edge, 0, view, &segment, actions);
    }
    edge
}

/// An overloaded upstream keeps getting openings, each of which is returned and loses a round trip.
#[test]
fn overloaded_upstream_is_skipped_for_a_while() {
    let (mut edge, view) = (new_edge(), all_ready_view());
    let refuser = target(&packet(&mut edge, 0, &view, &opening(1, 0))[0]).unwrap();
    let next = verdict(&mut edge, 0, &view, refuser, OVERLOADED, &opening(1, 0));
    assert!(target(&next[0]).is_some_and(|to| to != refuser));
    let mut gets_flows = |now_ms, first: u16| {
        let mut actions =
            (first..first + 60).map(|number| packet(&mut edge, now_ms, &view, &opening(number, 0)));
        actions.any(|actions| target(&actions[0]) == Some(refuser))
    };
    assert!(!gets_flows(FOR_MS - 1, 100));
    assert!(gets_flows(FOR_MS, 200));
}

/// An upstream that has restarted under the same address has an empty queue.
#[test]
fn restarted_upstream_is_not_skipped() {
    let view = all_ready_view();
    let mut edge = overloaded_edge(&view);
    let restarted = view.upstreams().iter().map(|listed| Upstream { born_ms: 9, ..*listed });
    let view = View::new(Arc::clone(&view.routes), restarted.collect());
    for number in 1..30 {
        assert!(target(&packet(&mut edge, 1, &view, &opening(number, 0))[0]).is_some());
    }
}

/// Agents always take urgent openings, so these go where they would go without any overload.
#[test]
fn urgent_openings_are_placed_by_the_normal_rules() {
    let view = all_ready_view();
    let route = view.routes.find(opening(1, 0).flow.endpoint).unwrap().clone();
    let routes = RouteTable::new(1, vec![Route { urgent: true, ..route }], []);
    let urgent = View::new(Arc::new(routes), view.upstreams().to_vec());
    // Both edges get the same openings of the other route, so the recorded loads are equal.
    let refused = |verdict_of: fn(Ipv4Addr) -> Verdict| {
        let mut edge = new_edge();
        for listed in view.upstreams() {
            let address = listed.address;
            verdict(&mut edge, 0, &view, address, verdict_of(address), &data(9_000, 5));
        }
        (1..60).map(|number| packet(&mut edge, 0, &urgent, &opening(number, 0))).collect::<Vec<_>>()
    };
    assert_eq!(refused(|_| OVERLOADED), refused(|_| Verdict::Alive));
}

/// What has happened to an opening before all upstreams refuse it.
#[derive(Clone, Copy, Debug)]
enum Before {
    Nothing,
    /// The balancer has sent it to another upstream after 60 ms without a reply.
    Retransmitted,
    /// A second packet of the first copy has arrived while the first one had no reply.
    Duplicated,
    /// Its upstream has not answered anything for a while, but has received it.
    Unresponsive,
    /// The first copy went to another balancer.
    LaterCopy,
    /// The caller has retransmitted it in the meantime.
    TooLate,
}

/// A reset tells the caller that nothing has run. If any upstream may have received the opening, or
/// the caller may have retransmitted it, the flow may be open.
#[rstest]
#[case::all_refuse(Before::Nothing, true)]
#[case::retransmitted(Before::Retransmitted, false)]
#[case::duplicated(Before::Duplicated, false)]
#[case::unresponsive(Before::Unresponsive, false)]
#[case::later_copy(Before::LaterCopy, false)]
#[case::too_late(Before::TooLate, false)]
fn reset_only_if_no_upstream_can_have_the_opening(#[case] before: Before, #[case] reset: bool) {
    let (mut edge, view) = (new_edge(), all_ready_view());
    let copy = u32::from(matches!(before, Before::LaterCopy));
    let segment = opening(1, copy);
    let mut actions = packet(&mut edge, 0, &view, &segment);
    let first = target(&actions[0]).unwrap();
    let mut now_ms = 1;
    match before {
        Before::Nothing | Before::LaterCopy => {}
        Before::Retransmitted => {
            now_ms = RETRANSMIT_AFTER_MS;
            actions = tick(&mut edge, now_ms, &view);
            assert_ne!(target(&actions[0]), Some(first));
        }
        Before::Duplicated => {
            actions = packet(&mut edge, now_ms, &view, &segment);
            assert_ne!(target(&actions[0]), Some(first));
        }
        Before::Unresponsive => {
            let unresponsive = Verdict::Unresponsive { for_ms: 120 };
            actions = verdict(&mut edge, now_ms, &view, first, unresponsive, &segment);
        }
        Before::TooLate => now_ms = 200,
    }
    let (last, _) = refuse_all(&mut edge, now_ms, &view, &segment, actions);
    let expected = match reset {
        true => Action::Reset { reason: Reason::Overloaded },
        false => Action::Drop { reason: Reason::Unknown },
    };
    assert_eq!(last, [expected]);
    assert!(tick(&mut edge, now_ms + 60, &view).is_empty(), "it is sent again");
}

/// The reply of an upstream that was passed over arrives late. A third upstream would get the
/// opening while the second one may be about to answer it.
#[test]
fn late_refusal_leaves_the_opening_where_it_is() {
    let (mut edge, view) = (new_edge(), all_ready_view());
    let first = target(&packet(&mut edge, 0, &view, &opening(1, 0))[0]).unwrap();
    tick(&mut edge, RETRANSMIT_AFTER_MS, &view);
    let actions = verdict(&mut edge, 70, &view, first, OVERLOADED, &opening(1, 0));
    assert_eq!(actions, []);
}

/// An opening that cannot be reset is sent to the upstream whose overload ends first. Agents take
/// it if it is a later copy. If not, it must not visit every upstream of the service in vain.
#[test]
fn opening_that_cannot_be_reset_is_sent_on() {
    let view = all_ready_view();
    let mut edge = overloaded_edge(&view);
    let soonest = view.upstreams()[3].address;
    let sooner = Verdict::Overloaded { for_ms: 50 };
    verdict(&mut edge, 1, &view, soonest, sooner, &data(9_000, 5));
    let actions = packet(&mut edge, 2, &view, &opening(1, 1));
    assert_eq!(target(&actions[0]), Some(soonest));
    let (last, asked) = refuse_all(&mut edge, 2, &view, &opening(1, 1), actions);
    assert_eq!((last, asked.len()), (vec![Action::Drop { reason: Reason::Unknown }], 3));
    assert!(target(&packet(&mut edge, 150, &view, &opening(1, 2))[0]).is_some());
}

/// While all upstreams are overloaded, one opening in 100 ms is sent on. A balancer that sent none
/// would learn of the end of the overload only from the time that the agents have named.
#[test]
fn probes_while_all_upstreams_are_overloaded() {
    let view = all_ready_view();
    let mut edge = overloaded_edge(&view);
    let forwarded = |edge: &mut Edge, now_ms: Millis, number| {
        let actions = packet(edge, now_ms, &view, &opening(number, 0));
        let to = target(&actions[0]);
        assert!(to.is_some() || actions == [Action::Reset { reason: Reason::Overloaded }]);
        to
    };
    let sent_on: Vec<Millis> = (1..FOR_MS)
        .filter(|now_ms| forwarded(&mut edge, *now_ms, 100 + *now_ms as u16).is_some())
        .collect();
    assert_eq!(sent_on, [100]);
    // A probe that is returned is reset like the others.
    let mut edge = overloaded_edge(&view);
    let to = forwarded(&mut edge, 100, 1).unwrap();
    let actions = verdict(&mut edge, 101, &view, to, OVERLOADED, &opening(1, 0));
    assert_eq!(actions, [Action::Reset { reason: Reason::Overloaded }]);
}

/// A refusal about a packet of an open flow, or about an earlier opening on the same ports, proves
/// nothing about the flow.
#[rstest]
#[case::later_packet(data(1, 5))]
#[case::earlier_opening(Segment { sequence: 77, ..opening(1, 0) })]
fn refusal_of_another_packet_changes_nothing(#[case] about: Segment) {
    let (mut edge, view) = (new_edge(), all_ready_view());
    let to = target(&packet(&mut edge, 0, &view, &opening(1, 0))[0]).unwrap();
    assert_eq!(verdict(&mut edge, 1, &view, to, OVERLOADED, &about), []);
    let held = Verdict::Held { busy: 1, opening_sequence: Some(0), load: None };
    verdict(&mut edge, 2, &view, to, held, &opening(1, 0));
    assert_eq!(target(&packet(&mut edge, 3, &view, &data(1, 5))[0]), Some(to));
}
