//! What each mechanism is worth: the users' days with one after the other switched off.
//!
//! Works on a clone of the last commit under `target/`, so that the tree stays as it is. The bench is
//! named by its path; it builds and plays the days, and its table is read.

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
  --site FILE    a site whose standard days are played; may be given several times
  --seeds N      plays of each site and mechanism, 1 unless given
  --only NAME    only this mechanism, beside the whole; may be given several times
  --jobs N       days that are played at the same time, 4 unless given
  --out FOLDER   where ablation.json and ablation.svg go, docs/results unless given
";

/// Where the clone lies.
const CLONE_FOLDER: &str = "target/ablate";
/// The file that says how the programs are started.
const DEPLOY_FILE: &str = "deploy/system.toml";
/// Marks the lines of it that start a program.
const RUN_PREFIX: &str = "run = \"";

struct Options {
    bench: PathBuf,
    sites: Vec<PathBuf>,
    seeds: u32,
    only: Vec<String>,
    jobs: u32,
    out: PathBuf,
}

/// Plays all sites with the whole policy and without each mechanism, and writes the report.
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

/// The deploy file with programs that run without this mechanism.
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
