//! Reading the platform's configuration service: a long poll, then the documents that changed.

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

/// How long the platform may hold a watch. Each call counts against the read budget, however long
/// it waits.
const WATCH_WAIT_MS: u64 = 10_000;
/// Time for the answer beyond the wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Pause between reads of the instance list, which lags by seconds anyway. About 250 bytes an
/// instance: at today's 27 instances 1.4 KB/s.
const LIST_INTERVAL_MIN: Duration = Duration::from_millis(5_000);
/// Most bytes of the list a second, of the 10,000 that control may take. The list can only be read
/// whole: with 11,600 instances it is 2.4 MB, and is read every 20 minutes. What happens in between
/// the agents report, and new balancers bring along by comparing.
const LIST_BYTES_PER_SECOND: u64 = 2_000;
/// Pause between two looks whether this instance is to watch.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Name of the root in the answer of a watch.
const ROOT_NAME: &str = "root";

/// Reads the platform for one process.
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

/// Why a pass over the platform's documents was not completed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// No answer, or not the one asked for.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// An answer that is not what the interface says.
    #[error("answer cannot be decoded")]
    Decode,
}

impl PlatformReader {
    /// A reader of the platform at `address` that feeds `store` and `instances`.
    pub fn new(address: SocketAddr, store: Arc<Store>, instances: Arc<Instances>) -> Self {
        let wait = Duration::from_millis(WATCH_WAIT_MS);
        let client = Client::new(RESPONSE_TIMEOUT);
        let watcher = Client::new(wait + RESPONSE_TIMEOUT);
        Self { client, watcher, address, store, instances }
    }

    /// Watches until the shutdown, whenever `should_watch` says so: the service could not bear it if
    /// every instance of a large fleet watched all the time.
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

    /// Reads the list of instances until the shutdown, the more rarely the longer it is.
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

    /// Reads everything once.
    pub fn read_all(&self) {
        if let Err(error) = self.poll(0) {
            log_read_error(self.address, &error);
        }
    }

    /// Fetches one account (and the root if its subtree needs a newer one) at once.
    pub fn fetch(&self, account: &str) {
        if let Err(error) = self.read_account(account) {
            log_read_error(self.address, &error);
        }
    }

    /// One long poll and the documents that it names; returns the index to go on from. The index
    /// moves on only after all of them were read: a document missed by a failed read would
    /// otherwise never be fetched.
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
            // The account was withdrawn between the watch and the read.
            Err(ClientError::Status(404)) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    /// Reads the list of instances once; returns its size in bytes.
    pub fn read_instance_list(&self) -> Result<usize, ReadError> {
        let body = self.client.get(self.address, "/v1/instances")?;
        let list: InstanceList = serde_json::from_slice(&body).map_err(|_| ReadError::Decode)?;
        self.instances.replace(list);
        Ok(body.len())
    }
}

/// Time between two reads of a list of `list_bytes`.
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

/// Sleeps in short steps, so that a long pause does not hold up the shutdown.
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
