//! `gooseberrysill-load`: load and experiments against the product's own code.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context as _, bail};
use lexopt::Arg;

const HELP: &str = "\
Usage: gooseberrysill-load COMMAND [OPTIONS]

Commands:
  control    slopes and storms of control traffic, with many nodes in one process

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
            other => return Err(other.unexpected().into()),
        }
    }
    let results = match command.context(HELP)?.as_str() {
        "control" => loadgen::control::spread::measure(),
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
