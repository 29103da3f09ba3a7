//! Tests of the commands that query instances, with small servers in place of the daemons and the
//! platform.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::{Answers, Output, serve};
use goosectl::Exit;
use rstest::rstest;
use serde_json::json;

const LIST: &str = "/v1/instances";

/// A platform that lists two agents of the service `shelf` and a balancer, and servers that give
/// these instances' answers.
struct Fleet {
    platform: std::net::SocketAddr,
    controls: [std::net::SocketAddr; 3],
}

impl Fleet {
    fn new(shelf_1: Answers, shelf_2: Answers, balancer: Answers) -> Self {
        let controls = [serve(shelf_1), serve(shelf_2), serve(balancer)];
        let agent = |index: usize| {
            json!({"name": format!("agent-{}", index + 1), "kind": "agent", "account": "cascadia",
                "service": "shelf", "upstream": format!("shelf-{}", index + 1),
                "data_address": "127.0.0.1:6080", "control_address": controls[index],
                "zone": "pnw-a", "region": "pnw", "state": "live"})
        };
        let balancer = json!({"name": "bal-1", "kind": "balancer", "data_address": "127.0.0.1:6080",
            "control_address": controls[2], "zone": "pnw-b", "region": "pnw", "state": "leaving"});
        let list = json!({"instances": [agent(0), agent(1), balancer]}).to_string();
        let subtree = common::subtree(controls[0], controls[1]);
        let platform = serve(vec![
            (LIST, list.into()),
            ("/v1/root", common::ROOT.to_owned().into()),
            ("/v1/accounts/cascadia", subtree.into()),
        ]);
        Self { platform, controls }
    }

    /// Runs a command line with `--platform`, and replaces the control addresses in the output by
    /// `<0>`, `<1>` and `<2>`.
    fn run(&self, line: &str) -> Output {
        let mut found = common::run(&format!("{line} --platform {}", self.platform));
        for (index, control) in self.controls.iter().enumerate() {
            let name = format!("<{index}>");
            found.out = found.out.replace(&control.to_string(), &name);
            found.err = found.err.replace(&control.to_string(), &name);
        }
        found
    }
}

