//! The fabric: sprays callers' packets over balancers and returns answers to the callers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Context as _;
use lexopt::prelude::*;
use standins::admin::{self, Call, Reply};
use standins::clock;
use standins::fabric::{Fabric, Port};
use standins::shell::{bind, lock, termination_flag};
use tokio::net::UdpSocket;

const HELP: &str = "\
Usage: standin-fabric --ingress IP:PORT --gateway IP:PORT --control IP:PORT [--seed N]

Receives callers' packets in plain GUE on --ingress, and those of upstreams and agents on
--gateway. On --control: PUT /admin/plan, GET /admin/stats.
";

/// Number of datagrams received from one socket before the other one and the queue are handled.
const BATCH_MAX: usize = 256;
/// Longest sleep, which bounds the time until a signal is noticed.
const SLEEP_MAX_US: u64 = 50_000;
/// Shortest sleep: the timer of tokio has a resolution of one millisecond. A datagram that is due
/// earlier is sent after this sleep or when a packet wakes the loop.
const SLEEP_MIN_US: u64 = 1_000;
/// Largest datagram.
const DATAGRAM_BYTES_MAX: usize = 65_535;

struct Options {
    ingress: SocketAddr,
    gateway: SocketAddr,
    control: SocketAddr,
    seed: u64,
}

fn main() -> anyhow::Result<()> {
    let Some(options) = parse()? else {
        print!("{HELP}");
        return Ok(());
    };
    let terminated = termination_flag()?;
    let fabric = Arc::new(Mutex::new(Fabric::new(options.seed)));
    let state = Arc::clone(&fabric);
    admin::spawn(options.control, admin::immediate(move |call| respond(&state, call)))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let ingress = bind(options.ingress)?;
        let gateway = bind(options.gateway)?;
        drive(&fabric, &ingress, &gateway, &terminated).await;
        Ok(())
    })
}

fn respond(state: &Mutex<Fabric>, call: &Call) -> Reply {
    let mut fabric = lock(state);
    match call.route() {
        ("GET", path) if path == ["admin", "stats"] => Reply::json(fabric.stats()),
        ("PUT", path) if path == ["admin", "plan"] => {
            call.with_json(|plan| fabric.set_plan(clock::now_us(), plan))
        }
        _ => Reply::not_found(),
    }
}

async fn drive(
    fabric: &Mutex<Fabric>,
    ingress: &UdpSocket,
    gateway: &UdpSocket,
    terminated: &AtomicBool,
) {
    let mut datagram = vec![0; DATAGRAM_BYTES_MAX];
    while !terminated.load(Ordering::Relaxed) {
        receive(fabric, ingress, &mut datagram, Fabric::receive_from_caller);
        receive(fabric, gateway, &mut datagram, Fabric::receive_from_upstream);
        let due_us = send_due(fabric, ingress, gateway);
        let sleep_us = due_us.map_or(SLEEP_MAX_US, |due| due.saturating_sub(clock::now_us()));
        let sleep = Duration::from_micros(sleep_us.clamp(SLEEP_MIN_US, SLEEP_MAX_US));
        tokio::select! {
            _ = ingress.readable() => {}
            _ = gateway.readable() => {}
            () = tokio::time::sleep(sleep) => {}
        }
    }
}

fn receive(
    fabric: &Mutex<Fabric>,
    socket: &UdpSocket,
    datagram: &mut [u8],
    handle: fn(&mut Fabric, u64, SocketAddr, &[u8]),
) {
    let mut fabric = lock(fabric);
    let now_us = clock::now_us();
    for _ in 0..BATCH_MAX {
        let Ok((length, from)) = socket.try_recv_from(datagram) else { return };
        handle(&mut fabric, now_us, from, &datagram[..length]);
    }
}

/// Sends the datagrams that are due and returns when the next one will be.
fn send_due(fabric: &Mutex<Fabric>, ingress: &UdpSocket, gateway: &UdpSocket) -> Option<u64> {
    let mut fabric = lock(fabric);
    let now_us = clock::now_us();
    while let Some(outbound) = fabric.pop_due(now_us) {
        let socket = match outbound.port {
            Port::Ingress => ingress,
            Port::Gateway => gateway,
        };
        // If the receiver is missing or its buffer is full, the packet is lost, as on a network.
        let _ = socket.try_send_to(&outbound.payload, outbound.to);
    }
    fabric.due_us()
}

fn parse() -> anyhow::Result<Option<Options>> {
    let (mut ingress, mut gateway, mut control, mut seed) = (None, None, None, 1);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("ingress") => ingress = Some(parser.value()?.parse()?),
            Long("gateway") => gateway = Some(parser.value()?.parse()?),
            Long("control") => control = Some(parser.value()?.parse()?),
            Long("seed") => seed = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(argument.unexpected().into()),
        }
    }
    Ok(Some(Options {
        ingress: ingress.context("--ingress is missing")?,
        gateway: gateway.context("--gateway is missing")?,
        control: control.context("--control is missing")?,
        seed,
    }))
}
