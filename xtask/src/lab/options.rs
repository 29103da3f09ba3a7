//! Command line of the lab.

use std::path::PathBuf;

use anyhow::Context as _;

use super::scenario::{SCENARIOS, Scenario};

pub(crate) const HELP: &str = "\
Usage: cargo xtask lab [OPTIONS]

Starts balancers, agents and stand-ins on loopback, injects changes and faults while callers send
traffic, and checks the ledgers of callers and upstreams. Stops everything that it started.

Options:
  --direct         run the two programs of the direct-return path instead, against stand-ins of
                   the users' platform, for half a minute; takes --seed and --out only
  --quick          the small size and the scenario `quick`: at most 45 s after the build
  --seed N         determines targets, packet spraying, losses and request times (default 1)
  --scenario NAME  quick, full, planned, faults, calm or wire (default full)
  --out DIR        keep logs, ledgers, timelines and report there; DIR must be new or empty
  --release        run the release build (default: the dev build, at opt-level 1)
  --mutant NAME    disable one safeguard of the agents, to check that the lab detects it:
                   redirects-forgotten, redirects-not-reannounced, reset-in-doubt,
                   duplicate-delivered, drain-ignored, adopt-always

The exit code is 0 only if all checks passed. The last line on stdout is one JSON object.
Example: cargo xtask lab --quick --seed 7 --out /tmp/lab
";

/// Number of feeds without `--quick`, as a multiple of the quick size.
const FULL_SCALE: u32 = 5;

/// Command-line options of the lab.
pub(super) struct Options {
    pub(super) seed: u64,
    pub(super) scenario: &'static Scenario,
    /// Number of feeds, as a multiple of the quick size.
    pub(super) scale: u32,
    pub(super) out: Option<PathBuf>,
    pub(super) release: bool,
    /// Safeguard to disable in the agents.
    pub(super) mutant: Option<String>,
    /// Run the direct-return path instead.
    pub(super) direct: bool,
}

/// Parses the remaining arguments; `None` for `--help`.
pub(super) fn parse(parser: &mut lexopt::Parser) -> anyhow::Result<Option<Options>> {
    use lexopt::prelude::*;

    let (mut quick, mut release, mut direct, mut seed) = (false, false, false, 1);
    let (mut out, mut scenario, mut mutant) = (None, None, None);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("quick") => quick = true,
            Long("direct") => direct = true,
            Long("release") => release = true,
            Long("seed") => seed = parser.value()?.parse()?,
            Long("scenario") => scenario = Some(parser.value()?.string()?),
            Long("mutant") => mutant = Some(parser.value()?.string()?),
            Long("out") => out = Some(PathBuf::from(parser.value()?)),
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(argument.unexpected().into()),
        }
    }
    let default = if quick { "quick" } else { "full" };
    let name = scenario.as_deref().unwrap_or(default);
    let scenario = SCENARIOS.iter().find(|known| known.name == name);
    let scenario = scenario.with_context(|| format!("unknown scenario `{name}`"))?;
    let scale = if quick { 1 } else { FULL_SCALE };
    Ok(Some(Options { seed, scenario, scale, out, release, mutant, direct }))
}
