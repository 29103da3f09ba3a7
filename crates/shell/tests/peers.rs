//! Contract of the exchange between instances: a real store serves, another one asks.

mod common;

use std::sync::Arc;

use common::{nobody, serve, store, versions};
use rstest::rstest;
use shell::http::client::ClientError;
use shell::http::routes::{Reply, Routes};
use shell::settings_sync::peers::{PeerError, PeerReader};
use shell::settings_sync::{Scope, Store, serve as exchange};
use std::net::SocketAddr;

fn reader(store: &Arc<Store>, peers: Vec<SocketAddr>) -> PeerReader {
    PeerReader::new(store.clone(), Arc::new(move || peers.clone()))
}

/// `theirs` and `ours` are versions in force at the peer and here before the comparison.
#[rstest]
#[case::all_new(Scope::All, &[("bajio", 2), ("cascadia", 7)], &[], &[("bajio", 2), ("cascadia", 7)])]
#[case::one_newer(
    Scope::All, &[("bajio", 2), ("cascadia", 7)], &[("bajio", 4), ("cascadia", 6)],
    &[("bajio", 4), ("cascadia", 7)],
)]
#[case::peer_behind(Scope::All, &[("cascadia", 5)], &[("cascadia", 6)], &[("cascadia", 6)])]
#[case::peer_empty(Scope::All, &[], &[("cascadia", 6)], &[("cascadia", 6)])]
#[case::agent_takes_its_own(
    Scope::Account("cascadia".into()), &[("bajio", 2), ("cascadia", 7)], &[], &[("cascadia", 7)],
)]
fn compare_with_peer(
    #[case] scope: Scope,
    #[case] theirs: &[(&str, u64)],
    #[case] ours: &[(&str, u64)],
    #[case] expected: &[(&str, u64)],
) {
    let (peer, own) = (store(Scope::All, theirs), store(scope, ours));
    let address = serve(exchange::routes(Routes::default(), &peer));
    reader(&own, vec![]).compare(address).unwrap();
    let expected: Vec<(String, u64)> =
        expected.iter().map(|(name, version)| ((*name).to_owned(), *version)).collect();
    assert_eq!(versions(&own), expected);
}

/// A peer that is itself not current must not make us believe that we are: two instances that
/// start together would otherwise confirm each other with nothing in hand.
#[rstest]
#[case::current(true)]
#[case::not_current(false)]
fn compare_passes_on_currency(#[case] current: bool) {
    let (peer, own) = (store(Scope::All, &[("cascadia", 7)]), store(Scope::All, &[]));
    peer.mark_peers_asked();
    own.mark_peers_asked();
    if current {
        peer.mark_source_read();
    }
    let address = serve(exchange::routes(Routes::default(), &peer));
    reader(&own, vec![]).compare(address).unwrap();
    assert_eq!(own.is_current(), current);
}

#[rstest]
#[case::not_message_pack(Reply::text("\u{1}\u{2}\u{3}"))]
#[case::html(Reply::text("<html>"))]
fn compare_with_garbage(#[case] reply: Reply) {
    let own = store(Scope::All, &[("cascadia", 6)]);
    let address = serve(Routes::default().get("/v1/settings/digest", move |_| reply.clone()));
    assert!(matches!(reader(&own, vec![]).compare(address), Err(PeerError::Decode(_))));
    assert_eq!(versions(&own), [("cascadia".to_owned(), 6)]);
}

/// A peer that offers a version and then does not deliver it changes nothing.
#[test]
fn compare_with_peer_that_lost_document() {
    let (peer, own) = (store(Scope::All, &[("cascadia", 7)]), store(Scope::All, &[]));
    peer.mark_peers_asked();
    peer.mark_source_read();
    own.mark_peers_asked();
    let digest = wire::exchange::Digest {
        current: true,
        root_version: 3,
        accounts: vec![wire::exchange::DigestEntry { account: "cascadia".into(), version: 7 }],
    };
    let routes = Routes::default();
    let routes = routes.get("/v1/settings/digest", move |_| Reply::message_pack(&digest));
    let result = reader(&own, vec![]).compare(serve(routes));
    assert_eq!(result, Err(PeerError::Client(ClientError::Status(404))));
    assert!(!own.is_current());
}

#[test]
fn compare_all_passes_over_dead_peers() {
    let (peer, own) = (store(Scope::All, &[("cascadia", 7)]), store(Scope::All, &[]));
    let address = serve(exchange::routes(Routes::default(), &peer));
    reader(&own, vec![nobody(), address, nobody()]).compare_all();
    assert_eq!(versions(&own), [("cascadia".to_owned(), 7)]);
}
