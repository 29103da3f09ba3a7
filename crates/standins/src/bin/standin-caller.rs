//! Callers with many TCP connections in user space. Every byte of each answer is checked.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};

use anyhow::Context as _;
use lexopt::prelude::*;
use standins::admin::{self, Call, Reply};
use standins::caller::{Caller, CallerConfig};
use standins::clock;
use standins::shell::{Shell, lock};

const HELP: &str = "\
Usage: standin-caller --client IP... --listen IP:PORT --fabric IP:PORT --control IP:PORT
                      [--number N] [--seed N] [--stall-ms N]

Sends its clients' packets in plain GUE to --fabric and receives answers on --listen. On --control:
PUT /admin/workloads, POST /admin/end-feeds[?upstream=NAME], POST /admin/stop, GET /admin/report.
On SIGTERM it prints its report as one line of JSON.
";

/// An opening, datagram or established connection without progress for this long has failed.
const DEFAULT_STALL_MS: u64 = 10_000;

struct Options {
    config: CallerConfig,
    listen: SocketAddr,
    fabric: SocketAddr,
    control: SocketAddr,
}

fn main() -> anyhow::Result<()> {
    let Some(options) = parse()? else {
        print!("{HELP}");
        return Ok(());
    };
    let inner = Arc::new(Mutex::new(Caller::new(options.config)));
    let state = Arc::clone(&inner);
    admin::spawn(options.control, admin::immediate(move |call| respond(&state, call)))?;
    let shell = Shell {
        inner: Arc::clone(&inner),
        handle_packet: Caller::handle_packet,
        poll: Caller::poll,
        due: Caller::due,
        after_poll: Box::new(|_, terminated| Ok(terminated)),
    };
    shell.run(options.listen, options.fabric)?;
    println!("{}", serde_json::to_string(&lock(&inner).report(clock::now()))?);
    Ok(())
}

fn respond(state: &Mutex<Caller>, call: &Call) -> Reply {
    let mut caller = lock(state);
    let now = clock::now();
    match call.route() {
        ("GET", path) if path == ["admin", "report"] => Reply::json(&caller.report(now)),
        ("PUT", path) if path == ["admin", "workloads"] => {
            call.with_json(|workloads| caller.set_workloads(now, workloads))
        }
        ("POST", path) if path == ["admin", "end-feeds"] => {
            caller.end_feeds(now, call.parameter("upstream"));
            Reply::json(&"done")
        }
        ("POST", path) if path == ["admin", "stop"] => {
            caller.stop(now);
            Reply::json(&"done")
        }
        _ => Reply::not_found(),
    }
}

fn parse() -> anyhow::Result<Option<Options>> {
    let mut clients: Vec<IpAddr> = Vec::new();
    let (mut listen, mut fabric, mut control) = (None, None, None);
    let (mut number, mut seed, mut stall_ms) = (1, 1, DEFAULT_STALL_MS);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("client") => clients.push(parser.value()?.parse()?),
            Long("listen") => listen = Some(parser.value()?.parse()?),
            Long("fabric") => fabric = Some(parser.value()?.parse()?),
            Long("control") => control = Some(parser.value()?.parse()?),
            Long("number") => number = parser.value()?.parse()?,
            Long("seed") => seed = parser.value()?.parse()?,
            Long("stall-ms") => stall_ms = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(argument.unexpected().into()),
        }
    }
    anyhow::ensure!(!clients.is_empty(), "--client is missing");
    Ok(Some(Options {
        config: CallerConfig { clients, number, seed, stall_ms },
        listen: listen.context("--listen is missing")?,
        fabric: fabric.context("--fabric is missing")?,
        control: control.context("--control is missing")?,
    }))
}
