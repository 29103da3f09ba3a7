//! An upstream with TCP in user space, and a ledger of the requests that it ran.

use std::fs::OpenOptions;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use anyhow::Context as _;
use lexopt::prelude::*;
use standins::admin::{self, Call, Reply};
use standins::clock;
use standins::shell::{AfterPoll, Shell, lock};
use standins::upstream::{Upstream, UpstreamConfig};

const HELP: &str = "\
Usage: standin-upstream --service NAME --name NAME --endpoint IP:PORT... --listen IP:PORT
                        --gateway IP:PORT --control IP:PORT [--ledger FILE] [--seed N]

Receives plain GUE on --listen and sends plain GUE to --gateway. On --control, agents read
GET /status and the lab uses /admin/switches, /admin/stats and /admin/ledger. SIGTERM waits
until all connections have ended, a second one doesn't.
";

/// After a termination signal, the longest wait for open connections to end.
const SHUTDOWN_TIMEOUT_MS: u64 = 10_000;

struct Options {
    config: UpstreamConfig,
    listen: SocketAddr,
    gateway: SocketAddr,
    control: SocketAddr,
    ledger: Option<PathBuf>,
}

fn main() -> anyhow::Result<()> {
    let Some(options) = parse()? else {
        print!("{HELP}");
        return Ok(());
    };
    let inner = Arc::new(Mutex::new(Upstream::new(options.config, clock::now())));
    let state = Arc::clone(&inner);
    admin::spawn(options.control, admin::immediate(move |call| respond(&state, call)))?;
    let shell = Shell {
        inner,
        handle_packet: Upstream::handle_packet,
        poll: Upstream::poll,
        due: Upstream::due,
        after_poll: after_poll(options.ledger)?,
    };
    shell.run(options.listen, options.gateway)
}

fn respond(state: &Mutex<Upstream>, call: &Call) -> Reply {
    let mut upstream = lock(state);
    let now = clock::now();
    match call.route() {
        ("GET", path) if path == ["status"] => Reply::json(&upstream.status(now)),
        ("GET", path) if path == ["admin", "stats"] => Reply::json(upstream.stats()),
        ("GET", path) if path == ["admin", "ledger"] => Reply::json(&upstream.ledger().rows()),
        ("PUT", path) if path == ["admin", "switches"] => {
            call.with_json(|switches| upstream.set_switches(now, switches))
        }
        _ => Reply::not_found(),
    }
}

/// Writes new ledger rows before any answer is sent, so that the ledger of a killed upstream is
/// complete.
fn after_poll(path: Option<PathBuf>) -> anyhow::Result<AfterPoll<Upstream>> {
    let open = |path: PathBuf| {
        let file = OpenOptions::new().create(true).append(true).open(&path);
        file.with_context(|| format!("cannot write {}", path.display()))
    };
    let mut file = path.map(open).transpose()?;
    let mut shutdown_deadline = None;
    Ok(Box::new(move |upstream, terminated| {
        let mut lines = Vec::new();
        for row in upstream.ledger_mut().take_new() {
            serde_json::to_writer(&mut lines, row)?;
            lines.push(b'\n');
        }
        if let Some(file) = &mut file {
            file.write_all(&lines)?;
        }
        if !terminated {
            return Ok(false);
        }
        let now = clock::now();
        let shutdown_deadline = *shutdown_deadline.get_or_insert(now.after(SHUTDOWN_TIMEOUT_MS));
        Ok(upstream.stats().open_connections == 0 || now >= shutdown_deadline)
    }))
}

fn parse() -> anyhow::Result<Option<Options>> {
    let (mut service, mut name, mut endpoints) = (None, None, Vec::new());
    let (mut listen, mut gateway, mut control) = (None, None, None);
    let (mut ledger, mut seed) = (None, 1);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("service") => service = Some(parser.value()?.string()?),
            Long("name") => name = Some(parser.value()?.string()?),
            Long("endpoint") => endpoints.push(parser.value()?.parse()?),
            Long("listen") => listen = Some(parser.value()?.parse()?),
            Long("gateway") => gateway = Some(parser.value()?.parse()?),
            Long("control") => control = Some(parser.value()?.parse()?),
            Long("ledger") => ledger = Some(PathBuf::from(parser.value()?)),
            Long("seed") => seed = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(argument.unexpected().into()),
        }
    }
    let service = service.context("--service is missing")?;
    let name = name.context("--name is missing")?;
    let responder = UpstreamConfig::responder(&service, &name);
    Ok(Some(Options {
        config: UpstreamConfig { responder, endpoints, seed },
        listen: listen.context("--listen is missing")?,
        gateway: gateway.context("--gateway is missing")?,
        control: control.context("--control is missing")?,
        ledger,
    }))
}
