//! Contract of the spreading messages.

use decision::keys::{AccountId, ServiceId, UpstreamId, Version};
use decision::spread::{Digest, Member, Notice, SHARES, SpreadMessage};
use proptest::prelude::*;
use rstest::rstest;
use wire::spread::{decode, encode};

fn settings() -> Notice {
    Notice::Settings { account: AccountId(u64::MAX), version: Version(3) }
}

fn member() -> Notice {
    let (service, upstream) = (ServiceId(u64::MAX), UpstreamId(u64::MAX));
    Notice::Member(Member { service, upstream, beat: u64::MAX, up: false })
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

proptest! {
    #[test]
    fn decode_any_bytes(bytes: Vec<u8>) {
        let _ = decode(&bytes);
    }
}
