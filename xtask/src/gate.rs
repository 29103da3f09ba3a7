//! The gate that CI and developers share: one verdict from one command.

use std::process::Command;

use anyhow::{Context as _, ensure};

use crate::{capacity, codegen};

/// Each step is a `cargo` call; the first failing one decides the verdict.
const STEPS: &[&[&str]] = &[
    &["fmt", "--all", "--check"],
    &["clippy", "--locked", "--workspace", "--all-targets", "--", "-D", "warnings"],
    &["test", "--locked", "--workspace"],
    // A build of its own: together with the workspace, the mutants would be in every binary.
    &["test", "--locked", "-p", "fuzzing", "--features", "mutants", "--test", "mutants"],
];

/// Runs every step in order and fails on the first that does.
pub(crate) fn run() -> anyhow::Result<()> {
    eprintln!("xtask: codegen --check");
    codegen::run(codegen::Mode::Check)?;
    eprintln!("xtask: capacity --check");
    capacity::run(capacity::Mode::Check)?;
    STEPS.iter().try_for_each(|step| cargo(step))
}

fn cargo(arguments: &[&str]) -> anyhow::Result<()> {
    let line = arguments.join(" ");
    eprintln!("xtask: cargo {line}");
    let status = Command::new(env!("CARGO"))
        .args(arguments)
        .env("PROPTEST_RNG_SEED", "20261202")
        .status()
        .with_context(|| format!("cargo {line}"))?;
    ensure!(status.success(), "cargo {line}: {status}");
    Ok(())
}
