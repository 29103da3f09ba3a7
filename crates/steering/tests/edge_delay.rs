//! Which upstream a balancer places a new flow at, by what it knows of their delays.

mod common;

use std::cmp::Reverse;
use std::net::Ipv4Addr;

use common::{READY, all_ready_view, flow, opening, packet, target, verdict, view_of};
use rstest::rstest;
use steering::edge::{Action, Edge, Verdict};
use steering::flow::Millis;
use steering::policy::Policy;
use steering::rank;
use steering::side::LoadEstimate;
use steering::view::{Standing, Upstream, View, ZoneStamp};

const SLOTS: u32 = 2;
const HERE: ZoneStamp = ZoneStamp(0);
const ELSEWHERE: ZoneStamp = ZoneStamp(7);
/// Requests in progress at an upstream whose slots are full.
const FULL: u8 = 3;
const SERVICE_TIME_TTL_MS: Millis = 10_000;
const REPORT_TTL_MS: Millis = 500;

/// An agent's report.
#[derive(Clone, Copy, Debug)]
struct Told {
    at_ms: Millis,
    busy: u8,
    load: Option<LoadEstimate>,
}

/// A report of this many requests in progress and queued, and of a service time.
const fn told(busy: u8, queued: u16, service_time_ms: u16) -> Told {
    Told { at_ms: 0, busy, load: Some(LoadEstimate { queued, service_time_ms }) }
}

const fn old_agent(busy: u8) -> Told {
    Told { at_ms: 0, busy, load: None }
}

fn policy(delay_placement: bool) -> Policy {
    Policy { delay_placement, ..Policy::default() }
}

fn delay_edge() -> Edge {
    Edge::with_policy(policy(true)).in_zone(HERE)
}

/// The view with each upstream changed by its index.
fn changed(view: &View, change: impl Fn(usize, &mut Upstream)) -> View {
    let mut upstreams = view.upstreams().to_vec();
    upstreams.iter_mut().enumerate().for_each(|(index, upstream)| {
        upstream.slots = SLOTS;
        change(index, upstream);
    });
    View::new(view.routes.clone(), upstreams)
}

fn ready_view(count: usize) -> View {
    changed(&view_of(&vec![READY; count]), |_, _| {})
}

/// Passes a report to the balancer, on a flow that is not used otherwise.
fn tell(edge: &mut Edge, view: &View, index: usize, Told { at_ms, busy, load }: Told) {
    let held = Verdict::Held { busy, opening_sequence: Some(1_000), load };
    let number = 60_000 + index as u16;
    verdict(edge, at_ms, view, view.upstreams()[index].address, held, &opening(number, 0));
}

fn place(edge: &mut Edge, now_ms: Millis, view: &View, number: u16) -> Ipv4Addr {
    target(&packet(edge, now_ms, view, &opening(number, 0))[0]).expect("the opening is placed")
}

/// Indices of the upstreams at which each of many balancers with the same reports places one flow.
fn placed(view: &View, now_ms: Millis, reports: &[(usize, Told)]) -> Vec<usize> {
    let mut indices: Vec<usize> = (1..60)
        .map(|number| {
            let mut edge = delay_edge();
            reports.iter().for_each(|(index, told)| tell(&mut edge, view, *index, *told));
            let to = place(&mut edge, now_ms, view, number);
            view.upstreams().iter().position(|upstream| upstream.address == to).unwrap()
        })
        .collect();
    indices.sort_unstable();
    indices.dedup();
    indices
}

fn placed_after(reports: &[Told]) -> Vec<usize> {
    let numbered: Vec<(usize, Told)> = reports.iter().copied().enumerate().collect();
    placed(&ready_view(reports.len()), 10, &numbered)
}

