//! Plays a case of the review: `review-2 CASE ROOT FOLDER`. Writes `FOLDER/record.txt`. Exits with 1
//! if a rule was broken, 0 if all held, and 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment, the case is played without its disruption.

mod client;
mod fleet;
mod record;
mod router;
mod server;
mod store;

use std::hash::Hasher as _;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use anyhow::{bail, ensure};
use nix::sys::signal::Signal;

use client::{Clients, Kind, Routing};
use fleet::{
    EDGES, Fleet, IDLE_ROUTES, PLATFORM_ADDRESS, SAFE_PORT, UNSAFE_PORT, configuration, edge_ip,
};
use record::Record;
use router::Router;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder] = &arguments[..] else {
        eprintln!("usage: review-2 CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let outcome = std::fs::create_dir_all(&temporary)
        .map_err(Into::into)
        .and_then(|()| play(case, Path::new(root), &temporary, Path::new(folder), trouble));
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match outcome {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case couldn't run: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Plays a case; returns whether a rule was broken.
fn play(
    case: &str,
    root: &Path,
    logs: &Path,
    folder: &Path,
    trouble: bool,
) -> anyhow::Result<bool> {
    let root: PathBuf = root.canonicalize()?;
    let record = match case {
        "drain-after-clock-step" => drain_after_clock_step(&root, logs, trouble)?,
        "storm-of-a-large-configuration" => storm_of_a_large_configuration(&root, logs, trouble)?,
        "balancers-and-servers-added" => balancers_and_servers_added(&root, logs, trouble)?,
        "agents-in-turn" => agents_in_turn(&root, logs, trouble)?,
        _ => bail!("unknown case {case}"),
    };
    let answered = record.lock().counts.get("requests answered").copied().unwrap_or(0);
    ensure!(answered >= 500, "only {answered} requests were answered");
    let broken = record.lock().broken.clone();
    let mut verdict = format!("TROUBLE={}\n", u8::from(trouble));
    for (rule, cases) in &broken {
        verdict += &format!("{rule} broken {} times\n", cases.len());
    }
    if broken.is_empty() {
        verdict += "all rules held\n";
    }
    record.write(&folder.join("record.txt"), &verdict)?;
    print!("{verdict}");
    Ok(!broken.is_empty())
}

fn kind(port: u16, safe: bool, clients: u32, pause_ms: u64, budget_ms: u64) -> Kind {
    Kind {
        name: if safe { "safe" } else { "unsafe" },
        direct: None,
        per_flow: 0,
        endpoint: SocketAddrV4::new(PLATFORM_ADDRESS, port),
        safe,
        clients,
        pause: Duration::from_millis(pause_ms),
        budget: Duration::from_millis(budget_ms),
    }
}

/// A server starts while the time of day of its machine is 2.4 s ahead; it crashes and starts again
/// under its id, and the clock has jumped back. Six seconds later it is drained as planned.
fn drain_after_clock_step(root: &Path, logs: &Path, trouble: bool) -> anyhow::Result<Record> {
    const STEP_MS: i64 = 2_400;
    const DRAIN_TIMEOUT_MS: u64 = 3_000;
    const SERVED_AFTER_ACK: Duration = Duration::from_millis(9_000);
    let mut fleet = Fleet::start(root, logs, 7, Duration::from_millis(72))?;
    let record = fleet.record.clone();
    let kinds = [kind(UNSAFE_PORT, false, 24, 300, 3_000)];
    let clients =
        Clients::start(fleet.clients_address(), &kinds, by_fabric(&fleet), record.clone())?;
    sleep(Duration::from_secs(3));
    // The server crashes, and starts again.
    let off_ms = if trouble { STEP_MS } else { 0 };
    fleet.end_server(0);
    sleep(Duration::from_millis(300));
    fleet.start_server(0, off_ms)?;
    // It crashes once more. The clock is right again.
    sleep(Duration::from_millis(1_200));
    fleet.end_server(0);
    sleep(Duration::from_millis(300));
    fleet.start_server(0, 0)?;
    sleep(Duration::from_secs(6));
    // Planned: it drains, and serves on for longer than drainTimeoutMs.
    fleet.drain_server(0);
    let acked_ms = record.now_ms();
    sleep(SERVED_AFTER_ACK);
    let boot = record
        .lock()
        .openings
        .values()
        .flat_map(|opening| &opening.arrived)
        .filter(|(server, ..)| server == "u0")
        .map(|(_, boot, _)| *boot)
        .max();
    fleet.end_server(0);
    fleet.remove_entry(0);
    sleep(Duration::from_millis(300));
    sleep(Duration::from_secs(3));
    clients.finish();
    sleep(Duration::from_millis(3_500));
    drop(clients);
    ensure!(!fleet.ended_by_itself(), "a program has ended by itself");
    drop(fleet);
    let late: Vec<(u64, u64)> = {
        let books = record.lock();
        let mut late = Vec::new();
        for opening in books.openings.values() {
            for (server, of, arrived_ms) in &opening.arrived {
                let after = opening.sent_ms > acked_ms + DRAIN_TIMEOUT_MS;
                if server == "u0" && Some(*of) == boot && after {
                    late.push((opening.sent_ms - acked_ms, *arrived_ms - acked_ms));
                }
            }
        }
        late.sort_unstable();
        late
    };
    for (sent_ms, arrived_ms) in &late {
        record.broken(
            "DRAIN",
            format!(
                "an opening that a client sent {sent_ms} ms after the ack of `draining` reaches the \
                 server {arrived_ms} ms after it"
            ),
        );
    }
    Ok(record)
}

/// The agents beside the servers are stopped and started in turn.
fn agents_in_turn(root: &Path, logs: &Path, trouble: bool) -> anyhow::Result<Record> {
    const SERVERS: usize = 7;
    let down = std::env::var("DOWN_MS").ok().and_then(|text| text.parse().ok()).unwrap_or(1_500);
    let mut fleet = Fleet::start(root, logs, SERVERS, Duration::from_millis(55))?;
    let record = fleet.record.clone();
    let kinds = [kind(SAFE_PORT, true, 60, 250, 2_500), kind(UNSAFE_PORT, false, 20, 300, 3_000)];
    let clients =
        Clients::start(fleet.clients_address(), &kinds, by_fabric(&fleet), record.clone())?;
    sleep(Duration::from_secs(5));
    for index in 0..SERVERS {
        let began = Instant::now();
        if trouble {
            fleet.stop_agent(index)?;
            sleep(Duration::from_millis(down));
            fleet.start_agent(index, false)?;
        }
        sleep(Duration::from_millis(6_000).saturating_sub(began.elapsed()));
    }
    clients.finish();
    sleep(Duration::from_millis(3_000));
    drop(clients);
    ensure!(!fleet.ended_by_itself(), "a program has ended by itself");
    Ok(record)
}

/// The balancer that reads the store most closely stands still for three seconds while
/// configurations of 1 MB come in quick succession.
fn storm_of_a_large_configuration(
    root: &Path,
    logs: &Path,
    trouble: bool,
) -> anyhow::Result<Record> {
    const NEW_PORT: u16 = 9443;
    const DROPPED_PORT: u16 = 8081;
    const STEPS: u32 = 18;
    const STEP: u32 = 350;
    const FURTHER: u32 = IDLE_ROUTES + STEPS * STEP;
    const APPLY_MS: u64 = 3_000;
    const DRAIN_TIMEOUT_MS: u64 = 3_000;
    let mut fleet = Fleet::start(root, logs, 7, Duration::from_millis(72))?;
    let record = fleet.record.clone();
    // Before there is traffic, the configuration grows by 350 routes at a time.
    for step in 1..=STEPS {
        let further = IDLE_ROUTES + step * STEP;
        let next = configuration(3 + 2 * u64::from(step), &[DROPPED_PORT], further);
        record.note(format!("op/config has {} bytes from now on", next.to_string().len()));
        fleet.store.put("op/config", &next);
        sleep(Duration::from_millis(400));
    }
    sleep(Duration::from_secs(3));
    let reader = (0..usize::from(EDGES)).min_by_key(|index| rank(fleet.edge_address(*index)));
    let reader = reader.unwrap_or(0);
    let others = (0..usize::from(EDGES)).filter(|index| *index != reader);
    let mut kinds = vec![kind(UNSAFE_PORT, false, 24, 300, 3_000)];
    for index in others {
        let direct = Some(fleet.edge_address(index));
        let probe = |name, port| Kind { name, direct, ..kind(port, false, 1, 300, 3_000) };
        kinds.extend([probe("new", NEW_PORT), probe("dropped", DROPPED_PORT)]);
    }
    let clients =
        Clients::start(fleet.clients_address(), &kinds, by_fabric(&fleet), record.clone())?;
    sleep(Duration::from_secs(4));
    let versions: Vec<_> = (0..25u64)
        .map(|number| {
            let ports: &[u16] = if number < 24 { &[DROPPED_PORT] } else { &[NEW_PORT] };
            let version = 50 + 3 * number + number % 2;
            (version, configuration(version, ports, FURTHER - number as u32))
        })
        .collect();
    // A change each 80 ms for two seconds.
    let began = Instant::now();
    for (number, (version, configuration)) in versions.iter().enumerate() {
        sleep((Duration::from_millis(80) * number as u32).saturating_sub(began.elapsed()));
        if number == 3 && trouble {
            fleet.signal_edge(reader, Signal::SIGSTOP)?;
        }
        fleet.store.put("op/config", configuration);
        record.note(format!("store acks op/config: version {version}"));
    }
    let config_acked_ms = record.now_ms();
    // Planned: a server drains, serves for nine more seconds, and ends.
    fleet.drain_server(0);
    let drain_acked_ms = record.now_ms();
    sleep(Duration::from_millis(1_200));
    if trouble {
        fleet.signal_edge(reader, Signal::SIGCONT)?;
    }
    sleep(Duration::from_millis(7_800));
    fleet.end_server(0);
    fleet.remove_entry(0);
    sleep(Duration::from_secs(16));
    clients.finish();
    sleep(Duration::from_millis(3_500));
    drop(clients);
    record.note(format!("largest answer to a watch: {} bytes", fleet.store.largest_watch_answer()));
    ensure!(!fleet.ended_by_itself(), "a program has ended by itself");
    let frozen = fleet.edge_address(reader);
    drop(fleet);
    let openings: Vec<record::Opening> = record.lock().openings.values().cloned().collect();
    let mut broken = Vec::new();
    for opening in openings.iter().filter(|opening| opening.edge != Some(frozen)) {
        let edge = opening.edge.map_or_else(String::new, |edge| edge.ip().to_string());
        let after_config = opening.sent_ms.saturating_sub(config_acked_ms);
        let arrived = !opening.arrived.is_empty();
        if opening.kind == "new" && after_config > APPLY_MS && !arrived {
            let how = opening.failed.unwrap_or("got no answer");
            broken.push((after_config, "CONFIG", format!(
                "an opening on the new route, sent to {edge} {after_config} ms after the ack of its \
                 version, {how}"
            )));
        }
        if opening.kind == "dropped" && after_config > APPLY_MS && arrived {
            broken.push((after_config, "CONFIG", format!(
                "an opening on a dropped route, sent to {edge} {after_config} ms after the ack of the \
                 version that drops it, reaches a server"
            )));
        }
        let after_drain = opening.sent_ms.saturating_sub(drain_acked_ms);
        let at_drained = opening.arrived.iter().any(|(server, ..)| server == "u0");
        if after_drain > DRAIN_TIMEOUT_MS && at_drained {
            broken.push((after_drain, "DRAIN", format!(
                "an opening sent to {edge} {after_drain} ms after the ack of `draining` reaches the \
                 draining server"
            )));
        }
    }
    broken.sort();
    broken.into_iter().for_each(|(_, rule, what)| record.broken(rule, what));
    Ok(record)
}

/// The project's order of readers: the smallest value reads most closely.
fn rank(edge: SocketAddrV4) -> u64 {
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write_u32(edge.ip().to_bits());
    hasher.finish()
}

fn by_fabric(fleet: &Fleet) -> Routing {
    let fabric = fleet.fabric.clone();
    Arc::new(move |hash| fabric.choose(hash))
}

/// Three balancers are added at the same moment as three servers, which come over 1.5 s;
/// all of it is planned.
fn balancers_and_servers_added(root: &Path, logs: &Path, trouble: bool) -> anyhow::Result<Record> {
    const SERVERS: usize = 9;
    const NEW_SERVERS: usize = 3;
    // The first two rank above all others as readers, the third below the two best of the old ones.
    let rank_of = |ip: Ipv4Addr| rank(SocketAddrV4::new(ip, 0));
    let mut old: Vec<u64> = (0..EDGES).map(|index| rank_of(edge_ip(index))).collect();
    old.sort_unstable();
    let free = || (10..250).map(|last| Ipv4Addr::new(127, 90, 1, last));
    let mut added: Vec<Ipv4Addr> = free().filter(|ip| rank_of(*ip) < old[0]).take(2).collect();
    added.extend(free().find(|ip| rank_of(*ip) > old[1]));
    ensure!(added.len() == 3, "no addresses for the balancers");
    let work = Duration::from_millis(30);
    let mut fleet = Fleet::start_with_spares(root, logs, SERVERS, NEW_SERVERS, &added, work)?;
    let record = fleet.record.clone();
    let router = Router::start(
        &(0..EDGES).map(|index| fleet.addresses_of(edge_ip(index))).collect::<Vec<_>>(),
    );
    sleep(Duration::from_millis(1_200));
    let kinds = [Kind { per_flow: 4, ..kind(SAFE_PORT, true, 170, 60, 2_500) }];
    let routing: Routing = {
        let router = router.clone();
        Arc::new(move |hash| router.choose(hash))
    };
    let clients = Clients::start(fleet.clients_address(), &kinds, routing, record.clone())?;
    sleep(Duration::from_secs(4));
    for index in SERVERS..SERVERS + NEW_SERVERS {
        fleet.start_agent(index, false)?;
    }
    sleep(Duration::from_secs(1));
    // The balancers start just after the routers have asked.
    let asked_at = router.asked_at();
    while router.asked_at() == asked_at {
        sleep(Duration::from_millis(1));
    }
    let began = router.asked_at();
    let until = |at_ms: u64| sleep(Duration::from_millis(at_ms).saturating_sub(began.elapsed()));
    until(30);
    if trouble {
        for (number, ip) in added.iter().enumerate() {
            if number == 2 {
                sleep(Duration::from_millis(15));
            }
            fleet.add_edge(*ip)?;
            let (packets, ready) = fleet.addresses_of(*ip);
            router.add(packets, ready);
        }
    }
    // Three configurations, 80 ms apart; each drops an idle route.
    for number in 0..3 {
        until(110 + 80 * u64::from(number));
        let version = 8 + 3 * u64::from(number);
        fleet.store.put("op/config", &configuration(version, &[], IDLE_ROUTES - 1 - number));
        record.note(format!("store acks op/config: version {version}"));
    }
    for index in 0..NEW_SERVERS {
        until(290 + 500 * index as u64);
        fleet.start_server(SERVERS + index, 0)?;
    }
    sleep(Duration::from_secs(6));
    clients.finish();
    sleep(Duration::from_secs(3));
    drop(clients);
    ensure!(!fleet.ended_by_itself(), "a program has ended by itself");
    Ok(record)
}
