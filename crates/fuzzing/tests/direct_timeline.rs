//! Time lines of the direct-return path: recording changes no episode, and the time line of a
//! broken episode shows the flow with which the promise was broken.

use fuzzing::direct::{Change, Mutant, Outcome, Size, Timeline, Violation, play_at, play_recorded};
use rstest::rstest;
use steering::flow::FlowKey;

const LENGTH_MS: u64 = 60_000;
/// Length of the episodes that are played twice.
const SHORT_LENGTH_MS: u64 = 20_000;
const EPISODES: u64 = 40;
/// Port of the first flow of an episode.
const FIRST_PORT: u16 = 1_025;

#[rstest]
#[case::small(Size::SMALL, None, 1..=8)]
#[case::moving(Size::MOVING, None, 1..=8)]
#[case::crowded(Size::CROWDED, None, 1..=4)]
#[case::crowded_moving(Size::CROWDED_MOVING, None, 1..=4)]
#[case::large(Size::LARGE, None, 1..=1)]
#[case::long_answers(Size::LONG_ANSWERS, None, 1..=2)]
#[case::broken(Size::SMALL, Some(Mutant::ResetWithoutProof), 1..=8)]
#[case::never_asked(Size::SMALL, Some(Mutant::NeverAsked), 1..=8)]
#[case::overloaded(Size::OVERLOADED, None, 1..=2)]
fn recording_changes_no_episode(
    #[case] size: Size,
    #[case] mutant: Option<Mutant>,
    #[case] seeds: impl Iterator<Item = u64>,
) {
    for seed in seeds {
        let (recorded, _) = play_recorded(size, seed, SHORT_LENGTH_MS, mutant);
        assert_eq!(recorded, play_at(size, seed, SHORT_LENGTH_MS, mutant), "seed {seed}");
    }
}

/// The first episode whose first violation is of this promise, and the flow that broke it.
fn broken_episode(
    size: Size,
    mutant: Mutant,
    promise: Violation,
) -> Option<(Outcome, Timeline, FlowKey)> {
    let mut episodes =
        (1..=EPISODES).map(|seed| play_recorded(size, seed, LENGTH_MS, Some(mutant)));
    let (outcome, timeline) = episodes.find(|(outcome, _)| {
        outcome.violations.first().is_some_and(|(_, violation)| *violation == promise)
    })?;
    let flow = timeline.broken_flow()?;
    Some((outcome, timeline, flow))
}

#[rstest]
#[case::reset(Size::SMALL, Mutant::ResetWithoutProof, Violation::LivingFlowReset)]
#[case::not_found(Size::SMALL, Mutant::NeverAsked, Violation::FlowNotFound)]
#[case::history_not_learnt(Size::MOVING, Mutant::HistoryNotLearnt, Violation::LivingFlowReset)]
#[case::wrong_service(Size::CROWDED, Mutant::ServiceNotChecked, Violation::WrongService)]
#[case::cold_limit(Size::CROWDED, Mutant::ColdLimitIgnored, Violation::ColdLimitExceeded)]
#[case::passed_over(Size::CROWDED, Mutant::ZoneNeverOpened, Violation::UpstreamPassedOver)]
fn timeline_shows_broken_flow(
    #[case] size: Size,
    #[case] mutant: Mutant,
    #[case] promise: Violation,
) {
    let (outcome, timeline, flow) = broken_episode(size, mutant, promise).unwrap();
    let (broken_ms, _) = outcome.violations[0];
    assert_eq!(timeline.flow_from(flow.caller.port()), Some(flow));

    let lines = timeline.lines(flow);
    let told = format!("VIOLATION {promise:?}: {} > {}", flow.caller, flow.endpoint);
    let time = format!("{broken_ms:>6} ms ");
    assert!(lines.iter().any(|line| line.starts_with(&time) && line.contains(&told)), "{lines:#?}");
    for part in [" caller        sends opening (copy 0) to balancer", ": Placed", "gets opening"] {
        assert!(lines.iter().any(|line| line.contains(part)), "{part}: {lines:#?}");
    }
}

/// A caller whose living flow is reset learns of it, and the line before says which balancer did it
/// and why.
#[test]
fn timeline_shows_reset_and_holder() {
    let promise = Violation::LivingFlowReset;
    let (_, timeline, flow) =
        broken_episode(Size::SMALL, Mutant::ResetWithoutProof, promise).unwrap();
    let lines = timeline.lines(flow);
    let told = format!("VIOLATION {promise:?}: {} > {}", flow.caller, flow.endpoint);
    let broken = lines.iter().position(|line| line.contains(&told)).unwrap();
    assert!(lines[broken].contains("held by upstream"), "{}", lines[broken]);
    let before = &lines[broken - 1];
    assert!(before.contains("balancer") && before.contains("drops"), "{before}");
    assert!(lines[broken..].iter().any(|line| line.contains("gets a reset")), "{lines:#?}");
}

/// Every change since the flow was opened is shown, at its time.
#[test]
fn timeline_shows_changes() {
    let promise = Violation::LivingFlowReset;
    let (outcome, timeline, flow) =
        broken_episode(Size::MOVING, Mutant::ResetWithoutProof, promise).unwrap();
    let (broken_ms, _) = outcome.violations[0];
    let lines = timeline.lines(flow);
    let since_ms = broken_ms.saturating_sub(SHORT_LENGTH_MS);
    let is_shown = |(at_ms, _): &&(u64, Change)| (since_ms..broken_ms).contains(at_ms);
    let played: Vec<_> = outcome.played.iter().filter(is_shown).collect();
    assert!(!played.is_empty());
    for (at_ms, change) in played {
        let line = format!("{at_ms:>6} ms  world         change {change:?}");
        assert!(lines.contains(&line), "{line}: {lines:#?}");
    }
}

/// Every balancer that restarts before the end is shown with the list that it starts with.
#[test]
fn timeline_shows_restarted_balancers() {
    const RESTART_MAX_MS: u64 = 800;
    let mut restarts = 0;
    for seed in 1..=8 {
        let (outcome, timeline) = play_recorded(Size::SMALL, seed, SHORT_LENGTH_MS, None);
        let flows = (FIRST_PORT..).map_while(|port| timeline.flow_from(port));
        let lines = timeline.lines(flows.last().unwrap());
        for (at_ms, change) in outcome.played {
            let Change::RestartBalancer(balancer) = change else { continue };
            if at_ms + RESTART_MAX_MS > SHORT_LENGTH_MS / 2 {
                continue;
            }
            let started = (at_ms..at_ms + RESTART_MAX_MS).any(|start_ms| {
                let line = format!("{start_ms:>6} ms  balancer {balancer}    started; list: ");
                lines.iter().any(|other| other.starts_with(&line))
            });
            assert!(started, "seed {seed}, {change:?} at {at_ms} ms: {lines:#?}");
            restarts += 1;
        }
    }
    assert!(restarts > 0);
}

#[test]
fn flow_from_unknown_port() {
    let (_, timeline) = play_recorded(Size::SMALL, 1, 1_000, None);
    assert_eq!(timeline.flow_from(FIRST_PORT - 1), None);
}
