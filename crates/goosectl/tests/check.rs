//! Tests of `goosectl check`, from command line to output and exit code.

use std::path::PathBuf;

use goosectl::Exit;
use rstest::rstest;

const ROOT: &str = "version: 3\naccounts: [{name: cascadia, prefixes: [203.0.113.0/28]}]\n";

const ACCOUNT: &str = r#"account: cascadia
version: 7
services:
  - name: shelf
    addresses: ["203.0.113.1:8443/tcp"]
    when_in_doubt: refuse
    zone_spill_percent: 25
    upstreams:
      - {name: shelf-1, zone: pnw-a, weight: 100, max_flows: 2000, agent_address: "127.20.1.1:6080",
         control_address: "127.20.1.1:9080", address: "127.30.1.1:6080", state: active, since: 1}
"#;

/// A folder used by one test only and removed at its end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&path).unwrap();
        let write = |file: &str, text: &str| std::fs::write(path.join(file), text).unwrap();
        write("root.yaml", ROOT);
        write("root4.yaml", &ROOT.replace("version: 3", "version: 4"));
        write("good.yaml", ACCOUNT);
        write("foreign.yaml", &ACCOUNT.replace("203.0.113.1:", "198.51.100.1:"));
        write("next.yaml", &ACCOUNT.replace("version: 7", "version: 8"));
        write("two.yaml", &ACCOUNT.replace("weight: 100", "weight: 0, colour: red"));
        Self(path)
    }

    /// Runs a command line in which `@` stands for the folder. Returns the exit code, the output
    /// and the error messages.
    fn run(&self, line: &str) -> (Exit, String, String) {
        let folder = format!("{}/", self.0.display());
        let arguments = line.split_whitespace().map(|word| word.replace('@', &folder).into());
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = goosectl::run(arguments, &mut out, &mut err);
        let text = |bytes| String::from_utf8(bytes).unwrap().replace(&folder, "@");
        (exit, text(out), text(err))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder left behind in target/ does no harm.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[rstest]
#[case::good(
    "check @good.yaml --account cascadia --root @root.yaml",
    Exit::Success,
    "@good.yaml: good: account cascadia version 7, 1 service(s), 1 upstream(s)\n",
    ""
)]
#[case::no_root(
    "check @foreign.yaml --account cascadia",
    Exit::Success,
    "@foreign.yaml: good: account cascadia version 7, 1 service(s), 1 upstream(s)\n@foreign.yaml: addresses were not compared with their owners: no --root\n",
    ""
)]
#[case::foreign(
    "check @foreign.yaml --account cascadia --root @root.yaml",
    Exit::Findings,
    "@foreign.yaml:5:17: E1022 services[0].addresses[0]: 198.51.100.1 does not belong to `cascadia`\n@foreign.yaml: 1 fault(s)\n",
    ""
)]
#[case::other_account(
    "check @good.yaml --account bajio",
    Exit::Findings,
    "@good.yaml:1:10: E1020 account: published for `bajio` but names `cascadia`\n@good.yaml: 1 fault(s)\n@good.yaml: addresses were not compared with their owners: no --root\n",
    ""
)]
#[case::next_version(
    "check @next.yaml --account cascadia --root @root.yaml --against @good.yaml",
    Exit::Success,
    "@next.yaml: good: account cascadia version 8, 1 service(s), 1 upstream(s)\n",
    ""
)]
#[case::moved_address(
    "check @next.yaml --account cascadia --root @root.yaml --against @foreign.yaml",
    Exit::Success,
    "@next.yaml: good: account cascadia version 8, 1 service(s), 1 upstream(s)\n",
    ""
)]
#[case::older_version(
    "check @good.yaml --account cascadia --root @root.yaml --against @next.yaml",
    Exit::Findings,
    "@good.yaml:2:10: E1030 version: 7 is not larger than 8, which is in force\n@good.yaml: 1 fault(s)\n",
    ""
)]
#[case::root(
    "check @root4.yaml --against @root.yaml",
    Exit::Success,
    "@root4.yaml: good: root version 4, 1 account(s)\n",
    ""
)]
#[case::older_root(
    "check @root.yaml --against @root4.yaml",
    Exit::Findings,
    "@root.yaml:1:10: E1030 version: 3 is not larger than 4, which is in force\n@root.yaml: 1 fault(s)\n",
    ""
)]
#[case::no_file(
    "check --account cascadia",
    Exit::Usage,
    "",
    "goosectl: E5001: check: no FILE given\n"
)]
#[case::root_without_account(
    "check @good.yaml --root @root.yaml",
    Exit::Usage,
    "",
    "goosectl: E5001: check: --root needs --account\n"
)]
#[case::unknown_option(
    "check @good.yaml --fast",
    Exit::Usage,
    "",
    "goosectl: E5001: invalid option '--fast'\n"
)]
#[case::unknown_command("czech", Exit::Usage, "", "goosectl: E5001: unknown command `czech`\n")]
#[case::no_such_file(
    "check @none.yaml",
    Exit::File,
    "",
    "goosectl: E5002: @none.yaml: No such file or directory (os error 2)\n"
)]
#[case::bad_root(
    "check @good.yaml --account cascadia --root @good.yaml",
    Exit::File,
    "",
    "goosectl: E5002: @good.yaml has faults itself: E1003 line 1 column 1 account: `account` is not a field here; known are accounts, version\n"
)]
fn check(#[case] line: &str, #[case] exit: Exit, #[case] out: &str, #[case] err: &str) {
    let name: String = line.chars().filter(char::is_ascii_alphanumeric).collect();
    let found = Folder::new(&name).run(line);
    assert_eq!(found, (exit, out.to_owned(), err.to_owned()));
}

#[test]
fn check_json() {
    let line = "check @two.yaml --account cascadia --root @root.yaml --json";
    let (exit, out, _) = Folder::new("json").run(line);
    assert_eq!(exit, Exit::Findings);
    let json: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!((&json["ok"], &json["version"]), (&false.into(), &serde_json::Value::Null));
    let faults: Vec<String> = json["faults"]
        .as_array()
        .unwrap()
        .iter()
        .map(|fault| {
            format!("{} {}:{} {}", fault["code"], fault["line"], fault["column"], fault["path"])
        })
        .collect();
    let expected = [
        r#""E1008" 9:46 "services[0].upstreams[0].weight""#,
        r#""E1003" 9:49 "services[0].upstreams[0].colour""#,
    ];
    assert_eq!(faults, expected);
}
