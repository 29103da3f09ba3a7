//! Tests of the encoding of gossip messages.

use decision::keys::{AccountId, UpstreamId, Version};
use decision::spread::{Digest, Member, Notice, SHARES, SpreadMessage};
use proptest::prelude::*;
use rstest::rstest;
use wire::spread::{decode, encode};

fn settings() -> Notice {
    Notice::Settings { account: AccountId(u64::MAX), version: Version(3) }
}

fn member() -> Notice {
    Notice::Member(Member { upstream: UpstreamId(u64::MAX), beat: u64::MAX, up: false })
}

fn digest() -> Digest {
    Digest { shares: [u64::MAX; SHARES], confirmed_age_ms: 12 }
}

#[rstest]
#[case::notices(SpreadMessage::Notices(vec![settings(), member()]))]
#[case::compare(SpreadMessage::Compare(digest()))]
#[case::reply(SpreadMessage::Differences { notices: vec![member()], digest: Some(digest()) })]
#[case::last_reply(SpreadMessage::Differences { notices: vec![], digest: None })]
fn decode_own_encoding(#[case] message: SpreadMessage) {
    assert_eq!(decode(&encode(&message)).unwrap(), message);
}

/// The largest message of a correct node fits into one datagram, including the GUE header and the
/// sealed private data.
#[test]
fn encode_largest_answer_fits_datagram() {
    let notices = vec![member(); decision::spread::DIFFERENCES_MAX];
    let message = SpreadMessage::Differences { notices, digest: Some(digest()) };
    assert!(encode(&message).len() <= 1_200);
}

proptest! {
    #[test]
    fn decode_any_bytes(bytes: Vec<u8>) {
        let _ = decode(&bytes);
    }
}
