//! Entry `red_cold_limit_with_old_views` of KNOWN-RED.txt: a server starts again, cold, while no
//! balancer gets news from the store (`platform_down`). FAILBACK.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::ensure;

use crate::world::World;

const SERVICE: &str = "huvo11a";
const BALANCERS: usize = 3;
const SERVERS: usize = 7;
const PER_S: f64 = 4.0;

pub fn run(root: &Path, record: &Path, trouble: bool) -> anyhow::Result<bool> {
    let mut world = World::new(root, record, BALANCERS)?;
    let result = play(&mut world, trouble);
    world.end();
    result
}

fn play(world: &mut World, trouble: bool) -> anyhow::Result<bool> {
    let ms = Duration::from_millis;
    let down_ms = std::env::var("DOWN_MS").ok().and_then(|text| text.parse().ok()).unwrap_or(1_000);
    world.warmup = Some((ms(2_000), PER_S));
    world.configure(7, &[(0, SERVICE, "safe")], &[SERVICE]);
    for index in 0..SERVERS {
        world.start_server(&format!("i-a{index}"), index, SERVICE)?;
    }
    (0..BALANCERS).try_for_each(|index| world.start_balancer(index))?;
    let limit = Instant::now() + ms(10_000);
    ensure!(world.run_until(limit, |world| world.ready() == BALANCERS), "not ready");
    world.first_start_is_over();
    world.run_for(ms(4_000));
    let endpoint = world.endpoint(0);
    let (mut next, mut count) = (Instant::now(), 0);
    let mut traffic = |world: &mut World| {
        if Instant::now() >= next {
            next += ms(5);
            count += 1;
            world.open(endpoint, &format!("r{count}"));
        }
        false
    };
    world.run_until(Instant::now() + ms(2_000), &mut traffic);
    if trouble {
        world.log("the store is down for balancers (503)");
        world.store.set_down(true);
        world.run_until(Instant::now() + ms(500), &mut traffic);
        world.flap_server_under("i-a0", ms(down_ms), || 0, &mut traffic)?;
    }
    world.run_until(Instant::now() + ms(3_000), &mut traffic);
    world.store.set_down(false);
    world.run_for(ms(1_000));
    let taken = &world.seen.cold_openings;
    let in_second = |from: &Instant| {
        taken.iter().filter(|at| **at >= *from && **at < *from + ms(1_000)).count()
    };
    let most = taken.iter().map(in_second).max().unwrap_or(0);
    let (all, bound) = (taken.len(), PER_S * 1.5 + 5.0);
    world.log(format!(
        "{all} openings while cold, at most {most} in a second; the bound is {bound}"
    ));
    Ok(most as f64 > bound)
}
