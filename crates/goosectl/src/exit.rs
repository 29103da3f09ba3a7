//! Exit codes, and the error that ends a command.

use std::fmt;
use std::process::ExitCode;

use settings::{Code, codes};

/// Exit codes, for `--help`.
pub(crate) const HELP: &str = "\
Exit codes:
  0  done; no problem found
  1  done; problems found (faults, lagging or unresponsive instances)
  2  the command line is invalid
  3  a file cannot be read, or the output cannot be written
  4  no instance could be reached
  5  the awaited state was not reached in time
";

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done; no problem found.
    Success = 0,
    /// Done; problems found.
    Findings = 1,
    /// The command line is invalid.
    Usage = 2,
    /// A file cannot be read, or the output cannot be written.
    File = 3,
    /// No instance could be reached.
    Unreachable = 4,
    /// The awaited state was not reached in time.
    TimedOut = 5,
}

/// Why a command failed.
#[derive(Debug)]
pub struct Failure {
    /// Result code, in the range 5xxx.
    pub code: Code,
    /// Exit code.
    pub exit: Exit,
    /// Human-readable explanation.
    pub text: String,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

impl Failure {
    /// Creates a failure from its codes and text.
    pub(crate) fn new(code: Code, exit: Exit, text: impl Into<String>) -> Self {
        Self { code, exit, text: text.into() }
    }

    /// Creates the failure for an invalid command line.
    pub(crate) fn usage(error: impl fmt::Display) -> Self {
        Self::new(codes::USAGE, Exit::Usage, error.to_string())
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.text)
    }
}

impl std::error::Error for Failure {}

impl From<lexopt::Error> for Failure {
    fn from(error: lexopt::Error) -> Self {
        Self::usage(error)
    }
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Self::new(codes::OUTPUT_FAILED, Exit::File, error.to_string())
    }
}
