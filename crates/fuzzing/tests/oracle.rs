//! Tests of the oracle: which events it accepts, and which it reports as a violated promise.

use fuzzing::oracle::{DRAIN_MS, Observation, Oracle, Promise, Request};
use rstest::rstest;

const ONE: Request = Request { service: 0, caller: 1, nonce: 1 };
const ADMIT: Promise = Promise { at_most_once: false, datagram: false };
const REFUSE: Promise = Promise { at_most_once: true, datagram: true };
const REFUSE_TCP: Promise = Promise { at_most_once: true, datagram: false };

const fn ran(promise: Promise, upstream: u64) -> Observation {
    Observation::Ran { request: ONE, promise, upstream, agent: 10 + upstream, assigned: false }
}

const fn assigned(promise: Promise, upstream: u64) -> Observation {
    Observation::Ran { request: ONE, promise, upstream, agent: 10 + upstream, assigned: true }
}

const ESTABLISHED: Observation = Observation::Established { request: ONE, upstream: 1 };
const BROKEN: Observation = Observation::Broken { request: ONE, upstream: 1 };
const DIED: Observation = Observation::UpstreamDied { upstream: 1 };
const CLOSED: Observation = Observation::Closed { request: ONE };
const REFUSED: Observation = Observation::Refused { request: ONE, promise: REFUSE };
const DRAIN_LEARNED: Observation = Observation::Told { agent: 11, leaving: true };
const DRAIN_CANCELLED: Observation = Observation::Told { agent: 11, leaving: false };

/// Observes all events but the last at time zero, and the last one at `late_ms`.
fn check(seen: &[Observation], late_ms: u64, expected: Option<&str>) {
    let mut oracle = Oracle::default();
    let (last, before) = seen.split_last().expect("something is seen");
    for seen in before {
        assert_eq!(oracle.observe(0, *seen), Ok(()));
    }
    let promise = oracle.observe(late_ms, *last).err().map(|violation| violation.promise);
    assert_eq!(promise.map(|promise| &promise[..1]), expected);
}

#[rstest]
#[case::own_service(&[Observation::Delivered { meant: 0, reached: 0 }], None)]
#[case::other_service(&[Observation::Delivered { meant: 0, reached: 1 }], Some("2"))]
#[case::open_flow_cut(&[ran(ADMIT, 1), ESTABLISHED, BROKEN], Some("1"))]
#[case::open_flow_cut_under_fault(
    &[Observation::Fault, ran(ADMIT, 1), ESTABLISHED, BROKEN],
    Some("1")
)]
#[case::cut_with_its_upstream(&[ran(ADMIT, 1), ESTABLISHED, DIED, BROKEN], None)]
#[case::cut_in_handshake(&[ran(ADMIT, 1), BROKEN], Some("1"))]
#[case::cut_in_handshake_under_fault(&[Observation::Fault, ran(ADMIT, 1), BROKEN], None)]
#[case::cut_after_close(&[Observation::Fault, ran(ADMIT, 1), ESTABLISHED, CLOSED, BROKEN], None)]
#[case::split_without_fault(&[ran(ADMIT, 1), ran(ADMIT, 2)], Some("1"))]
#[case::split_under_fault(
    &[Observation::Fault, ran(ADMIT, 1), ran(ADMIT, 2), ESTABLISHED, BROKEN],
    None
)]
#[case::copy_after_handshake(
    &[Observation::Fault, ran(ADMIT, 1), ESTABLISHED, ran(ADMIT, 2), BROKEN],
    Some("1")
)]
#[case::reopened_after_death(&[Observation::Fault, ran(ADMIT, 1), DIED, ran(ADMIT, 2)], None)]
#[case::twice_at_one_upstream(&[ran(REFUSE, 1), ran(REFUSE, 1)], Some("3"))]
#[case::twice_at_two(&[Observation::Fault, ran(REFUSE, 1), ran(REFUSE, 2)], Some("3"))]
#[case::twice_over_two_incarnations(
    &[Observation::Fault, ran(REFUSE, 1), DIED, ran(REFUSE, 2)],
    Some("3")
)]
#[case::handshake_renewed(&[ran(REFUSE_TCP, 1), ran(REFUSE_TCP, 1)], None)]
#[case::run_again_after_accepted(&[ran(REFUSE_TCP, 1), ESTABLISHED, ran(REFUSE_TCP, 1)], Some("3"))]
#[case::handshake_at_two(&[Observation::Fault, ran(REFUSE_TCP, 1), ran(REFUSE_TCP, 2)], Some("3"))]
#[case::refused_after_run(&[ran(REFUSE, 1), REFUSED], Some("4"))]
#[case::run_after_refused(&[REFUSED, ran(REFUSE, 1)], Some("4"))]
#[case::refused_twice(&[REFUSED, REFUSED], None)]
#[case::view_forward(&[view(1, 3), view(1, 3), view(1, 4)], None)]
#[case::view_back(&[view(1, 3), view(1, 2)], Some("7"))]
#[case::view_of_other_incarnation(&[view(1, 3), view(2, 2)], None)]
#[case::more_flows_than_begun(&[tables(3, 2, 0)], Some("8"))]
#[case::too_many_held(&[tables(0, 0, 1 << 20)], Some("8"))]
#[case::tables_within_bounds(&[tables(2, 2, 1)], None)]
#[case::stuck(&[ran(ADMIT, 1), ESTABLISHED, Observation::Stuck { request: ONE }], Some("1"))]
fn immediate_verdict(#[case] seen: &[Observation], #[case] expected: Option<&str>) {
    check(seen, 0, expected);
}

#[rstest]
#[case::within_limit(&[DRAIN_LEARNED, ran(ADMIT, 1)], DRAIN_MS, None)]
#[case::after_limit(&[DRAIN_LEARNED, ran(ADMIT, 1)], DRAIN_MS + 1, Some("5"))]
#[case::after_limit_elsewhere(&[DRAIN_LEARNED, ran(ADMIT, 2)], DRAIN_MS + 1, None)]
#[case::after_limit_assigned(&[DRAIN_LEARNED, assigned(ADMIT, 1)], DRAIN_MS + 1, Some("5"))]
#[case::after_limit_by_recorded_claim(&[DRAIN_LEARNED, assigned(REFUSE, 1)], DRAIN_MS + 1, None)]
#[case::drain_cancelled(&[DRAIN_LEARNED, DRAIN_CANCELLED, ran(ADMIT, 1)], DRAIN_MS + 1, None)]
fn verdict_on_draining_upstream(
    #[case] seen: &[Observation],
    #[case] late_ms: u64,
    #[case] expected: Option<&str>,
) {
    check(seen, late_ms, expected);
}

const fn view(agent: u64, version: u64) -> Observation {
    Observation::InForce { agent, version }
}

const fn tables(flows: usize, flows_begun: usize, held: usize) -> Observation {
    Observation::Tables { agent: 1, flows, flows_begun, held }
}