fn status(instance: &str, kind: &str, ready: bool, version: u64, counters: &str) -> Answers {
    let settings = format!(r#"[{{"account":"cascadia","version":{version}}}]"#);
    let body = format!(
        r#"{{"instance":"{instance}","kind":"{kind}","ready":{ready},"settings":{settings},"counters":{counters}}}"#
    );
    let accepted = format!(
        r#"[{{"hlc":65536000,"instance":"{instance}","account":"cascadia","kind":"settings_accepted","fields":{{"version":{version}}}}}]"#
    );
    vec![("/status", body.into()), ("/timeline", accepted.into())]
}

/// One agent that is ready, one that answers with status 404, and a balancer that is not ready.
fn mixed() -> Fleet {
    let counters = r#"{"flows_open":3,"packets_received":9,"packets_delivered":5,"packets_passed_on":2,"tombstone":1,"overload":1}"#;
    let balancer = r#"{"packets_received_total":4,"packets_forwarded_total":3,"no_service":1}"#;
    Fleet::new(
        status("agent-1", "agent", true, 7, counters),
        Vec::new(),
        status("bal-1", "balancer", false, 6, balancer),
    )
}

const STATUS: &str = "\
INSTANCE  KIND      ZONE   LISTED   READY   SETTINGS                                   FLOWS  IN  OUT  DROPPED
agent-1   agent     pnw-a  live     yes     cascadia=7                                 3      9   7    2
agent-2   agent     pnw-a  live     silent  E5004: http://<1>/status: status 404
bal-1     balancer  pnw-b  leaving  no      cascadia=6                                 -      4   3    1
3 instance(s): 1 ready, 1 silent
E5004: 1 instance(s) do not answer
";

/// The lines without their padding, which depends on the length of the address replaced by `<1>`.
fn without_padding(text: &str) -> Vec<String> {
    text.lines().map(|line| line.split_whitespace().collect::<Vec<_>>().join(" ")).collect()
}

#[test]
fn status_table() {
    let found = mixed().run("status");
    assert_eq!((found.exit, &*found.err), (Exit::Findings, ""));
    assert_eq!(without_padding(&found.out), without_padding(STATUS));
}

#[test]
fn status_json() {
    let found = mixed().run("status --json").json();
    let field = |index: usize, name: &str| found["instances"][index][name].clone();
    assert_eq!(field(0, "status")["counters"]["tombstone"], 1);
    assert_eq!(field(1, "silence")["code"], "E5004");
    assert_eq!((field(2, "zone"), field(2, "listed")), ("pnw-b".into(), "leaving".into()));
}

const SETTINGS: &str = "\
ACCOUNT INSTANCE VERSION NEWEST STATE SINCE
cascadia agent-1 7 7 newest
cascadia bal-1 6 7 lags 1970-01-01T00:00:01.000Z
- agent-2 - - silent E5004: http://<1>/status: status 404
E5008: 1 of 2 lag
E5004: 1 instance(s) do not answer
";

#[test]
fn settings_table() {
    let found = mixed().run("settings");
    assert_eq!((found.exit, &*found.err), (Exit::Findings, ""));
    assert_eq!(without_padding(&found.out), without_padding(SETTINGS));
}

/// Version 9 is published, and no instance has it in force yet.
#[test]
fn settings_compared_with_the_platform() {
    let found = mixed().run("settings --published --json").json();
    assert_eq!(found["accounts"], json!([{"account": "cascadia", "newest": 9}]));
    let lags: Vec<bool> =
        (0..2).map(|index| found["instances"][index]["lags"] == json!(true)).collect();
    assert_eq!(lags, [true, true]);
}

fn flows(instance: &str, open: usize, flows: &str) -> Answers {
    let body = format!(r#"{{"instance":"{instance}","open":{open},"flows":{flows}}}"#);
    vec![("/flows", body.into())]
}

#[rstest]
#[case::all("flows", Exit::Success, &["1 open flow(s), 2 flow(s) listed"])]
#[case::by_upstream("flows --upstream shelf-2", Exit::Success, &["0 open flow(s), 1 flow(s) listed"])]
#[case::by_service("flows --service manifest", Exit::Findings, &["E5007: no agent matches"])]
#[case::by_account("flows --account cascadia", Exit::Success, &["0000000000000001 open agent-1", "0000000000000002 finishing agent-2"])]
fn flows_listed(#[case] line: &str, #[case] exit: Exit, #[case] expected: &[&str]) {
    let fleet = Fleet::new(
        flows("agent-1", 1, r#"[{"flow":"0000000000000001","state":"open"}]"#),
        flows("agent-2", 0, r#"[{"flow":"0000000000000002","state":"finishing"}]"#),
        Vec::new(),
    );
    let found = fleet.run(line);
    let lines = without_padding(&found.out);
    assert_eq!(found.exit, exit, "{}", found.err);
    assert!(expected.iter().all(|text| lines.iter().any(|line| line == text)), "{}", found.out);
}

#[test]
fn timeline_of_all() {
    let event = |hlc: u64, instance: &str, fields: &str| {
        format!(
            r#"[{{"hlc":{hlc},"instance":"{instance}","account":"cascadia","kind":"admitted","fields":{fields}}}]"#
        )
    };
    let fleet = Fleet::new(
        vec![("/timeline", event(200_000, "agent-1", r#"{"flow":"000000000000000a"}"#).into())],
        vec![("/timeline", event(100_000, "agent-2", "{}").into())],
        Vec::new(),
    );
    let found = fleet.run("timeline");
    assert_eq!(found.exit, Exit::Findings);
    let lines = without_padding(&found.out);
    assert!(lines[0].starts_with("note: bal-1 is silent: E5004"), "{}", lines[0]);
    assert!(lines[2].contains("agent-2 cascadia admitted"), "{}", lines[2]);
    assert!(lines[3].ends_with("agent-1 cascadia admitted flow=000000000000000a"), "{}", lines[3]);
    let found = fleet.run("timeline --flow a --json").json();
    assert_eq!(found["events"].as_array().unwrap().len(), 1);
}

fn explain_answer(instance: &str, state: &str) -> Answers {
    let location = format!(r#"{{"state":"{state}","holder":null,"evidence":null}}"#);
    let body = format!(
        r#"{{"instance":"{instance}","version":9,"bucket":0,"ranking":[],"home":null,"place":{location}}}"#
    );
    vec![("/explain", body.into())]
}

const KEY: &str = "--flow-key 00112233445566778899aabbccddeeff";

#[rstest]
#[case::service("203.0.113.1:8443", Exit::Success, &["service shelf", "home shelf-1: rank", "holder shelf-2 (open): its agent says so"], "")]
#[case::no_service("203.0.113.1:80", Exit::Findings, &["service none: balancers drop the packet (E2103 no_service)"], "")]
#[case::no_owner("198.51.100.1:80", Exit::Findings, &[], "goosectl: E5007: no account owns 198.51.100.1 (root version 3)\n")]
fn explain_tuple(
    #[case] destination: &str,
    #[case] exit: Exit,
    #[case] expected: &[&str],
    #[case] err: &str,
) {
    let home = r#"{"instance":"bal-1","version":9,"home":"127.20.1.1:6080"}"#;
    let fleet = Fleet::new(
        explain_answer("agent-1", "unknown"),
        explain_answer("agent-2", "open"),
        vec![("/explain", home.to_owned().into())],
    );
    let found = fleet.run(&format!("explain tcp 192.0.2.1:40000 {destination} {KEY}"));
    let text = without_padding(&found.out).join("\n");
    assert_eq!((found.exit, &*found.err), (exit, err), "{text}");
    assert!(expected.iter().all(|line| text.contains(line)), "{text}");
}

/// The agent holds a flow at the first poll. After the flow has ended, the peer assigns the agent
/// an opening. The command must notice the opening and report the upstream as drained only at the
/// third further poll without one.
#[test]
fn drain_watch_until_drained() {
    let polls = Arc::new(AtomicUsize::new(0));
    let counted = polls.clone();
    let flows = move || {
        let open = usize::from(counted.fetch_add(1, Ordering::Relaxed) == 0);
        format!(r#"{{"instance":"agent-1","open":{open},"flows":[]}}"#)
    };
    let id = format!("{:016x}", decision::keys::UpstreamId::of("cascadia", "shelf", "shelf-1").0);
    let polled = polls.clone();
    let events = move || {
        let assigned = polled.load(Ordering::Relaxed) == 2;
        let event = format!(
            r#"{{"hlc":9,"instance":"agent-2","account":"cascadia","kind":"assigned","fields":{{"to":"{id}"}}}}"#
        );
        if assigned { format!("[{event}]") } else { "[]".to_owned() }
    };
    let fleet = Fleet::new(
        vec![("/flows", Arc::new(flows).into()), ("/timeline", "[]".to_owned().into())],
        vec![("/timeline", Arc::new(events).into())],
        Vec::new(),
    );
    let found = fleet.run("drain-watch shelf/shelf-1 --interval-ms 1 --quiet-ms 2");
    let quiet =
        "0 open, 0 closing, 0 new opening(s): it holds no flow; waiting whether it gets an opening";
    let expected = [
        "1 open, 0 closing, 0 new opening(s): it holds flows",
        quiet,
        "0 open, 0 closing, 1 new opening(s): it holds no flow; waiting whether it gets an opening",
        quiet,
        quiet,
        "0 open, 0 closing, 0 new opening(s): drained",
    ];
    assert_eq!(found.out.lines().collect::<Vec<_>>(), expected);
    assert_eq!(found.exit, Exit::Success);
}

#[rstest]
#[case::timed_out(
    "drain-watch shelf-1 --timeout-s 0",
    Exit::TimedOut,
    "E5009: shelf-1 is not drained in time: it holds flows"
)]
#[case::unknown_upstream(
    "drain-watch shelf-9",
    Exit::Usage,
    "E5007: the platform's list names no agent of upstream `shelf-9`"
)]
#[case::other_service(
    "drain-watch manifest/shelf-1",
    Exit::Usage,
    "E5007: the platform's list names no agent of upstream `manifest/shelf-1`"
)]
#[case::no_interval(
    "drain-watch shelf-1 --interval-ms 0",
    Exit::Usage,
    "E5001: drain-watch: --interval-ms must not be zero"
)]
fn drain_watch_fails(#[case] line: &str, #[case] exit: Exit, #[case] err: &str) {
    let fleet = Fleet::new(flows("agent-1", 2, "[]"), Vec::new(), Vec::new());
    let found = fleet.run(line);
    assert_eq!((found.exit, found.err), (exit, format!("goosectl: {err}\n")));
}

/// If the platform does not answer, the balancers in a process's settings file are queried.
#[test]
fn status_without_platform() {
    let balancer = serve(status("bal-1", "balancer", true, 7, "{}"));
    let file = common::balancer_file("status_without_platform", common::unused_address(), balancer);
    let found = common::run(&format!("status --json --settings {}", file.display()));
    assert_eq!(found.exit, Exit::Success, "{}", found.err);
    let found = found.json();
    assert_eq!(found["instances"][0]["name"], "bal-1");
    assert!(found["notes"][0].as_str().unwrap().starts_with("no list from the platform: http://"));
}

#[rstest]
#[case::no_platform("status", Exit::Unreachable, "E5004: no list from the platform: http://")]
#[case::named_unresponsive("status --instance 127.0.0.1:1", Exit::Unreachable, "")]
#[case::not_an_address("status --instance here", Exit::Usage, "E5001: ")]
#[case::unknown_option("flows --colour", Exit::Usage, "E5001: invalid option '--colour'")]
#[case::no_key(
    "explain tcp 1.2.3.4:5 1.2.3.4:5",
    Exit::Usage,
    "E5001: explain: give --flow-key or --settings"
)]
#[case::short_key(
    "explain tcp 1.2.3.4:5 1.2.3.4:5 --flow-key 00",
    Exit::Usage,
    "E5001: explain: --flow-key is not 32 hexadecimal digits"
)]
#[case::bad_tuple(
    "explain tcp 1.2.3.4:5 --flow-key 00112233445566778899aabbccddeeff",
    Exit::Usage,
    "E5006: 2 word(s)"
)]
#[case::bad_flow("timeline --flow here", Exit::Usage, "E5006: `here` is not a hexadecimal flow id")]
#[case::no_folder("timeline --from /nowhere", Exit::File, "E5002: /nowhere: ")]
#[case::no_file("status --settings /nowhere", Exit::File, "E5002: /nowhere: ")]
fn command_line_fails(#[case] line: &str, #[case] exit: Exit, #[case] err: &str) {
    let found = common::run(&format!("{line} --platform {}", common::unused_address()));
    assert_eq!(found.exit, exit, "{}", found.err);
    let expected = if err.is_empty() { String::new() } else { format!("goosectl: {err}") };
    assert!(found.err.starts_with(&expected), "{}", found.err);
}

