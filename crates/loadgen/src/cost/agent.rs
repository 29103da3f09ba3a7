//! Measures the cost of the agents of one service, by load and in storms after failures.

use decision::view::WhenInDoubt;

use super::{SimulatedService, Usage, resident_bytes};
use crate::results::{Results, Series};

/// Numbers of agents per service at which cost is measured. The mean at target size is 5.3.
const SERVICE_SIZES: [usize; 6] = [2, 4, 8, 16, 32, 64];
/// Agents per service where another quantity is varied: the mean at target size, rounded up.
const MEAN_SERVICE_AGENTS: usize = 6;
/// Open flows per agent at which cost is measured. At target size the mean is 3,700 and the maximum
/// 50,000.
const FLOWS: [u64; 5] = [1_000, 3_700, 10_000, 25_000, 50_000];
/// New flows per second and agent at which cost is measured. The mean at target size is 12.
const RATES: [u64; 5] = [4, 12, 24, 48, 96];
/// Lifetime of a flow where the rate of new flows is varied.
const FLOW_LIFETIME_MS: u64 = 5_000;
const IDLE_DURATION_MS: u64 = 30_000;
/// Interval within which all open flows are announced again once.
const REANNOUNCE_INTERVAL_MS: u64 = 600_000;
/// Limit for the duration of a storm; a longer one is reported with this duration.
const STORM_TIMEOUT_MS: u64 = 120_000;

/// Runs all measurements and returns their series.
pub fn measure() -> Results {
    let mut series = Vec::new();
    let idle = measure_points(&SERVICE_SIZES.map(|count| count as u64), |count| {
        per_agent(measure_idle(count as usize, IDLE_DURATION_MS), count, IDLE_DURATION_MS)
    });
    push_usage_series(&mut series, "service_size", "agents of the service", &idle);
    let with_open_flows = measure_points(&FLOWS, |flows| {
        let mut service = service_with_flows(MEAN_SERVICE_AGENTS, flows);
        service.run(REANNOUNCE_INTERVAL_MS);
        per_agent(service.take_usage(), MEAN_SERVICE_AGENTS as u64, REANNOUNCE_INTERVAL_MS)
    });
    push_usage_series(
        &mut series,
        "open_flows",
        "open flows an agent (6 agents)",
        &with_open_flows,
    );
    for (name, when_in_doubt) in [("admit", WhenInDoubt::Admit), ("refuse", WhenInDoubt::Refuse)] {
        let with_new_flows = measure_points(&RATES, |rate| measure_new_flows(rate, when_in_doubt));
        let x = "new flows a second an agent (6 agents)";
        push_usage_series(&mut series, &format!("new_flows_{name}"), x, &with_new_flows);
    }
    push_storm_series(&mut series, "relearn", |flows| {
        let mut service = service_with_flows(MEAN_SERVICE_AGENTS, flows);
        restart_storm(&mut service)
    });
    push_storm_series(&mut series, "zone_lost_and_back", zone_outage_storm);
    push_storm_series(&mut series, "replaced_in_a_minute", replacement_storm);
    Results { command: "gooseberrysill-load agent".into(), series }
}

/// Memory in bytes of one agent that holds `flows` open flows, including its redirects for flows of
/// peers.
///
/// Each size must be measured in a separate process, because an allocator rarely returns memory to
/// the kernel.
///
/// Errors: the kernel does not report the memory in use, or not all flows are open.
pub fn memory(flows: u64) -> anyhow::Result<f64> {
    let before = resident_bytes()?;
    let service = service_with_flows(MEAN_SERVICE_AGENTS, flows);
    let used = resident_bytes()? - before;
    let open: usize = service.agents().iter().map(decision::agent::Agent::open_flows).sum();
    anyhow::ensure!(
        open as u64 >= flows * MEAN_SERVICE_AGENTS as u64,
        "only {open} flows are open"
    );
    Ok(used as f64 / MEAN_SERVICE_AGENTS as f64)
}

/// Measured usage of one agent, or the measured course of a storm.
#[derive(Clone, Copy, Debug)]
struct Sample {
    bytes: f64,
    messages: f64,
    processor_us: f64,
    peak_bytes: f64,
    recovery_ms: f64,
}

type Points = Vec<(f64, Sample)>;

fn measure_points(sizes: &[u64], measure: impl Fn(u64) -> Sample) -> Points {
    sizes.iter().map(|&size| (size as f64, measure(size))).collect()
}

fn push_usage_series(series: &mut Vec<Series>, name: &str, x: &str, points: &Points) {
    let mut add = |suffix: &str, y: &str, pick: fn(&Sample) -> f64| {
        let points: Vec<(f64, f64)> = points.iter().map(|(x, it)| (*x, pick(it))).collect();
        series.push(Series::new(&format!("{name}_{suffix}"), x, y, &points));
    };
    add("bytes", "B/s an agent", |it| it.bytes);
    add("messages", "messages/s an agent", |it| it.messages);
    add("processor", "us/s an agent", |it| it.processor_us);
}

