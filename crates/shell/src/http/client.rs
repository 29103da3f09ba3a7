//! HTTP client with limits on the duration of a request and the size of a response.

use std::net::SocketAddr;
use std::time::Duration;

use ureq::Agent;

/// Largest response body that is read. A value of the platform is at most a megabyte.
const REPLY_BYTES_MAX: u64 = 4 << 20;
/// Connection timeout. A paused peer does not accept connections.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The reason why a request failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// The server is temporarily unable to serve the request and may state when to retry.
    #[error("refused with status {status}, retry after {retry_after_ms} ms")]
    Busy {
        /// 429 or 5xx.
        status: u16,
        /// Retry delay from the `Retry-After` header, zero if there is none.
        retry_after_ms: u64,
    },
    /// The server returned an error that a retry does not resolve.
    #[error("status {0}")]
    Status(u16),
    /// No connection, a timeout, or a response that is not HTTP.
    #[error("no answer: {0}")]
    Transport(String),
}

/// A client with its own connection pool. Clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
}

impl Client {
    /// Creates a client whose requests take at most `timeout`.
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

    /// Sends a GET request and returns the body of the response.
    pub fn get(&self, address: SocketAddr, path: &str) -> Result<Vec<u8>, ClientError> {
        let response = self.agent.get(format!("http://{address}{path}")).call();
        read_body(response.map_err(transport_error)?)
    }

    /// Sends a POST request and returns the body of the response.
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
