//! Tests of `goosectl explain --logs` and `goosectl timeline --logs`, from log lines to output.

use std::path::PathBuf;

use goosectl::Exit;
use rstest::rstest;

/// Lines of three processes as a log collector delivers them: with a prefix, and not sorted. The
/// clock of `side-a` jumps back by an hour between its two lines.
const LINES: &str = r#"
 34.7 edge-a {"timestamp":"2026-03-02T10:00:02.000Z","level":"INFO","message":"flow","kvs":{"code":2205,"event":"lost","caller":"100.64.0.7:4000","endpoint":"198.18.0.1:443","request":"ad6c","peer":"","revision":9,"elapsed_ms":700,"suppressed":0},"diags":{"instance":"edge-a"}}
 34.1 side-a {"timestamp":"2026-03-02T10:00:01.500Z","level":"WARN","message":"upstream_slow","kvs":{"code":2214,"elapsed_ms":87,"usual_ms":42},"diags":{"instance":"side-a"}}
 34.6 side-a {"timestamp":"2026-03-02T09:00:01.900Z","level":"INFO","message":"flow","kvs":{"code":2211,"event":"waited","caller":"100.64.0.7:4000","endpoint":"198.18.0.1:443","request":"","peer":"","revision":0,"elapsed_ms":99,"suppressed":4},"diags":{"instance":"side-a"}}
 34.0 edge-b {"timestamp":"2026-03-02T10:00:01.000Z","level":"INFO","message":"started","kvs":{"code":3101},"diags":{"instance":"edge-b"}}
 34.0 edge-b {"timestamp":"2026-03-02T10:00:01.100Z","level":"INFO","message":"flow","kvs":{"code":2201,"event":"placed","caller":"100.64.0.9:4000","endpoint":"198.18.0.1:443"},"diags":{"instance":"edge-b"}}
this is no line of ours
"#;

fn run(name: &str, line: &str) -> (Exit, String, String) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, LINES).unwrap();
    let line = line.replace('@', &path.display().to_string());
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = goosectl::run(line.split_whitespace().map(Into::into), &mut out, &mut err);
    (exit, String::from_utf8(out).unwrap(), String::from_utf8(err).unwrap())
}

fn events(out: &str) -> Vec<&str> {
    let known_events = ["waited", "lost", "placed", "started", "upstream_slow"];
    let lines = out.lines().filter(|line| !line.starts_with("flows:"));
    lines
        .filter_map(|line| known_events.iter().copied().find(|event| line.contains(event)))
        .collect()
}

/// The id of a failed request selects its flow, and the flow selects the lines of all processes
/// about it, although the clock of one of them is wrong.
#[rstest]
#[case::by_request("ad6c", &["waited", "lost"])]
#[case::by_caller("100.64.0.9:4000", &["placed"])]
fn explain_logs(#[case] id: &str, #[case] expected: &[&str]) {
    let (exit, out, err) = run(&format!("explain-{}", id.len()), &format!("explain --logs @ {id}"));
    assert_eq!(exit, Exit::Success, "{err}");
    assert_eq!(events(&out), expected, "{out}");
}

#[test]
fn explain_logs_without_match() {
    let (exit, _, err) = run("explain-none", "explain --logs @ ffff");
    assert_eq!(exit, Exit::Findings);
    assert!(err.contains("E5007"), "{err}");
}

#[test]
fn timeline_logs() {
    let (exit, out, err) = run("timeline", "timeline --logs @");
    assert_eq!(exit, Exit::Success, "{err}");
    assert_eq!(events(&out), ["started", "upstream_slow"], "{out}");
    assert!(out.contains("flows: waited 5\n"), "{out}");
}

#[rstest]
#[case::no_id("explain --logs @", Exit::Usage)]
#[case::no_file("timeline --logs /nowhere/at/all", Exit::File)]
fn bad_command_line(#[case] line: &str, #[case] expected: Exit) {
    assert_eq!(run("bad", line).0, expected);
}
