//! Long fuzzing runs of the decision core, in the release profile.

use std::ffi::OsString;
use std::process::Command;

use anyhow::{Context as _, ensure};

/// Runs the fuzzing program with `arguments`. The mutants are compiled in only with `--mutants`.
pub(crate) fn run(arguments: &[OsString]) -> anyhow::Result<()> {
    let mut command = Command::new(env!("CARGO"));
    command.args(["run", "--locked", "--release", "--quiet", "-p", "fuzzing"]);
    if arguments.iter().any(|argument| argument == "--mutants") {
        command.args(["--features", "mutants"]);
    }
    let status = command.arg("--").args(arguments).status().context("cargo run -p fuzzing")?;
    ensure!(status.success(), "fuzzing: {status}");
    Ok(())
}
