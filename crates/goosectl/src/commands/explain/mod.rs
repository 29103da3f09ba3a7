//! `goosectl explain`: where a caller's packets go, and why.

mod arguments;
mod gather;
mod holder;
mod home;
mod report;
mod steps;
#[cfg(test)]
mod tests;
mod tuple;

use std::io::Write;

use super::{Command, logs};
use crate::exit::{Exit, Failure};
use crate::fleet::{Fleet, OPTIONS_HELP};
use crate::output;

/// Entry in the command table.
pub(crate) const COMMAND: Command = Command {
    name: "explain",
    summary: "show where a caller's packets go, and why",
    example: "goosectl explain tcp 198.51.100.7:40001 203.0.113.1:8443 --settings balancer.yaml",
    run,
};

const HELP: &str = "\
Usage: goosectl explain TRANSPORT SOURCE DESTINATION (--settings FILE | --flow-key HEX) [OPTIONS]

Follows a packet step by step: the account and service of its destination, the flow's id and bucket,
the ranking of the bucket's agents, the home that the balancers choose and why, and the agent that
holds the flow. Settings are read from the platform; balancers and agents are asked what they would
do with the packet. TRANSPORT is tcp or udp; addresses are IP:PORT, with IPv6 in brackets.

Options:
  --flow-key HEX     key of the flow hash, 32 hexadecimal digits, as in the processes' settings
                     (default: the one in the file of --settings)
  --account NAME     account that owns the destination; the root document is then not read
  --subtree FILE     read the account's settings from this file, not from the platform; needs
                     --account
";

const EXAMPLES: &str = "
Examples:
  goosectl explain tcp 198.51.100.7:40001 203.0.113.1:8443 --settings balancer.yaml
  goosectl explain udp '[2001:db8::7]:5353' '[2001:db8:1::1]:53' --platform 127.1.0.1:8000 \\
      --flow-key 00112233445566778899aabbccddeeff --account cascadia --json

Exit codes: 0 explained; 1 some instances do not answer or contradict each other, or no account or
service has the destination; 2 invalid command line; 3 unreadable file; 4 neither the platform nor
an instance answers.
";

fn run(parser: &mut lexopt::Parser, out: &mut dyn Write) -> Result<Exit, Failure> {
    if logs::is_requested(parser) {
        return logs::explain(parser, out);
    }
    let Some(arguments) = arguments::parse(parser)? else {
        write!(out, "{HELP}{OPTIONS_HELP}{}{EXAMPLES}", logs::EXPLAIN_HELP)?;
        return Ok(Exit::Success);
    };
    let fleet = Fleet::find(&arguments.options)?;
    let facts = gather::gather(&arguments, &fleet)?;
    let explanation = steps::explain(&facts);
    match arguments.options.is_json {
        true => output::write_json(out, &explanation)?,
        false => {
            output::write_notes(out, &fleet.notes)?;
            report::text(out, &explanation)?;
        }
    }
    Ok(if explanation.is_certain { Exit::Success } else { Exit::Findings })
}
