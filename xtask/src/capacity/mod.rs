//! `cargo xtask capacity`: generates `docs/CAPACITY.md` from the committed result files only, so
//! that the page cannot deviate from the measurements.

mod budget;
mod failure;
mod figure;
mod measure;
mod page;
mod roles;
mod storms;
mod sweep;
#[cfg(test)]
mod tests;

use std::path::{Path, PathBuf};

use anyhow::{Context as _, ensure};

use figure::ResultFiles;

const PAGE: &str = "docs/CAPACITY.md";
const RESULTS: &str = "docs/results";

/// What to do with the page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Repeat the measurements that need no daemon, then write the page.
    Measure,
    /// Import the output of the users' sweep from this file, then write the page.
    Sweep(PathBuf),
    /// Write the page.
    Write,
    /// Fail if the committed page differs from the generated one.
    Check,
}

/// Parses the rest of the command line.
pub(crate) fn mode(parser: &mut lexopt::Parser) -> anyhow::Result<Mode> {
    match parser.next()? {
        None => Ok(Mode::Write),
        Some(lexopt::Arg::Long("check")) => Ok(Mode::Check),
        Some(lexopt::Arg::Long("measure")) => Ok(Mode::Measure),
        Some(lexopt::Arg::Long("sweep")) => Ok(Mode::Sweep(parser.value()?.into())),
        Some(argument) => Err(argument.unexpected().into()),
    }
}

/// Updates the result files if the mode asks for it, then writes or compares the page.
pub(crate) fn run(mode: Mode) -> anyhow::Result<()> {
    match &mode {
        Mode::Measure => measure::run(Path::new(RESULTS))?,
        Mode::Sweep(text) => sweep::import(text, Path::new(RESULTS))?,
        Mode::Write | Mode::Check => {}
    }
    let page = page::render(&ResultFiles::read(Path::new(RESULTS))?)?;
    if mode != Mode::Check {
        return std::fs::write(PAGE, page).context(PAGE);
    }
    let committed = std::fs::read_to_string(PAGE).context(PAGE)?;
    ensure!(committed == page, "{PAGE} differs from {RESULTS}: run `cargo xtask capacity`");
    Ok(())
}
