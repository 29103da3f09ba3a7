//! `goosectl settings`: shows which versions are in force and which instances lag.

mod lag;
mod report;
#[cfg(test)]
mod tests;

use std::io::Write;

use lexopt::ValueExt as _;
use lexopt::prelude::{Long, Short};

use super::Command;
use crate::exit::{Exit, Failure};
use crate::fleet::{Event, Fleet, OPTIONS_HELP, Options, Status};
use lag::InstalledVersion;
use report::Report;

/// Entry in the command table.
pub(crate) const COMMAND: Command = Command {
    name: "settings",
    summary: "show the settings in force on each instance, and which instances lag",
    example: "goosectl settings --platform 127.1.0.1:8000 --account cascadia",
    run,
};

const HELP: &str = "\
Usage: goosectl settings [--account NAME] [--published] [OPTIONS]

Shows the version of each account's settings that each instance has in force. An instance lags if
another one, or the platform with --published, has a newer version. SINCE is when the first instance
accepted a newer version; it is unknown once the instances' timelines have dropped that event.

Options:
  --account NAME     show only this account
  --published        also compare with the versions that the platform publishes; this takes one
                     read for each account, which counts against the read budget
";

const EXAMPLES: &str = "
Examples:
  goosectl settings --platform 127.1.0.1:8000
  goosectl settings --settings /etc/gooseberrysill/balancer.yaml --account cascadia --published

Exit codes: 0 no instance lags; 1 some lag or do not answer; 2 invalid command line; 3 unreadable
file; 4 no instance answers.
";

fn run(parser: &mut lexopt::Parser, out: &mut dyn Write) -> Result<Exit, Failure> {
    let (mut options, mut account, mut published) = (Options::default(), None, false);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => {
                write!(out, "{HELP}{OPTIONS_HELP}{EXAMPLES}")?;
                return Ok(Exit::Success);
            }
            Long("account") => account = Some(parser.value()?.string()?),
            Long("published") => published = true,
            Long(name) => {
                let name = name.to_owned();
                options.parse_option(&name, parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let mut fleet = Fleet::find(&options)?;
    let answers = fleet.ask::<Status>(|_| Some("/status".to_owned()));
    let mut installed = lag::installed(&answers);
    installed.retain(|entry| account.as_ref().is_none_or(|wanted| *wanted == entry.account));
    let published = match published {
        true => published_versions(&mut fleet, &installed),
        false => Vec::new(),
    };
    let newest = lag::newest(&installed, &published);
    let events = match installed.iter().any(|entry| lag::is_behind(entry, &newest)) {
        true => events(&fleet),
        false => Vec::new(),
    };
    let rows = lag::rows(installed, &newest, &events);
    let report = Report { notes: &fleet.notes, answers: &answers, newest: &newest, rows: &rows };
    match options.is_json {
        true => report.json(out)?,
        false => report.text(out)?,
    }
    Ok(report.exit())
}

/// Reads the versions that the platform publishes. A failed read adds a note.
fn published_versions(fleet: &mut Fleet, installed: &[InstalledVersion]) -> Vec<(String, u64)> {
    let mut accounts: Vec<&String> = installed.iter().map(|entry| &entry.account).collect();
    accounts.sort_unstable();
    accounts.dedup();
    let mut versions = Vec::new();
    for account in accounts {
        match fleet.published_account(account) {
            Ok(spec) => versions.push((account.clone(), spec.version.0)),
            Err(text) => fleet.notes.push(text),
        }
    }
    versions
}

fn events(fleet: &Fleet) -> Vec<Event> {
    let answers = fleet.ask::<Vec<Event>>(|_| Some("/timeline?after=0".to_owned()));
    answers.into_iter().filter_map(|answer| answer.result.ok()).flatten().collect()
}
