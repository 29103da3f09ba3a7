//! The commands. To add one, write a module with a `COMMAND` and list it in [`COMMANDS`].

mod check;
mod drain_watch;
mod explain;
mod flows;
mod logs;
mod settings;
mod status;
mod timeline;
mod zones;

use std::io::Write;

use crate::exit::{Exit, Failure};

/// One command of the command line.
pub(crate) struct Command {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// One line for `goosectl --help`.
    pub(crate) summary: &'static str,
    /// A complete example command line.
    pub(crate) example: &'static str,
    /// Parses the rest of the command line and runs the command.
    pub(crate) run: fn(&mut lexopt::Parser, &mut dyn Write) -> Result<Exit, Failure>,
}

/// All commands, in the order in which `goosectl --help` lists them.
pub(crate) const COMMANDS: &[Command] = &[
    check::COMMAND,
    status::COMMAND,
    settings::COMMAND,
    flows::COMMAND,
    explain::COMMAND,
    timeline::COMMAND,
    drain_watch::COMMAND,
    zones::COMMAND,
];
