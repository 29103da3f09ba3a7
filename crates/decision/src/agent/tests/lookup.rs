//! Packets of flows that the agent does not know.

use rstest::rstest;

use super::*;
use crate::message::Knowledge;

/// A packet reaches an agent that does not know its flow. Each peer answers, or does not (`None`).
/// The caller may be sent a reset only if every peer denies the flow.
#[rstest]
#[case::all_deny(&[Some(Knowledge::NotMine); 3], Verdict::Refuse(Reason::UnknownFlow))]
#[case::one_holds(
    &[Some(Knowledge::NotMine), Some(Knowledge::Mine), Some(Knowledge::NotMine)],
    Verdict::Forward { to: id(2), forwarding: Forwarding::Redirected },
)]
#[case::one_holds_others_unanswered(
    &[None, Some(Knowledge::Mine), None],
    Verdict::Forward { to: id(2), forwarding: Forwarding::Redirected },
)]
#[case::one_unanswered(
    &[Some(Knowledge::NotMine), None, Some(Knowledge::NotMine)],
    Verdict::Drop(Reason::HolderSilent),
)]
#[case::one_unsure(
    &[Some(Knowledge::NotMine), Some(Knowledge::Unsure), Some(Knowledge::NotMine)],
    Verdict::Forward { to: id(2), forwarding: Forwarding::Adopt },
)]
#[case::two_unsure(
    &[Some(Knowledge::Unsure), Some(Knowledge::Unsure), Some(Knowledge::NotMine)],
    Verdict::Drop(Reason::HolderSilent),
)]
#[case::one_likely_one_unlikely(
    &[Some(Knowledge::Likely), Some(Knowledge::Unlikely), Some(Knowledge::NotMine)],
    Verdict::Forward { to: id(1), forwarding: Forwarding::Adopt },
)]
#[case::one_likely_one_unsure(
    &[Some(Knowledge::Likely), Some(Knowledge::Unsure), Some(Knowledge::NotMine)],
    Verdict::Drop(Reason::HolderSilent),
)]
#[case::two_likely(
    &[Some(Knowledge::Likely), Some(Knowledge::Likely), Some(Knowledge::Unlikely)],
    Verdict::Drop(Reason::HolderSilent),
)]
#[case::two_unlikely(
    &[Some(Knowledge::Unlikely), Some(Knowledge::Unlikely), Some(Knowledge::NotMine)],
    Verdict::Drop(Reason::HolderSilent),
)]
#[case::only_one_unlikely(
    &[Some(Knowledge::NotMine), Some(Knowledge::Unlikely), Some(Knowledge::NotMine)],
    Verdict::Forward { to: id(2), forwarding: Forwarding::Adopt },
)]
#[case::one_likely_one_unanswered(
    &[Some(Knowledge::Likely), None, Some(Knowledge::NotMine)],
    Verdict::Drop(Reason::HolderSilent),
)]
#[case::one_unsure_one_unanswered(
    &[Some(Knowledge::Unsure), None, Some(Knowledge::NotMine)],
    Verdict::Drop(Reason::HolderSilent),
)]
#[case::closing_one_unanswered(
    &[Some(Knowledge::Closing), None, Some(Knowledge::NotMine)],
    Verdict::Drop(Reason::HolderSilent),
)]
#[case::closing_all_answer(
    &[Some(Knowledge::Closing), Some(Knowledge::NotMine), Some(Knowledge::NotMine)],
    Verdict::Forward { to: id(1), forwarding: Forwarding::Redirected },
)]
#[case::named_by_another(
    &[Some(Knowledge::HeldBy(id(3))), Some(Knowledge::NotMine), Some(Knowledge::NotMine)],
    Verdict::Forward { to: id(3), forwarding: Forwarding::Redirected },
)]
fn look_up_unknown_flow(#[case] answers: &[Option<Knowledge>], #[case] expected: Verdict) {
    let fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 4));
    let mut agent = fleet.agents.into_iter().next().expect("an agent");
    assert_eq!(look_up(&mut agent, fleet.now, answers, 0), Some(expected));
}

