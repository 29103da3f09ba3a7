//! Asking the upstream how it is.

use std::net::SocketAddr;
use std::time::Duration;

use decision::agent::UpstreamReport;
use serde::Deserialize;
use shell::http::client::Client;
use shell::signals::Shutdown;

/// Time between two questions: an upstream that begins to drain gets openings no longer than this.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for the answer; the endpoint may hang.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks the status endpoint of one upstream.
#[derive(Clone)]
pub(crate) struct StatusReader {
    client: Client,
    address: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct StatusReply {
    healthy: bool,
    draining: bool,
    shedding: bool,
    open_flows: u32,
    age_ms: Option<u64>,
}

impl StatusReader {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(REQUEST_TIMEOUT), address }
    }

    /// The upstream's answer, `None` if there is none.
    pub(crate) fn read(&self) -> Option<UpstreamReport> {
        let body = self.client.get(self.address, "/status").ok()?;
        let reply: StatusReply = serde_json::from_slice(&body).ok()?;
        Some(UpstreamReport {
            healthy: reply.healthy,
            draining: reply.draining,
            shedding: reply.shedding,
            open_flows: reply.open_flows,
            age_ms: reply.age_ms,
        })
    }

    /// Reports at intervals until the shutdown. An endpoint that does not answer makes an upstream
    /// unhealthy, with the rest as it was last said.
    pub(crate) fn run(&self, shutdown: &Shutdown, report: impl Fn(UpstreamReport)) {
        let mut last = None;
        while !shutdown.is_requested() {
            match (self.read(), last) {
                (Some(answer), _) => {
                    report(answer);
                    last = Some(answer);
                }
                (None, Some(previous)) => report(UpstreamReport { healthy: false, ..previous }),
                (None, None) => {}
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
