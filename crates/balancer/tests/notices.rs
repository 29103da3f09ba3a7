//! Tests of the notices that a balancer accepts from agents.

use std::sync::Arc;

use balancer::notices::{LEAVING_TTL_MS, LeavingAgents, open};
use balancer::snapshot::Snapshot;
use decision::agent::Forwarding;
use decision::keys::{AccountId, FlowId, ServiceId, UpstreamId, Version};
use decision::time::Millis;
use decision::view::{
    self, AccountSpec, ServiceSpec, UpstreamSpec, UpstreamState, View, WhenInDoubt,
};
use rstest::rstest;
use wire::gue::{self, Content};
use wire::notice::{self, Notice};
use wire::sealed::{AccountKeyring, Header, KeyId, Payload, SEALED_BYTES, SenderId};

const MASTER_KEYS: [(KeyId, [u8; 32]); 1] = [(KeyId(1), [7; 32])];

fn account(name: &str, service: &str) -> AccountSpec {
    let upstream = UpstreamSpec {
        name: "1".into(),
        zone: "z".into(),
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
        name: service.into(),
        endpoints: vec![],
        when_in_doubt: WhenInDoubt::Admit,
        zone_spill_percent: 25,
        upstreams: vec![upstream],
    };
    AccountSpec { name: name.into(), version: Version(1), services: vec![service] }
}

fn view_of_two_accounts() -> Arc<View> {
    Arc::new(view::build(&[account("cascadia", "shelf"), account("bajio", "fitting")]))
}

fn shelf_agent() -> UpstreamId {
    UpstreamId::of("cascadia", "shelf", "1")
}

/// A leaving notice of [`shelf_agent`], sealed with the key of one account and claiming another.
fn datagram(sealed_by: &str, claimed: &str, control_type: u8) -> Vec<u8> {
    let header = Header {
        hops: 0,
        forwarding: Forwarding::Direct,
        account: AccountId::of(claimed),
        service: ServiceId::of("cascadia", "shelf"),
        flow: FlowId(0),
        version: Version(1),
        sender: SenderId(shelf_agent().0),
    };
    let body = notice::encode(Notice::Leaving);
    let keyring = AccountKeyring::derive(&MASTER_KEYS, AccountId::of(sealed_by)).unwrap();
    let mut private = [0; SEALED_BYTES];
    keyring.seal(&header, Payload::Control(&body), &mut private).unwrap();
    let mut datagram = Vec::new();
    gue::encode(Content::Control(control_type), &private, &body, &mut datagram);
    datagram
}

/// Agents passed over after a datagram. An account must not be able to divert another's traffic
/// from its agents, neither under its own name nor under the other's.
#[rstest]
#[case::own_agent(datagram("cascadia", "cascadia", notice::CONTROL_TYPE), true)]
#[case::other_account_own_name(datagram("bajio", "bajio", notice::CONTROL_TYPE), false)]
#[case::other_account_forged_name(datagram("bajio", "cascadia", notice::CONTROL_TYPE), false)]
#[case::unknown_account(datagram("ghost", "ghost", notice::CONTROL_TYPE), false)]
#[case::message_between_agents(datagram("cascadia", "cascadia", 1), false)]
#[case::malformed(vec![0x30, 2, 0, 0, 1, 2, 3], false)]
fn leaving_after_datagram(#[case] datagram: Vec<u8>, #[case] passed_over: bool) {
    let snapshot = Snapshot::build(&view_of_two_accounts(), vec![], &MASTER_KEYS).unwrap();
    let mut agents = LeavingAgents::default();
    let notice = open(&snapshot, &datagram);
    if let Some(notice) =
        notice.filter(|notice| notice.is_authorized_for(&view_of_two_accounts(), notice.sender))
    {
        agents.add(Millis(0), notice.sender);
    }
    assert_eq!(agents.unexpired(Millis(0)), if passed_over { vec![shelf_agent()] } else { vec![] });
}

#[rstest]
#[case::before_expiry(LEAVING_TTL_MS - 1, true)]
#[case::at_expiry(LEAVING_TTL_MS, false)]
fn leaving_expires(#[case] now_ms: u64, #[case] passed_over: bool) {
    let mut agents = LeavingAgents::default();
    agents.add(Millis(0), shelf_agent());
    assert_eq!(!agents.unexpired(Millis(now_ms)).is_empty(), passed_over);
}
