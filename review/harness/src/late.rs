//! A balancer freezes with copies of openings unread; the agents are restarted in turn meanwhile.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::ensure;
use nix::sys::signal::Signal;

use crate::world::{Phase, World};

const SERVICE: &str = "huvo11a";
const BALANCERS: usize = 3;
const SERVERS: usize = 3;
const FROZEN: usize = 0;

pub fn run(root: &Path, record: &Path, trouble: bool) -> anyhow::Result<bool> {
    let mut world = World::new(root, record, BALANCERS)?;
    let result = play(&mut world, trouble);
    world.end();
    result
}

fn play(world: &mut World, trouble: bool) -> anyhow::Result<bool> {
    let ms = Duration::from_millis;
    world.configure(7, &[(0, SERVICE, "unsafe")], &[SERVICE]);
    for index in 0..SERVERS {
        world.start_server(&format!("i-a{index}"), index, SERVICE)?;
    }
    (0..BALANCERS).try_for_each(|index| world.start_balancer(index))?;
    let limit = Instant::now() + ms(10_000);
    ensure!(world.run_until(limit, |world| world.ready() == BALANCERS), "not ready");
    world.first_start_is_over();
    world.run_for(ms(5_000));

    let endpoint = world.endpoint(0);
    let frozen_at = Instant::now();
    if trouble {
        world.signal_balancer(FROZEN, Signal::SIGSTOP);
    }
    // Flows are opened all the while. Some of the first openings go to the frozen balancer, and the
    // client's next copy to another one, as soon as the routers have taken it out of rotation.
    let mut flows = Vec::new();
    while frozen_at.elapsed() < ms(1_500) {
        flows.push(world.open(endpoint, &format!("first-{}", flows.len())));
        world.run_for(ms(15));
    }
    world.run_for(ms(100));
    // roll_term of the agents: one at a time, 1.2 s apart; the last one is back before
    // the balancer wakes after 4.6 s.
    for index in 0..SERVERS {
        let begun = Instant::now();
        if trouble {
            world.restart_agent(&format!("i-a{index}"), ms(300), |_| {})?;
        }
        world.run_for(ms(1_200).saturating_sub(begun.elapsed()));
    }
    world.run_for(ms(4_600).saturating_sub(frozen_at.elapsed()));
    if trouble {
        world.signal_balancer(FROZEN, Signal::SIGCONT);
    }
    // All machines are in touch again after contactMs (4 s) without disturbance.
    world.run_for(ms(5_500));
    let open: Vec<usize> =
        flows.into_iter().filter(|flow| world.clients[*flow].phase == Phase::Idle).collect();
    ensure!(open.len() >= 10, "only {} flows are open", open.len());
    ensure!(world.seen.reset_open.is_empty(), "reset before all machines were in touch");
    for (index, flow) in open.iter().enumerate() {
        world.request(*flow, &format!("second-{index}"));
    }
    world.run_for(ms(3_000));
    let served = open.iter().filter(|flow| world.clients[**flow].phase == Phase::Idle).count();
    let broken = world.seen.reset_open.len();
    world.log(format!(
        "{served} of {} open flows were answered, {broken} were reset by the system while open at a \
         live server",
        open.len()
    ));
    Ok(broken > 0)
}
