//! `cargo xtask lab`: runs the real binaries on loopback, and replaces or kills every part of the
//! system while callers send traffic through it.

mod actions;
mod documents;
mod driver;
mod evidence;
mod figures;
mod fleet;
mod http;
mod journal;
mod observer;
mod options;
mod report;
mod scenario;
mod steps;
#[cfg(test)]
mod tests;
mod topology;
mod verdict;

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::{bail, ensure};
use signal_hook::consts::{SIGINT, SIGTERM};
use standins::clock;
use standins::shell::lock;

use crate::process::Process;
use documents::Secrets;
use fleet::Fleet;
use http::HttpClient;
use journal::Journal;
pub(crate) use options::HELP;
use options::Options;
use topology::Net;

/// Interval between two checks of a condition that is waited for.
const POLL_INTERVAL_MS: u64 = 20;

/// State of one run. Dropping it kills every process that the run started.
struct Lab {
    options: Options,
    net: Net,
    /// Directory of the built binaries.
    bin_dir: PathBuf,
    out: PathBuf,
    http: HttpClient,
    secrets: Secrets,
    fleet: Mutex<Fleet>,
    journal: Mutex<Journal>,
    /// Processes of the platform, fabric and callers.
    standins: Mutex<Vec<Process>>,
    interrupted: Arc<AtomicBool>,
    /// Set at the end of the run; stops the observer threads.
    ended: AtomicBool,
    started_ms: u64,
}

/// Runs the lab with the remaining arguments of the command line.
pub(crate) fn run(parser: &mut lexopt::Parser) -> anyhow::Result<()> {
    let Some(options) = options::parse(parser)? else {
        print!("{HELP}");
        return Ok(());
    };
    if options.direct {
        return crate::direct::run(options.seed, options.out);
    }
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&interrupted))?;
    }
    let bin_dir = driver::build(&options)?;
    let lab = Lab::new(options, bin_dir, interrupted)?;
    let outcome = driver::drive(&lab);
    let keep = lab.options.out.is_some() || !matches!(&outcome, Ok(figures) if figures.pass);
    let out = lab.out.clone();
    drop(lab);
    match keep {
        true => eprintln!("lab: logs are in {}", out.display()),
        false => std::fs::remove_dir_all(&out)?,
    }
    let figures = outcome?;
    report::print(&figures, &out, keep)?;
    ensure!(figures.pass, "checks failed: {}", figures.failures.join("; "));
    Ok(())
}

impl Lab {
    fn new(
        options: Options,
        bin_dir: PathBuf,
        interrupted: Arc<AtomicBool>,
    ) -> anyhow::Result<Self> {
        let net = Net::find_unused(std::process::id())?;
        let folder = || std::env::temp_dir().join(format!("gooseberrysill-{}", std::process::id()));
        let out = options.out.clone().unwrap_or_else(folder);
        std::fs::create_dir_all(&out)?;
        // Upstreams append to existing ledgers. Rows of an earlier run would be counted as requests
        // that ran twice.
        let is_empty = std::fs::read_dir(&out)?.next().is_none();
        ensure!(is_empty, "{} is not empty; choose a new folder for --out", out.display());
        Ok(Self {
            secrets: Secrets::new(options.seed),
            fleet: Mutex::new(Fleet::new(net)),
            journal: Mutex::new(Journal::default()),
            standins: Mutex::new(Vec::new()),
            http: HttpClient::new(),
            ended: AtomicBool::new(false),
            started_ms: clock::now().0,
            options,
            net,
            bin_dir,
            out,
            interrupted,
        })
    }

    /// Prints a progress line with the time since the start of the run.
    fn log_progress(&self, text: &str) {
        let elapsed_ms = clock::now().0 - self.started_ms;
        eprintln!("lab {:>6.2} s  {text}", elapsed_ms as f64 / 1_000.0);
    }

    /// Sleeps for `ms` milliseconds. Returns an error if the run is interrupted meanwhile.
    fn sleep(&self, ms: u64) -> anyhow::Result<()> {
        let until = clock::now().after(ms);
        loop {
            if self.interrupted.load(Ordering::Relaxed) {
                bail!("interrupted");
            }
            let left_ms = until.since(clock::now());
            if left_ms == 0 {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(left_ms.min(POLL_INTERVAL_MS)));
        }
    }

    /// Polls `check` until it holds. Returns false if it does not within `timeout_ms`.
    fn wait_until(&self, timeout_ms: u64, check: impl Fn() -> bool) -> anyhow::Result<bool> {
        let until = clock::now().after(timeout_ms);
        while !check() {
            if clock::now() >= until {
                return Ok(false);
            }
            self.sleep(POLL_INTERVAL_MS)?;
        }
        Ok(true)
    }

    /// Adds to the journal; `entry` receives the current time in milliseconds.
    fn record(&self, entry: impl FnOnce(&mut Journal, u64)) {
        entry(&mut lock(&self.journal), clock::now().0);
    }
}
