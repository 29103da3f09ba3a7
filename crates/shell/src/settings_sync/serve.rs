//! Answering peers that compare their settings with ours.

use std::sync::Arc;

use wire::exchange::{Digest, DigestEntry, Document};

use super::Store;
use crate::http::routes::{Reply, Request, Routes};

/// Adds the routes of the exchange to an endpoint.
pub fn routes(routes: Routes, store: &Arc<Store>) -> Routes {
    let (for_digest, for_root, for_subtree) = (store.clone(), store.clone(), store.clone());
    routes
        .get("/v1/settings/digest", move |_| Reply::message_pack(&digest(&for_digest)))
        .get("/v1/settings/root", move |_| document(for_root.root()))
        .get("/v1/settings/subtree", move |request| subtree(&for_subtree, request))
}

fn digest(store: &Store) -> Digest {
    let entry = |(account, version): (Arc<str>, decision::keys::Version)| DigestEntry {
        account,
        version: version.0,
    };
    Digest {
        current: store.is_current(),
        root_version: store.root().map_or(0, |(version, _)| version.0),
        accounts: store.versions().into_iter().map(entry).collect(),
    }
}

fn subtree(store: &Store, request: &Request) -> Reply {
    document(request.parameter("account").and_then(|account| store.subtree(account)))
}

fn document(found: Option<(decision::keys::Version, Arc<str>)>) -> Reply {
    match found {
        Some((version, yaml)) => Reply::message_pack(&Document { version: version.0, yaml }),
        None => Reply::error(404, "no such document here"),
    }
}
