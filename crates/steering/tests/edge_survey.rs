//! Flows after a restart of all balancers: nobody remembers to which services routes led, and agents
//! tell of which endpoints their upstreams hold flows.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use common::agent::{new_agent, open_flow};
use common::{READY, data, deny_all, flow, packet, tick, upstream, verdict};
use rstest::rstest;
use steering::edge::{Action, AgentReply, Edge, Question, Trust, Verdict};
use steering::flow::Millis;
use steering::history::History;
use steering::membership::{Membership, OUTAGE_LINGER_MS, UpstreamRecord};
use steering::side::{ENDPOINTS_MAX, EndpointReport, HeldEndpoint};
use steering::view::{Route, RouteTable, ServiceStamp, Share, View, ZoneStamp};

/// The service that the flow's route has left, and the one that it leads to.
const FORMER: ServiceStamp = ServiceStamp(1);
const CURRENT: ServiceStamp = ServiceStamp(2);
/// Upstreams 1 to 3 run the former service, upstreams 4 to 6 the current one.
const UPSTREAMS: u8 = 6;
const HOLDER: u8 = 2;
/// Age at which flows may be discarded.
const FLOW_TTL_MS: Millis = 60_000;
const START_MS: Millis = 5_000;
const ROUND_TRIP_MS: Millis = 2;
const TICK_MS: Millis = 20;
/// When the caller sends its request, and when it gives up.
const SENT_MS: [Millis; 5] = [0, 200, 600, 1_400, 3_000];
const TIMEOUT_MS: Millis = 4_000;

/// What the configuration says of the former service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Former {
    /// A route of another address leads to it.
    RoutedElsewhere,
    /// Nothing leads to it, but the configuration names it.
    Unrouted,
    /// The configuration does not name it.
    Removed,
}

/// What the agents of the former service's upstreams answer to questions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Agents {
    /// All that their upstreams hold.
    Tell,
    /// What they have seen; they have started beside running upstreams.
    CannotTell,
    /// That they are running: they are of the last release.
    AreOfLastRelease,
    /// Nothing: they are away.
    AreAway,
}

fn address(number: u8) -> Ipv4Addr {
    upstream(number, READY).address
}

fn service_at(address: Ipv4Addr) -> ServiceStamp {
    if address.octets()[3] <= UPSTREAMS / 2 { FORMER } else { CURRENT }
}

fn routes(former: Former) -> Arc<RouteTable> {
    let route = |endpoint, service| Route {
        endpoint,
        shares: [Share { service, weight: 1 }].into(),
        slo_ms: 200,
        wait_slos: 0,
        urgent: false,
        repeatable: false,
        regions: [].into(),
    };
    let elsewhere: SocketAddrV4 = "198.18.0.9:443".parse().unwrap();
    let service = if former == Former::RoutedElsewhere { FORMER } else { CURRENT };
    let routes = vec![route(flow(1).endpoint, CURRENT), route(elsewhere, service)];
    let named = if former == Former::Removed { vec![] } else { vec![FORMER] };
    let named = named.into_iter().map(steering::view::Service::unlimited);
    Arc::new(RouteTable::new(12, routes, named))
}

/// The view of a balancer that has just started and has met no other one. The upstreams of the former
/// service appeared in its list at `listed_ms`.
fn view_listed_at(former: Former, listed_ms: Millis) -> View {
    let mut membership = Membership::default();
    for number in 1..=UPSTREAMS {
        let address = address(number);
        let is_former = service_at(address) == FORMER;
        let record = UpstreamRecord {
            id: format!("i-{number}").into(),
            born_ms: 0,
            address,
            service: service_at(address),
            zone: ZoneStamp(1),
            draining: false,
            warmup_left_ms: 0,
            slots: 7,
        };
        membership.insert(if is_former { listed_ms } else { START_MS }, &record);
    }
    let history = History::from_now(START_MS, FLOW_TTL_MS);
    membership.view_since(routes(former), Arc::new(history))
}

