//! Entry point of the operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1);
    goosectl::run(arguments, &mut std::io::stdout(), &mut std::io::stderr()).into()
}