/// A late answer to an older question denies a flow that has been opened since. If it were counted,
/// an open flow would be reset.
#[rstest]
fn answer_received_late_denials() {
    let fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 4));
    let mut agent = fleet.agents.into_iter().next().expect("an agent");
    let verdict = look_up(&mut agent, fleet.now, &[Some(Knowledge::NotMine); 3], 1);
    assert_eq!(verdict, Some(Verdict::Drop(Reason::HolderSilent)));
}

/// Sends a middle packet and lets peers 1, 2, ... answer a question whose number is lower by `age`.
fn look_up(
    agent: &mut Agent,
    now: Millis,
    answers: &[Option<Knowledge>],
    age: u64,
) -> Option<Verdict> {
    let mut out = Vec::new();
    let verdict = agent.handle_packet(now, &packet(flow(1), PacketKind::Middle), &mut out);
    assert!(matches!(verdict, Verdict::Hold(_)), "{verdict:?}");
    let asked = out.iter().find_map(|action| match action {
        Action::Send { message: Message::AskAbout { question, .. }, .. } => Some(*question),
        _ => None,
    });
    let question = asked.expect("a question").wrapping_sub(age);
    for (index, answer) in answers.iter().enumerate() {
        let Some(knowledge) = *answer else { continue };
        let flow = FlowId(flow(1));
        let message = Message::Tell { flow, question, knowledge, view: Version(1) };
        agent.handle(now, Event::Message { from: id(index + 1), message }, &mut out);
    }
    agent.handle(now.after(300), Event::Tick, &mut out);
    out.into_iter().find_map(|action| match action {
        Action::Resolve { verdict, .. } => Some(verdict),
        _ => None,
    })
}

/// Packets of an open flow may reach any agent at any time. Each agent must find the holder.
#[rstest]
fn look_up_from_any_agent() {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 5));
    for number in 0..100 {
        let opened = fleet.send(number as usize % 5, flow(number), opening(1));
        for to in 0..5 {
            assert_eq!(fleet.send(to, flow(number), PacketKind::Middle), opened, "{number}");
        }
    }
}

/// All peers deny the flow, but one of them has newer settings, which may list holders that were
/// not asked. The agent must drop the packet and fetch these settings rather than reset the flow.
#[rstest]
fn look_up_newer_settings_at_peer() {
    let mut spec = Spec::new(WhenInDoubt::Admit, 3);
    let mut fleet = Fleet::settled(&spec);
    spec.version = 2;
    fleet.install(1, &spec);
    let outcome = fleet.send(0, flow(1), PacketKind::Middle);
    assert_eq!(outcome, Outcome::Dropped(Reason::HolderSilent));
    assert_eq!(fleet.fetches.first(), Some(&(0, Version(2))));
}

/// A packet for another service, of the same or another client account, must never be delivered.
#[rstest]
#[case::middle(PacketKind::Middle)]
#[case::opening(opening(1))]
fn handle_packet_wrong_service(#[case] kind: PacketKind) {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 2));
    let stray = Packet { service: ServiceId::of("bajio", "fitting"), ..packet(1, kind) };
    assert_eq!(fleet.send_packet(0, stray), Outcome::Dropped(Reason::WrongService));
}

