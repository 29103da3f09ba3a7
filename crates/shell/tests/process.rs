//! Contract of the command line and the settings file.

use std::path::Path;

use rstest::rstest;
use settings::{Code, codes};
use shell::process::{Command, load, parse_arguments};

#[rstest]
#[case::run(&["--settings", "a.yaml"], Ok(Command::Run("a.yaml".into())))]
#[case::run_with_equals(&["--settings=a.yaml"], Ok(Command::Run("a.yaml".into())))]
#[case::help(&["--help"], Ok(Command::Help))]
#[case::version(&["--settings", "a.yaml", "--version"], Ok(Command::Version))]
#[case::nothing(&[], Err("E3001: --settings FILE is missing"))]
#[case::no_value(&["--settings"], Err("E3001: missing argument for option '--settings'"))]
#[case::unknown_option(&["--verbose"], Err("E3001: invalid option '--verbose'"))]
#[case::stray_word(&["now"], Err("E3001: unexpected argument \"now\""))]
fn parse_command_line(
    #[case] arguments: &'static [&'static str],
    #[case] expected: Result<Command, &str>,
) {
    let parsed = parse_arguments(arguments.iter().copied());
    assert_eq!(parsed.map_err(|fault| fault.to_string()), expected.map_err(str::to_owned));
}

#[rstest]
#[case::missing_file("no-such-file.yaml", codes::SETTINGS_UNREADABLE)]
#[case::not_a_settings_file("Cargo.toml", codes::SETTINGS_REFUSED)]
fn load_fault(#[case] file: &str, #[case] expected: Code) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
    let fault = load(&path, settings::process::balancer::parse).unwrap_err();
    assert_eq!(fault.code, expected);
    assert_eq!(fault.to_string().lines().count(), 1);
}
