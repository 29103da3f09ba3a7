//! `cargo xtask fuzz` runs this program; see its `--help`.

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
