//! `cargo xtask ablate`: scores the users' standard days (fixed scenarios) with each mechanism
//! disabled in turn.
//!
//! Works on a clone of the last commit under `target/`, so that the working tree does not change.
//! The users' bench, given by its path, builds the programs and runs the days; its table is parsed.

mod report;

use std::path::{Path, PathBuf};

use anyhow::{Context as _, bail, ensure};
use lexopt::ValueExt as _;
use report::{Report, Row};
use steering::policy::Policy;

use crate::days;

const HELP: &str = "\
Usage: cargo xtask ablate --bench PATH --site FILE... [OPTIONS]

Options:
  --bench PATH   the users' bench
  --site FILE    a site whose standard days are run; may be given several times
  --seeds N      runs of each site and mechanism, default 1
  --only NAME    disable only this mechanism, beside the complete policy; may be given several times
  --jobs N       days that run at the same time, default 4
  --out FOLDER   folder for ablation.json and ablation.svg, default docs/results
";

/// Folder of the clone.
const CLONE_FOLDER: &str = "target/ablate";
/// File of the clone that defines how the bench starts the programs.
const DEPLOY_FILE: &str = "deploy/system.toml";
/// Prefix of the lines of `DEPLOY_FILE` that start a program.
const RUN_PREFIX: &str = "run = \"";

struct Options {
    bench: PathBuf,
    sites: Vec<PathBuf>,
    seeds: u32,
    only: Vec<String>,
    jobs: u32,
    out: PathBuf,
}

/// Runs all sites with the complete policy and without each mechanism, and writes the report.
pub(crate) fn run(parser: &mut lexopt::Parser) -> anyhow::Result<()> {
    let Some(options) = parse(parser)? else {
        print!("{HELP}");
        return Ok(());
    };
    let copy = Path::new(CLONE_FOLDER);
    days::clone_to(copy)?;
    let deploy = std::fs::read_to_string(copy.join(DEPLOY_FILE))?;
    let named = |name: &&str| options.only.is_empty() || options.only.iter().any(|o| o == name);
    let mut rows = Vec::new();
    for without in std::iter::once(None).chain(Policy::names().filter(named).map(Some)) {
        std::fs::write(copy.join(DEPLOY_FILE), deploy_file_without(&deploy, without))?;
        for site in &options.sites {
            for seed in 1..=options.seeds {
                let row = run_site(&options, copy, site, without, seed)?;
                println!("{row}");
                rows.push(row);
            }
        }
    }
    std::fs::write(copy.join(DEPLOY_FILE), deploy)?;
    Report { rows }.write(&options.out)
}

fn parse(parser: &mut lexopt::Parser) -> anyhow::Result<Option<Options>> {
    let (mut bench, mut sites, mut only) = (None, Vec::new(), Vec::new());
    let (mut seeds, mut jobs, mut out) = (1, 4, PathBuf::from("docs/results"));
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("bench") => bench = Some(days::canonical_path(parser.value()?)?),
            lexopt::Arg::Long("site") => sites.push(days::canonical_path(parser.value()?)?),
            lexopt::Arg::Long("seeds") => seeds = parser.value()?.parse()?,
            lexopt::Arg::Long("only") => only.push(parser.value()?.string()?),
            lexopt::Arg::Long("jobs") => jobs = parser.value()?.parse()?,
            lexopt::Arg::Long("out") => out = parser.value()?.into(),
            lexopt::Arg::Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    if let Some(name) = only.iter().find(|name| Policy::default().without(name).is_none()) {
        bail!("no mechanism `{name}`");
    }
    let bench = bench.context("--bench is missing")?;
    ensure!(!sites.is_empty(), "--site is missing");
    Ok(Some(Options { bench, sites, seeds, only, jobs, out }))
}

/// The deploy file, changed so that all programs run without this mechanism.
fn deploy_file_without(deploy: &str, without: Option<&str>) -> String {
    let Some(name) = without else { return deploy.to_owned() };
    let line = |line: &str| match line.starts_with(RUN_PREFIX) {
        true => format!("{} --without {name}\"\n", line.trim_end_matches('"')),
        false => format!("{line}\n"),
    };
    deploy.lines().map(line).collect()
}

fn run_site(
    options: &Options,
    copy: &Path,
    site: &Path,
    without: Option<&str>,
    seed: u32,
) -> anyhow::Result<Row> {
    let reason = match without {
        Some(name) => format!("ablation, play {seed}: without {name}"),
        None => format!("ablation, play {seed}: everything"),
    };
    let days = days::score(&options.bench, copy, site, options.jobs, &reason)?;
    let site = site.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    Ok(Row { site, without: without.map(str::to_owned), play: seed, days })
}
