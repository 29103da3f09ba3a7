//! `goosectl timeline`: shows the events of all processes in causal order.

mod arguments;
mod causes;
mod files;
mod html;
mod merge;
mod names;
mod svg;
#[cfg(test)]
mod tests;
mod text;

use std::io::Write;

use settings::codes::{self, INSTANCE_UNREACHABLE};
use telemetry::clock::{self, Timestamp};

use super::{Command, logs};
use crate::exit::{Exit, Failure};
use crate::fleet::{Event, Fleet, OPTIONS_HELP};
use crate::output;
use arguments::Arguments;
use names::Names;

/// Entry in the command table.
pub(crate) const COMMAND: Command = Command {
    name: "timeline",
    summary: "merge the events of all processes in causal order",
    example: "goosectl timeline --platform 127.1.0.1:8000 --last 30 --html timeline.html",
    run,
};

const HELP: &str = "\
Usage: goosectl timeline [--flow ID] [--account NAME] [--kind KIND]... [--last SECONDS]
                         [--html FILE] [--from DIR] [OPTIONS]

Merges the events of all instances in causal order. The agents of a service put a hybrid logical
clock on their messages, so an effect never comes before its cause, even if their machines' clocks
differ; an assignment comes before the admission that it led to. Between balancers, and between
services, the order is that of the machines' clocks. Each instance keeps only its latest events (a
balancer 4096, an agent 16384), and none from before its last restart.

Options:
  --flow ID          only events of this flow (16 hexadecimal digits, see `goosectl explain`)
  --account NAME     only events that concern this account
  --kind KIND        only events of this kind; may be repeated
  --last SECONDS     only events of the last SECONDS seconds, counted back from now, or from the
                     latest event with --from
  --html FILE        write a self-contained HTML page with a picture to FILE instead of lines
  --from DIR         read the files *.timeline.json in DIR, as `cargo xtask lab --out DIR` writes
                     them; query instances only if --platform, --settings or --instance is given
";

const EXAMPLES: &str = "
Examples:
  goosectl timeline --platform 127.1.0.1:8000 --account cascadia --last 60
  goosectl timeline --settings /etc/gooseberrysill/balancer.yaml --flow 0123456789abcdef
  goosectl timeline --from /tmp/lab --kind settings_accepted --kind view_installed --html t.html

Exit codes: 0 done; 1 some instances do not answer; 2 invalid command line; 3 a file cannot be read
or written; 4 no instance answers.
";

/// The events read, and what is needed to print them.
struct Gathered {
    events: Vec<Event>,
    names: Names,
    notes: Vec<String>,
    unresponsive_count: usize,
}

fn run(parser: &mut lexopt::Parser, out: &mut dyn Write) -> Result<Exit, Failure> {
    if logs::is_requested(parser) {
        return logs::timeline(parser, out);
    }
    let Some(arguments) = arguments::parse(parser)? else {
        write!(out, "{HELP}{OPTIONS_HELP}{}{EXAMPLES}", logs::TIMELINE_HELP)?;
        return Ok(Exit::Success);
    };
    let Gathered { events, names, notes, unresponsive_count } = gather(&arguments)?;
    let events = merge::filtered(events, &arguments.filter);
    match (&arguments.html, arguments.options.is_json) {
        (Some(path), _) => {
            let page = html::page(&events, &names, &notes);
            let unwritable = |error| {
                let text = format!("{}: {error}", path.display());
                Failure::new(codes::OUTPUT_FAILED, Exit::File, text)
            };
            std::fs::write(path, page).map_err(unwritable)?;
            writeln!(out, "{}: {} event(s)", path.display(), events.len())?;
        }
        (None, true) => {
            output::write_json(out, &serde_json::json!({ "notes": notes, "events": events }))?;
        }
        (None, false) => {
            output::write_notes(out, &notes)?;
            text::lines(out, &events, &names)?;
        }
    }
    Ok(if unresponsive_count > 0 { Exit::Findings } else { Exit::Success })
}

fn gather(arguments: &Arguments) -> Result<Gathered, Failure> {
    let mut gathered = match &arguments.from {
        Some(folder) => {
            let (lists, names) = files::read(folder)?;
            let events = merge::merge(lists);
            let latest_ms = events.last().map_or(0, Event::wall_ms);
            let after = arguments.last_ms.map(|last_ms| latest_ms.saturating_sub(last_ms));
            let events = merge::later_than(events, after);
            Gathered { events, names, notes: Vec::new(), unresponsive_count: 0 }
        }
        None => Gathered {
            events: Vec::new(),
            names: Names::default(),
            notes: Vec::new(),
            unresponsive_count: 0,
        },
    };
    if arguments.queries_instances() {
        ask(arguments, &mut gathered)?;
    }
    Ok(gathered)
}

fn ask(arguments: &Arguments, gathered: &mut Gathered) -> Result<(), Failure> {
    let fleet = Fleet::find(&arguments.options)?;
    let first_ms = arguments.last_ms.map_or(0, |last_ms| clock::wall_ms().saturating_sub(last_ms));
    let path = format!("/timeline?after={}", Timestamp::from_wall_ms(first_ms).0);
    let answers = fleet.ask::<Vec<Event>>(|_| Some(path.clone()));
    gathered.names.add_listed(&fleet.targets);
    gathered.notes.extend(fleet.notes);
    let queried_count = answers.len();
    let mut lists = vec![std::mem::take(&mut gathered.events)];
    for answer in answers {
        match answer.result {
            Ok(events) => lists.push(events),
            Err(error) => {
                gathered.notes.push(format!("{} is silent: {error}", answer.target.name));
                gathered.unresponsive_count += 1;
            }
        }
    }
    gathered.events = merge::merge(lists);
    if gathered.unresponsive_count == queried_count && gathered.events.is_empty() {
        let text = format!("none of {queried_count} instance(s) answers");
        return Err(Failure::new(INSTANCE_UNREACHABLE, Exit::Unreachable, text));
    }
    Ok(())
}
