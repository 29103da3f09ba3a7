//! Threads that poll the processes while a scenario runs.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::Ordering;
use std::thread::Scope;
use std::time::Duration;

use serde::Deserialize;
use standins::clock;
use standins::shell::lock;
use standins::upstream::Stats;

use super::Lab;
use super::fleet::{FIRST_LISTING, Published};
use super::http::HttpClient;
use super::journal::{InForce, Load};
use super::topology::ACCOUNTS;

/// Number of threads that poll daemons for their settings in force.
const POLLERS: usize = 4;
/// Interval between two polling rounds; it limits the precision of `settings_in_force_ms`.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time for which a paused daemon delays a polling round.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between two samples of the upstreams' load.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time for a settings change to reach every daemon at the end of a run.
const CONVERGENCE_TIMEOUT_MS: u64 = 5_000;

/// The part of a daemon's `/status` that the lab reads.
#[derive(Deserialize)]
struct DaemonStatus {
    ready: bool,
    settings: Vec<AccountVersion>,
}

#[derive(Deserialize)]
struct AccountVersion {
    account: String,
    version: u64,
}

/// A daemon to poll.
struct PollTarget {
    instance: String,
    control: SocketAddr,
}

impl PollTarget {
    /// Index of the thread that polls this daemon. It is always the same one, so that it notices
    /// when the daemon reverts to an older version.
    fn poller_index(&self) -> usize {
        let IpAddr::V4(address) = self.control.ip() else { return 0 };
        let [.., kind, number] = address.octets();
        usize::from(kind + number) % POLLERS
    }
}

/// Starts all observer threads, which exit at the end of the run.
pub(super) fn spawn<'scope>(lab: &'scope Lab, scope: &'scope Scope<'scope, '_>) {
    for poller in 0..POLLERS {
        scope.spawn(move || poll_settings(lab, poller));
    }
    scope.spawn(move || sample_loads(lab));
}

/// Waits until every ready daemon has the newest settings, and records those that do not get them.
pub(super) fn check_settings_converged(lab: &Lab) {
    let http = HttpClient::with_timeout(POLL_TIMEOUT);
    let until = clock::now().after(CONVERGENCE_TIMEOUT_MS);
    loop {
        let lagging: Vec<_> = ready_daemons(lab)
            .iter()
            .filter_map(|target| describe_lag(lab, &http, target))
            .collect();
        if lagging.is_empty() || clock::now() >= until {
            lab.record(|journal, _| journal.lagging = lagging);
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn describe_lag(lab: &Lab, http: &HttpClient, target: &PollTarget) -> Option<String> {
    let Ok(status) = http.get::<DaemonStatus>(target.control, "/status") else {
        return Some(format!("{}: no response from /status", target.instance));
    };
    let versions = lock(&lab.fleet).versions;
    let newest = |name: &str| {
        let index = ACCOUNTS.iter().position(|plan| plan.name == name);
        index.map_or(0, |index| versions[index])
    };
    let old = status.settings.iter().find(|entry| entry.version < newest(&entry.account))?;
    Some(format!("{}: {} at version {}", target.instance, old.account, old.version))
}

fn poll_settings(lab: &Lab, poller: usize) {
    let http = HttpClient::with_timeout(POLL_TIMEOUT);
    let mut highest: BTreeMap<(String, String), u64> = BTreeMap::new();
    while !lab.ended.load(Ordering::Relaxed) {
        for target in ready_daemons(lab).iter().filter(|target| target.poller_index() == poller) {
            // A failed poll is ignored. A daemon that lacks settings gets a longer latency or is
            // recorded as lagging at the end.
            let status = http.get::<DaemonStatus>(target.control, "/status");
            if let Some(status) = status.ok().filter(|status| status.ready) {
                record_versions(lab, target, status, &mut highest);
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn record_versions(
    lab: &Lab,
    target: &PollTarget,
    status: DaemonStatus,
    highest: &mut BTreeMap<(String, String), u64>,
) {
    for AccountVersion { account, version } in status.settings {
        let key = (target.instance.clone(), account.clone());
        let before = highest.insert(key, version).unwrap_or(0);
        if version == before {
            continue;
        }
        let instance = target.instance.clone();
        lab.record(|journal, at_ms| {
            if version < before {
                let text = format!("{instance}: {account} from {before} to {version}");
                journal.reverted.push(text);
            }
            journal.in_force.push(InForce { instance, account, version, at_ms });
        });
    }
}

/// Daemons that are currently ready.
fn ready_daemons(lab: &Lab) -> Vec<PollTarget> {
    let fleet = lock(&lab.fleet);
    let ready = fleet.daemons().filter(|daemon| daemon.is_ready);
    ready
        .map(|daemon| PollTarget {
            instance: daemon.name.clone(),
            control: daemon.endpoints.control,
        })
        .collect()
}

fn sample_loads(lab: &Lab) {
    let http = HttpClient::with_timeout(POLL_TIMEOUT);
    while !lab.ended.load(Ordering::Relaxed) {
        for (account, plan) in ACCOUNTS.iter().enumerate() {
            for (service, service_plan) in plan.services.iter().enumerate() {
                let open = open_connections(lab, &http, account, service);
                let service = service_plan.name;
                lab.record(|journal, _| journal.loads.push(Load { service, open }));
            }
        }
        std::thread::sleep(LOAD_SAMPLE_INTERVAL);
    }
}

fn open_connections(
    lab: &Lab,
    http: &HttpClient,
    account: usize,
    service: usize,
) -> Vec<(String, u64)> {
    let rows: Vec<_> = {
        let fleet = lock(&lab.fleet);
        let is_active = |row: &&super::fleet::Upstream| {
            (row.account, row.service) == (account, service)
                && row.published == Published::Active
                && row.since_version == FIRST_LISTING
        };
        let daemons = fleet.upstreams.iter().filter(is_active).map(|row| &row.upstream);
        daemons.map(|daemon| (daemon.name.clone(), daemon.endpoints.control)).collect()
    };
    let open = |(name, control)| {
        let stats = http.get::<Stats>(control, "/admin/stats").ok()?;
        Some((name, stats.open_connections))
    };
    rows.into_iter().filter_map(open).collect()
}
