//! Operators' command line: one module for each command, and a table of all of them.

mod commands;
mod exit;
mod fleet;
mod output;

use std::ffi::OsString;
use std::io::Write;

use settings::codes;

use commands::{COMMANDS, Command};
pub use exit::{Exit, Failure};

/// Runs one command line and returns its exit code. Results are written to `out`, failures to
/// `err`.
///
/// ```
/// let (mut out, mut err) = (Vec::new(), Vec::new());
/// let exit = goosectl::run(["--help".into()], &mut out, &mut err);
/// assert_eq!(exit, goosectl::Exit::Success);
/// assert!(String::from_utf8(out).unwrap().contains("goosectl check"));
/// ```
pub fn run(
    arguments: impl IntoIterator<Item = OsString>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Exit {
    let result = dispatch(lexopt::Parser::from_args(arguments), out);
    result.unwrap_or_else(|failure| {
        // If `err` cannot be written to either, the exit code is all that is left to report.
        let _ = writeln!(err, "goosectl: {failure}");
        failure.exit
    })
}

fn dispatch(mut parser: lexopt::Parser, out: &mut dyn Write) -> Result<Exit, Failure> {
    let name = match parser.next().map_err(Failure::usage)? {
        None => return Err(Failure::new(codes::USAGE, Exit::Usage, "no command given")),
        Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h')) => {
            write!(out, "{}", overview())?;
            return Ok(Exit::Success);
        }
        Some(lexopt::Arg::Value(name)) => name,
        Some(argument) => return Err(Failure::usage(argument.unexpected())),
    };
    let Some(command) = COMMANDS.iter().find(|command| name == command.name) else {
        let text = format!("unknown command `{}`", name.to_string_lossy());
        return Err(Failure::new(codes::USAGE, Exit::Usage, text));
    };
    (command.run)(&mut parser, out)
}

fn overview() -> String {
    let width = COMMANDS.iter().map(|command| command.name.len()).max().unwrap_or_default();
    let line = |Command { name, summary, .. }: &Command| format!("  {name:width$}  {summary}\n");
    let list: String = COMMANDS.iter().map(line).collect();
    let examples: String =
        COMMANDS.iter().map(|command| format!("  {}\n", command.example)).collect();
    format!(
        "Usage: goosectl COMMAND [OPTIONS]\n\nCommands:\n{list}\nExamples:\n{examples}\n{}\
         \nRun `goosectl COMMAND --help` for the options of a command.\n",
        exit::HELP
    )
}
