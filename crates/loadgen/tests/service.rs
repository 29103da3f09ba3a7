//! Assumptions behind the measured cost of an agent: every opening is admitted exactly once, and
//! equal runs have equal cost.

use decision::view::WhenInDoubt;
use loadgen::cost::{SimulatedService, Usage};
use rstest::rstest;

/// Opens flows at a new service and returns what its agents use in the next ten seconds.
fn usage_after_opening(agents: usize, when_in_doubt: WhenInDoubt, flows: u64) -> Usage {
    let mut service = SimulatedService::new(agents, when_in_doubt);
    (0..flows).for_each(|number| service.open_flow(number));
    service.run(10_000);
    service.take_usage()
}

#[rstest]
#[case::admit_alone(1, WhenInDoubt::Admit, 50)]
#[case::admit_of_six(6, WhenInDoubt::Admit, 50)]
#[case::refuse_of_six(6, WhenInDoubt::Refuse, 50)]
fn each_opening_is_admitted_once(
    #[case] agents: usize,
    #[case] when_in_doubt: WhenInDoubt,
    #[case] flows: u64,
) {
    assert_eq!(usage_after_opening(agents, when_in_doubt, flows).admitted, flows);
}

#[rstest]
#[case::admit(WhenInDoubt::Admit)]
#[case::refuse(WhenInDoubt::Refuse)]
fn equal_runs_have_equal_cost(#[case] when_in_doubt: WhenInDoubt) {
    let counts = |usage: Usage| (usage.bytes, usage.messages, usage.peak_bytes);
    assert_eq!(
        counts(usage_after_opening(4, when_in_doubt, 20)),
        counts(usage_after_opening(4, when_in_doubt, 20))
    );
}

#[test]
fn refuse_sends_a_claim_to_every_peer() {
    // A claim and its answer for each of five peers, each counted at sender and receiver.
    let extra = usage_after_opening(6, WhenInDoubt::Refuse, 100).messages
        - usage_after_opening(6, WhenInDoubt::Admit, 100).messages;
    assert_eq!(extra, 100 * 5 * 2 * 2);
}

#[test]
fn restarted_agent_recovers_all_flows() {
    let mut service = SimulatedService::new(3, WhenInDoubt::Admit);
    (0..300).for_each(|number| service.open_flow(number));
    service.run(10_000);
    let before = service.agents()[0].open_flows();
    service.restart(0);
    assert_eq!(service.agents()[0].open_flows(), 0);
    service.run_until(10_000, |it| it.agents()[0].open_flows() >= before);
    assert_eq!(service.agents()[0].open_flows(), before);
}