fn view(former: Former) -> View {
    view_listed_at(former, START_MS)
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Outcome {
    found_ms: Option<Millis>,
    reset_ms: Option<Millis>,
    /// Number of packets to upstreams.
    asked: usize,
    /// Whether the flow's packets went to upstreams of the former service that do not hold it.
    strayed: bool,
}

/// Plays a request on a flow that the holder holds, or nobody. Only questions reach the agents of
/// the former service before the balancer forwards packets there.
fn play(former: Former, agents: Agents, held: bool) -> Outcome {
    play_with(&view(former), 0, agents, held)
}

/// The same with this view. The list is complete from `complete_from_ms` on.
fn play_with(view: &View, complete_from_ms: Millis, agents: Agents, held: bool) -> Outcome {
    play_on(&mut Edge::default(), START_MS, view, complete_from_ms, agents, held)
}

/// The same at this balancer, from `start_ms` on.
fn play_on(
    edge: &mut Edge,
    start_ms: Millis,
    view: &View,
    complete_from_ms: Millis,
    agents: Agents,
    held: bool,
) -> Outcome {
    let segment = data(1, 5);
    let mut outcome = Outcome::default();
    let mut replies: Vec<(Millis, Ipv4Addr, Verdict)> = Vec::new();
    let mut answers: Vec<(Millis, Question)> = Vec::new();
    for now_ms in start_ms..start_ms + TIMEOUT_MS {
        edge.set_trust(Trust { current_at_ms: now_ms, complete_from_ms });
        let mut actions = Vec::new();
        if SENT_MS.contains(&(now_ms - start_ms)) {
            actions.extend(packet(edge, now_ms, view, &segment));
        }
        if now_ms % TICK_MS == 0 {
            actions.extend(tick(edge, now_ms, view));
            let questions = edge.take_questions(now_ms, view).into_iter();
            answers.extend(questions.map(|question| (now_ms + ROUND_TRIP_MS, question)));
        }
        for (_, question) in answers.extract_if(.., |(at_ms, _)| *at_ms == now_ms) {
            answer(edge, now_ms, view, agents, held, question);
        }
        let due: Vec<_> = replies.extract_if(.., |(at_ms, ..)| *at_ms == now_ms).collect();
        for (_, from, reply) in due {
            actions.extend(verdict(edge, now_ms, view, from, reply, &segment));
            if matches!(reply, Verdict::Held { .. }) {
                return Outcome { found_ms: Some(now_ms - start_ms), ..outcome };
            }
        }
        for action in actions {
            match action {
                Action::Forward { to, .. } => {
                    outcome.asked += 1;
                    let holds = held && to.address == address(HOLDER) && to.service == FORMER;
                    outcome.strayed |= service_at(to.address) == FORMER && !holds;
                    let reply = match holds {
                        true => Verdict::Held { busy: 0, opening_sequence: None, load: None },
                        false => Verdict::Denied,
                    };
                    replies.push((now_ms + ROUND_TRIP_MS, to.address, reply));
                }
                Action::Reset { .. } => {
                    return Outcome { reset_ms: Some(now_ms - start_ms), ..outcome };
                }
                Action::Drop { .. } => {}
            }
        }
    }
    outcome
}

fn answer(
    edge: &mut Edge,
    now_ms: Millis,
    view: &View,
    agents: Agents,
    held: bool,
    question: Question,
) {
    let Question { to, number } = question;
    let is_former = service_at(to) == FORMER;
    match agents {
        Agents::AreAway if is_former => return,
        Agents::AreOfLastRelease if is_former => {
            let reply =
                AgentReply { from: to, verdict: Verdict::Alive, reads_service: false, packet: &[] };
            return edge.on_agent_reply(now_ms, view, reply, &data(9, 5), &mut Vec::new());
        }
        _ => {}
    }
    let holds = held && agents == Agents::Tell && to == address(HOLDER);
    let held_endpoint = HeldEndpoint { endpoint: flow(1).endpoint, left_ms: 30_000 };
    let held = if holds { vec![held_endpoint] } else { vec![] };
    let is_whole = agents != Agents::CannotTell || !is_former;
    let report = EndpointReport { held, is_whole };
    edge.on_endpoint_report(now_ms, to, service_at(to), number, &report);
}

/// Guards against the reset of an open flow after a restart of all balancers, at a service that its
/// route has left: the flow is found at the upstream whose agent tells of it, and other client
/// accounts' upstreams get none of its packets.
#[rstest]
fn flow_at_unknown_former_service_is_found(
    #[values(Former::RoutedElsewhere, Former::Unrouted, Former::Removed)] former: Former,
) {
    let outcome = play(former, Agents::Tell, true);
    assert!(outcome.found_ms.is_some_and(|found_ms| found_ms <= SENT_MS[2]), "{outcome:?}");
    assert!(!outcome.strayed, "{outcome:?}");
}

/// Guards against the reset of an open flow by somebody who cannot know: as long as one agent has
/// not told all, the flow may be there.
#[rstest]
fn flow_is_not_reset_while_an_agent_cannot_tell(
    #[values(Former::RoutedElsewhere, Former::Unrouted, Former::Removed)] former: Former,
    #[values(Agents::CannotTell, Agents::AreOfLastRelease, Agents::AreAway)] agents: Agents,
) {
    let outcome = play(former, agents, true);
    assert_eq!((outcome.reset_ms, outcome.strayed), (None, false), "{outcome:?}");
    // Each is asked once: repeated searches would fill the links, and reach upstreams in vain.
    assert_eq!(outcome.asked, usize::from(UPSTREAMS / 2), "{outcome:?}");
}

/// Guards against callers of a lost flow that are told late after a restart of all balancers.
#[rstest]
fn lost_flow_is_reset_once_all_agents_have_told(
    #[values(Former::RoutedElsewhere, Former::Unrouted, Former::Removed)] former: Former,
) {
    let outcome = play(former, Agents::Tell, false);
    assert!(outcome.reset_ms.is_some_and(|reset_ms| reset_ms <= SENT_MS[2]), "{outcome:?}");
}

/// Guards against callers that are told late after all instances have restarted: an upstream that
/// was not in a complete list holds no earlier flow, though its agent cannot tell.
#[rstest]
#[case::listed_from_the_start(START_MS, 0, false)]
#[case::listed_while_entries_may_be_missing(START_MS + OUTAGE_LINGER_MS, 0, false)]
#[case::listed_later(START_MS + OUTAGE_LINGER_MS + 1, 0, true)]
#[case::listed_later_in_an_incomplete_list(
    START_MS + OUTAGE_LINGER_MS + 1,
    START_MS + OUTAGE_LINGER_MS + 50,
    false
)]
fn upstream_that_started_later_holds_no_earlier_flow(
    #[case] listed_ms: Millis,
    #[case] complete_from_ms: Millis,
    #[case] is_reset: bool,
    #[values(Agents::CannotTell, Agents::AreAway)] agents: Agents,
) {
    let view = view_listed_at(Former::RoutedElsewhere, listed_ms);
    let outcome = play_with(&view, complete_from_ms, agents, false);
    assert_eq!(outcome.reset_ms.is_some(), is_reset, "{outcome:?}");
}

