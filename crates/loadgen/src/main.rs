//! `gooseberrysill-load`: load and experiments against the product's own code.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context as _, bail};
use lexopt::{Arg, ValueExt as _};

const HELP: &str = "\
Usage: gooseberrysill-load COMMAND [OPTIONS]

Commands:
  control    slopes and storms of spreading among balancers, many nodes in one process
  agent      slopes and storms of the agents of one service, in one process
  tree       cost of the settings tree, its changes and what is exchanged about it
  agent-memory FLOWS
             memory of an agent that holds FLOWS flows, in bytes
  tree-memory SERVICES
             memory of a balancer's settings with SERVICES services, in bytes

Options:
  --out FILE   write the results there as JSON (default: standard output)
  --help       this text

Example:
  gooseberrysill-load control --out docs/results/control.json
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gooseberrysill-load: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> anyhow::Result<()> {
    let mut parser = lexopt::Parser::from_env();
    let mut command = None;
    let mut out: Option<PathBuf> = None;
    let mut size: Option<u64> = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            Arg::Long("out") => out = Some(parser.value()?.into()),
            Arg::Value(value) if command.is_none() => {
                command = Some(value.to_string_lossy().into_owned())
            }
            Arg::Value(value) if size.is_none() => size = Some(value.parse()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let results = match command.context(HELP)?.as_str() {
        "control" => loadgen::control::spread::measure(),
        "agent" => loadgen::cost::agent::measure(),
        "tree" => loadgen::cost::tree::measure(),
        "agent-memory" => return print_memory(size, loadgen::cost::agent::memory),
        "tree-memory" => return print_memory(size, loadgen::cost::tree::memory),
        other => bail!("unknown command `{other}`\n\n{HELP}"),
    };
    match out {
        Some(path) => results.write(&path),
        None => {
            println!("{}", serde_json::to_string_pretty(&results)?);
            Ok(())
        }
    }
}

fn print_memory(size: Option<u64>, measure: fn(u64) -> anyhow::Result<f64>) -> anyhow::Result<()> {
    println!("{}", measure(size.context("the size is missing")?)?);
    Ok(())
}