fn push_storm_series(series: &mut Vec<Series>, name: &str, measure: fn(u64) -> Sample) {
    let points = measure_points(&[1_000, 2_000, 3_700, 10_000, 20_000], measure);
    let mut add = |suffix: &str, y: &str, pick: fn(&Sample) -> f64| {
        let points: Vec<(f64, f64)> = points.iter().map(|(x, it)| (*x, pick(it))).collect();
        let x = "open flows an agent";
        series.push(Series::new(&format!("{name}_{suffix}"), x, y, &points));
    };
    add("peak", "B/s peak of an agent", |it| it.peak_bytes);
    add("ms", "ms until calm", |it| it.recovery_ms);
}

fn per_agent(usage: Usage, agents: u64, duration_ms: u64) -> Sample {
    let seconds = duration_ms as f64 / 1_000.0 * agents as f64;
    Sample {
        bytes: usage.bytes as f64 / seconds,
        messages: usage.messages as f64 / seconds,
        processor_us: usage.processor.as_secs_f64() * 1e6 / seconds,
        peak_bytes: usage.peak_bytes as f64,
        recovery_ms: duration_ms as f64,
    }
}

fn measure_idle(count: usize, duration_ms: u64) -> Usage {
    let mut service = SimulatedService::new(count, WhenInDoubt::Admit);
    service.run(duration_ms);
    service.take_usage()
}

/// Returns a service whose agents hold `flows` flows each on average, all of them announced.
fn service_with_flows(count: usize, flows: u64) -> SimulatedService {
    let mut service = SimulatedService::new(count, WhenInDoubt::Admit);
    let batch = 200 * count as u64;
    for number in 0..flows * count as u64 {
        service.open_flow(number);
        if number.is_multiple_of(batch) {
            service.run(100);
        }
    }
    service.run(15_000);
    service.take_usage();
    service
}

fn measure_new_flows(rate: u64, when_in_doubt: WhenInDoubt) -> Sample {
    let mut service = SimulatedService::new(MEAN_SERVICE_AGENTS, when_in_doubt);
    let step_ms = 250;
    let per_step = rate * MEAN_SERVICE_AGENTS as u64 * step_ms / 1_000;
    let flows_per_lifetime = FLOW_LIFETIME_MS / step_ms * per_step;
    let mut next = 0;
    let mut step = |service: &mut SimulatedService| {
        for number in next..next + per_step {
            service.open_flow(number);
            if let Some(ended) = number.checked_sub(flows_per_lifetime) {
                service.close_flow(ended);
            }
        }
        next += per_step;
        service.run(step_ms);
    };
    (0..40).for_each(|_| step(&mut service));
    service.take_usage();
    (0..80).for_each(|_| step(&mut service));
    per_agent(service.take_usage(), MEAN_SERVICE_AGENTS as u64, 80 * step_ms)
}

/// One agent restarts. The storm ends once the agent holds as many flows as before.
fn restart_storm(service: &mut SimulatedService) -> Sample {
    let before = service.agents()[0].open_flows();
    service.restart(0);
    let recovery_ms =
        service.run_until(STORM_TIMEOUT_MS, |it| it.agents()[0].open_flows() >= before);
    storm_sample(service, recovery_ms)
}

/// A third of the agents (one zone of three) is cut off for ten seconds and then restarts without
/// state, as a new incarnation. The storm ends once each holds as many flows as before.
fn zone_outage_storm(flows: u64) -> Sample {
    let mut service = service_with_flows(MEAN_SERVICE_AGENTS, flows);
    let before: Vec<usize> = (0..2).map(|index| service.agents()[index].open_flows()).collect();
    (0..2).for_each(|index| service.set_partitioned(index, true));
    service.run(10_000);
    for index in 0..2 {
        service.set_partitioned(index, false);
        service.restart(index);
    }
    let all_recovered = |it: &SimulatedService| {
        (0..2).all(|index| it.agents()[index].open_flows() >= before[index])
    };
    let recovery_ms = service.run_until(STORM_TIMEOUT_MS, all_recovered);
    storm_sample(&mut service, recovery_ms)
}

/// One of ten agents is replaced within a minute, which is 10 %. The peak is the largest of all
/// ten.
fn replacement_storm(flows: u64) -> Sample {
    let mut service = service_with_flows(10, flows);
    restart_storm(&mut service)
}

fn storm_sample(service: &mut SimulatedService, recovery_ms: u64) -> Sample {
    // Peaks are taken over a full second: run to the end of the last one.
    service.run(1_000);
    let usage = service.take_usage();
    Sample { recovery_ms: recovery_ms as f64, ..per_agent(usage, 1, recovery_ms.max(1)) }
}
