//! Entry `lab-direct` of KNOWN-RED.txt: a balancer starts right after an outage of the store, during
//! which the entry of a living server has lapsed. The balancer is restarted as planned work.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::ensure;

use crate::world::{Phase, World};

const SERVICE: &str = "huvo11a";
const BALANCERS: usize = 3;
const LAPSED: &str = "i-a0";

pub fn run(root: &Path, record: &Path, trouble: bool) -> anyhow::Result<bool> {
    let mut world = World::new(root, record, BALANCERS)?;
    let result = play(&mut world, trouble);
    world.end();
    result
}

fn play(world: &mut World, trouble: bool) -> anyhow::Result<bool> {
    let ms = Duration::from_millis;
    world.configure(7, &[(0, SERVICE, "safe")], &[SERVICE]);
    for index in 0..4 {
        world.start_server(&format!("i-a{index}"), index, SERVICE)?;
    }
    (0..BALANCERS).try_for_each(|index| world.start_balancer(index))?;
    let limit = Instant::now() + ms(10_000);
    ensure!(world.run_until(limit, |world| world.ready() == BALANCERS), "not ready");
    world.first_start_is_over();
    world.run_for(ms(4_000));
    let endpoint = world.endpoint(0);
    let flows: Vec<usize> =
        (0..40).map(|index| world.open(endpoint, &format!("f{index}"))).collect();
    let (mut next, mut count) = (Instant::now(), 0);
    let mut traffic = |world: &mut World| {
        if Instant::now() < next {
            return false;
        }
        next = Instant::now() + ms(100);
        for flow in &flows {
            if world.clients[*flow].phase == Phase::Idle {
                count += 1;
                world.request(*flow, &format!("r{count}"));
            }
        }
        false
    };
    world.run_until(Instant::now() + ms(1_000), &mut traffic);
    if trouble {
        world.log("the store is down (503)");
        world.store.set_down(true);
        world.run_until(Instant::now() + ms(500), &mut traffic);
        world.lapse(LAPSED);
        world.run_until(Instant::now() + ms(1_000), &mut traffic);
        world.stop_balancer(0);
        world.run_until(Instant::now() + ms(300), &mut traffic);
        world.log("the store is back");
        world.store.set_down(false);
        let back = Instant::now();
        world.run_until(Instant::now() + ms(100), &mut traffic);
        world.start_balancer(0)?;
        world.run_until(back + ms(1_800), &mut traffic);
        world.publish(LAPSED);
    }
    world.run_until(Instant::now() + ms(2_000), &mut traffic);
    world.run_for(ms(1_000));
    let broken = world.seen.reset_open.len();
    let served = flows.iter().filter(|flow| world.clients[**flow].phase == Phase::Idle).count();
    world.log(format!("{served} of {} flows live on; {broken} were reset while open", flows.len()));
    Ok(broken > 0)
}
