//! Command-line entry point, run by `cargo xtask fuzz`; see `--help`.

fn main() -> std::process::ExitCode {
    match fuzzing::command::run() {
        Ok(true) => std::process::ExitCode::SUCCESS,
        Ok(false) => std::process::ExitCode::FAILURE,
        Err(error) => {
            eprintln!("fuzzing: {error:#}");
            std::process::ExitCode::FAILURE
        }
    }
}
