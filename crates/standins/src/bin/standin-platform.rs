//! The platform's configuration service and list of instances, held in memory.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Context as _;
use lexopt::prelude::*;
use standins::admin;
use standins::platform::{Platform, respond};
use standins::shell::termination_flag;

const HELP: &str = "\
Usage: standin-platform --listen IP:PORT [--reads-per-s N]

Readers: GET /v1/root, /v1/accounts/NAME, /v1/watch?after=N&wait_ms=M, /v1/instances.
The lab: PUT /admin/root, /admin/accounts/NAME, /admin/instances, /admin/mode; GET /admin/stats.
";

/// Default read budget of all readers together, close to that of the real platform.
const DEFAULT_READS_PER_S: u32 = 2_000;
/// Interval at which the termination flag is checked.
const SIGNAL_POLL_INTERVAL_MS: u64 = 20;

fn main() -> anyhow::Result<()> {
    let Some((listen, reads_per_s)) = parse()? else {
        print!("{HELP}");
        return Ok(());
    };
    let terminated = termination_flag()?;
    let platform = Arc::new(Mutex::new(Platform::new(reads_per_s)));
    admin::spawn(
        listen,
        Arc::new(move |call| {
            let platform = Arc::clone(&platform);
            Box::pin(async move { respond(&platform, call).await })
        }),
    )?;
    while !terminated.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(SIGNAL_POLL_INTERVAL_MS));
    }
    Ok(())
}

fn parse() -> anyhow::Result<Option<(SocketAddr, u32)>> {
    let (mut listen, mut reads_per_s) = (None, DEFAULT_READS_PER_S);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("listen") => listen = Some(parser.value()?.parse()?),
            Long("reads-per-s") => reads_per_s = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(argument.unexpected().into()),
        }
    }
    Ok(Some((listen.context("--listen is missing")?, reads_per_s)))
}
