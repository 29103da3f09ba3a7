//! Asking other processes over HTTP, with a bound on time and size.

use std::net::SocketAddr;
use std::time::Duration;

use ureq::Agent;

/// Largest body that is read: a value of the platform is at most a megabyte.
const REPLY_BYTES_MAX: u64 = 4 << 20;
/// Longest wait for a connection; a paused peer accepts none.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// The server refused for now and says when to come back.
    #[error("refused with status {status}, retry after {retry_after_ms} ms")]
    Busy {
        /// 429 or 5xx.
        status: u16,
        /// Time to wait, zero if the server did not say.
        retry_after_ms: u64,
    },
    /// The server answered with an error that a retry does not mend.
    #[error("status {0}")]
    Status(u16),
    /// No connection, a time-out, or an answer that is not HTTP.
    #[error("no answer: {0}")]
    Transport(String),
}

/// A client with its own pool of connections. Clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
}

impl Client {
    /// A client whose calls take at most `timeout`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use shell::http::client::{Client, ClientError};
    /// let client = Client::new(Duration::from_millis(100));
    /// let answer = client.get("127.0.0.1:1".parse().unwrap(), "/healthz");
    /// assert!(matches!(answer, Err(ClientError::Transport(_))));
    /// ```
    pub fn new(timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(timeout))
            .timeout_connect(Some(CONNECT_TIMEOUT.min(timeout)))
            .http_status_as_error(false)
            .proxy(None)
            .build();
        Self { agent: config.into() }
    }

    /// Fetches a path.
    pub fn get(&self, address: SocketAddr, path: &str) -> Result<Vec<u8>, ClientError> {
        let response = self.agent.get(format!("http://{address}{path}")).call();
        read_body(response.map_err(transport_error)?)
    }

    /// Sends a body to a path and returns the answer's body.
    pub fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &[u8],
    ) -> Result<Vec<u8>, ClientError> {
        let response = self.agent.post(format!("http://{address}{path}")).send(body);
        read_body(response.map_err(transport_error)?)
    }
}

fn read_body(mut response: ureq::http::Response<ureq::Body>) -> Result<Vec<u8>, ClientError> {
    let status = response.status().as_u16();
    if status == 429 || status >= 500 {
        let header = response.headers().get("retry-after");
        let seconds = header.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
        let retry_after_ms = seconds.map_or(0, |seconds| (seconds * 1_000.0) as u64);
        return Err(ClientError::Busy { status, retry_after_ms });
    }
    if status != 200 {
        return Err(ClientError::Status(status));
    }
    let body = response.body_mut().with_config().limit(REPLY_BYTES_MAX);
    body.read_to_vec().map_err(transport_error)
}

fn transport_error(error: ureq::Error) -> ClientError {
    ClientError::Transport(error.to_string())
}
