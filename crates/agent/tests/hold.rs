//! Tests of the table of held packets.

use agent::hold::{HELD_MAX, Held, HoldTable};
use decision::agent::{Forwarding, HoldKey};
use decision::keys::{AccountId, FlowId, ServiceId, Version};
use wire::gue::Content;
use wire::sealed::{Header, SenderId};

fn held(byte: u8) -> Held {
    let header = Header {
        hops: 0,
        forwarding: Forwarding::Direct,
        account: AccountId(1),
        service: ServiceId(2),
        flow: FlowId(3),
        version: Version(4),
        sender: SenderId(5),
    };
    Held { content: Content::Ipv4, header, bytes: vec![byte] }
}

#[test]
fn take_returns_once() {
    let mut table = HoldTable::default();
    for key in [9, 2, 5] {
        assert!(table.insert(HoldKey(key), held(key as u8)));
    }
    assert_eq!(table.take(HoldKey(5)), Some(held(5)));
    assert_eq!(table.take(HoldKey(5)), None);
    assert_eq!(table.take(HoldKey(2)), Some(held(2)));
}

#[test]
fn insert_with_key_in_use_keeps_first() {
    let mut table = HoldTable::default();
    assert!(table.insert(HoldKey(1), held(1)));
    assert!(!table.insert(HoldKey(1), held(2)));
    assert_eq!(table.take(HoldKey(1)), Some(held(1)));
}

#[test]
fn insert_beyond_limit() {
    let mut table = HoldTable::default();
    assert!((0..HELD_MAX as u32).all(|key| table.insert(HoldKey(key), held(0))));
    assert!(!table.insert(HoldKey(u32::MAX), held(0)));
}
