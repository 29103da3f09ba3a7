//! Contract of the routes that every daemon serves.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::{serve, store};
use rstest::rstest;
use shell::http::client::{Client, ClientError};
use shell::http::routes::Routes;
use shell::settings_sync::Scope;
use shell::status::{self, StatusSource};
use telemetry::metrics::Metrics;
use telemetry::timeline::{Fields, Timeline};

fn status_source(ready: &Arc<AtomicBool>) -> StatusSource {
    let timeline = Arc::new(Timeline::new("bal-c1".into(), 8));
    timeline.record("cascadia", "tested", Fields::default());
    let ready = ready.clone();
    StatusSource {
        instance: "bal-c1".into(),
        kind: "balancer",
        store: store(Scope::All, &[("cascadia", 7)]),
        metrics: Arc::new(Metrics::default()),
        timeline,
        is_ready: Arc::new(move || ready.load(Ordering::Relaxed)),
        counters: Arc::new(|| vec![("packets_received", 3)]),
    }
}

fn get(path: &str, ready: bool) -> Result<String, ClientError> {
    let ready = Arc::new(AtomicBool::new(ready));
    let address = serve(status::routes(Routes::default(), &status_source(&ready)));
    let body = Client::new(Duration::from_secs(10)).get(address, path)?;
    Ok(String::from_utf8(body).unwrap())
}

const STATUS: &str = concat!(
    r#"{"instance":"bal-c1","kind":"balancer","ready":true,"#,
    r#""settings":[{"account":"cascadia","version":7}],"counters":{"packets_received":3}}"#,
);
const BUSY: ClientError = ClientError::Busy { status: 503, retry_after_ms: 0 };

#[rstest]
#[case::alive("/healthz", false, Ok("ok\n"))]
#[case::ready("/readyz", true, Ok("ready\n"))]
#[case::not_ready("/readyz", false, Err(BUSY))]
#[case::status("/status", true, Ok(STATUS))]
#[case::no_later_events("/timeline?after=18446744073709551615", true, Ok("[]"))]
fn get_route(#[case] path: &str, #[case] ready: bool, #[case] expected: Result<&str, ClientError>) {
    assert_eq!(get(path, ready), expected.map(str::to_owned));
}

#[rstest]
#[case::version("gooseberrysill_settings_version{account=\"cascadia\"} 7\n")]
#[case::current("gooseberrysill_settings_current 0\n")]
#[case::processor("gooseberrysill_process_cpu_seconds_total ")]
#[case::memory("gooseberrysill_process_resident_memory_bytes ")]
fn metrics_contain(#[case] expected: &str) {
    let text = get("/metrics", true).unwrap();
    assert!(text.contains(&format!("\n{expected}")), "{text}");
}
