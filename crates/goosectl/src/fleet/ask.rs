//! Sends requests to instances, several at a time.

use std::fmt;
use std::net::SocketAddr;
use std::thread;

use serde::Serialize;
use serde::de::DeserializeOwned;
use settings::{Code, codes};
use shell::http::client::Client;

use super::{Fleet, Target};

/// Requests in progress at the same time, so that a few unresponsive instances do not delay the
/// rest.
const MAX_CONCURRENT_REQUESTS: usize = 16;

/// Why a request got no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct RequestError {
    /// `E5004` if the request failed, `E5005` if its answer could not be decoded.
    pub(crate) code: String,
    /// Human-readable explanation.
    pub(crate) text: String,
}

/// The result of a request to one instance.
#[derive(Clone, Debug)]
pub(crate) struct Answer<T> {
    pub(crate) target: Target,
    pub(crate) result: Result<T, RequestError>,
}

impl RequestError {
    fn new(code: Code, text: impl fmt::Display) -> Self {
        Self { code: code.to_string(), text: text.to_string() }
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.text)
    }
}

impl Fleet {
    /// Sends a request to every instance for which `path` returns a path. The answers are in the
    /// order of the instances.
    pub(crate) fn ask<T: DeserializeOwned + Send>(
        &self,
        path: impl Fn(&Target) -> Option<String> + Sync,
    ) -> Vec<Answer<T>> {
        let asked: Vec<(&Target, String)> =
            self.targets.iter().filter_map(|target| Some((target, path(target)?))).collect();
        let chunk_len = asked.len().div_ceil(MAX_CONCURRENT_REQUESTS).max(1);
        let ask_chunk = |chunk: &[(&Target, String)]| -> Vec<Answer<T>> {
            let ask = |(target, path): &(&Target, String)| Answer {
                target: (*target).clone(),
                result: get(&self.client, target.control, path),
            };
            chunk.iter().map(ask).collect()
        };
        thread::scope(|scope| {
            let workers: Vec<_> = asked
                .chunks(chunk_len)
                .map(|chunk| scope.spawn(move || ask_chunk(chunk)))
                .collect();
            // The workers are not expected to panic. If one did, the answers of its instances would
            // be missing from the result.
            workers.into_iter().flat_map(|worker| worker.join().unwrap_or_default()).collect()
        })
    }
}

/// Sends a GET request to one address and decodes the answer.
pub(crate) fn get<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> Result<T, RequestError> {
    let body = get_bytes(client, address, path)?;
    let unreadable = |error| {
        RequestError::new(codes::ANSWER_UNREADABLE, format_args!("http://{address}{path}: {error}"))
    };
    serde_json::from_slice(&body).map_err(unreadable)
}

/// Sends a GET request to one address.
pub(crate) fn get_bytes(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> Result<Vec<u8>, RequestError> {
    let unreachable = |error| {
        RequestError::new(
            codes::INSTANCE_UNREACHABLE,
            format_args!("http://{address}{path}: {error}"),
        )
    };
    client.get(address, path).map_err(unreachable)
}
