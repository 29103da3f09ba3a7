//! Project automation. `cargo xtask --help` lists the commands.

mod gate;

use std::process::ExitCode;

const HELP: &str = "\
Usage: cargo xtask COMMAND [OPTIONS]

Commands:
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
        "test" => gate::run(),
        other => anyhow::bail!("unknown command `{other}`\n\n{HELP}"),
    }
}
