//! Tests of the datagrams between balancers.

use std::net::UdpSocket;

use balancer::spreading::link::Link;
use decision::keys::{AccountId, Version};
use decision::spread::{NodeId, Notice, SpreadMessage};
use rstest::rstest;
use wire::exchange::FLEET;
use wire::sealed::{AccountKeyring, KeyId};

const MASTER_KEYS: [(KeyId, [u8; 32]); 1] = [(KeyId(1), [7; 32])];
const OTHER_MASTER_KEYS: [(KeyId, [u8; 32]); 1] = [(KeyId(1), [8; 32])];

fn link(master_keys: &[(KeyId, [u8; 32])], account: &str, node: u64) -> Link {
    let keyring = AccountKeyring::derive(master_keys, AccountId::of(account)).unwrap();
    Link::bind("127.0.0.1:0".parse().unwrap(), keyring, NodeId(node)).unwrap()
}

fn message() -> SpreadMessage {
    SpreadMessage::Notices(vec![Notice::Settings { account: AccountId(1), version: Version(9) }])
}

/// A balancer accepts messages only from other balancers. An agent, which holds only its account's
/// key, could otherwise report the agents of another account as down to all balancers.
#[rstest]
#[case::balancer(link(&MASTER_KEYS, FLEET, 2), Some((NodeId(2), message())))]
#[case::agent_with_account_key(link(&MASTER_KEYS, "cascadia", 2), None)]
#[case::other_master_key(link(&OTHER_MASTER_KEYS, FLEET, 2), None)]
fn receive_from(#[case] sender: Link, #[case] expected: Option<(NodeId, SpreadMessage)>) {
    let receiver = link(&MASTER_KEYS, FLEET, 1);
    sender.send(receiver.local_address().unwrap(), &message());
    assert_eq!(receiver.receive(), expected);
}

#[rstest]
#[case::empty(&[])]
#[case::not_gue(&[0xff; 40])]
#[case::truncated(&[0x20, 3, 0, 0, 1, 2])]
fn receive_malformed(#[case] datagram: &[u8]) {
    let receiver = link(&MASTER_KEYS, FLEET, 1);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(datagram, receiver.local_address().unwrap()).unwrap();
    assert_eq!(receiver.receive(), None);
}
