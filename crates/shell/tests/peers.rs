//! Contract of the settings exchange between instances: one real store serves the requests of
//! another.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;

use common::{serve, store, unused_address, versions};
use decision::keys::{AccountId, Version};
use rstest::rstest;
use shell::http::client::ClientError;
use shell::http::routes::{Reply, Routes};
use shell::settings_sync::peers::{PeerError, PeerReader};
use shell::settings_sync::{Keyrings, Scope, Source, Store, serve as exchange};
use wire::exchange::{Digest, DigestEntry, Kind, Question};
use wire::sealed::{AccountKeyring, KeyId};

const MASTER_KEYS: [(KeyId, [u8; 32]); 1] = [(KeyId(1), [7; 32])];

/// Returns the keyrings of a balancer, which can derive those of all accounts.
fn keyrings() -> Keyrings {
    Arc::new(|account| AccountKeyring::derive(&MASTER_KEYS, AccountId::of(account)))
}

fn reader(store: &Arc<Store>, peers: Vec<SocketAddr>) -> PeerReader {
    PeerReader::new(store.clone(), Arc::new(move || peers.clone()), keyrings())
}

/// Serves the contents of `store` to peers.
fn serve_store(store: &Arc<Store>) -> SocketAddr {
    serve(exchange::routes(Routes::default(), store, &keyrings()))
}

/// `theirs` and `ours` are the versions in force at the peer and at the requester before the
/// comparison.
#[rstest]
#[case::all_new(Scope::All, &[("bajio", 2), ("cascadia", 7)], &[], &[("bajio", 2), ("cascadia", 7)])]
#[case::one_newer(
    Scope::All, &[("bajio", 2), ("cascadia", 7)], &[("bajio", 4), ("cascadia", 6)],
    &[("bajio", 4), ("cascadia", 7)],
)]
#[case::peer_behind(Scope::All, &[("cascadia", 5)], &[("cascadia", 6)], &[("cascadia", 6)])]
#[case::peer_empty(Scope::All, &[], &[("cascadia", 6)], &[("cascadia", 6)])]
#[case::agent_fetches_own_account(
    Scope::Account("cascadia".into()), &[("bajio", 2), ("cascadia", 7)], &[], &[("cascadia", 7)],
)]
fn compare_with_peer(
    #[case] scope: Scope,
    #[case] theirs: &[(&str, u64)],
    #[case] ours: &[(&str, u64)],
    #[case] expected: &[(&str, u64)],
) {
    let (peer, own) = (store(Scope::All, theirs), store(scope, ours));
    let address = serve_store(&peer);
    reader(&own, vec![]).compare(address).unwrap();
    let expected: Vec<(String, u64)> =
        expected.iter().map(|(name, version)| ((*name).to_owned(), *version)).collect();
    assert_eq!(versions(&own), expected);
}

/// The peer has replaced version 6 with version 7. A requester with version 6 gets the lines that
/// differ, and one with another version or none gets the whole text. All end with the peer's text.
#[rstest]
#[case::one_behind(&[("cascadia", 6)])]
#[case::two_behind(&[("cascadia", 5)])]
#[case::nothing(&[])]
fn fetch_after_replacement(#[case] ours: &[(&str, u64)]) {
    let (peer, own) = (store(Scope::All, &[("cascadia", 6)]), store(Scope::All, ours));
    own.offer_root(&common::root(3), Source::Platform);
    peer.offer_account("cascadia", &common::subtree("cascadia", 7), Source::Platform);
    reader(&own, vec![]).fetch(serve_store(&peer), "cascadia").unwrap();
    assert_eq!(own.subtree("cascadia"), peer.subtree("cascadia"));
    assert!(peer.replaced_subtree("cascadia", Version(6)).is_some());
}

