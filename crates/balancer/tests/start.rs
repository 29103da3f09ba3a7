//! Tests of the command line. A balancer that cannot start prints one line with a code and exits.

use std::fs;
use std::net::{TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;

const SETTINGS: &str = r#"
instance: bal-test
zone: pnw-a
region: pnw
data_address: DATA
control_address: CONTROL
platform_address: 127.0.0.1:1
peers: []
keys: [{id: 1, secret_hex: "0707070707070707070707070707070707070707070707070707070707070707"}]
flow_key_hex: "00112233445566778899aabbccddeeff"
receive_threads: 1
shutdown_grace_ms: 0
"#;

/// Settings whose addresses are never bound, since the tests that use them fail earlier.
fn valid_settings() -> String {
    SETTINGS.replace("DATA", "127.0.0.1:1").replace("CONTROL", "127.0.0.1:2")
}

fn write_settings(name: &str, yaml: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.yaml"));
    fs::write(&path, yaml).unwrap();
    path
}

fn run_balancer(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gooseberrysill-balancer")).args(arguments).output().unwrap()
}

fn assert_failed_start(output: &Output, exit_code: i32, expected: &str) {
    let text = String::from_utf8(output.stderr.clone()).unwrap();
    let lines: Vec<&str> = text.lines().filter(|line| !line.starts_with('{')).collect();
    assert_eq!(lines.len(), 1, "{text}");
    assert!(lines[0].starts_with(&format!("gooseberrysill-balancer: {expected}")), "{text}");
    assert_eq!(output.status.code(), Some(exit_code));
}

#[rstest]
#[case::no_file("missing", "", "", "E3002: cannot read")]
#[case::not_yaml("not_yaml", "region", "{", "E3003")]
#[case::unknown_field("unknown_field", "peers:", "colour: red\npeers:", "E3003")]
#[case::no_keys("no_keys", "keys: [{", "locks: [{", "E3005")]
#[case::empty_keys("empty_keys", "keys: [{id: 1, ", "keys: [] #", "E3005")]
#[case::short_key("short_key", "07\"}]", "\"}]", "E3005")]
fn start_bad_settings(
    #[case] name: &str,
    #[case] replaced: &str,
    #[case] by: &str,
    #[case] expected: &str,
) {
    let path = match replaced {
        "" => PathBuf::from("no-such-file.yaml"),
        _ => write_settings(name, &valid_settings().replace(replaced, by)),
    };
    assert_failed_start(&run_balancer(&["--settings", path.to_str().unwrap()]), 1, expected);
}

#[test]
fn start_data_port_taken() {
    let taken = UdpSocket::bind("127.0.0.1:0").unwrap();
    let data = taken.local_addr().unwrap().to_string();
    let yaml = SETTINGS.replace("DATA", &data).replace("CONTROL", "127.0.0.1:1");
    let path = write_settings("data_port_taken", &yaml);
    assert_failed_start(
        &run_balancer(&["--settings", path.to_str().unwrap()]),
        1,
        "E3004: cannot listen on",
    );
}

#[test]
fn start_control_port_taken() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let control = taken.local_addr().unwrap().to_string();
    let free = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let yaml = SETTINGS.replace("DATA", &free).replace("CONTROL", &control);
    let path = write_settings("control_port_taken", &yaml);
    assert_failed_start(
        &run_balancer(&["--settings", path.to_str().unwrap()]),
        1,
        "E3004: cannot listen on",
    );
}

#[test]
fn start_wrong_option() {
    assert_failed_start(&run_balancer(&["--port", "1"]), 2, "E3001: invalid option '--port'");
}

#[rstest]
#[case::help("--help", "Usage: gooseberrysill-balancer --settings FILE")]
#[case::version("--version", env!("CARGO_PKG_VERSION"))]
fn start_help_and_version(#[case] option: &str, #[case] expected: &str) {
    let output = run_balancer(&[option]);
    assert!(String::from_utf8(output.stdout).unwrap().contains(expected));
    assert_eq!(output.status.code(), Some(0));
}