/// The help of every command states its options, examples and exit codes, and needs no instance.
#[rstest]
#[case("check")]
#[case("status")]
#[case("settings")]
#[case("flows")]
#[case("explain")]
#[case("timeline")]
#[case("drain-watch")]
fn help(#[case] command: &str) {
    let found = common::run(&format!("{command} --help"));
    assert_eq!((found.exit, &*found.err), (Exit::Success, ""));
    for part in [&*format!("Usage: goosectl {command}"), "Options:", "Examples:", "Exit codes:"] {
        assert!(found.out.contains(part), "{part}");
    }
    assert!(found.out.lines().all(|line| line.chars().count() <= 100), "{}", found.out);
}

#[test]
fn timeline_from_folder() {
    let folder = common::folder("timeline_from_folder");
    let event = |hlc: u64, instance: &str| {
        format!(
            r#"[{{"hlc":{hlc},"instance":"{instance}","account":"","kind":"started","fields":{{}}}}]"#
        )
    };
    let old = event(65_536_000, "bal-1");
    std::fs::write(folder.join("bal-1.timeline.json"), old).unwrap();
    std::fs::write(folder.join("bal-2.timeline.json"), event(655_360_000, "bal-2")).unwrap();
    let found = common::run(&format!("timeline --from {} --last 2 --json", folder.display()));
    assert_eq!(found.exit, Exit::Success, "{}", found.err);
    assert_eq!(found.json()["events"].as_array().unwrap().len(), 1);
    let page = folder.join("page.html");
    let found =
        common::run(&format!("timeline --from {} --html {}", folder.display(), page.display()));
    assert_eq!(found.out, format!("{}: 2 event(s)\n", page.display()));
    assert_eq!(std::fs::read_to_string(page).unwrap().matches("<circle").count(), 2);
    std::fs::remove_dir_all(folder).unwrap();
}

