//! HTTP routes for peers that synchronize their settings with this process.

use std::sync::Arc;

use decision::keys::Version;
use serde::Serialize;
use wire::delta::Delta;
use wire::exchange::{
    Digest, DigestEntry, Document, FLEET, Kind, Question, Update, Updates, parse_wanted,
};
use wire::sealed::AccountKeyring;

use super::{Keyrings, Store};
use crate::http::routes::{Reply, Request, Routes};

/// Adds the routes of the settings exchange to an endpoint.
///
/// A request without a valid proof gets status 403. A request for a document that is not in force
/// here gets status 404.
pub fn routes(routes: Routes, store: &Arc<Store>, keyrings: &Keyrings) -> Routes {
    let add = |routes: Routes, kind: Kind| {
        let (store, keyrings) = (store.clone(), keyrings.clone());
        routes.get(kind.path(), move |request| handle(&store, &keyrings, kind, request))
    };
    [Kind::Digest, Kind::Root, Kind::Subtree, Kind::Subtrees].into_iter().fold(routes, add)
}

fn handle(store: &Store, keyrings: &Keyrings, kind: Kind, request: &Request) -> Reply {
    let keyring = |account: &str| keyrings(account);
    let checked = Question::verify(kind, |name| request.parameter(name), keyring);
    let Some((question, ring)) = checked else {
        return Reply::error(403, "the question is not proven");
    };
    match kind {
        Kind::Digest => sealed_reply(&question, &ring, &digest(store, &question.account)),
        Kind::Root => document_reply(&question, &ring, store.root()),
        Kind::Subtree => {
            let have = request.parameter("have").and_then(|text| text.parse().ok()).map(Version);
            match update(store, &question.account, have) {
                Some(update) => sealed_reply(&question, &ring, &update),
                None => Reply::error(404, "no such document here"),
            }
        }
        Kind::Subtrees if &*question.account != FLEET => Reply::error(403, "only for the fleet"),
        Kind::Subtrees => match request.parameter("have").and_then(parse_wanted) {
            Some(wanted) => sealed_reply(&question, &ring, &updates(store, wanted)),
            None => Reply::error(400, "no list of accounts"),
        },
    }
}

/// Returns updates for those of the requested subtrees that are in force here.
fn updates(store: &Store, wanted: Vec<(Arc<str>, Version)>) -> Updates {
    let subtrees = wanted.into_iter().filter_map(|(account, have)| {
        let update = update(store, &account, Some(have))?;
        Some((account, update))
    });
    Updates(subtrees.collect())
}

/// Returns the subtree in force, as a delta if the requester states that it is one version behind.
///
/// The stated version needs no proof. A wrong base only yields a delta that the requester cannot
/// apply.
fn update(store: &Store, account: &str, have: Option<Version>) -> Option<Update> {
    let (version, yaml) = store.subtree(account)?;
    let changed = have.and_then(|base| {
        let old = store.replaced_subtree(account, base)?;
        Some(Update::Changed { version: version.0, delta: Delta::between(base, &old, &yaml) })
    });
    Some(changed.unwrap_or(Update::Whole(Document { version: version.0, yaml })))
}

/// Returns the versions that the requesting account may see: its own, or all for the fleet.
fn digest(store: &Store, account: &str) -> Digest {
    let mut versions = store.versions();
    versions.retain(|(name, _)| account == FLEET || **name == *account);
    let entry =
        |(account, version): (Arc<str>, Version)| DigestEntry { account, version: version.0 };
    Digest {
        current: store.is_current(),
        confirmed_age_ms: store.confirmed_age_ms(),
        root_version: store.root().map_or(0, |(version, _)| version.0),
        accounts: versions.into_iter().map(entry).collect(),
    }
}

fn document_reply(
    question: &Question,
    ring: &AccountKeyring,
    found: Option<(Version, Arc<str>)>,
) -> Reply {
    match found {
        Some((version, yaml)) => {
            sealed_reply(question, ring, &Document { version: version.0, yaml })
        }
        None => Reply::error(404, "no such document here"),
    }
}

fn sealed_reply(question: &Question, ring: &AccountKeyring, value: &impl Serialize) -> Reply {
    match question.seal_answer(ring, value) {
        Some(body) => Reply { status: 200, content_type: "application/msgpack", body },
        None => Reply::error(500, "the answer cannot be sealed"),
    }
}
