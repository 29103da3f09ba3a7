//! An agent is stopped and started again (`roll_term`) beside a live server, while callers use their
//! flows. `DELAY_MS` is how long the platform takes to start it again.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::ensure;

use crate::world::{Phase, World};

const SERVICE: &str = "huvo11a";
const BALANCERS: usize = 3;

pub fn run(root: &Path, record: &Path, trouble: bool) -> anyhow::Result<bool> {
    let mut world = World::new(root, record, BALANCERS)?;
    let result = play(&mut world, trouble);
    world.end();
    result
}

fn play(world: &mut World, trouble: bool) -> anyhow::Result<bool> {
    let ms = Duration::from_millis;
    let delay_ms = std::env::var("DELAY_MS").ok().and_then(|text| text.parse().ok());
    world.configure(7, &[(0, SERVICE, "safe")], &[SERVICE]);
    for index in 0..4 {
        world.start_server(&format!("i-a{index}"), index, SERVICE)?;
    }
    (0..BALANCERS).try_for_each(|index| world.start_balancer(index))?;
    let limit = Instant::now() + ms(10_000);
    ensure!(world.run_until(limit, |world| world.ready() == BALANCERS), "not ready");
    world.first_start_is_over();
    world.run_for(ms(5_000));
    let endpoint = world.endpoint(0);
    let flows: Vec<usize> =
        (0..40).map(|index| world.open(endpoint, &format!("f{index}"))).collect();
    let (mut next, mut count) = (Instant::now(), 0);
    let mut traffic = |world: &mut World| {
        if Instant::now() < next {
            return;
        }
        next = Instant::now() + ms(250);
        for flow in &flows {
            if world.clients[*flow].phase == Phase::Idle {
                count += 1;
                world.request(*flow, &format!("r{count}"));
            }
        }
    };
    let limit = Instant::now() + ms(3_000);
    world.run_until(limit, |world| {
        traffic(world);
        false
    });
    if trouble {
        world.restart_agent("i-a0", ms(delay_ms.unwrap_or(500)), &mut traffic)?;
    }
    let limit = Instant::now() + ms(4_000);
    world.run_until(limit, |world| {
        traffic(world);
        false
    });
    world.run_for(ms(1_000));
    let broken = world.seen.reset_open.len();
    let served = flows.iter().filter(|flow| world.clients[**flow].phase == Phase::Idle).count();
    world.log(format!("{served} of {} flows live on; {broken} were reset while open", flows.len()));
    Ok(broken > 0)
}
