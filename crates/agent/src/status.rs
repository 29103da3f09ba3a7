//! Polls the status endpoint of the upstream.

use std::net::SocketAddr;
use std::time::Duration;

use decision::agent::UpstreamReport;
use serde::Deserialize;
use shell::http::client::Client;
use shell::signals::Shutdown;

/// Time between two polls. An upstream that starts to drain keeps receiving openings until the next
/// poll.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for a response, since the endpoint may hang.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// Client for the status endpoint of one upstream.
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

    /// Reads the upstream's status. Returns `None` if there is no valid response.
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

    /// Polls and reports until shutdown. If the endpoint gives no valid response, the upstream is
    /// reported as unhealthy, with all other fields as last received.
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
