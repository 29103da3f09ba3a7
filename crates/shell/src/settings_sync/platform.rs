//! Client of the platform's configuration service: a long poll returns the names of the documents
//! that changed, which are then read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde::Deserialize;
use settings::codes;

use super::instances::{InstanceList, Instances};
use super::{Source, Store};
use crate::backoff::Backoff;
use crate::http::client::{Client, ClientError};
use crate::signals::Shutdown;

/// How long the platform may hold a watch request open. Each request counts against the read
/// budget, regardless of its duration.
const WATCH_WAIT_MS: u64 = 10_000;
/// Time limit of a response, beyond the time that a watch is held open.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Shortest interval between reads of the instance list, which lags by seconds in any case. An
/// entry takes about 250 bytes, which makes 1.4 KB/s with 27 instances.
const LIST_INTERVAL_MIN: Duration = Duration::from_millis(5_000);
/// Maximum mean rate for reads of the list, out of the 10,000 bytes per second that control traffic
/// may use. The list can only be read as a whole: with 11,600 instances it has 2.4 MB and is read
/// every 20 minutes. In between, agents report changes themselves, and new balancers start
/// comparisons of their own.
const LIST_BYTES_PER_SECOND: u64 = 2_000;
/// Interval at which an idle thread checks whether it has to watch or to shut down.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Name of the root document in the response to a watch.
const ROOT_NAME: &str = "root";

/// Reads settings and the instance list from the platform for this process.
#[derive(Clone)]
pub struct PlatformReader {
    client: Client,
    watcher: Client,
    address: SocketAddr,
    store: Arc<Store>,
    instances: Arc<Instances>,
}

#[derive(Debug, Deserialize)]
struct WatchReply {
    index: u64,
    changed: Vec<String>,
}

/// The reason why a read from the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The platform sent no response, or one with an error status.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The response does not conform to the interface.
    #[error("answer cannot be decoded")]
    Decode,
}

impl PlatformReader {
    /// Creates a reader that updates `store` and `instances` from the platform at `address`.
    pub fn new(address: SocketAddr, store: Arc<Store>, instances: Arc<Instances>) -> Self {
        let wait = Duration::from_millis(WATCH_WAIT_MS);
        let client = Client::new(RESPONSE_TIMEOUT);
        let watcher = Client::new(wait + RESPONSE_TIMEOUT);
        Self { client, watcher, address, store, instances }
    }

    /// Watches the platform until the shutdown, while `should_watch` returns true.
    ///
    /// The service could not handle the load if all instances of a large fleet watched at once.
    pub fn run(&self, shutdown: &Shutdown, should_watch: impl Fn() -> bool) {
        let mut backoff = Backoff::default();
        let mut index = 0;
        while !shutdown.is_requested() {
            if !should_watch() {
                thread::sleep(IDLE_POLL_INTERVAL);
                continue;
            }
            match self.poll(index) {
                Ok(next) => {
                    index = next;
                    backoff.reset();
                }
                Err(error) => {
                    log_read_error(self.address, &error);
                    thread::sleep(backoff.next_pause(retry_after(&error)));
                }
            }
        }
    }

    /// Reads the instance list repeatedly until the shutdown. The longer the list, the less often
    /// it is read.
    pub fn run_instance_list(&self, shutdown: &Shutdown) {
        let mut backoff = Backoff::default();
        while !shutdown.is_requested() {
            let started = Instant::now();
            let pause = match self.read_instance_list() {
                Ok(list_bytes) => {
                    backoff.reset();
                    list_interval(list_bytes).saturating_sub(started.elapsed())
                }
                Err(error) => backoff.next_pause(retry_after(&error)).max(LIST_INTERVAL_MIN),
            };
            sleep_or_shutdown(pause, shutdown);
        }
    }

    /// Reads all documents once and logs a failure.
    pub fn read_all(&self) {
        if let Err(error) = self.poll(0) {
            log_read_error(self.address, &error);
        }
    }

