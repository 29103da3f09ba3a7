//! Reads the JSON lines that processes log, for `explain --logs` and `timeline --logs`.

mod parse;
mod select;

use std::ffi::OsString;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};

use lexopt::ValueExt as _;
use lexopt::prelude::{Long, Short, Value};
use settings::codes;

use crate::exit::{Exit, Failure};
use parse::Line;

/// Option that makes a command read log files instead of querying instances.
const LOGS_OPTION: &str = "--logs";
/// Only this many bytes of a line are parsed; the processes log no longer lines.
const LINE_BYTES_MAX: usize = 16 << 10;

/// Help of `explain --logs`.
pub(crate) const EXPLAIN_HELP: &str = "
With logs instead of running instances:
  goosectl explain --logs FILE [--logs FILE]... ID

Prints the log lines of all processes about one request or flow in the order of time: which process
decided what, and with which result. FILE may be `-` for standard input; text before the first `{`
of a line is ignored. ID is a request's id, or ADDRESS:PORT of its caller.
";

/// Help of `timeline --logs`.
pub(crate) const TIMELINE_HELP: &str = "
With logs instead of running instances:
  goosectl timeline --logs FILE [--logs FILE]...

Prints the log lines that are not about single flows (starts, views, the configuration service, slow
and unresponsive upstreams) in the order of time. Lines about single flows are only counted.
";

/// Whether a command line has the option `--logs`.
pub(crate) fn is_requested(parser: &lexopt::Parser) -> bool {
    let mut rest = parser.clone();
    let Ok(mut arguments) = rest.raw_args() else { return false };
    arguments.any(|argument| argument == LOGS_OPTION)
}

/// Runs `explain --logs`.
pub(crate) fn explain(parser: &mut lexopt::Parser, out: &mut dyn Write) -> Result<Exit, Failure> {
    let Some((files, Some(id))) = arguments(parser)? else {
        return Err(Failure::usage("give an id and at least one file with --logs"));
    };
    let lines = read(&files)?;
    let found = select::lines_of_request(&lines, &id);
    if found.is_empty() {
        let text = format!("no line names {id}; rate-limited lines are missing, see `suppressed`");
        return Err(Failure::new(codes::NOT_FOUND, Exit::Findings, text));
    }
    for line in found {
        writeln!(out, "{}", line.text())?;
    }
    Ok(Exit::Success)
}

/// Runs `timeline --logs`.
pub(crate) fn timeline(parser: &mut lexopt::Parser, out: &mut dyn Write) -> Result<Exit, Failure> {
    let Some((files, _)) = arguments(parser)? else {
        return Err(Failure::usage("give at least one file with --logs"));
    };
    let lines = read(&files)?;
    for line in select::lines_of_processes(&lines) {
        writeln!(out, "{}", line.text())?;
    }
    for (event, count) in select::count_flow_events(&lines) {
        writeln!(out, "flows: {event} {count}")?;
    }
    Ok(Exit::Success)
}

type LogArguments = (Vec<OsString>, Option<String>);

fn arguments(parser: &mut lexopt::Parser) -> Result<Option<LogArguments>, Failure> {
    let (mut files, mut id) = (Vec::new(), None);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(None),
            Long("logs") => files.push(parser.value()?),
            Value(value) if id.is_none() => id = Some(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok((!files.is_empty()).then_some((files, id)))
}

fn read(files: &[OsString]) -> Result<Vec<Line>, Failure> {
    let mut lines = Vec::new();
    for file in files {
        let unreadable = |error: std::io::Error| {
            let text = format!("{}: {error}", file.to_string_lossy());
            Failure::new(codes::FILE_UNREADABLE, Exit::File, text)
        };
        let reader: Box<dyn BufRead> = if file == "-" {
            Box::new(std::io::stdin().lock())
        } else {
            Box::new(BufReader::new(File::open(file).map_err(unreadable)?))
        };
        for line in reader.split(b'\n') {
            let line = line.map_err(unreadable)?;
            let text = String::from_utf8_lossy(&line[..line.len().min(LINE_BYTES_MAX)]);
            lines.extend(parse::line(&text));
        }
    }
    select::sort(&mut lines);
    Ok(lines)
}
