//! `goosectl status`: shows the state of every instance.

mod report;

use std::io::Write;

use lexopt::prelude::{Long, Short};

use super::Command;
use crate::exit::{Exit, Failure};
use crate::fleet::{Fleet, OPTIONS_HELP, Options, Status};
use report::Report;

/// Entry in the command table.
pub(crate) const COMMAND: Command = Command {
    name: "status",
    summary: "show the state of every instance",
    example: "goosectl status --platform 127.1.0.1:8000",
    run,
};

const HELP: &str = "\
Usage: goosectl status [--counters] [OPTIONS]

Shows for every instance whether it answers and is ready, the versions of its settings, and its
counters. FLOWS counts the open flows of an agent, IN the datagrams received, OUT the packets sent
to agents or to the upstream, and DROPPED the packets dropped or refused for any reason.

Options:
  --counters         list every counter that is not zero
";

const EXAMPLES: &str = "
Examples:
  goosectl status --platform 127.1.0.1:8000
  goosectl status --settings /etc/gooseberrysill/balancer.yaml --counters
  goosectl status --instance 127.20.1.1:9080 --instance 127.20.1.2:9080 --json

Exit codes: 0 all instances are ready; 1 some do not answer or are not ready; 2 invalid command
line; 3 unreadable file; 4 no instance answers.
";

fn run(parser: &mut lexopt::Parser, out: &mut dyn Write) -> Result<Exit, Failure> {
    let (mut options, mut all_counters) = (Options::default(), false);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => {
                write!(out, "{HELP}{OPTIONS_HELP}{EXAMPLES}")?;
                return Ok(Exit::Success);
            }
            Long("counters") => all_counters = true,
            Long(name) => {
                let name = name.to_owned();
                options.parse_option(&name, parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let fleet = Fleet::find(&options)?;
    let answers = fleet.ask::<Status>(|_| Some("/status".to_owned()));
    let report = Report { notes: &fleet.notes, answers: &answers, all_counters };
    match options.is_json {
        true => report.json(out)?,
        false => report.text(out)?,
    }
    Ok(report.exit())
}
