//! `goosectl check`: reports every fault of a document before it is published.

mod arguments;
mod report;

use std::io::Write;
use std::path::Path;

use settings::{Fault, account, codes, root};

use super::Command;
use crate::exit::{Exit, Failure};
use arguments::{Arguments, Document};
use report::{Content, Report};

/// Entry in the command table.
pub(crate) const COMMAND: Command = Command {
    name: "check",
    summary: "show every fault of a subtree or root before it is published",
    example: "goosectl check cascadia.yaml --account cascadia --root root.yaml",
    run,
};

const HELP: &str = "\
Usage: goosectl check FILE --account NAME [--root FILE] [--against OLDFILE] [--json]
       goosectl check FILE [--against OLDFILE] [--json]

Shows every fault of a document with line, column and result code. With --account, FILE is the
subtree to be published for that account; without it, FILE is a root document.

Options:
  --account NAME     account for which the subtree is to be published
  --root FILE        root document; without it, addresses are not compared with their owners
  --against OLDFILE  document that is published now; also check the change from it to FILE
  --json             print one JSON object instead of lines

Examples:
  goosectl check cascadia.yaml --account cascadia --root root.yaml
  goosectl check cascadia.yaml --account cascadia --root root.yaml --against published.yaml
  goosectl check root.yaml --against published-root.yaml --json

Exit codes: 0 no fault; 1 faults; 2 invalid command line; 3 a file cannot be read, or the root
document or OLDFILE is invalid.
";

/// The content of a valid document, or the faults of an invalid one.
type Checked = Result<Content, Vec<Fault>>;

fn run(parser: &mut lexopt::Parser, out: &mut dyn Write) -> Result<Exit, Failure> {
    let Some(arguments) = arguments::parse(parser)? else {
        write!(out, "{HELP}")?;
        return Ok(Exit::Success);
    };
    let result = check(&arguments)?;
    let report = Report {
        file: &arguments.file,
        result: &result,
        are_addresses_compared: arguments.compares_addresses(),
    };
    if arguments.is_json {
        report.json(out)?
    } else {
        report.text(out)?
    }
    Ok(if result.is_ok() { Exit::Success } else { Exit::Findings })
}

fn check(arguments: &Arguments) -> Result<Checked, Failure> {
    let yaml = read(&arguments.file)?;
    let old = match arguments.against.as_deref() {
        Some(path) => Some((path, read(path)?)),
        None => None,
    };
    match &arguments.document {
        Document::Root => check_root(&yaml, old),
        Document::Account { name, root } => check_account(&yaml, name, root.as_deref(), old),
    }
}

fn check_root(yaml: &str, old: Option<(&Path, String)>) -> Result<Checked, Failure> {
    let parsed = match old {
        Some((path, old)) => {
            let old = root::parse(&old).map_err(|faults| unusable(path, &faults))?;
            root::parse_next(yaml, &old)
        }
        None => root::parse(yaml),
    };
    Ok(parsed.map(Content::Root))
}

/// Checks a subtree. The old subtree is parsed without the root document: addresses that have been
/// taken from the account since it was published are no fault of the new one.
fn check_account(
    yaml: &str,
    name: &str,
    root: Option<&Path>,
    old: Option<(&Path, String)>,
) -> Result<Checked, Failure> {
    let root = match root {
        Some(path) => Some(root::parse(&read(path)?).map_err(|faults| unusable(path, &faults))?),
        None => None,
    };
    let parsed = match (old, &root) {
        (Some((path, old)), root) => {
            let old = account::parse_without_root(&old, name)
                .map_err(|faults| unusable(path, &faults))?;
            account::parse_next(yaml, root.as_ref(), name, &old)
        }
        (None, Some(root)) => account::parse(yaml, root, name),
        (None, None) => account::parse_without_root(yaml, name),
    };
    Ok(parsed.map(Content::Account))
}

fn read(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|error| {
        let text = format!("{}: {error}", path.display());
        Failure::new(codes::FILE_UNREADABLE, Exit::File, text)
    })
}

fn unusable(path: &Path, faults: &[Fault]) -> Failure {
    let first = faults.first().map(ToString::to_string).unwrap_or_default();
    let text = format!("{} has faults itself: {first}", path.display());
    Failure::new(codes::FILE_UNREADABLE, Exit::File, text)
}
