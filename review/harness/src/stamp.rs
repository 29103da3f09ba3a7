//! A server's address goes to a server of another service, whose name has the same 24-bit stamp.

use std::collections::HashMap;
use std::hash::Hasher as _;
use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::ensure;
use siphasher::sip::SipHasher13;

use crate::world::{HEARTBEAT_MS, Phase, REUSE_AFTER, World};

/// Two names of the form that the platform draws. `review-harness collide` finds them.
const ONE: &str = "yeti51a";
const OTHER: &str = "baba53b";
const BALANCERS: usize = 3;
const FLOWS: usize = 40;

/// The stamp that the product derives from a service's name: the low 24 bits of an unkeyed SipHash.
fn stamp(name: &str) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish() as u32 & 0xff_ffff
}

/// Prints the first pair of names, one for each service of a deployment, with one stamp.
pub fn collide() {
    let syllables: Vec<String> = "bdfghjklmnprstvwyz"
        .chars()
        .flat_map(|c| "aeiou".chars().map(move |v| format!("{c}{v}")))
        .collect();
    let names = |last: char| {
        let syllables = &syllables;
        syllables.iter().flat_map(move |one| {
            syllables.iter().flat_map(move |two| {
                (10..100).map(move |number| format!("{one}{two}{number}{last}"))
            })
        })
    };
    let known: HashMap<u32, String> = names('a').map(|name| (stamp(&name), name)).collect();
    let (mut count, mut tried) = (0, 0);
    for name in names('b') {
        tried += 1;
        if let Some(other) = known.get(&stamp(&name)) {
            count += 1;
            if count <= 5 {
                println!("{other} {name} {:06x}", stamp(&name));
            }
        }
    }
    println!("{count} of {tried} names share the stamp of one of {} others", known.len());
}

pub fn run(root: &Path, record: &Path, trouble: bool) -> anyhow::Result<bool> {
    let mut world = World::new(root, record, BALANCERS)?;
    let result = play(&mut world, trouble);
    world.end();
    result
}

fn play(world: &mut World, trouble: bool) -> anyhow::Result<bool> {
    let second = Duration::from_secs(1);
    // Two tenants, each with an address and a service of its own.
    world.configure(7, &[(0, ONE, "unsafe"), (1, OTHER, "unsafe")], &[ONE, OTHER]);
    for index in 0..4 {
        world.start_server(&format!("i-a{index}"), index, ONE)?;
    }
    (0..BALANCERS).try_for_each(|index| world.start_balancer(index))?;
    let limit = Instant::now() + 10 * second;
    ensure!(world.run_until(limit, |world| world.ready() == BALANCERS), "not ready");
    world.first_start_is_over();
    world.run_for(5 * second);
    let endpoint = world.endpoint(0);
    for index in 0..FLOWS / 4 {
        world.open(endpoint, &format!("before-{index}"));
        world.run_for(second / 20);
    }
    world.run_for(2 * second);
    let answered = world.clients.iter().filter(|client| client.phase == Phase::Idle).count();
    ensure!(answered == FLOWS / 4, "{answered} of {} flows were served before", FLOWS / 4);

    if trouble {
        // replace_with_reuse: one of four servers crashes for good, and its address goes to a
        // server of the other service after reuseAfterS.
        world.crash_server("i-a0");
        world.run_for(REUSE_AFTER);
        world.start_server("i-b0", 0, OTHER)?;
        world.run_for(Duration::from_millis(3 * HEARTBEAT_MS) - REUSE_AFTER);
        world.lapse("i-a0");
    } else {
        world.run_for(Duration::from_millis(3 * HEARTBEAT_MS));
    }
    // All machines are in touch again after contactMs (4 s).
    world.run_for(5 * second);
    for index in 0..FLOWS {
        world.open(endpoint, &format!("after-{index}"));
        world.run_for(second / 20);
    }
    world.run_for(3 * second);
    let routes: HashMap<String, String> =
        world.seen.sent.iter().map(|(id, route)| (id.clone(), route.to_string())).collect();
    let foreign: Vec<_> =
        world.seen.ran.iter().filter(|(_, service, _)| service != ONE).cloned().collect();
    for (id, service, server) in &foreign {
        let route = &routes[id];
        world.log(format!(
            "request {id} to {route}, which leads to {ONE} in every configuration, was run by \
             {server} of {service}"
        ));
    }
    let ran = world.seen.ran.len();
    world.log(format!("{ran} requests ran, {} of them at a foreign service", foreign.len()));
    Ok(!foreign.is_empty())
}