/// Balancers that differ or do not answer are a finding: some may still send new flows to a closed
/// availability zone.
#[rstest]
#[case::agree(Some(r#"["pnw-b"]"#), "pnw-b", Exit::Success)]
#[case::differ(Some("[]"), "-", Exit::Findings)]
#[case::unresponsive(None, "E5004: http://<1>/zones: status 404", Exit::Findings)]
fn zones_of_two_balancers(
    #[case] second: Option<&str>,
    #[case] shown: &str,
    #[case] expected: Exit,
) {
    let zones = |closed: &str| format!(r#"{{"revision":41,"closed":{closed}}}"#);
    let first = common::serve(vec![("/zones", zones(r#"["pnw-b"]"#).into())]);
    let answers = second.map(|closed| ("/zones", zones(closed).into()));
    let second = common::serve(answers.into_iter().collect());
    let line = common::run(&format!("zones --instance {first} --instance {second}"));
    let out = line.out.replace(&second.to_string(), "<1>");
    let row = out.lines().find(|row| row.starts_with("<1>")).unwrap_or_else(|| panic!("{out}"));
    assert!(row.ends_with(shown), "{row}");
    assert_eq!(line.exit, expected, "{}", line.err);
}

#[test]
fn zones_without_answer() {
    let line = common::run(&format!("zones --instance {}", common::unused_address()));
    assert_eq!(line.exit, Exit::Unreachable);
}