/// Guards against an upstream that counts as started later although it is in the list late: a list
/// from before the history began lacks it, and flows that the history does not tell of may be there.
#[rstest]
#[case::read_when_all_entries_were_back(START_MS + OUTAGE_LINGER_MS, true)]
#[case::read_before(START_MS + OUTAGE_LINGER_MS - 1, false)]
fn upstream_missing_from_an_old_list_may_hold_earlier_flows(
    #[case] first_read_ms: Millis,
    #[case] is_reset: bool,
) {
    const LISTED_MS: Millis = START_MS + OUTAGE_LINGER_MS + 50;
    let view = view_listed_at(Former::RoutedElsewhere, LISTED_MS);
    let mut edge = Edge::default();
    edge.set_trust(Trust { current_at_ms: first_read_ms, complete_from_ms: 0 });
    (START_MS..LISTED_MS).step_by(10).for_each(|now_ms| drop(tick(&mut edge, now_ms, &view)));
    let outcome = play_on(&mut edge, LISTED_MS + 10, &view, 0, Agents::CannotTell, false);
    assert_eq!(outcome.reset_ms.is_some(), is_reset, "{outcome:?}");
}

/// Guards against an answer from before the flow's packet that arrives late and counts as new.
#[test]
fn answer_to_an_earlier_question_proves_nothing() {
    let (view, mut edge) = (view(Former::RoutedElsewhere), Edge::default());
    let deny_everywhere = |edge: &mut Edge, now_ms: Millis| {
        edge.set_trust(Trust { current_at_ms: now_ms, complete_from_ms: 0 });
        let actions = packet(edge, now_ms, &view, &data(1, 5));
        deny_all(edge, now_ms, &view, &data(1, 5), actions)
    };
    let resets = |actions: &[Action]| {
        assert!(!actions.is_empty());
        actions.iter().any(|action| matches!(action, Action::Reset { .. }))
    };
    assert!(!resets(&deny_everywhere(&mut edge, START_MS)));
    let mut asked = Vec::new();
    for now_ms in (START_MS..START_MS + 100).step_by(10) {
        asked.extend(edge.take_questions(now_ms, &view));
    }
    assert_eq!(asked.len(), usize::from(UPSTREAMS));
    let whole = EndpointReport { held: vec![], is_whole: true };
    for Question { to, number } in &asked {
        let earlier = number.wrapping_sub(1);
        edge.on_endpoint_report(START_MS + 100, *to, service_at(*to), earlier, &whole);
    }
    assert!(!resets(&deny_everywhere(&mut edge, START_MS + 1_200)));
    for Question { to, number } in &asked {
        edge.on_endpoint_report(START_MS + 1_200, *to, service_at(*to), *number, &whole);
    }
    assert!(resets(&deny_everywhere(&mut edge, START_MS + 2_400)));
}

