//! `goosectl zones`: shows which availability zones are closed to new flows.

mod report;

use std::io::Write;

use lexopt::prelude::{Long, Short};

use super::Command;
use crate::exit::{Exit, Failure};
use crate::fleet::{Fleet, OPTIONS_HELP, Options, Zones};
use report::Report;

/// Entry in the command table.
pub(crate) const COMMAND: Command = Command {
    name: "zones",
    summary: "show which availability zones are closed to new flows",
    example: "goosectl zones --instance 10.1.0.10:8167 --instance 10.2.0.40:8167",
    run,
};

const HELP: &str = "\
Usage: goosectl zones [OPTIONS]

Shows for each balancer of the direct-return path which availability zones it has closed, and the
revision of the configuration service that the closures come from. The exit code reports balancers
that differ, which is normal only for a moment after a change. ADDR is the address at which a
balancer answers probes.

Options:
";

const EXAMPLES: &str = "
Examples:
  goosectl zones --instance 10.1.0.10:8167 --instance 10.2.0.40:8167
  goosectl zones --instance 10.1.0.10:8167 --json

Exit codes: 0 all balancers agree; 1 some differ or do not answer; 2 invalid command line;
3 unreadable file; 4 no balancer answers.
";

fn run(parser: &mut lexopt::Parser, out: &mut dyn Write) -> Result<Exit, Failure> {
    let mut options = Options::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => {
                write!(out, "{HELP}{OPTIONS_HELP}{EXAMPLES}")?;
                return Ok(Exit::Success);
            }
            Long(name) => {
                let name = name.to_owned();
                options.parse_option(&name, parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let fleet = Fleet::find(&options)?;
    let answers = fleet.ask::<Zones>(|_| Some("/zones".to_owned()));
    let report = Report { notes: &fleet.notes, answers: &answers };
    match options.is_json {
        true => report.json(out)?,
        false => report.text(out)?,
    }
    Ok(report.exit())
}