/// In a burst of changes, one exchange transfers several accounts, each as a delta if that applies
/// and whole otherwise. An account that the peer does not have is omitted. An agent may not request
/// other accounts.
#[rstest]
#[case::balancer("", Ok(()), &[("bajio", 4), ("cascadia", 7)])]
#[case::agent("bajio", Err(PeerError::Client(ClientError::Status(403))), &[("bajio", 3), ("cascadia", 5)])]
fn fetch_all_in_one_exchange(
    #[case] requester: &'static str,
    #[case] expected: Result<(), PeerError>,
    #[case] in_force: &[(&str, u64)],
) {
    let peer = store(Scope::All, &[("bajio", 3), ("cascadia", 7)]);
    peer.offer_account("bajio", &common::subtree("bajio", 4), Source::Platform);
    let own = store(Scope::All, &[("bajio", 3), ("cascadia", 5)]);
    // All questions of this requester are signed with its own key, also those for other accounts.
    let keyrings_of_requester: Keyrings = Arc::new(move |_| keyrings()(requester));
    let reader = PeerReader::new(own.clone(), Arc::new(Vec::new), keyrings_of_requester);
    let names = ["bajio".into(), "cascadia".into(), "ghost".into()];
    let result = reader.fetch_all(serve_store(&peer), &names);
    assert_eq!(result, expected);
    let expected: Vec<(String, u64)> =
        in_force.iter().map(|(name, version)| ((*name).to_owned(), *version)).collect();
    assert_eq!(versions(&own), expected);
}

/// A peer whose settings are not current must not confirm those of the requester. Otherwise, two
/// instances that start together would confirm each other without any settings.
#[rstest]
#[case::current(true)]
#[case::not_current(false)]
fn compare_confirms_only_if_peer_is_current(#[case] current: bool) {
    let (peer, own) = (store(Scope::All, &[("cascadia", 7)]), store(Scope::All, &[]));
    peer.mark_peers_asked();
    own.mark_peers_asked();
    if current {
        peer.confirm(0);
    }
    let address = serve_store(&peer);
    reader(&own, vec![]).compare(address).unwrap();
    assert_eq!(own.is_current(), current);
}

#[rstest]
#[case::not_message_pack(Reply::text("\u{1}\u{2}\u{3}"))]
#[case::html(Reply::text("<html>"))]
fn compare_with_undecodable_reply(#[case] reply: Reply) {
    let own = store(Scope::All, &[("cascadia", 6)]);
    let address = serve(Routes::default().get("/v1/settings/digest", move |_| reply.clone()));
    assert!(matches!(reader(&own, vec![]).compare(address), Err(PeerError::Decode(_))));
    assert_eq!(versions(&own), [("cascadia".to_owned(), 6)]);
}

/// A peer that lists a version in its digest but does not return the document changes nothing.
#[test]
fn compare_with_peer_missing_document() {
    let own = store(Scope::All, &[]);
    own.mark_peers_asked();
    let accounts = vec![DigestEntry { account: "cascadia".into(), version: 7 }];
    let digest = Digest { current: true, confirmed_age_ms: 0, root_version: 3, accounts };
    let routes = Routes::default().get(Kind::Digest.path(), move |request| {
        let parameter = |name: &str| request.parameter(name);
        let (question, ring) = Question::verify(Kind::Digest, parameter, &*keyrings()).unwrap();
        let body = question.seal_answer(&ring, &digest).unwrap();
        Reply { status: 200, content_type: "application/msgpack", body }
    });
    let result = reader(&own, vec![]).compare(serve(routes));
    assert_eq!(result, Err(PeerError::Client(ClientError::Status(404))));
    assert!(!own.is_current());
}

/// An agent that has obtained the address of an agent of another account queries it. The request is
/// refused, and no reply from that agent is trusted, so the settings of the requester do not change.
#[rstest]
#[case::same_account("cascadia", Ok(()))]
#[case::other_account("bajio", Err(PeerError::Client(ClientError::Status(403))))]
fn compare_between_agents(#[case] peer_account: &str, #[case] expected: Result<(), PeerError>) {
    let only = |account: &str| -> Keyrings {
        let (name, all) = (account.to_owned(), keyrings());
        Arc::new(move |account| all(account).filter(|_| account == name))
    };
    let peer = store(Scope::Account(peer_account.into()), &[(peer_account, 7)]);
    let own = store(Scope::Account("cascadia".into()), &[("cascadia", 6)]);
    let address = serve(exchange::routes(Routes::default(), &peer, &only(peer_account)));
    let reader = PeerReader::new(own.clone(), Arc::new(Vec::new), only("cascadia"));
    assert_eq!(reader.compare(address), expected);
    let version = if expected.is_ok() { 7 } else { 6 };
    assert_eq!(versions(&own), [("cascadia".to_owned(), version)]);
}

#[test]
fn compare_with_random_peers_skips_unreachable() {
    let (peer, own) = (store(Scope::All, &[("cascadia", 7)]), store(Scope::All, &[]));
    let address = serve_store(&peer);
    reader(&own, vec![unused_address(), address, unused_address()]).compare_with_random_peers(3);
    assert_eq!(versions(&own), [("cascadia".to_owned(), 7)]);
}
