//! Planned work only: a route changes its service, the balancers that the seeds name are taken away,
//! and another balancer is added.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::ensure;

use crate::world::{Phase, World};

const OLD: &str = "huvo11a";
const NEW: &str = "wuno96b";
/// The seeds name the first three; the last one is the machine that is added.
const BALANCERS: usize = 6;
const FLOWS: usize = 24;

pub fn run(root: &Path, record: &Path, trouble: bool) -> anyhow::Result<bool> {
    let mut world = World::new(root, record, BALANCERS)?;
    let result = play(&mut world, trouble);
    world.end();
    result
}

fn play(world: &mut World, trouble: bool) -> anyhow::Result<bool> {
    let second = Duration::from_secs(1);
    world.configure(7, &[(0, OLD, "unsafe"), (1, OLD, "unsafe")], &[OLD, NEW]);
    for index in 0..3 {
        world.start_server(&format!("i-a{index}"), index, OLD)?;
    }
    for index in 3..6 {
        world.start_server(&format!("i-b{index}"), index, NEW)?;
    }
    let added = BALANCERS - 1;
    world.set_member(added, false);
    (0..added).try_for_each(|index| world.start_balancer(index))?;
    let limit = Instant::now() + 10 * second;
    ensure!(world.run_until(limit, |world| world.ready() == added), "not ready");
    world.first_start_is_over();
    world.run_for(5 * second);

    // The machines that the seeds name are taken away one after the other.
    for index in 0..3 {
        world.stop_balancer(index);
        world.set_member(index, false);
        world.run_for(second / 2);
    }
    world.run_for(3 * second);
    let endpoint = world.endpoint(0);
    let flows: Vec<usize> =
        (0..FLOWS).map(|index| world.open(endpoint, &format!("first-{index}"))).collect();
    world.run_for(2 * second);
    let all_idle =
        |world: &World| flows.iter().all(|flow| world.clients[*flow].phase == Phase::Idle);
    ensure!(all_idle(world), "not all flows opened");
    world.configure(12, &[(0, NEW, "unsafe"), (1, OLD, "unsafe")], &[OLD, NEW]);
    world.run_for(4 * second);
    for (index, flow) in flows.iter().enumerate() {
        world.request(*flow, &format!("second-{index}"));
    }
    world.run_for(second);
    ensure!(all_idle(world), "not answered");
    if trouble {
        world.start_balancer(added)?;
        world.set_member(added, true);
    }
    // A machine that was started is in touch after contactMs (4 s).
    world.run_for(8 * second);
    for (index, flow) in flows.iter().enumerate() {
        world.request(*flow, &format!("third-{index}"));
    }
    world.run_for(3 * second);
    let served = flows.iter().filter(|flow| world.clients[**flow].phase == Phase::Idle).count();
    let broken = world.seen.reset_open.len();
    world.log(format!("{served} of {FLOWS} flows were answered, {broken} were reset while open"));
    Ok(broken > 0)
}