    /// Reads the subtree of one account immediately and logs a failure.
    pub fn fetch(&self, account: &str) {
        if let Err(error) = self.read_account(account) {
            log_read_error(self.address, &error);
        }
    }

    /// Sends one long poll, reads the documents that it lists and returns the index for the next
    /// poll.
    ///
    /// If any read fails, the poll fails and its index has to be used again. A document whose read
    /// failed would otherwise never be fetched.
    pub fn poll(&self, after: u64) -> Result<u64, ReadError> {
        let path = format!("/v1/watch?after={after}&wait_ms={WATCH_WAIT_MS}");
        let body = self.watcher.get(self.address, &path)?;
        let reply: WatchReply = serde_json::from_slice(&body).map_err(|_| ReadError::Decode)?;
        if reply.changed.iter().any(|name| name == ROOT_NAME) {
            self.read_root()?;
        }
        for name in reply.changed.iter().filter(|name| *name != ROOT_NAME) {
            if self.store.scope().contains(name) {
                self.read_account(name)?;
            }
        }
        self.store.confirm(0);
        Ok(reply.index)
    }

    fn read_root(&self) -> Result<(), ReadError> {
        let yaml = decode_utf8(self.client.get(self.address, "/v1/root")?)?;
        self.store.offer_root(&yaml, Source::Platform);
        Ok(())
    }

    fn read_account(&self, name: &str) -> Result<(), ReadError> {
        match self.client.get(self.address, &format!("/v1/accounts/{name}")) {
            Ok(body) => {
                self.store.offer_account(name, &decode_utf8(body)?, Source::Platform);
                Ok(())
            }
            // The account was removed between the watch and the read.
            Err(ClientError::Status(404)) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    /// Reads the instance list once and returns its size in bytes.
    pub fn read_instance_list(&self) -> Result<usize, ReadError> {
        let body = self.client.get(self.address, "/v1/instances")?;
        let list: InstanceList = serde_json::from_slice(&body).map_err(|_| ReadError::Decode)?;
        self.instances.replace(list);
        Ok(body.len())
    }
}

/// Returns the interval between two reads of a list that has `list_bytes` bytes.
///
/// ```
/// use std::time::Duration;
/// use shell::settings_sync::platform::list_interval;
/// assert_eq!(list_interval(6_750), Duration::from_secs(5));
/// assert_eq!(list_interval(2_400_000), Duration::from_secs(1_200));
/// ```
pub fn list_interval(list_bytes: usize) -> Duration {
    let interval = Duration::from_millis(list_bytes as u64 * 1_000 / LIST_BYTES_PER_SECOND);
    interval.max(LIST_INTERVAL_MIN)
}

/// Sleeps in short steps, so that a long pause does not delay the shutdown.
fn sleep_or_shutdown(pause: Duration, shutdown: &Shutdown) {
    let end = Instant::now() + pause;
    while Instant::now() < end && !shutdown.is_requested() {
        thread::sleep(IDLE_POLL_INTERVAL.min(end.saturating_duration_since(Instant::now())));
    }
}

fn decode_utf8(body: Vec<u8>) -> Result<String, ReadError> {
    String::from_utf8(body).map_err(|_| ReadError::Decode)
}

fn retry_after(error: &ReadError) -> Duration {
    match error {
        ReadError::Client(ClientError::Busy { retry_after_ms, .. }) => {
            Duration::from_millis(*retry_after_ms)
        }
        _ => Duration::ZERO,
    }
}

fn log_read_error(address: SocketAddr, error: &ReadError) {
    let code = match error {
        ReadError::Client(ClientError::Busy { status: 429, .. }) => codes::OVER_READ_BUDGET,
        _ => codes::PLATFORM_UNREACHABLE,
    };
    log::warn!(code = code.0; "{code}: platform {address}: {error}");
}
