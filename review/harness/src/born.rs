//! A server crashes and starts again under its id while the clock of its machine is set back; later
//! it drains.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::ensure;

use crate::world::{Phase, World, unix_ms};

const SERVICE: &str = "huvo11a";
const BALANCERS: usize = 3;
const SERVERS: usize = 7;
const DRAINING: &str = "i-a0";
/// The jump of the clock, the largest of the sites.
const STEP_MS: u64 = 2_400;
const DRAIN_TIMEOUT: Duration = Duration::from_millis(3_000);

pub fn run(root: &Path, record: &Path, trouble: bool) -> anyhow::Result<bool> {
    let mut world = World::new(root, record, BALANCERS)?;
    let result = play(&mut world, trouble);
    world.end();
    result
}

fn play(world: &mut World, trouble: bool) -> anyhow::Result<bool> {
    let ms = Duration::from_millis;
    let step_ms = std::env::var("STEP_MS").ok().and_then(|text| text.parse().ok());
    let step_ms: u64 = step_ms.unwrap_or(STEP_MS);
    world.states_born = true;
    world.configure(7, &[(0, SERVICE, "unsafe")], &[SERVICE]);
    for index in 0..SERVERS {
        world.start_server(&format!("i-a{index}"), index, SERVICE)?;
    }
    (0..BALANCERS).try_for_each(|index| world.start_balancer(index))?;
    let limit = Instant::now() + ms(10_000);
    ensure!(world.run_until(limit, |world| world.ready() == BALANCERS), "not ready");
    world.first_start_is_over();
    world.run_for(ms(4_000));
    let endpoint = world.endpoint(0);

    if trouble {
        // srv_flap: one of seven servers goes down and up, and down and up once more; the clock of
        // its machine jumps back in between, and returns after 6 s.
        world.flap_server(DRAINING, ms(1_000), unix_ms)?;
        world.run_for(ms(400));
        let stepped_at = Instant::now();
        world.log(format!("the clock of the machine of {DRAINING} jumps back by {step_ms} ms"));
        world.flap_server(DRAINING, ms(1_000), || unix_ms() - step_ms)?;
        world.run_for(ms(6_000).saturating_sub(stepped_at.elapsed()));
        world.log(format!("the clock of the machine of {DRAINING} jumps back again to true time"));
    }
    // All machines are in touch again after contactMs (4 s) without disturbance.
    world.run_for(ms(5_500));

    // Planned: the server is emptied and taken away (scale_in). It serves on for drainTimeoutMs after
    // the store's ack and some seconds more.
    world.drain(DRAINING);
    let acked = Instant::now();
    let mut count = 0;
    while acked.elapsed() < ms(7_000) {
        world.open(endpoint, &format!("r-{count}"));
        count += 1;
        world.run_for(ms(40));
    }
    world.run_for(ms(2_000));
    let served = world.clients.iter().filter(|client| client.phase == Phase::Idle).count();
    let late: Vec<_> = world
        .seen
        .late_openings
        .iter()
        .filter(|(_, _, after)| *after > DRAIN_TIMEOUT)
        .cloned()
        .collect();
    for (flow, id, after) in &late {
        world.log(format!(
            "the opening of :{} reached {id} {:.3} s after the store had acknowledged that it drains",
            flow.0.port(),
            after.as_secs_f64()
        ));
    }
    let all = world.seen.late_openings.len();
    world.log(format!(
        "{served} of {count} flows were served; {all} openings reached the draining server, {} of \
         them later than drainTimeoutMs after the ack",
        late.len()
    ));
    Ok(!late.is_empty())
}
