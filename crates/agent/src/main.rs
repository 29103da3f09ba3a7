//! Entry point of the agent daemon.

use std::process::ExitCode;

use shell::process::{self, Program};

const PROGRAM: Program = Program {
    name: "gooseberrysill-agent",
    version: env!("CARGO_PKG_VERSION"),
    help: include_str!("help.txt"),
};

fn main() -> ExitCode {
    process::main(&PROGRAM, settings::process::agent::parse, agent::run::run)
}
