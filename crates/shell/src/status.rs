//! HTTP routes that every daemon serves: health, readiness, metrics, status and time line.

use std::sync::Arc;

use serde::Serialize;
use serde::ser::{SerializeMap, Serializer};
use telemetry::clock::Timestamp;
use telemetry::metrics::{self, Metrics};
use telemetry::timeline::Timeline;

use crate::http::routes::{Reply, Request, Routes};
use crate::scrape;
use crate::settings_sync::Store;

/// The response of `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// `balancer` or `agent`.
    pub kind: &'static str,
    /// Whether `/readyz` reports the instance as ready.
    pub ready: bool,
    /// Settings version in force per account.
    pub settings: Vec<AccountVersion>,
    /// Counter values by name.
    #[serde(serialize_with = "as_map")]
    pub counters: Vec<(&'static str, u64)>,
}

/// The settings version in force for one account.
#[derive(Clone, Debug, Serialize)]
pub struct AccountVersion {
    /// Name of the account.
    pub account: Arc<str>,
    /// Version of its subtree.
    pub version: u64,
}

/// Data that the common routes report.
#[derive(Clone)]
pub struct StatusSource {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// `balancer` or `agent`.
    pub kind: &'static str,
    /// Store of the settings in force.
    pub store: Arc<Store>,
    /// Metrics served by `/metrics`.
    pub metrics: Arc<Metrics>,
    /// Events served by `/timeline`.
    pub timeline: Arc<Timeline>,
    /// Returns whether the process is ready for traffic.
    pub is_ready: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Returns the counter values by name.
    pub counters: Arc<dyn Fn() -> Vec<(&'static str, u64)> + Send + Sync>,
}

/// Adds the common routes to an endpoint and registers the metrics of [`scrape`].
pub fn routes(routes: Routes, status_source: &StatusSource) -> Routes {
    scrape::register(&status_source.metrics, &status_source.store);
    let (is_ready, metrics) = (status_source.is_ready.clone(), status_source.metrics.clone());
    let (timeline, status_source) = (status_source.timeline.clone(), status_source.clone());
    routes
        .get("/healthz", |_| Reply::text("ok\n"))
        .get("/readyz", move |_| readiness(is_ready()))
        .get("/metrics", move |_| render(&metrics))
        .get("/status", move |_| Reply::json(&status(&status_source)))
        .get("/timeline", move |request| events(&timeline, request))
}

fn readiness(ready: bool) -> Reply {
    if ready { Reply::text("ready\n") } else { Reply::error(503, "not ready\n") }
}

fn render(metrics: &Metrics) -> Reply {
    match metrics.render() {
        Ok(text) => Reply { content_type: metrics::CONTENT_TYPE, ..Reply::text(text) },
        Err(error) => Reply::error(500, error.to_string()),
    }
}

fn status(status_source: &StatusSource) -> Status {
    let entry = |(account, version): (Arc<str>, decision::keys::Version)| AccountVersion {
        account,
        version: version.0,
    };
    Status {
        instance: status_source.instance.clone(),
        kind: status_source.kind,
        ready: (status_source.is_ready)(),
        settings: status_source.store.versions().into_iter().map(entry).collect(),
        counters: (status_source.counters)(),
    }
}

fn events(timeline: &Timeline, request: &Request) -> Reply {
    Reply::json(&timeline.after(Timestamp(request.number("after"))))
}

fn as_map<S: Serializer>(
    counters: &[(&'static str, u64)],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let mut map = serializer.serialize_map(Some(counters.len()))?;
    for (name, value) in counters {
        map.serialize_entry(name, value)?;
    }
    map.end()
}
