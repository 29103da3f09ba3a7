//! Project automation. `cargo xtask --help` lists the commands.

mod ablate;
mod bench;
mod capacity;
mod codegen;
mod days;
mod direct;
mod fuzz;
mod gate;
mod lab;
mod process;
mod regress;

use std::process::ExitCode;

const HELP: &str = "\
Usage: cargo xtask COMMAND [OPTIONS]

Commands:
  ablate  score the users' standard days (fixed scenarios) with each mechanism disabled in turn;
          `cargo xtask ablate --help`
  bench [--experiment FILE] [--out FOLDER]
          compare the packets per second and core of balancer and agent with a bare relay, on
          loopback; or run an experiment of experiments/ against the same processes
  capacity [--check | --measure | --sweep FILE]
          write docs/CAPACITY.md from docs/results; --check only compares it, --measure first
          repeats the measurements that need no daemon, --sweep first imports the output of the
          users' sweep
  codegen [--check]
          write the files generated from schema/ and from the result codes; --check only
          compares them
  fuzz    stateful fuzzing of the decision core; `cargo xtask fuzz --help`
  lab     build and start all processes on loopback, replace some under load, and report;
          with --direct, run the two programs of the direct-return path instead
  regress compare the scores of the users' deployments with their baselines;
          `cargo xtask regress --help`
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
        "ablate" => ablate::run(&mut parser),
        "bench" => bench::run(&mut parser),
        "capacity" => capacity::run(capacity::mode(&mut parser)?),
        "codegen" => codegen::run(codegen_mode(&mut parser)?),
        "fuzz" => fuzz::run(&parser.raw_args()?.collect::<Vec<_>>()),
        "lab" => lab::run(&mut parser),
        "regress" => regress::run(&mut parser),
        "test" => gate::run(),
        other => anyhow::bail!("unknown command `{other}`\n\n{HELP}"),
    }
}

fn codegen_mode(parser: &mut lexopt::Parser) -> anyhow::Result<codegen::Mode> {
    match parser.next()? {
        None => Ok(codegen::Mode::Write),
        Some(lexopt::Arg::Long("check")) => Ok(codegen::Mode::Check),
        Some(argument) => Err(argument.unexpected().into()),
    }
}
