//! Runs the standard days (fixed scenarios) of the users' sites with the users' bench, on a
//! clone of the last commit.

mod table;

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use anyhow::{Context as _, ensure};

pub(crate) use table::Day;
use table::parse_standard_days;

/// Makes a path absolute. The bench runs in the clone, so relative paths would not resolve there.
pub(crate) fn canonical_path(path: OsString) -> anyhow::Result<PathBuf> {
    let path = PathBuf::from(path);
    std::fs::canonicalize(&path).with_context(|| path.display().to_string())
}

/// Clones the last commit to `copy`, replacing what was there.
pub(crate) fn clone_to(copy: &Path) -> anyhow::Result<()> {
    if copy.exists() {
        std::fs::remove_dir_all(copy)?;
    }
    let mut git = Command::new("git");
    let status = git.args(["clone", "--quiet", "--local", "."]).arg(copy).status()?;
    ensure!(status.success(), "git clone: {status}");
    Ok(())
}

/// Runs the standard days of a site and returns their scores.
pub(crate) fn score(
    bench: &Path,
    copy: &Path,
    site: &Path,
    jobs: u32,
    reason: &str,
) -> anyhow::Result<Vec<Day>> {
    let output = Command::new(bench)
        .arg("score")
        .arg(site)
        .args(["--jobs", &jobs.to_string(), "--why", reason])
        .current_dir(copy)
        .stderr(Stdio::inherit())
        .output()?;
    let text = String::from_utf8_lossy(&output.stdout);
    let days = parse_standard_days(&text);
    ensure!(!days.is_empty(), "the bench printed no standard day: {text}");
    Ok(days)
}

/// Mean of some values; zero if there are none.
pub(crate) fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count == 0.0 { 0.0 } else { sum / count }
}
