//! Contract of the exchange of settings.

mod common;

use proptest::prelude::*;
use rstest::rstest;
use wire::exchange::{ACCOUNTS_MAX, Digest, DigestEntry, Document, ExchangeError, decode};

fn digest(accounts: usize) -> Digest {
    let entry = |index| DigestEntry { account: format!("account-{index}").into(), version: 7 };
    Digest { current: true, root_version: 3, accounts: (0..accounts).map(entry).collect() }
}

#[rstest]
#[case::empty(0, true)]
#[case::most(ACCOUNTS_MAX, true)]
#[case::one_too_many(ACCOUNTS_MAX + 1, false)]
fn decode_digest(#[case] accounts: usize, #[case] accepted: bool) {
    let digest = digest(accounts);
    let decoded = decode::<Digest>(&rmp_serde::to_vec(&digest).unwrap());
    assert_eq!(decoded, if accepted { Ok(digest) } else { Err(ExchangeError) });
}

proptest! {
    #![proptest_config(common::fixed_seed())]

    #[test]
    fn decode_any_bytes(bytes: Vec<u8>) {
        let _ = decode::<Digest>(&bytes);
        let _ = decode::<Document>(&bytes);
    }
}
