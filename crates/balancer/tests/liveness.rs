//! Tests of the agents that a balancer passes over because of the instance list.

use balancer::liveness::Liveness;
use decision::keys::{UpstreamId, Version};
use decision::view::{
    self, AccountSpec, ServiceSpec, UpstreamSpec, UpstreamState, View, WhenInDoubt,
};
use rstest::rstest;
use shell::settings_sync::instances::{Instance, Kind, State};

fn instance(upstream: &str, state: State) -> Instance {
    Instance {
        name: upstream.into(),
        kind: Kind::Agent,
        account: Some("cascadia".into()),
        service: Some("shelf".into()),
        upstream: Some(upstream.into()),
        data_address: ([127, 0, 0, 1], 1).into(),
        control_address: ([127, 0, 0, 1], 2).into(),
        zone: "pnw-a".into(),
        region: "pnw".into(),
        state,
    }
}

fn view() -> View {
    let upstream = |name: &str| UpstreamSpec {
        name: name.into(),
        zone: "pnw-a".into(),
        weight: 100,
        max_flows: 10,
        agent_address: ([127, 0, 0, 1], 1).into(),
        control_address: ([127, 0, 0, 1], 2).into(),
        address: ([127, 0, 0, 1], 3).into(),
        state: UpstreamState::Active,
        since: Version(1),
        retired: None,
    };
    let service = ServiceSpec {
        name: "shelf".into(),
        endpoints: vec![],
        when_in_doubt: WhenInDoubt::Admit,
        zone_spill_percent: 25,
        upstreams: vec![upstream("a"), upstream("b")],
    };
    let account =
        AccountSpec { name: "cascadia".into(), version: Version(1), services: vec![service] };
    view::build(&[account])
}

/// `lists` arrive one after the other, each with the names of its live agents. `expected` are the
/// agents presumed down after the last one.
#[rstest]
#[case::no_list(&[], &[])]
#[case::never_listed(&["a"], &[])]
#[case::delisted(&["a b", "a"], &["b"])]
#[case::listed_again(&["a b", "a", "a b"], &[])]
#[case::empty_list(&["a b", ""], &[])]
#[case::not_in_settings(&["a c", "a"], &[])]
fn down_after_lists(#[case] lists: &[&str], #[case] expected: &[&str]) {
    let (mut liveness, mut down) = (Liveness::default(), vec![]);
    for list in lists {
        let list: Vec<Instance> =
            list.split_whitespace().map(|name| instance(name, State::Live)).collect();
        down = liveness.down(&view(), &list);
    }
    let expected: Vec<UpstreamId> =
        expected.iter().map(|name| UpstreamId::of("cascadia", "shelf", name)).collect();
    assert_eq!(down, expected);
}

/// An agent listed as leaving still holds its flows and passes openings on, so it does not count as
/// down.
#[test]
fn down_leaving_agent() {
    let list = [instance("a", State::Live), instance("b", State::Leaving)];
    let mut liveness = Liveness::default();
    liveness.down(&view(), &list);
    assert_eq!(liveness.down(&view(), &list), []);
}
