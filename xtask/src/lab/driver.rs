//! The stages of a run: build, start, phases, shutdown, verdict.

use std::path::PathBuf;

use standins::caller::{Report, Workload};
use standins::clock;
use standins::shell::lock;

use super::actions::DaemonId;
use super::figures::Figures;
use super::options::Options;
use super::scenario::{Phase, PhaseKind};
use super::topology::ACCOUNTS;
use super::verdict::{self, RunInfo};
use super::{Lab, evidence, observer};
use crate::process;

/// Time for which callers run before the first phase.
const WARM_UP_MS: u64 = 2_000;
/// Time after the last phase within which everything must recover.
const RECOVERY_MS: u64 = 3_000;
/// Time after the recovery in which failed openings are counted separately.
const POST_RECOVERY_MS: u64 = 2_000;
/// Maximum time for callers to complete the requests in flight.
const CALLERS_IDLE_TIMEOUT_MS: u64 = 12_000;
/// Time between two lines of a feed.
const FEED_INTERVAL_MS: u32 = 200;
/// Time between two confirmations over a feed's connection.
const FEED_CONFIRM_INTERVAL_MS: u64 = 1_000;

/// Builds the binaries that the run needs and returns their folder.
pub(super) fn build(options: &Options) -> anyhow::Result<PathBuf> {
    let mut arguments = vec!["--bins", "-p", "standins"];
    if options.scenario.with_product {
        arguments.extend(["-p", "balancer", "-p", "agent"]);
    }
    if options.mutant.is_some() {
        arguments.extend(["--features", "agent/mutants"]);
    }
    if options.release {
        arguments.push("--release");
    }
    let target = process::build(&arguments)?;
    Ok(target.join(if options.release { "release" } else { "debug" }))
}

/// Runs the scenario and evaluates the result.
pub(super) fn drive(lab: &Lab) -> anyhow::Result<Figures> {
    lab.log_progress(&format!(
        "scenario `{}`: {}",
        lab.options.scenario.name, lab.options.scenario.description
    ));
    start_all(lab)?;
    let reports = std::thread::scope(|scope| {
        if lab.options.scenario.with_product {
            observer::spawn(lab, scope);
        }
        let reports = run_phases(lab).and_then(|()| stop_callers(lab));
        lab.ended.store(true, std::sync::atomic::Ordering::Relaxed);
        reports
    })?;
    evidence::write_timelines(lab);
    let run = RunInfo {
        scenario: lab.options.scenario.name,
        seed: lab.options.seed,
        duration_ms: clock::now().0 - lab.started_ms,
        mutant: lab.options.mutant.clone(),
    };
    let figures = verdict::judge(run, &evidence::gather(lab, reports)?);
    stop_processes(lab)?;
    Ok(figures)
}

fn start_all(lab: &Lab) -> anyhow::Result<()> {
    lab.start_platform_and_fabric()?;
    lab.publish_without_upstreams()?;
    let (balancers, upstreams) = {
        let fleet = lock(&lab.fleet);
        (fleet.balancers.len(), fleet.upstreams.len())
    };
    (0..upstreams).try_for_each(|index| lab.start_upstream(index))?;
    if lab.options.scenario.with_product {
        (0..balancers).try_for_each(|index| lab.start_balancer(index))?;
        (0..upstreams).try_for_each(|index| lab.start_agent(index))?;
        (0..balancers).try_for_each(|index| lab.await_ready(DaemonId::Balancer(index)))?;
        (0..upstreams).try_for_each(|index| lab.await_listable(index))?;
    }
    lab.publish_all()?;
    if lab.options.scenario.with_product {
        (0..upstreams).try_for_each(|index| lab.await_ready(DaemonId::Agent(index)))?;
    }
    lab.push_plan()?;
    lab.start_callers()?;
    lab.log_progress(&format!(
        "{balancers} balancers and {upstreams} upstreams with agents are up"
    ));
    for account in 0..ACCOUNTS.len() {
        let control = lab.net.caller(account).control;
        lab.http.put(control, "/admin/workloads", &workloads(lab, account)?)?;
    }
    Ok(())
}

