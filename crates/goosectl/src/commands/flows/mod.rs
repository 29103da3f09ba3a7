//! `goosectl flows`: lists the flows that agents hold.

mod report;

use std::io::Write;

use lexopt::ValueExt as _;
use lexopt::prelude::{Long, Short};
use shell::settings_sync::instances::Kind;

use super::Command;
use crate::exit::{Exit, Failure};
use crate::fleet::{Fleet, Flows, OPTIONS_HELP, Options, Target};
use report::Report;

/// Entry in the command table.
pub(crate) const COMMAND: Command = Command {
    name: "flows",
    summary: "list the flows that agents hold",
    example: "goosectl flows --platform 127.1.0.1:8000 --service shelf",
    run,
};

const HELP: &str = "\
Usage: goosectl flows [--account NAME] [--service NAME] [--upstream NAME] [--limit N] [OPTIONS]

Lists the flows that agents hold for their upstreams, with id and state: `open`, `finishing` (the
caller has closed its side) or `reset`. `goosectl explain` shows the id of a caller's flow.

Options:
  --account NAME     only agents of this account
  --service NAME     only agents of this service
  --upstream NAME    only the agent of this upstream; these three filters need the platform's list
  --limit N          maximum number of flows listed for each agent (default 20, at most 10000; 0
                     prints the counts only)
";

const EXAMPLES: &str = "
Examples:
  goosectl flows --platform 127.1.0.1:8000 --limit 0
  goosectl flows --platform 127.1.0.1:8000 --service shelf --upstream shelf-1 --limit 10000 --json
  goosectl flows --instance 127.20.1.1:9080

Exit codes: 0 done; 1 some agents do not answer, or none matches; 2 invalid command line;
3 unreadable file; 4 no agent answers.
";

/// Flows listed for each agent if `--limit` is not given.
const DEFAULT_LIMIT: usize = 20;

/// Which agents to query.
#[derive(Debug, Default)]
struct Filter {
    account: Option<String>,
    service: Option<String>,
    upstream: Option<String>,
}

fn run(parser: &mut lexopt::Parser, out: &mut dyn Write) -> Result<Exit, Failure> {
    let (mut options, mut filter, mut limit) =
        (Options::default(), Filter::default(), DEFAULT_LIMIT);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => {
                write!(out, "{HELP}{OPTIONS_HELP}{EXAMPLES}")?;
                return Ok(Exit::Success);
            }
            Long("account") => filter.account = Some(parser.value()?.string()?),
            Long("service") => filter.service = Some(parser.value()?.string()?),
            Long("upstream") => filter.upstream = Some(parser.value()?.string()?),
            Long("limit") => limit = parser.value()?.parse()?,
            Long(name) => {
                let name = name.to_owned();
                options.parse_option(&name, parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let fleet = Fleet::find(&options)?;
    let path = format!("/flows?limit={limit}");
    let answers = fleet.ask::<Flows>(|target| filter.matches(target).then(|| path.clone()));
    let report = Report { notes: &fleet.notes, answers: &answers };
    match options.is_json {
        true => report.json(out)?,
        false => report.text(out)?,
    }
    Ok(report.exit())
}

impl Filter {
    /// Whether to query an instance. Listed balancers are not queried. For an instance that is not
    /// on the platform's list, the kind and the served upstream are unknown: it is queried only if
    /// no filter is given.
    fn matches(&self, target: &Target) -> bool {
        let allows = |wanted: &Option<String>, name: fn(&crate::fleet::ServedUpstream) -> &str| {
            let actual = target.served_upstream().map(name);
            wanted.as_deref().is_none_or(|wanted| actual == Some(wanted))
        };
        target.kind() != Some(Kind::Balancer)
            && allows(&self.account, |served| &served.account)
            && allows(&self.service, |served| &served.service)
            && allows(&self.upstream, |served| &served.upstream)
    }
}
