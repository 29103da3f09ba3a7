//! Measures the cost of gossip among balancers, by fleet size and in storms of changes.

use decision::keys::{AccountId, UpstreamId, Version};
use decision::spread::{Member, Spread, SpreadEvent, Tuning};

use super::Fleet;
use crate::cost::processor_time;
use crate::cost::tree::typical_delta_bytes;
use crate::results::{Results, Series};

/// Fleet sizes at which cost is measured; the last is the size expected in two years.
const BALANCER_COUNTS: [usize; 5] = [100, 200, 400, 800, 1_600];
/// Availability zones expected in two years.
const ZONES: usize = 17;
/// Client accounts; 300 are assumed for 1,900 service addresses.
const ACCOUNTS: u64 = 300;
/// Time over which the cost of an idle fleet is averaged.
const IDLE_DURATION_MS: u64 = 60_000;
/// Limit for the duration of a storm; a longer one is reported with this duration.
const STORM_TIMEOUT_MS: u64 = 120_000;

/// Runs all measurements and returns their series.
pub fn measure() -> Results {
    let mut series = vec![
        series_over_balancers("idle_bytes", "B/s/node", idle_bytes),
        series_over_balancers("idle_processor", "us/s/node", idle_processor_us),
        series_over_balancers("idle_bytes_http", "B/s/node", idle_bytes_http),
        series_over_balancers("change_bytes", "B/node/change", change_bytes),
        series_over_balancers("change_ms", "ms until in force everywhere", |count| {
            settings_storm(count, 1, Tuning::default()).duration_ms
        }),
        storm_series("settings_storm_ms", "ms until in force everywhere", |storm| {
            storm.duration_ms
        }),
        storm_series("settings_storm_peak", "B/s peak of a node", |storm| storm.peak_bytes),
        zone_series("zone_loss_ms", "ms until known everywhere", |storm| storm.duration_ms),
        zone_series("zone_loss_peak", "B/s peak of a node", |storm| storm.peak_bytes),
    ];
    series.extend(TUNINGS.iter().flat_map(|&tuning| tuning_series(tuning)));
    Results { command: "gooseberrysill-load control".into(), series }
}

/// Gossip parameters to compare.
const TUNINGS: [Tuning; 5] = [
    Tuning { fanout: 2, rounds: 1 },
    Tuning { fanout: 3, rounds: 1 },
    Tuning { fanout: 4, rounds: 1 },
    Tuning { fanout: 2, rounds: 2 },
    Tuning { fanout: 3, rounds: 2 },
];

/// Duration and peak rate of storms of settings changes under one tuning.
fn tuning_series(tuning: Tuning) -> [Series; 2] {
    let storms: Vec<(f64, Storm)> = [1, 50, 200]
        .iter()
        .map(|&changes| (changes as f64, settings_storm(400, changes, tuning)))
        .collect();
    let pick = |suffix: &str, y: &str, pick: fn(&Storm) -> f64| {
        let name = format!("tuning_{}x{}_{suffix}", tuning.fanout, tuning.rounds);
        let points: Vec<(f64, f64)> = storms.iter().map(|(x, storm)| (*x, pick(storm))).collect();
        Series::new(&name, "changes at once (400 balancers)", y, &points)
    };
    [
        pick("ms", "ms until in force everywhere", |storm| storm.duration_ms),
        pick("peak", "B/s peak of a node", |storm| storm.peak_bytes),
    ]
}

/// Measured duration and traffic of a storm: many changes at the same time.
#[derive(Clone, Copy)]
struct Storm {
    duration_ms: f64,
    peak_bytes: f64,
    bytes: f64,
}

fn series_over_balancers(name: &str, y: &str, measure: impl Fn(usize) -> f64) -> Series {
    let points: Vec<(f64, f64)> =
        BALANCER_COUNTS.iter().map(|&count| (count as f64, measure(count))).collect();
    Series::new(name, "balancers", y, &points)
}

fn storm_series(name: &str, y: &str, pick: impl Fn(Storm) -> f64) -> Series {
    let points: Vec<(f64, f64)> = [1, 50, 100, 200]
        .iter()
        .map(|&changes| (changes as f64, pick(settings_storm(400, changes, Tuning::default()))))
        .collect();
    Series::new(name, "changes at once (400 balancers)", y, &points)
}

fn zone_series(name: &str, y: &str, pick: impl Fn(Storm) -> f64) -> Series {
    let points: Vec<(f64, f64)> = [50, 150, 300, 600]
        .iter()
        .map(|&agents| (agents as f64, pick(zone_loss(400, agents))))
        .collect();
    Series::new(name, "agents lost at once (400 balancers)", y, &points)
}

fn idle_bytes(count: usize) -> f64 {
    let mut fleet = Fleet::new(count, ZONES, ACCOUNTS, typical_delta_bytes());
    fleet.run(IDLE_DURATION_MS);
    per_node_second(fleet.traffic().bytes, count, IDLE_DURATION_MS)
}

fn idle_processor_us(count: usize) -> f64 {
    let mut fleet = Fleet::new(count, ZONES, ACCOUNTS, typical_delta_bytes());
    let start = processor_time();
    fleet.run(IDLE_DURATION_MS);
    let used = processor_time() - start;
    used.as_secs_f64() * 1e6 / count as f64 / (IDLE_DURATION_MS as f64 / 1_000.0)
}

fn idle_bytes_http(count: usize) -> f64 {
    let mut fleet = Fleet::new(count, ZONES, ACCOUNTS, typical_delta_bytes());
    fleet.use_http();
    fleet.run(IDLE_DURATION_MS);
    per_node_second(fleet.traffic().bytes, count, IDLE_DURATION_MS)
}

/// Bytes per node for one change, without the idle traffic of the same period.
fn change_bytes(count: usize) -> f64 {
    let storm = settings_storm(count, 1, Tuning::default());
    storm.bytes / count as f64 - idle_bytes(count) * storm.duration_ms / 1_000.0
}

fn settings_storm(count: usize, changes: u64, tuning: Tuning) -> Storm {
    let mut fleet = Fleet::with_tuning(count, ZONES, ACCOUNTS, typical_delta_bytes(), tuning);
    for account in 1..=changes {
        fleet.install(account as usize % count, account, 2);
    }
    let done = |node: &Spread| {
        (1..=changes).all(|account| node.version(AccountId(account)) == Some(Version(2)))
    };
    run_storm(fleet, done)
}

fn zone_loss(count: usize, agents: u64) -> Storm {
    let mut fleet = Fleet::new(count, ZONES, ACCOUNTS, typical_delta_bytes());
    for agent in 0..agents {
        let member = Member { upstream: UpstreamId(agent), beat: 1, up: false };
        fleet.inject(agent as usize % count, SpreadEvent::Observed(member));
    }
    run_storm(fleet, |node| node.down().len() as u64 == agents)
}

fn run_storm(mut fleet: Fleet, done: impl Fn(&Spread) -> bool) -> Storm {
    let duration_ms = fleet.run_until(STORM_TIMEOUT_MS, done).unwrap_or(STORM_TIMEOUT_MS) as f64;
    // Peaks are evaluated at the end of each whole second: run to the end of the last one.
    fleet.run(1_000);
    let traffic = fleet.traffic();
    Storm { duration_ms, peak_bytes: traffic.peak_node_bytes as f64, bytes: traffic.bytes as f64 }
}

fn per_node_second(bytes: u64, count: usize, duration_ms: u64) -> f64 {
    bytes as f64 / count as f64 / (duration_ms as f64 / 1_000.0)
}
