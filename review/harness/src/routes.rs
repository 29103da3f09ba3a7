//! Routes change their service; later all balancers are killed at once and start again.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::ensure;

use crate::world::{Phase, World};

const OLD: &str = "huvo11a";
const NEW: &str = "wuno96b";
const BALANCERS: usize = 3;
const FLOWS: usize = 12;

pub fn run(root: &Path, record: &Path, trouble: bool) -> anyhow::Result<bool> {
    let mut world = World::new(root, record, BALANCERS)?;
    let result = play(&mut world, trouble);
    world.end();
    result
}

fn play(world: &mut World, trouble: bool) -> anyhow::Result<bool> {
    let second = Duration::from_secs(1);
    // Two routes of two addresses lead to the old service.
    world.configure(7, &[(0, OLD, "unsafe"), (1, OLD, "unsafe")], &[OLD, NEW]);
    for index in 0..3 {
        world.start_server(&format!("i-a{index}"), index, OLD)?;
    }
    for index in 3..6 {
        world.start_server(&format!("i-b{index}"), index, NEW)?;
    }
    (0..BALANCERS).try_for_each(|index| world.start_balancer(index))?;
    let limit = Instant::now() + 10 * second;
    ensure!(world.run_until(limit, |world| world.ready() == BALANCERS), "not ready");
    world.first_start_is_over();
    world.run_for(5 * second);

    let endpoint = world.endpoint(0);
    let flows: Vec<usize> =
        (0..FLOWS).map(|index| world.open(endpoint, &format!("first-{index}"))).collect();
    world.run_for(2 * second);
    let all_idle =
        |world: &World| flows.iter().all(|flow| world.clients[*flow].phase == Phase::Idle);
    ensure!(all_idle(world), "not all flows opened");

    // The first route now leads to the new service. Open flows stay where they are.
    if std::env::var("VARIANT").is_ok_and(|variant| variant == "removed") {
        // Not part of the case: nothing leads to the old service any more, and the configuration
        // doesn't name it.
        world.configure(12, &[(0, NEW, "unsafe"), (1, NEW, "unsafe")], &[NEW]);
    } else {
        world.configure(12, &[(0, NEW, "unsafe"), (1, OLD, "unsafe")], &[OLD, NEW]);
    }
    world.run_for(4 * second);
    for (index, flow) in flows.iter().enumerate() {
        world.request(*flow, &format!("second-{index}"));
    }
    let fresh = world.open(endpoint, "fresh-before");
    world.run_for(second);
    ensure!(all_idle(world) && world.clients[fresh].phase == Phase::Idle, "not answered");

    if trouble {
        // herd_kill on core: all processes of the class are killed; back after 2 s.
        (0..BALANCERS).for_each(|index| world.kill_balancer(index));
        world.run_for(2 * second);
        (0..BALANCERS).try_for_each(|index| world.start_balancer(index))?;
    } else {
        world.run_for(2 * second);
    }
    let limit = Instant::now() + 3 * second;
    ensure!(world.run_until(limit, |world| world.ready() == BALANCERS), "not ready again");
    // All machines are in touch again after contactMs (4 s) without disturbance.
    world.run_for(5 * second);
    for (index, flow) in flows.iter().enumerate() {
        world.request(*flow, &format!("third-{index}"));
    }
    let fresh = world.open(endpoint, "fresh-after");
    world.run_for(3 * second);
    let served = flows.iter().filter(|flow| world.clients[**flow].phase == Phase::Idle).count();
    let new = world.clients[fresh].phase;
    let broken = world.seen.reset_open.len();
    world.log(format!(
        "{served} of {FLOWS} old flows were answered, {broken} were reset by the system while open \
         at a live server; the new flow is {new:?}"
    ));
    Ok(broken > 0)
}
