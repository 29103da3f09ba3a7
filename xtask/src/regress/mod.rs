//! Whether the users' deployments are served as well as before.
//!
//! A committed file names the sites and the means that they have reached. Each is played once on a clone of
//! the last commit; a site whose mean has fallen by more than plays of the same code differ, or on
//! which a rule is broken, fails the command.

#[cfg(test)]
mod tests;

use std::path::{Path, PathBuf};

use anyhow::{Context as _, ensure};
use lexopt::ValueExt as _;
use serde::{Deserialize, Serialize};

use crate::days::{self, Day, mean};

const HELP: &str = "\
Usage: cargo xtask regress --bench PATH --sites FOLDER [OPTIONS]

Options:
  --bench PATH    the users' bench
  --sites FOLDER  where the site files lie that docs/results/regress.json names
  --only TEXT     only sites whose name contains this
  --jobs N        days that are played at the same time, 4 unless given
  --write         write what was reached into docs/results/regress.json
";

/// File with the means that the sites have reached.
const BASELINE_FILE: &str = "docs/results/regress.json";
/// Where the clone lies.
const CLONE_FOLDER: &str = "target/regress";
/// A mean may fall by this much: plays of the same code differ by up to 0.005, and the users call
/// less than 0.03 noise.
const MEAN_DROP_MAX: f64 = 0.03;

/// A site and the mean worth of its standard days with trouble.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Baseline {
    site: String,
    mean: f64,
}

#[derive(Default)]
struct Options {
    bench: PathBuf,
    sites: PathBuf,
    only: String,
    jobs: u32,
    write: bool,
}

/// Plays all sites and compares.
pub(crate) fn run(parser: &mut lexopt::Parser) -> anyhow::Result<()> {
    let Some(options) = parse(parser)? else {
        print!("{HELP}");
        return Ok(());
    };
    let mut baselines: Vec<Baseline> =
        serde_json::from_str(&std::fs::read_to_string(BASELINE_FILE).context(BASELINE_FILE)?)?;
    days::clone_to(Path::new(CLONE_FOLDER))?;
    let mut regressions = Vec::new();
    for baseline in baselines.iter_mut().filter(|baseline| baseline.site.contains(&options.only)) {
        let site = options.sites.join(&baseline.site);
        let reason = format!("regression run: {}", baseline.site);
        let days =
            days::score(&options.bench, Path::new(CLONE_FOLDER), &site, options.jobs, &reason)?;
        println!("{}", serde_json::to_string(&days)?);
        regressions.extend(compare(baseline, &days));
        baseline.mean = mean_worth(&days);
    }
    if options.write {
        std::fs::write(BASELINE_FILE, serde_json::to_string_pretty(&baselines)? + "\n")?;
    }
    ensure!(regressions.is_empty(), "{}", regressions.join("; "));
    Ok(())
}

fn parse(parser: &mut lexopt::Parser) -> anyhow::Result<Option<Options>> {
    let mut options = Options { jobs: 4, ..Options::default() };
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("bench") => options.bench = days::canonical_path(parser.value()?)?,
            lexopt::Arg::Long("sites") => options.sites = days::canonical_path(parser.value()?)?,
            lexopt::Arg::Long("only") => options.only = parser.value()?.string()?,
            lexopt::Arg::Long("jobs") => options.jobs = parser.value()?.parse()?,
            lexopt::Arg::Long("write") => options.write = true,
            lexopt::Arg::Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    ensure!(!options.bench.as_os_str().is_empty(), "--bench is missing");
    ensure!(!options.sites.as_os_str().is_empty(), "--sites is missing");
    Ok(Some(options))
}

/// What is wrong with these days, in words.
fn compare(baseline: &Baseline, days: &[Day]) -> Vec<String> {
    let broken = days.iter().filter(|day| day.broken);
    let mut regressions: Vec<String> =
        broken.map(|day| format!("{}: a rule is broken on {}", baseline.site, day.name)).collect();
    let mean = mean_worth(days);
    if baseline.mean - mean > MEAN_DROP_MAX {
        regressions.push(format!("{}: mean {mean:.4}, {:.4} before", baseline.site, baseline.mean));
    }
    regressions
}

fn mean_worth(days: &[Day]) -> f64 {
    mean(days.iter().filter(|day| day.has_disturbance()).map(|day| day.worth))
}
