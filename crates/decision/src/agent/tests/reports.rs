//! What agents report to the balancers about one another.

use super::*;

/// Reports about agent `about` as (reporter, up), without repetitions by the same reporter.
fn reports_about(fleet: &Fleet, about: usize) -> Vec<(usize, bool)> {
    let mut seen: Vec<(usize, bool)> = Vec::new();
    for (reporter, member) in &fleet.reports {
        let entry = (*reporter, member.up);
        if member.upstream == id(about) && !seen.contains(&entry) {
            seen.push(entry);
        }
    }
    seen.sort_unstable();
    seen
}

/// Highest beat in the reports about agent 2 by `reporter`.
fn last_beat(fleet: &Fleet, reporter: usize, up: bool) -> Option<u64> {
    let reports = fleet.reports.iter().filter(|(at, _)| *at == reporter).map(|(_, member)| member);
    let about = reports.filter(|member| member.upstream == id(2) && member.up == up);
    about.map(|member| member.beat).max()
}

/// An agent crashes. Each peer must report it down after three missed heartbeats, or callers of
/// flows whose home it was would wait until the instance list is updated. Once it is back, its
/// later heartbeat must refute these reports, in whatever order they arrive.
#[test]
fn suspect_dead_agent_until_back() {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 3));
    fleet.cut_off = vec![2];
    fleet.advance(5_000);
    assert!(reports_about(&fleet, 2).contains(&(0, false)));
    assert!(reports_about(&fleet, 2).contains(&(1, false)));
    let down_at = last_beat(&fleet, 0, false);
    assert_eq!(last_beat(&fleet, 0, true), None);
    fleet.cut_off.clear();
    fleet.advance(5_000);
    assert!(last_beat(&fleet, 0, true) > down_at);
}

/// A partition separates an agent from its peers, but not from the balancers on its side. Its peers
/// report it down. It must report itself up with a later beat, so that packets of its open flows
/// still reach it.
#[test]
fn report_self_when_cut_off() {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 3));
    fleet.cut_off = vec![2];
    fleet.advance(5_000);
    assert!(reports_about(&fleet, 2).contains(&(2, true)));
}

/// While all agents respond, none may send reports, so that membership costs no bytes then.
#[test]
fn suspect_none_while_all_respond() {
    let mut fleet = Fleet::settled(&Spec::new(WhenInDoubt::Admit, 3));
    fleet.advance(30_000);
    assert_eq!(fleet.reports, []);
}
