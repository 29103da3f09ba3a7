//! Documents that the lab generates pass the product's own checks, and targets of scenarios exist.

use rstest::rstest;
use settings::{process, root};

use super::documents::{self, Secrets};
use super::fleet::{Fleet, Published};
use super::scenario::{SCENARIOS, Step, Target};
use super::topology::{ACCOUNTS, Net};

fn fleet() -> (Net, Fleet) {
    let net = Net::new(20);
    (net, Fleet::new(net))
}

#[rstest]
#[case::cascadia(0, 11)]
#[case::bajio(1, 10)]
fn account_passes_checks(#[case] account: usize, #[case] upstreams: usize) {
    let (net, mut fleet) = fleet();
    let root = root::parse(&documents::root(&fleet)).unwrap();
    let name = ACCOUNTS[account].name;
    let first = settings::account::parse(&documents::account(&fleet, account), &root, name);
    let first = first.unwrap();
    assert_eq!(
        first.services.iter().map(|service| service.upstreams.len()).sum::<usize>(),
        upstreams
    );

    fleet.versions[account] += 1;
    fleet.add_upstream(net, account, 0, Published::Active);
    fleet.versions[account] += 1;
    let old = fleet.upstreams.iter().position(|row| row.account == account).unwrap();
    fleet.upstreams[old].published = Published::Draining;
    let yaml = documents::account(&fleet, account);
    let second = settings::account::parse_next(&yaml, Some(&root), name, &first).unwrap();

    fleet.versions[account] += 1;
    fleet.upstreams[old].published = Published::Retired;
    fleet.upstreams[old].retired_version = fleet.versions[account];
    let yaml = documents::account(&fleet, account);
    settings::account::parse_next(&yaml, Some(&root), name, &second).unwrap();
}

#[test]
fn process_settings_pass_checks() {
    let (net, fleet) = fleet();
    let secrets = Secrets::new(7);
    for row in &fleet.balancers {
        process::balancer::parse(&documents::balancer(net, &fleet, row, &secrets)).unwrap();
    }
    for row in &fleet.upstreams {
        process::agent::parse(&documents::agent(net, &fleet, row, &secrets)).unwrap();
    }
}

#[test]
fn targets_of_all_scenarios_exist() {
    let (_, fleet) = fleet();
    let phases = SCENARIOS.iter().flat_map(|scenario| scenario.phases);
    let steps = phases.flat_map(|phase| phase.tracks).flat_map(|track| track.iter());
    for target in steps.filter_map(target) {
        for seed in 0..20 {
            let row = &fleet.upstreams[fleet.resolve(target, seed)];
            assert_eq!(row.service_plan().name, target.service);
        }
    }
}

#[test]
fn slots_of_a_service_are_different_upstreams() {
    let (_, fleet) = fleet();
    for seed in 0..20 {
        let slots = (0..7).map(|slot| fleet.resolve(Target { service: "shelf", slot }, seed));
        let mut rows: Vec<_> = slots.collect();
        rows.sort_unstable();
        rows.dedup();
        assert_eq!(rows.len(), 7);
    }
}

fn target(step: &Step) -> Option<Target> {
    match *step {
        Step::RestartAgent(target)
        | Step::ReplaceUpstream(target)
        | Step::DrainBySignal(target, _)
        | Step::Shed(target, _)
        | Step::FreezeStatus(target, _)
        | Step::KillAgent(target, _)
        | Step::PauseAgent(target, _)
        | Step::KillUpstream(target, _) => Some(target),
        _ => None,
    }
}
