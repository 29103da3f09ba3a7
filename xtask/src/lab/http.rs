//! HTTP client for the endpoints of the processes.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context as _, ensure};
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

/// Stand-ins answer within a millisecond; the margin is for a busy machine.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Client with a timeout for each request.
#[derive(Clone)]
pub(super) struct HttpClient {
    agent: Agent,
}

impl HttpClient {
    pub(super) fn new() -> Self {
        Self::with_timeout(REQUEST_TIMEOUT)
    }

    pub(super) fn with_timeout(timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(false)
            .user_agent("lab")
            .build();
        Self { agent: config.into() }
    }

    pub(super) fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> anyhow::Result<T> {
        let text = self.get_text(address, path)?;
        serde_json::from_str(&text).with_context(|| format!("http://{address}{path}: {text}"))
    }

    pub(super) fn get_text(&self, address: SocketAddr, path: &str) -> anyhow::Result<String> {
        let url = format!("http://{address}{path}");
        let mut response = self.agent.get(&url).call().with_context(|| url.clone())?;
        ensure!(response.status().is_success(), "{url}: {}", response.status());
        let body = response.body_mut().with_config().limit(256 << 20);
        Ok(body.read_to_string()?)
    }

    pub(super) fn put<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> anyhow::Result<()> {
        self.put_text(address, path, &serde_json::to_string(body)?)
    }

    pub(super) fn put_text(
        &self,
        address: SocketAddr,
        path: &str,
        body: &str,
    ) -> anyhow::Result<()> {
        let url = format!("http://{address}{path}");
        let response = self.agent.put(&url).send(body).with_context(|| url.clone())?;
        ensure!(response.status().is_success(), "{url}: {}", response.status());
        Ok(())
    }

    pub(super) fn post(&self, address: SocketAddr, path: &str) -> anyhow::Result<()> {
        let url = format!("http://{address}{path}");
        let response = self.agent.post(&url).send_empty().with_context(|| url.clone())?;
        ensure!(response.status().is_success(), "{url}: {}", response.status());
        Ok(())
    }

    /// Whether a GET request for `path` succeeds.
    pub(super) fn is_ok(&self, address: SocketAddr, path: &str) -> bool {
        let response = self.agent.get(format!("http://{address}{path}")).call();
        response.is_ok_and(|response| response.status().is_success())
    }
}
