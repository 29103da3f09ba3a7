//! Entry point of the balancer daemon.

use std::process::ExitCode;

use shell::process::{self, Program};

const PROGRAM: Program = Program {
    name: "gooseberrysill-balancer",
    version: env!("CARGO_PKG_VERSION"),
    help: include_str!("help.txt"),
};

fn main() -> ExitCode {
    process::main(&PROGRAM, settings::process::balancer::parse, balancer::run::run)
}