/// A caller waited in a long queue, or at a slow upstream, although another upstream would have
/// answered sooner.
#[rstest]
#[case::faster(&[told(2, 0, 20), told(2, 0, 60)], &[0])]
#[case::shorter_queue(&[told(FULL, 10, 20), told(FULL, 0, 20)], &[1])]
#[case::fast_with_longer_queue(&[told(FULL, 4, 14), told(FULL, 2, 34)], &[0])]
#[case::fast_with_much_longer_queue(&[told(FULL, 20, 14), told(FULL, 2, 34)], &[1])]
#[case::free_slot_counts_as_no_request_ahead(&[told(1, 0, 20), told(0, 0, 20)], &[0, 1])]
#[case::smaller_fraction(&[told(2, 0, 20), told(1, 0, 20)], &[1])]
#[case::no_service_time_counts_as_the_median(
    &[told(1, 0, 0), told(1, 0, 30), told(1, 0, 90)], &[0, 1])]
#[case::no_service_time_is_not_infinitely_fast(&[told(2, 0, 0), told(1, 0, 30)], &[1])]
#[case::no_service_time_at_all(&[told(FULL, 9, 0), told(FULL, 2, 0)], &[1])]
#[case::old_agents_state_only_requests_in_progress(&[old_agent(FULL), old_agent(1)], &[1])]
#[case::old_agent_beside_a_new_one(&[old_agent(FULL), told(FULL, 8, 20)], &[0])]
#[case::largest_values(&[told(255, u16::MAX, u16::MAX), told(255, u16::MAX, 65_000)], &[1])]
fn flow_goes_where_it_is_answered_soonest(#[case] reports: &[Told], #[case] expected: &[usize]) {
    assert_eq!(placed_after(reports), expected);
}

/// Bodies crossed availability zones for differences that no caller notices; or, the other way
/// round, callers waited in their own zone while another would have answered much sooner. Steps
/// are an eighth of the SLO of 200 ms.
#[rstest]
#[case::within_a_step(told(2, 0, 10), told(2, 0, 15), &[1])]
#[case::more_than_a_step(told(2, 0, 10), told(2, 0, 20), &[0])]
#[case::equal(told(2, 0, 10), told(2, 0, 10), &[1])]
fn own_zone_goes_first_within_a_step(
    #[case] elsewhere: Told,
    #[case] here: Told,
    #[case] expected: &[usize],
) {
    let view = changed(&ready_view(2), |index, upstream| {
        upstream.zone = if index == 0 { ELSEWHERE } else { HERE };
    });
    assert_eq!(placed(&view, 10, &[(0, elsewhere), (1, here)]), expected);
}

/// An upstream from which no report arrived lately got either all flows, as if it were idle, or
/// none.
#[rstest]
#[case::not_taken_for_full(&[(1, told(FULL, 40, 20)), (2, told(0, 0, 20))], &[0])]
#[case::not_taken_for_idle(&[(1, told(FULL, 4, 20)), (2, told(FULL, 30, 20))], &[1])]
#[case::nothing_known(&[], &[0, 1])]
fn unknown_upstream_counts_as_the_mean(
    #[case] reports: &[(usize, Told)],
    #[case] expected: &[usize],
) {
    // The third upstream takes no flows, but its report counts.
    let view = changed(&ready_view(3), |index, upstream| {
        upstream.standing = if index == 2 { Standing::Draining } else { READY };
    });
    assert_eq!(placed(&view, 10, reports), expected);
}

/// A slow upstream whose report has expired is not taken to have as many requests as fast ones have:
/// it would never be chosen under load, and would never report again.
#[test]
fn slow_unknown_upstream_counts_with_the_mean_work() {
    let now_ms = REPORT_TTL_MS + 50;
    let slow = told(FULL, 1, 40);
    let later = |told: Told| Told { at_ms: now_ms, ..told };
    let reports = [(0, slow), (1, later(told(FULL, 17, 20))), (2, later(told(FULL, 7, 20)))];
    let view = changed(&ready_view(3), |index, upstream| {
        upstream.standing = if index == 2 { Standing::Draining } else { READY };
    });
    assert_eq!(placed(&view, now_ms, &reports), [0]);
}

