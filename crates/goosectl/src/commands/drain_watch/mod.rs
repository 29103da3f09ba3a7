//! `goosectl drain-watch`: waits until an upstream can be removed.

mod arguments;
mod poll;
mod progress;
#[cfg(test)]
mod tests;

use std::io::Write;
use std::thread;
use std::time::Instant;

use settings::codes;

use super::Command;
use crate::exit::{Exit, Failure};
use crate::fleet::{Fleet, OPTIONS_HELP};
use crate::output;
use arguments::Arguments;
use poll::Watched;
use progress::{Flows, Progress, Sample, Verdict};

/// Entry in the command table.
pub(crate) const COMMAND: Command = Command {
    name: "drain-watch",
    summary: "wait until an upstream holds no flow and gets no opening",
    example: "goosectl drain-watch cascadia/shelf/shelf-1 --platform 127.1.0.1:8000",
    run,
};

const HELP: &str = "\
Usage: goosectl drain-watch UPSTREAM [--timeout-s N] [--ignore-closing] [OPTIONS]

Watches an upstream that is being drained until its agent holds no flow and, for the time of
--quiet-ms, has answered every request while the upstream got no opening, whether through its own
agent or another one of the service. UPSTREAM is NAME, SERVICE/NAME or ACCOUNT/SERVICE/NAME, as in
the platform's list. The command only watches: to begin the drain, publish `state: draining`.

A flow whose caller has sent its FIN counts until the agent forgets it, ten minutes after its last
packet: the upstream may still be sending its answer, which the agent does not see.

Options:
  --timeout-s N      give up after N seconds (default: never)
  --ignore-closing   do not wait for flows whose callers have sent their FIN
  --interval-ms N    time between two polls in milliseconds (default 500)
  --quiet-ms N       required time without an opening in milliseconds (default 3000)
";

const EXAMPLES: &str = "
Examples:
  goosectl drain-watch shelf-1 --platform 127.1.0.1:8000 --timeout-s 600
  goosectl drain-watch cascadia/shelf/shelf-1 --settings agent.yaml --ignore-closing --json

Exit codes: 0 drained; 1 the agent ended before it was seen drained; 2 invalid command line or no
such upstream; 3 unreadable file; 4 the platform does not answer; 5 not drained in time. Ctrl-C ends
the command by the signal (130 in a shell).
";

fn run(parser: &mut lexopt::Parser, out: &mut dyn Write) -> Result<Exit, Failure> {
    let Some(arguments) = arguments::parse(parser)? else {
        write!(out, "{HELP}{OPTIONS_HELP}{EXAMPLES}")?;
        return Ok(Exit::Success);
    };
    let fleet = Fleet::find(&arguments.options)?;
    let mut watched = Watched::find(fleet, &arguments.upstream)?;
    let started = Instant::now();
    let mut progress = Progress::new(arguments.quiet_samples(), arguments.ignore_closing);
    loop {
        let sample = watched.poll();
        let verdict = progress.update(&sample);
        show(out, &arguments, &sample, &verdict)?;
        match verdict {
            Verdict::Drained => return Ok(Exit::Success),
            Verdict::AgentGone => return Err(gone(&arguments.upstream, progress.last_flows())),
            Verdict::AgentUnresponsive | Verdict::HoldsFlows | Verdict::NotYetQuiet => {}
        }
        if arguments.timeout.is_some_and(|timeout| started.elapsed() >= timeout) {
            let text = format!("{} is not drained in time: {verdict}", arguments.upstream);
            return Err(Failure::new(codes::TIMED_OUT, Exit::TimedOut, text));
        }
        thread::sleep(arguments.interval);
    }
}

fn gone(upstream: &str, last: Option<Flows>) -> Failure {
    let held = last.map_or("and never answered".to_owned(), |flows| {
        format!("last seen with {} open and {} closing flow(s)", flows.open, flows.closing)
    });
    let text = format!("the agent of {upstream} has ended, {held}");
    Failure::new(codes::INSTANCE_UNREACHABLE, Exit::Findings, text)
}

/// Writes one line or JSON document for a sample, and flushes it so that a watching operator sees
/// it immediately.
fn show(
    out: &mut dyn Write,
    arguments: &Arguments,
    sample: &Sample,
    verdict: &Verdict,
) -> Result<(), Failure> {
    match arguments.options.is_json {
        true => output::write_json(out, &progress::json(sample, verdict))?,
        false => writeln!(out, "{}", progress::line(sample, verdict))?,
    }
    out.flush()?;
    Ok(())
}
