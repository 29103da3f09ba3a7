//! Tests of `/explain`: the home of a flow by the published snapshot.

use std::sync::Arc;
use std::time::Duration;

use balancer::http;
use balancer::snapshot::{PublishedSnapshot, Snapshot};
use decision::keys::{ServiceId, UpstreamId};
use rstest::rstest;
use shell::http::client::{Client, ClientError};
use shell::settings_sync::{Scope, Source, Store};
use shell::status::StatusSource;
use telemetry::metrics::Metrics;
use telemetry::timeline::Timeline;
use wire::sealed::KeyId;

const ROOT: &str = "version: 1\naccounts: [{name: cascadia, prefixes: [\"203.0.113.0/28\"]}]\n";
const SUBTREE: &str = "account: cascadia
version: 7
services:
  - name: shelf
    addresses: [\"203.0.113.1:443/tcp\"]
    when_in_doubt: admit
    zone_spill_percent: 25
    upstreams:
      - {name: shelf-1, zone: z, weight: 100, max_flows: 9, state: active, since: 1,
         agent_address: \"127.0.0.1:1\", control_address: \"127.0.0.1:2\",
         address: \"127.0.0.1:3\"}
      - {name: shelf-2, zone: z, weight: 100, max_flows: 9, state: active, since: 1,
         agent_address: \"127.0.0.1:4\", control_address: \"127.0.0.1:5\",
         address: \"127.0.0.1:6\"}
";

/// Sends a request to a balancer whose snapshot passes over the agents named in `down`.
fn get_from_balancer(path: &str, down: &[&str]) -> Result<String, ClientError> {
    let timeline = Arc::new(Timeline::new("bal".into(), 8));
    let store = Arc::new(Store::new(Scope::All, timeline.clone()));
    store.offer_root(ROOT, Source::Platform);
    store.offer_account("cascadia", SUBTREE, Source::Platform);
    let down = down.iter().map(|name| UpstreamId::of("cascadia", "shelf", name)).collect();
    let published: Arc<PublishedSnapshot> = Arc::default();
    published.publish(Snapshot::build(&store.view(), down, &[(KeyId(1), [7; 32])]).unwrap());
    let status_source = StatusSource {
        instance: "bal-1".into(),
        kind: "balancer",
        store,
        metrics: Arc::new(Metrics::default()),
        timeline,
        is_ready: Arc::new(|| true),
        counters: Arc::new(Vec::new),
    };
    let routes = http::routes(&status_source, &(Arc::new(|_: &str| None) as _), published);
    let address = shell::http::start("127.0.0.1:0".parse().unwrap(), routes).unwrap();
    let body = Client::new(Duration::from_secs(10)).get(address, path)?;
    Ok(String::from_utf8(body).unwrap())
}

fn expected_reply(address: &str) -> String {
    format!(r#"{{"instance":"bal-1","version":7,"home":"{address}"}}"#)
}

#[rstest]
#[case::second_down(&["shelf-2"], "127.0.0.1:1")]
#[case::first_down(&["shelf-1"], "127.0.0.1:4")]
fn explain_home(#[case] down: &[&str], #[case] expected: &str) {
    let service = ServiceId::of("cascadia", "shelf").0;
    let found = get_from_balancer(&format!("/explain?service={service:016x}&flow=5"), down);
    assert_eq!(found, Ok(expected_reply(expected)));
}

#[rstest]
#[case::no_flow("/explain?service=5", 400)]
#[case::bad_flow("/explain?service=5&flow=xyz", 400)]
#[case::unknown_service("/explain?service=5&flow=5", 404)]
fn explain_error_status(#[case] path: &str, #[case] status: u16) {
    assert_eq!(get_from_balancer(path, &[]), Err(ClientError::Status(status)));
}