/// Counts of requests change within 50 ms, and an old one misleads; service times change slowly,
/// and most upstreams report less than once in 500 ms.
#[rstest]
#[case::counts_are_fresh(REPORT_TTL_MS - 1, &[1])]
#[case::counts_have_expired(REPORT_TTL_MS, &[0])]
#[case::service_times_are_known(SERVICE_TIME_TTL_MS - 1, &[0])]
#[case::service_times_have_expired(SERVICE_TIME_TTL_MS, &[0, 1])]
fn counts_expire_before_service_times(#[case] now_ms: Millis, #[case] expected: &[usize]) {
    let reports = [(0, told(FULL, 30, 14)), (1, told(1, 0, 34))];
    assert_eq!(placed(&ready_view(2), now_ms, &reports), expected);
}

/// A report without a service time comes from an agent that has just restarted. Its upstream is as
/// fast as before.
#[rstest]
#[case::agent_restarted(told(1, 0, 0))]
#[case::agent_was_replaced_by_an_old_one(old_agent(1))]
fn service_time_outlives_a_restart_of_the_agent(#[case] restarted: Told) {
    let reports = [(0, told(1, 0, 60)), (1, told(1, 0, 20)), (0, restarted)];
    assert_eq!(placed(&ready_view(2), 10, &reports), [1]);
}

/// What was reported about the previous incarnation of an upstream says nothing about the new one.
#[test]
fn restarted_upstream_is_unknown() {
    let (view, mut edge) = (ready_view(2), delay_edge());
    tell(&mut edge, &view, 0, told(FULL, 40, 90));
    tell(&mut edge, &view, 1, told(FULL, 0, 20));
    let restarted = changed(&view, |index, upstream| upstream.born_ms = [9, 0][index]);
    let targets: Vec<Ipv4Addr> =
        (1..20).map(|number| place(&mut edge, 10, &restarted, number)).collect();
    assert!(targets.contains(&view.upstreams()[0].address));
}

/// A cold upstream needs about 1.5 times as long as its service time says, unless it was measured
/// while the upstream was cold. Otherwise it would get too many flows, or would be counted as slow
/// twice.
#[rstest]
#[case::measured_while_cold(true, 38, &[0])]
#[case::measured_while_warm(false, 38, &[1])]
#[case::much_faster_even_while_cold(false, 20, &[0])]
#[case::not_measured(false, 0, &[1])]
fn cold_upstream_is_slower(
    #[case] cold_when_told: bool,
    #[case] service_time_ms: u16,
    #[case] expected: &[usize],
) {
    let warm_at_ms = |at_ms| {
        move |index, upstream: &mut Upstream| {
            upstream.warm_at_ms = if index == 0 { at_ms } else { 0 };
        }
    };
    let cold = changed(&ready_view(2), warm_at_ms(5_000));
    let told_view = changed(&ready_view(2), warm_at_ms(if cold_when_told { 5_000 } else { 0 }));
    let mut edge = delay_edge();
    tell(&mut edge, &told_view, 0, told(1, 0, service_time_ms));
    tell(&mut edge, &told_view, 1, told(1, 0, 40));
    let to = place(&mut edge, 10, &cold, 1);
    assert_eq!(expected, [cold.upstreams().iter().position(|at| at.address == to).unwrap()]);
}

/// A balancer must not send all flows to one upstream between two of its reports.
#[test]
fn placements_since_the_report_count() {
    let (view, mut edge) = (ready_view(2), delay_edge());
    tell(&mut edge, &view, 0, told(2, 0, 20));
    tell(&mut edge, &view, 1, told(2, 4, 20));
    let first = view.upstreams()[0].address;
    let targets: Vec<bool> =
        (1..=12).map(|number| place(&mut edge, 10, &view, number) == first).collect();
    assert_eq!(targets[..4], [true; 4], "four more are as many as at the other upstream");
    assert_eq!(targets[4..].iter().filter(|to_first| **to_first).count(), 4);
}

/// Addresses of the upstreams in the order in which a balancer without an entry asks them.
fn ranked(view: &View, number: u16) -> Vec<Ipv4Addr> {
    let mut addresses: Vec<Ipv4Addr> =
        view.upstreams().iter().map(|upstream| upstream.address).collect();
    addresses.sort_by_key(|address| Reverse(rank::score(flow(number), *address)));
    addresses
}

