//! The commands. A new one is a module with its own `COMMAND` and a line in [`COMMANDS`].

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
    /// Word that selects it.
    pub(crate) name: &'static str,
    /// One line for the overview.
    pub(crate) summary: &'static str,
    /// One complete command line.
    pub(crate) example: &'static str,
    /// Reads the rest of the command line and does the work.
    pub(crate) run: fn(&mut lexopt::Parser, &mut dyn Write) -> Result<Exit, Failure>,
}

/// All commands in the order of the overview.
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
