//! Documents, stores and servers for the contract tests.
#![allow(dead_code)] // Each test file uses only some of them.

use std::net::SocketAddr;
use std::sync::Arc;

use shell::http;
use shell::http::routes::Routes;
use shell::settings_sync::{Scope, Source, Store};
use telemetry::timeline::Timeline;

/// Returns a root that assigns addresses to two accounts.
pub(crate) fn root(version: u64) -> String {
    format!(
        "version: {version}\naccounts:\n\
         - {{name: bajio, prefixes: [\"198.51.100.0/28\"]}}\n\
         - {{name: cascadia, prefixes: [\"203.0.113.0/28\"]}}\n"
    )
}

/// Returns a subtree without services.
pub(crate) fn subtree(account: &str, version: u64) -> String {
    format!("account: {account}\nversion: {version}\nservices: []\n")
}

/// Creates a store that holds the given subtrees, as (account, version), and root version 3 if
/// there are any.
pub(crate) fn store(scope: Scope, held: &[(&str, u64)]) -> Arc<Store> {
    let timeline = Arc::new(Timeline::new("test".into(), 64));
    let store = Arc::new(Store::new(scope, timeline));
    if !held.is_empty() {
        store.offer_root(&root(3), Source::Platform);
    }
    for (account, version) in held {
        store.offer_account(account, &subtree(account, *version), Source::Platform);
    }
    store
}

/// Returns the versions in force as (account, version).
pub(crate) fn versions(store: &Store) -> Vec<(String, u64)> {
    store.versions().into_iter().map(|(name, version)| (name.to_string(), version.0)).collect()
}

/// Serves routes on a free loopback port.
pub(crate) fn serve(routes: Routes) -> SocketAddr {
    http::start("127.0.0.1:0".parse().unwrap(), routes).unwrap()
}

/// Returns a loopback address on which nothing listens.
pub(crate) fn unused_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}
