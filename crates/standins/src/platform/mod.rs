//! The platform: a configuration service that readers can only read and watch, and a list of
//! instances that becomes visible with a lag. Only the lab writes, through the admin calls.

mod budget;
mod mode;
mod store;

use std::sync::Mutex;
use std::time::Duration;

use decision::time::Millis;
use gotham::hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::admin::{Call, Reply};
use crate::clock;
use crate::shell::lock;
pub use budget::Budget;
pub use mode::Mode;
pub use store::{Document, Instance, InstanceList, Snapshot, Store, WatchReply};

/// Interval at which a waiting watch checks for changes.
const WATCH_POLL_INTERVAL_MS: u64 = 10;
/// Upper bound of the wait time that a watch may request.
const WATCH_WAIT_MAX_MS: u64 = 60_000;

/// Counters, body of `GET /admin/stats`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Calls served within the budget; a waiting watch counts once.
    pub reads: u64,
    /// Calls refused because the budget was exhausted.
    pub reads_over_budget: u64,
    /// Calls refused because the service was down.
    pub reads_while_down: u64,
    /// Largest number of reads in any second.
    pub reads_per_s_max: u64,
}

/// The platform behind its HTTP endpoint.
#[derive(Debug)]
pub struct Platform {
    store: Store,
    budget: Budget,
    mode: Mode,
    mode_since: Millis,
    stats: Stats,
    current_second: u64,
    reads_this_second: u64,
}

/// Whether a read is served.
enum Admission {
    Served,
    Down,
    OverBudget { retry_after_s: u32 },
}

impl Platform {
    /// Creates a platform with nothing published.
    ///
    /// ```
    /// use standins::platform::Platform;
    /// assert_eq!(Platform::new(2_000).stats().reads, 0);
    /// ```
    pub fn new(reads_per_s: u32) -> Self {
        Self {
            store: Store::default(),
            budget: Budget::new(reads_per_s),
            mode: Mode::default(),
            mode_since: Millis(0),
            stats: Stats::default(),
            current_second: 0,
            reads_this_second: 0,
        }
    }

    /// Counters.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Counts one read and returns whether it is served.
    fn admit(&mut self, now: Millis) -> Admission {
        if self.mode.down {
            self.stats.reads_while_down += 1;
            return Admission::Down;
        }
        if let Err(retry_after_s) = self.budget.take(now) {
            self.stats.reads_over_budget += 1;
            return Admission::OverBudget { retry_after_s };
        }
        self.stats.reads += 1;
        if self.current_second != now.0 / 1_000 {
            (self.current_second, self.reads_this_second) = (now.0 / 1_000, 0);
        }
        self.reads_this_second += 1;
        self.stats.reads_per_s_max = self.stats.reads_per_s_max.max(self.reads_this_second);
        Admission::Served
    }

    /// The time as of which `reader` sees the published documents.
    fn seen_at(&self, reader: &str, now: Millis) -> Millis {
        self.mode.seen_at(self.mode_since, reader, now)
    }

    fn publish(&mut self, call: &Call, name: Option<&str>) -> Reply {
        let Ok(text) = std::str::from_utf8(&call.body) else {
            return Reply::text(StatusCode::BAD_REQUEST, "not UTF-8");
        };
        let index = self.store.publish(clock::now(), name, text);
        Reply::json(&index)
    }
}

/// Answers one call. A watch waits here until there is a change or its wait time is over.
pub async fn respond(platform: &Mutex<Platform>, call: Call) -> Reply {
    match call.route() {
        (method, path) if path.first() == Some(&"admin") => {
            respond_admin(&mut lock(platform), method, &path[1..], &call)
        }
        ("GET", path) if path.first() == Some(&"v1") => {
            respond_read(platform, &path[1..], &call).await
        }
        _ => Reply::not_found(),
    }
}

fn respond_admin(platform: &mut Platform, method: &str, path: &[&str], call: &Call) -> Reply {
    match (method, path) {
        ("PUT", ["root"]) => platform.publish(call, None),
        ("PUT", ["accounts", name]) => platform.publish(call, Some(name)),
        ("PUT", ["instances"]) => {
            call.with_json(|list| platform.store.set_instances(clock::now(), list))
        }
        ("PUT", ["mode"]) => call.with_json(|mode| {
            (platform.mode, platform.mode_since) = (mode, clock::now());
        }),
        ("GET", ["stats"]) => Reply::json(platform.stats()),
        _ => Reply::not_found(),
    }
}

async fn respond_read(platform: &Mutex<Platform>, path: &[&str], call: &Call) -> Reply {
    let admission = lock(platform).admit(clock::now());
    match admission {
        Admission::Served => {}
        Admission::Down => return down(),
        Admission::OverBudget { retry_after_s } => return over_budget(retry_after_s),
    }
    let delay_ms = lock(platform).mode.delay_ms;
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    if path == ["watch"] {
        return watch(platform, call).await;
    }
    let platform = lock(platform);
    let seen_at = platform.seen_at(&call.reader, clock::now());
    let document = match path {
        ["root"] => platform.store.document(seen_at, None),
        ["accounts", name] => platform.store.document(seen_at, Some(name)),
        ["instances"] => return Reply::json(&platform.store.instances(seen_at)),
        _ => return Reply::not_found(),
    };
    document.map_or_else(Reply::not_found, |text| Reply::text(StatusCode::OK, &*text))
}

async fn watch(platform: &Mutex<Platform>, call: &Call) -> Reply {
    let parameter = |name| call.parameter(name).and_then(|value| value.parse::<u64>().ok());
    let after = parameter("after").unwrap_or(0);
    let wait_ms = parameter("wait_ms").unwrap_or(0).min(WATCH_WAIT_MAX_MS);
    let until = clock::now().after(wait_ms);
    loop {
        let (watched, is_down) = {
            let platform = lock(platform);
            let now = clock::now();
            (platform.store.watch(platform.seen_at(&call.reader, now), after), platform.mode.down)
        };
        if is_down {
            return down();
        }
        if !watched.changed.is_empty() || clock::now() >= until {
            return Reply::json(&watched);
        }
        tokio::time::sleep(Duration::from_millis(WATCH_POLL_INTERVAL_MS)).await;
    }
}

fn down() -> Reply {
    Reply::text(StatusCode::SERVICE_UNAVAILABLE, "down")
}

fn over_budget(retry_after_s: u32) -> Reply {
    let reply = Reply::text(StatusCode::TOO_MANY_REQUESTS, "read budget is spent");
    Reply { retry_after_s: Some(retry_after_s), ..reply }
}
