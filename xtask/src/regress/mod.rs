//! `cargo xtask regress`: compares the scores of the users' deployments with committed baselines.
//!
//! The baseline file names the sites and the mean that each has reached. Each site is run once on a
//! clone of the last commit. The command fails if the mean of a site has fallen by more than runs
//! of the same code differ, or if a rule is violated on one of its days.

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
  --sites FOLDER  folder of the site files that docs/results/regress.json names
  --only TEXT     only sites whose name contains this
  --jobs N        days that run at the same time, default 4
  --write         write the new means to docs/results/regress.json
";

/// File with the baseline of each site.
const BASELINE_FILE: &str = "docs/results/regress.json";
/// Folder of the clone.
const CLONE_FOLDER: &str = "target/regress";
/// Largest accepted drop of a site's mean. Runs of the same code differ by up to 0.005, and the
/// users treat differences below 0.03 as noise.
const MEAN_DROP_MAX: f64 = 0.03;

/// A site and the mean worth of its standard days with a disturbance.
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

/// Runs all selected sites and compares their means with the baselines.
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

/// Describes each regression of these days from the baseline.
fn compare(baseline: &Baseline, days: &[Day]) -> Vec<String> {
    let broken = days.iter().filter(|day| day.broken);
    let mut regressions: Vec<String> = broken
        .map(|day| format!("{}: a rule was violated on {}", baseline.site, day.name))
        .collect();
    let mean = mean_worth(days);
    if baseline.mean - mean > MEAN_DROP_MAX {
        regressions
            .push(format!("{}: mean {mean:.4}, baseline {:.4}", baseline.site, baseline.mean));
    }
    regressions
}

fn mean_worth(days: &[Day]) -> f64 {
    mean(days.iter().filter(|day| day.has_disturbance()).map(|day| day.worth))
}
