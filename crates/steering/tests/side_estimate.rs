//! The load that an agent states in its reports.

mod common;

use common::agent::{answer, metadata, open_flow, opening_answer};
use common::{SERVICE, data, opening};
use rstest::rstest;
use steering::flow::Millis;
use steering::policy::Policy;
use steering::side::{AgentCore, ForwardMetadata, LoadEstimate, Report};

const SERVICE_TIME_MS: Millis = 34;
/// When callers have given up a request that arrived within the first 100 ms: they wait six SLOs of
/// 200 ms.
const ABANDONED_MS: Millis = 1_300;

fn new_agent(delay_placement: bool) -> AgentCore {
    AgentCore::with_policy(SERVICE, Policy { delay_placement, ..Policy::default() })
}

fn wants_report() -> ForwardMetadata {
    ForwardMetadata { wants_report: true, ..metadata(1) }
}

/// The report on the answer to the opening of a new flow.
fn report(agent: &mut AgentCore, now_ms: Millis, number: u16) -> Report {
    agent.on_packet(now_ms, &opening(number, 0), &[], wants_report());
    agent.on_answer(now_ms, opening_answer(number)).report.expect("a report was asked for")
}

/// Sends this many requests at 40 ms, of which two go to the upstream, after one was answered.
fn load(agent: &mut AgentCore, requests: u16) {
    open_flow(agent, 0, 1);
    agent.on_packet(0, &data(1, 5), &[1], metadata(1));
    agent.on_answer(SERVICE_TIME_MS, answer(1));
    for number in 2..2 + requests {
        open_flow(agent, 40, number);
        agent.on_packet(40, &data(number, 5), &[number as u8], metadata(1));
    }
}

/// The number of requests in progress is limited by the slots. If a report stated nothing else, a
/// balancer could not tell an upstream with a long queue from one that is merely busy.
#[rstest]
#[case::idle(0, 0, 0)]
#[case::busy(2, 2, 0)]
#[case::queue(9, 2, 7)]
fn report_states_queue_and_service_time(
    #[case] requests: u16,
    #[case] busy: u8,
    #[case] queued: u16,
) {
    let mut agent = new_agent(true);
    load(&mut agent, requests);
    let reported = report(&mut agent, 50, 100);
    let estimate = LoadEstimate { queued, service_time_ms: SERVICE_TIME_MS as u16 };
    assert_eq!((reported.busy, reported.load), (busy, Some(estimate)));
}

/// Flows would be kept away from an upstream by requests that no caller waits for any more.
#[test]
fn abandoned_requests_are_not_stated_as_queued() {
    let mut agent = new_agent(true);
    load(&mut agent, 9);
    let queued = |agent: &mut AgentCore, now_ms, number| {
        report(agent, now_ms, number).load.map(|estimate| estimate.queued)
    };
    assert_eq!(queued(&mut agent, 1_100, 100), Some(7));
    assert_eq!(queued(&mut agent, ABANDONED_MS, 101), Some(0));
}

/// An agent that has just started knows no service time. A balancer must not take that for an
/// infinitely fast upstream.
#[test]
fn service_time_is_zero_until_the_first_answer() {
    let mut agent = new_agent(true);
    assert_eq!(report(&mut agent, 0, 1).load, Some(LoadEstimate::default()));
    agent.on_packet(0, &data(1, 5), &[1], metadata(1));
    agent.on_answer(0, answer(1));
    let estimate = report(&mut agent, 1, 2).load.expect("the mechanism is on");
    assert_eq!(estimate.service_time_ms, 1, "a measured time is at least 1 ms");
}

/// A flow that is known to be held is reported at once, with the same estimate.
#[test]
fn report_at_once_states_the_load() {
    let mut agent = new_agent(true);
    load(&mut agent, 9);
    let outcome = agent.on_packet(60, &data(2, 105), &[9], wants_report());
    let load = outcome.report.and_then(|report| report.load);
    assert_eq!(load.map(|estimate| estimate.queued), Some(7));
}

/// Deployments without the mechanism get the same reports as before.
#[test]
fn reports_state_no_load_without_the_mechanism() {
    let mut agent = new_agent(false);
    load(&mut agent, 9);
    assert_eq!(report(&mut agent, 50, 100).load, None);
}