/// An agent tells the endpoints on which its upstream has sent packets, until the flows have ended.
#[test]
fn agent_tells_the_endpoints_of_its_upstreams_flows() {
    let mut agent = new_agent();
    open_flow(&mut agent, START_MS, 1);
    let held = HeldEndpoint { endpoint: flow(1).endpoint, left_ms: FLOW_TTL_MS - 500 };
    let report = EndpointReport { held: vec![held], is_whole: true };
    assert_eq!(agent.endpoint_report(START_MS + 500), report);
    assert_eq!(agent.endpoint_report(START_MS + FLOW_TTL_MS).held, []);
}

/// Guards against an agent that has just started and counts as a witness of flows from before.
#[rstest]
#[case::at_its_start(0, false)]
#[case::before_the_last_flow_has_ended(FLOW_TTL_MS - 1, false)]
#[case::after_that(FLOW_TTL_MS, true)]
fn restarted_agent_cannot_tell_what_was_before(#[case] age_ms: Millis, #[case] is_whole: bool) {
    let agent = new_agent().beside_running_upstream(START_MS);
    assert_eq!(agent.endpoint_report(START_MS + age_ms).is_whole, is_whole);
}

/// Guards against an answer that counts as whole although it has no room for all endpoints.
#[test]
fn agent_with_too_many_endpoints_cannot_tell() {
    let mut agent = new_agent();
    for number in 0..=u16::try_from(ENDPOINTS_MAX).unwrap() {
        let mut answer = common::agent::opening_answer(1);
        answer.flow.endpoint.set_port(number + 1);
        agent.on_answer(START_MS, answer);
    }
    let report = agent.endpoint_report(START_MS);
    assert_eq!((report.held.len(), report.is_whole), (ENDPOINTS_MAX, false));
}
