//! History of all publications, so that each reader can be shown the state as of a given time.

use std::net::SocketAddr;
use std::sync::Arc;

use decision::time::Millis;
use serde::{Deserialize, Serialize};

/// Name of the root document in a watch.
const ROOT: &str = "root";

/// A published document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Name of the client account, or `root`.
    pub name: Arc<str>,
    /// YAML.
    pub text: Arc<str>,
    /// Index of the publication.
    pub index: u64,
}

/// All documents as of one publication.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// When it was published.
    pub at: Millis,
    /// Index of the publication.
    pub index: u64,
    /// Sorted by name.
    pub documents: Vec<Document>,
}

/// Body of `GET /v1/watch`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReply {
    /// Index of the newest publication that the reader sees.
    pub index: u64,
    /// Names of the documents published after the requested index.
    pub changed: Vec<Arc<str>>,
}

/// One process in the list of instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name.
    pub name: Arc<str>,
    /// `balancer` or `agent`.
    pub kind: Arc<str>,
    /// Client account of an agent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub account: Option<Arc<str>>,
    /// Service of an agent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<Arc<str>>,
    /// Upstream of an agent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub upstream: Option<Arc<str>>,
    /// Address on which it receives packets.
    pub data_address: SocketAddr,
    /// Address of its HTTP endpoint.
    pub control_address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Region.
    pub region: Arc<str>,
    /// `live` or `leaving`.
    pub state: Arc<str>,
}

/// Body of `GET /v1/instances` and, with `lag_ms`, of `PUT /admin/instances`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceList {
    /// All instances.
    pub instances: Vec<Instance>,
    /// Delay after which readers see this list.
    #[serde(default, skip_serializing)]
    pub lag_ms: u64,
}

/// Everything published since the start.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Oldest first.
    snapshots: Vec<Snapshot>,
    /// Lists of instances and the time from which each is visible, oldest first.
    instances: Vec<(Millis, InstanceList)>,
}

impl Store {
    /// Publishes the root document or the subtree of a client account and returns the new index.
    ///
    /// ```
    /// use decision::time::Millis;
    /// let mut store = standins::platform::Store::default();
    /// assert_eq!(store.publish(Millis(5), Some("cascadia"), "version: 1"), 1);
    /// assert_eq!(store.document(Millis(4), Some("cascadia")), None);
    /// assert_eq!(&*store.document(Millis(5), Some("cascadia")).unwrap(), "version: 1");
    /// ```
    pub fn publish(&mut self, now: Millis, account: Option<&str>, text: &str) -> u64 {
        let mut next = self.snapshots.last().cloned().unwrap_or_default();
        next.at = now;
        next.index += 1;
        let name = account.unwrap_or(ROOT);
        let document = Document { name: name.into(), text: text.into(), index: next.index };
        match next.documents.binary_search_by(|known| (*known.name).cmp(name)) {
            Ok(position) => next.documents[position] = document,
            Err(position) => next.documents.insert(position, document),
        }
        let index = next.index;
        self.snapshots.push(next);
        index
    }

    /// The root document or the subtree of a client account, as of `seen_at`.
    pub fn document(&self, seen_at: Millis, account: Option<&str>) -> Option<Arc<str>> {
        let name = account.unwrap_or(ROOT);
        let documents = &self.snapshot(seen_at)?.documents;
        let position = documents.binary_search_by(|known| (*known.name).cmp(name)).ok()?;
        Some(Arc::clone(&documents[position].text))
    }

    /// Answer to a watch for changes after index `after`, as of `seen_at`.
    pub fn watch(&self, seen_at: Millis, after: u64) -> WatchReply {
        let Some(snapshot) = self.snapshot(seen_at) else {
            return WatchReply { index: 0, changed: Vec::new() };
        };
        let newer = snapshot.documents.iter().filter(|document| document.index > after);
        WatchReply {
            index: snapshot.index,
            changed: newer.map(|document| Arc::clone(&document.name)).collect(),
        }
    }

    /// Replaces the list of instances.
    pub fn set_instances(&mut self, now: Millis, list: InstanceList) {
        self.instances.push((now.after(list.lag_ms), list));
    }

    /// The list of instances as of `seen_at`.
    pub fn instances(&self, seen_at: Millis) -> InstanceList {
        let seen = self.instances.iter().rev().find(|(from, _)| *from <= seen_at);
        seen.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn snapshot(&self, seen_at: Millis) -> Option<&Snapshot> {
        self.snapshots.iter().rev().find(|snapshot| snapshot.at <= seen_at)
    }
}
