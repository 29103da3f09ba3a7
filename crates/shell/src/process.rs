//! Entry point shared by the daemons: command line, settings file and exit code.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use settings::{Fault, codes};

use crate::fault::StartFault;

/// Name, version and help text of a program.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// Version, printed by `--version`.
    pub version: &'static str,
    /// Text printed by `--help`.
    pub help: &'static str,
}

/// The action that the command line selects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run the daemon with this settings file.
    Run(PathBuf),
    /// Print the help.
    Help,
    /// Print the version.
    Version,
}

/// Parses the command line, reads the settings file and runs the daemon.
///
/// A [`StartFault`] is printed as one line on standard error. The exit code is then 2 for an
/// invalid command line and 1 otherwise.
pub fn main<S>(
    program: &Program,
    parse_settings: fn(&str) -> Result<S, Fault>,
    run: fn(S) -> Result<(), StartFault>,
) -> ExitCode {
    let result = match parse_arguments(std::env::args_os().skip(1)) {
        Ok(Command::Help) => {
            print!("{}", program.help);
            Ok(())
        }
        Ok(Command::Version) => {
            println!("{} {}", program.name, program.version);
            Ok(())
        }
        Ok(Command::Run(path)) => load(&path, parse_settings).and_then(run),
        Err(fault) => Err(fault),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{}: {fault}", program.name);
            ExitCode::from(if fault.code == codes::BAD_ARGUMENTS { 2 } else { 1 })
        }
    }
}

/// Parses the arguments that follow the program's name.
///
/// ```
/// use shell::process::{Command, parse_arguments};
/// let command = parse_arguments(["--settings", "balancer.yaml"]).unwrap();
/// assert_eq!(command, Command::Run("balancer.yaml".into()));
/// ```
pub fn parse_arguments<A>(arguments: A) -> Result<Command, StartFault>
where
    A: IntoIterator,
    A::Item: Into<std::ffi::OsString>,
    A::IntoIter: 'static,
{
    let invalid = |error: lexopt::Error| StartFault::new(codes::BAD_ARGUMENTS, error);
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut path = None;
    while let Some(argument) = parser.next().map_err(invalid)? {
        match argument {
            lexopt::Arg::Long("settings") => path = Some(parser.value().map_err(invalid)?.into()),
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => return Ok(Command::Help),
            lexopt::Arg::Long("version") | lexopt::Arg::Short('V') => return Ok(Command::Version),
            other => return Err(invalid(other.unexpected())),
        }
    }
    let missing = || StartFault::new(codes::BAD_ARGUMENTS, "--settings FILE is missing");
    path.map(Command::Run).ok_or_else(missing)
}

/// Reads and validates a settings file.
///
/// Errors: [`codes::SETTINGS_UNREADABLE`] if the file cannot be read, [`codes::KEY_MISSING`] if the
/// keys are missing or invalid, [`codes::SETTINGS_REFUSED`] for any other invalid setting.
pub fn load<S>(path: &Path, parse: fn(&str) -> Result<S, Fault>) -> Result<S, StartFault> {
    let display = path.display();
    let yaml = fs::read_to_string(path).map_err(|error| {
        StartFault::new(codes::SETTINGS_UNREADABLE, format_args!("cannot read {display}: {error}"))
    })?;
    parse(&yaml).map_err(|fault| {
        let in_keys = fault.path.starts_with("keys") || fault.path.starts_with("flow_key");
        let code = if in_keys { codes::KEY_MISSING } else { codes::SETTINGS_REFUSED };
        StartFault::new(code, format_args!("{display}: {fault}"))
    })
}