fn workloads(lab: &Lab, account: usize) -> anyhow::Result<Vec<Workload>> {
    let services = ACCOUNTS[account].services.iter();
    let workload = |service: &super::topology::ServicePlan| {
        Ok(Workload {
            service: service.name.into(),
            address: service.address.parse()?,
            feeds: service.workload.feeds * lab.options.scale,
            feed_interval_ms: FEED_INTERVAL_MS,
            feed_confirm_interval_ms: FEED_CONFIRM_INTERVAL_MS,
            confirms_per_s: service.workload.confirms_per_s,
            fetches_per_s: service.workload.fetches_per_s,
            fetch_bytes: service.workload.fetch_bytes,
            datagram_address: service.datagram_address.map(str::parse).transpose()?,
            datagrams_per_s: service.workload.datagrams_per_s,
        })
    };
    services.map(workload).collect()
}

fn run_phases(lab: &Lab) -> anyhow::Result<()> {
    lab.record(|journal, now_ms| journal.phases.push((now_ms, PhaseKind::Planned)));
    lab.sleep(WARM_UP_MS)?;
    lab.options.scenario.phases.iter().try_for_each(|phase| run_phase(lab, phase))?;
    lab.log_progress("recovering");
    lab.sleep(RECOVERY_MS)?;
    lab.log_progress("recovery time is over: no opening may fail from now on");
    lab.record(|journal, now_ms| journal.phases.push((now_ms, PhaseKind::Recovered)));
    lab.sleep(POST_RECOVERY_MS)
}

fn run_phase(lab: &Lab, phase: &Phase) -> anyhow::Result<()> {
    lab.log_progress(&format!("phase: {}", phase.name));
    lab.record(|journal, now_ms| journal.phases.push((now_ms, phase.kind)));
    std::thread::scope(|scope| {
        let run_track = |track: &'static [_]| {
            scope.spawn(move || track.iter().try_for_each(|step| lab.perform(*step)))
        };
        let tracks: Vec<_> = phase.tracks.iter().map(|track| run_track(track)).collect();
        let ended = tracks.into_iter().map(|track| track.join());
        // A panic in a track is a bug of the lab and ends the run with an error.
        let flatten = |ended: std::thread::Result<_>| {
            ended.unwrap_or_else(|_| Err(anyhow::anyhow!("a track panicked")))
        };
        ended.map(flatten).collect::<Vec<_>>().into_iter().collect()
    })
}

/// Ends all feeds, waits for the requests in flight, and collects the callers' reports.
fn stop_callers(lab: &Lab) -> anyhow::Result<Vec<Report>> {
    lab.log_progress("ending all feeds");
    observer::check_settings_converged(lab);
    let controls: Vec<_> =
        (0..ACCOUNTS.len()).map(|account| lab.net.caller(account).control).collect();
    for control in &controls {
        lab.http.post(*control, "/admin/stop")?;
    }
    let report = |control| lab.http.get::<Report>(control, "/admin/report");
    let is_idle = |control: &_| report(*control).is_ok_and(|report| report.is_idle);
    lab.wait_until(CALLERS_IDLE_TIMEOUT_MS, || controls.iter().all(is_idle))?;
    controls.into_iter().map(report).collect()
}

/// Stops the platform, the fabric and the callers with SIGTERM. A process that does not exit in
/// time is killed when it is dropped, as are all others when the lab is dropped.
fn stop_processes(lab: &Lab) -> anyhow::Result<()> {
    lab.log_progress("stopping all processes");
    let processes: Vec<_> = std::mem::take(&mut *lock(&lab.standins));
    for process in &processes {
        process.signal(nix::sys::signal::Signal::SIGTERM);
    }
    let begun = clock::now();
    for mut process in processes {
        while process.exit_status().is_none() && clock::now().since(begun) < 1_000 {
            lab.sleep(super::POLL_INTERVAL_MS)?;
        }
        if process.exit_status().is_none() {
            lab.log_progress(&format!("{} did not exit in time and is killed", process.name()));
        }
    }
    Ok(())
}
