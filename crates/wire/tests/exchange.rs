//! Tests of the exchange of settings.

mod common;

use decision::keys::AccountId;
use proptest::prelude::*;
use rstest::rstest;
use wire::exchange::{
    ACCOUNTS_MAX, Digest, DigestEntry, Document, ExchangeError, FLEET, Kind, Question, decode,
};
use wire::sealed::{AccountKeyring, KeyId};

fn digest(accounts: usize) -> Digest {
    let entry = |index| DigestEntry { account: format!("account-{index}").into(), version: 7 };
    Digest {
        current: true,
        confirmed_age_ms: 5,
        root_version: 3,
        accounts: (0..accounts).map(entry).collect(),
    }
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

fn ring(account: &str) -> AccountKeyring {
    AccountKeyring::derive(&[(KeyId(1), [7; 32])], AccountId::of(account)).unwrap()
}

/// Verifies, as a server of `kind` does, a question for a subtree that was authenticated with the
/// key of `asker` and in which `from` was replaced by `to`. Returns it if it is accepted.
fn verified(kind: Kind, asker: &str, from: &str, to: &str) -> Option<Question> {
    let question = Question { kind: Kind::Subtree, account: "cascadia".into(), nonce: 7 };
    let path = question.signed_path(&ring(asker)).unwrap().replace(from, to);
    let (_, query) = path.split_once('?').unwrap();
    let parameter =
        |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    Some(Question::verify(kind, parameter, |account| Some(ring(account)))?.0)
}

/// A machine of another account holds only that account's key. It can neither ask for a subtree of
/// this account nor change a question that it has observed.
#[rstest]
#[case::own(Kind::Subtree, "cascadia", "", "", true)]
#[case::key_of_other_account(Kind::Subtree, "bajio", "", "", false)]
#[case::fleet_key_for_account(Kind::Subtree, FLEET, "", "", false)]
#[case::other_account(Kind::Subtree, "bajio", "account=cascadia", "account=bajio", false)]
#[case::other_kind(Kind::Root, "cascadia", "", "", false)]
#[case::other_nonce(Kind::Subtree, "cascadia", "nonce=7", "nonce=8", false)]
#[case::unknown_key(Kind::Subtree, "cascadia", "key=1", "key=2", false)]
#[case::no_proof(Kind::Subtree, "cascadia", "proof", "poof", false)]
#[case::proof_not_hexadecimal(Kind::Subtree, "cascadia", "proof=", "proof=x", false)]
fn check_question(
    #[case] kind: Kind,
    #[case] asker: &str,
    #[case] from: &str,
    #[case] to: &str,
    #[case] accepted: bool,
) {
    assert_eq!(verified(kind, asker, from, to).is_some(), accepted);
}

#[rstest]
#[case::own("cascadia", 7, None, true)]
#[case::by_other_account("bajio", 7, None, false)]
#[case::to_older_question("cascadia", 6, None, false)]
#[case::changed_key_id("cascadia", 7, Some(0), false)]
#[case::changed_mac("cascadia", 7, Some(1), false)]
#[case::changed_body("cascadia", 7, Some(20), false)]
fn open_answer(
    #[case] answerer: &str,
    #[case] nonce: u64,
    #[case] damaged: Option<usize>,
    #[case] accepted: bool,
) {
    let question = |nonce| Question { kind: Kind::Subtree, account: "cascadia".into(), nonce };
    let document = Document { version: 7, yaml: "version: 7".into() };
    let mut answer = question(nonce).seal_answer(&ring(answerer), &document).unwrap();
    if let Some(offset) = damaged {
        answer[offset] ^= 1;
    }
    let opened = question(7).open_answer::<Document>(&ring("cascadia"), &answer);
    assert_eq!(opened, if accepted { Ok(document) } else { Err(ExchangeError) });
}

proptest! {
    #![proptest_config(common::fixed_seed())]

    #[test]
    fn decode_any_bytes(bytes: Vec<u8>) {
        let _ = decode::<Digest>(&bytes);
        let _ = decode::<Document>(&bytes);
        let question = Question { kind: Kind::Root, account: FLEET.into(), nonce: 7 };
        prop_assert!(question.open_answer::<Document>(&ring(FLEET), &bytes).is_err());
    }
}