/// A caller has reset its connection and reuses the ports while the first holder is cut off. That
/// holder must not deliver a packet of the new connection, which its upstream would reset. After a
/// reset only packets of a next connection matter, so it asks its peers, and drops the packet if
/// the new holder does not answer.
#[rstest]
#[case::holder_answers(false)]
#[case::holder_unresponsive(true)]
fn look_up_reused_ports_after_reset(#[case] unresponsive: bool) {
    const NEXT_SEQUENCE: u32 = 1 << 31;
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 3));
    let (first, second) = (fleet.ranking(flow(1))[0], fleet.ranking(flow(1))[1]);
    assert_eq!(fleet.send(first, flow(1), opening(1)), Outcome::Delivered(first));
    assert_eq!(fleet.send(first, flow(1), PacketKind::Reset), Outcome::Delivered(first));
    fleet.cut_off = vec![first];
    fleet.advance(5_000);
    let next = |kind| Packet { sequence: NEXT_SEQUENCE, ..packet(flow(1), kind) };
    let Outcome::Delivered(holder) = fleet.send_packet(second, next(opening(NEXT_SEQUENCE))) else {
        panic!("the next connection must open");
    };
    assert_ne!(holder, first);
    fleet.cut_off = if unresponsive { vec![holder] } else { Vec::new() };
    let expected = match unresponsive {
        true => Outcome::Dropped(Reason::HolderSilent),
        false => Outcome::Delivered(holder),
    };
    assert_eq!(fleet.send_packet(first, next(PacketKind::Middle)), expected);
}

/// A restarted agent is asked about a flow that another agent has announced to it. It must name
/// that agent, although it may hold unknown flows itself. The answer `Unsure` would leave the
/// decision to agents that remember an older connection.
#[test]
fn knowledge_announced_flow_in_incomplete_state() {
    let spec = Spec::new(WhenInDoubt::Admit, 4);
    let mut fleet = Fleet::settled(&spec);
    let ranking = fleet.ranking(flow(1));
    fleet.restart(ranking[1], &spec);
    fleet.advance(12_000);
    let Outcome::Delivered(holder) = fleet.send(ranking[0], flow(1), opening(1)) else {
        panic!("the flow must open");
    };
    fleet.advance(1_000);
    assert_ne!(holder, ranking[1]);
    let asked = |fleet: &mut Fleet, number: u64| {
        let message = Message::Ask { flow: FlowId(flow(number)), question: 1 };
        let from = id(ranking[3]);
        let mut out = Vec::new();
        let now = fleet.now;
        fleet.agents[ranking[1]].handle(now, Event::Message { from, message }, &mut out);
        out.into_iter().find_map(|action| match action {
            Action::Send { message: Message::AskReply { knowledge, .. }, .. } => Some(knowledge),
            _ => None,
        })
    };
    assert_eq!(asked(&mut fleet, 1), Some(Knowledge::HeldBy(id(holder))));
    assert_eq!(asked(&mut fleet, 2), Some(Knowledge::Unsure));
}

/// A stray packet of a reset connection starts a lookup at the agent that held it. Before the
/// answers arrive, this agent passes on the next opening on the same ports. The answers name this
/// agent. If they were applied to the new connection, its packets would be reset here.
#[test]
fn look_up_overtaken_by_opening() {
    const NEXT_SEQUENCE: u32 = 1 << 31;
    let mut spec = Spec::new(WhenInDoubt::Admit, 3);
    let mut fleet = Fleet::settled(&spec);
    let home = fleet.ranking(flow(1))[0];
    fleet.restart(home, &spec);
    fleet.advance(70_000);
    assert_eq!(fleet.send(home, flow(1), opening(1)), Outcome::Delivered(home));
    fleet.advance(1_000);
    spec.version = 2;
    spec.states[home] = UpstreamState::Draining;
    (0..3).for_each(|index| fleet.install(index, &spec));
    fleet.advance(12_000);
    assert_eq!(fleet.send(home, flow(1), PacketKind::Reset), Outcome::Delivered(home));
    fleet.arrive(home, packet(flow(1), PacketKind::Middle));
    // The peers answer now, and their answers arrive after the opening.
    for (to, from, message) in std::mem::take(&mut fleet.messages) {
        fleet.handle_event(to, Event::Message { from, message });
    }
    let next = |kind| Packet { sequence: NEXT_SEQUENCE, ..packet(flow(1), kind) };
    fleet.arrive(home, next(opening(NEXT_SEQUENCE)));
    fleet.advance(1_000);
    let holder = fleet.holder(flow(1)).expect("a holder");
    assert_ne!(holder, home);
    assert_eq!(fleet.send_packet(home, next(PacketKind::Middle)), Outcome::Delivered(holder));
}
