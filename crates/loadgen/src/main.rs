//! `gooseberrysill-load`: load generation and experiments that run the product's own code.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context as _, bail};
use lexopt::{Arg, ValueExt as _};
use loadgen::flows::Experiment;
use loadgen::traffic::{Relay, serve_counts};

const HELP: &str = "\
Usage: gooseberrysill-load COMMAND [OPTIONS]

Commands:
  control    cost of gossip among balancers, by fleet size and in storms of changes;
             simulates many nodes in one process
  agent      cost of the agents of one service, by load and in storms after failures;
             simulates them in one process
  tree       cost of the settings tree, of its changes and of exchanging them
  agent-memory FLOWS
             memory in bytes of an agent that holds FLOWS flows
  tree-memory SERVICES
             memory in bytes of a balancer's settings with SERVICES services
  flows --experiment FILE
             send packets at fixed rates through a running process and measure latency and
             loss; needs --out, and writes a plot beside that file.
             `cargo xtask bench --experiment FILE` starts the processes as well
  relay LISTEN TO...
             forward datagrams from LISTEN to each TO in turn; for each line of standard
             input, print the number of datagrams forwarded so far; end with standard input

Options:
  --out FILE   write the results to FILE as JSON (default: standard output)
  --help       print this text

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

/// Parsed command line.
#[derive(Debug, Default)]
struct Arguments {
    help: bool,
    out: Option<PathBuf>,
    experiment: Option<PathBuf>,
    values: Vec<String>,
}

fn run() -> anyhow::Result<()> {
    let arguments = parse()?;
    if arguments.help {
        print!("{HELP}");
        return Ok(());
    }
    let (command, values) = arguments.values.split_first().context(HELP)?;
    let results = match command.as_str() {
        "control" => loadgen::control::spread::measure(),
        "agent" => loadgen::cost::agent::measure(),
        "tree" => loadgen::cost::tree::measure(),
        "agent-memory" => return print_memory(values, loadgen::cost::agent::memory),
        "tree-memory" => return print_memory(values, loadgen::cost::tree::memory),
        "relay" => return relay(values),
        "flows" => return flows(&arguments),
        other => bail!("unknown command `{other}`\n\n{HELP}"),
    };
    match arguments.out {
        Some(path) => results.write(&path),
        None => {
            println!("{}", serde_json::to_string_pretty(&results)?);
            Ok(())
        }
    }
}

fn parse() -> anyhow::Result<Arguments> {
    let mut parser = lexopt::Parser::from_env();
    let mut arguments = Arguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("help") => arguments.help = true,
            Arg::Long("out") => arguments.out = Some(parser.value()?.into()),
            Arg::Long("experiment") => arguments.experiment = Some(parser.value()?.into()),
            Arg::Value(value) => arguments.values.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(arguments)
}

fn print_memory(values: &[String], measure: fn(u64) -> anyhow::Result<f64>) -> anyhow::Result<()> {
    let size = values.first().context("the number of flows or services is missing")?;
    println!("{}", measure(size.parse()?)?);
    Ok(())
}

fn flows(arguments: &Arguments) -> anyhow::Result<()> {
    let file = arguments.experiment.as_deref().context("--experiment FILE is missing")?;
    let out = arguments.out.as_deref().context("--out FILE is missing")?;
    let experiment = Experiment::read(file)?;
    let results = loadgen::flows::run(&experiment)?;
    results.write(out)?;
    loadgen::flows::plot(&results, &experiment.name, &out.with_extension("svg"))
}

/// Runs the relay in a thread named `relay`, so that its processor time can be measured separately
/// from that of the main thread.
fn relay(values: &[String]) -> anyhow::Result<()> {
    let (listen, receivers) = values.split_first().context("LISTEN is missing")?;
    let receivers = receivers.iter().map(|it| it.parse()).collect::<Result<_, _>>()?;
    let relay = Relay::bind(listen.parse()?, receivers)?;
    let forwarded = relay.forwarded();
    std::thread::Builder::new().name("relay".into()).spawn(move || {
        if let Err(error) = relay.run() {
            eprintln!("gooseberrysill-load: relay: {error:#}");
        }
    })?;
    serve_counts(&forwarded)
}
