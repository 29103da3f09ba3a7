//! Project automation. `cargo xtask --help` lists the commands.

mod fuzz;
mod gate;

use std::process::ExitCode;

const HELP: &str = "\
Usage: cargo xtask COMMAND [OPTIONS]

Commands:
  fuzz    stateful fuzzing of the decision core; `cargo xtask fuzz --help`
  test    formatter check, linter, all tests and doc examples
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> anyhow::Result<()> {
    let mut parser = lexopt::Parser::from_env();
    let Some(lexopt::Arg::Value(command)) = parser.next()? else {
        print!("{HELP}");
        return Ok(());
    };
    match command.to_string_lossy().as_ref() {
        "fuzz" => fuzz::run(&parser.raw_args()?.collect::<Vec<_>>()),
        "test" => gate::run(),
        other => anyhow::bail!("unknown command `{other}`\n\n{HELP}"),
    }
}