/// Callers at three overloaded upstreams failed while the next ranks were idle. Beyond the sixth
/// rank, searches for the flow would take too long; while the first three ranks are in time, it
/// must be found at one of them.
#[rstest]
#[case::first_three_in_time(told(FULL, 15, 20), 0..3, 0)]
#[case::first_three_too_late(told(FULL, 30, 20), 3..6, 1)]
fn further_ranks_are_compared_if_the_first_are_too_late(
    #[case] load: Told,
    #[case] expected: std::ops::Range<usize>,
    #[case] beyond: u64,
) {
    let view = ready_view(9);
    for number in 1..60 {
        let (mut edge, ranked) = (delay_edge(), ranked(&view, number));
        for (index, upstream) in view.upstreams().iter().enumerate() {
            let rank = ranked.iter().position(|address| *address == upstream.address).unwrap();
            let idle = if rank >= 6 { told(0, 0, 1) } else { told(0, 0, 20) };
            tell(&mut edge, &view, index, if rank < 3 { load } else { idle });
        }
        let to = place(&mut edge, 10, &view, number);
        let rank = ranked.iter().position(|address| *address == to).unwrap();
        assert!(expected.contains(&rank), "flow {number} at rank {rank}");
        assert_eq!(edge.counters().placed_beyond_ranks, beyond);
    }
}

/// An operator sees whether a balancer knows that upstreams differ in speed.
#[test]
fn range_of_service_times_is_known() {
    let (view, mut edge) = (ready_view(3), delay_edge());
    assert_eq!(edge.service_time_range_ms(0), None);
    [14, 34, 20].iter().enumerate().for_each(|(index, time_ms)| {
        tell(&mut edge, &view, index, told(1, 0, *time_ms));
    });
    place(&mut edge, 10, &view, 1);
    assert_eq!(edge.service_time_range_ms(20), Some((14, 34)));
    assert_eq!(edge.service_time_range_ms(20 + SERVICE_TIME_TTL_MS), None);
}

/// Deployments that do not ask for the mechanism are served as before, whatever agents state: the
/// least requests in progress and placed among the first three ranks, then the own zone, then the
/// rank.
#[rstest]
#[case::no_mechanism(policy(false))]
#[case::loads_are_not_compared(Policy { load: false, ..policy(true) })]
fn placement_without_the_mechanism_is_as_before(#[case] policy: Policy) {
    let view = changed(&all_ready_view(), |index, upstream| {
        upstream.zone = if index % 2 == 0 { HERE } else { ELSEWHERE };
    });
    let mut edge = Edge::with_policy(policy).in_zone(HERE);
    let mut loads = vec![0; view.upstreams().len()];
    let mut state = 7_u64;
    let mut random = |below: u64| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (state >> 33) % below
    };
    for number in 1..2_000 {
        let now_ms = Millis::from(number) / 10;
        let index = random(5) as usize;
        let (busy, queued, time_ms) = (random(4) as u8, random(300) as u16, random(100) as u16);
        tell(&mut edge, &view, index, Told { at_ms: now_ms, ..told(busy, queued, time_ms) });
        loads[index] = u32::from(busy);
        let ranked = ranked(&view, number);
        let position = |address: &Ipv4Addr| {
            view.upstreams().iter().position(|upstream| upstream.address == *address).unwrap()
        };
        let expected = ranked.iter().take(3).map(position).min_by_key(|index| {
            (if policy.load { loads[*index] } else { 0 }, view.upstreams()[*index].zone != HERE)
        });
        let to = position(&place(&mut edge, now_ms, &view, number));
        assert_eq!(Some(to), expected, "flow {number}");
        loads[to] += 1;
    }
}

/// An opening goes on to another upstream after a denial, with the mechanism as without it.
#[test]
fn denied_opening_goes_to_another_upstream() {
    let (view, mut edge) = (ready_view(3), delay_edge());
    let first = place(&mut edge, 0, &view, 1);
    let actions = verdict(&mut edge, 1, &view, first, Verdict::Denied, &opening(1, 0));
    assert!(matches!(actions[..], [Action::Forward { to, .. }] if to.address != first));
}
