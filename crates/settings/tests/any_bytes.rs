//! Any input yields settings or faults with positions, and never a panic.

mod common;

use common::{ACCOUNT, AGENT, BALANCER, ROOT};
use proptest::prelude::*;
use settings::process::{agent, balancer};
use settings::{ActiveSettings, Fault, account, root};

/// Inserted into valid documents: text that is likely to pass the first checks of the parser.
const FRAGMENTS: &[&str] = &[
    "",
    " ",
    "\n",
    "  - ",
    ": ",
    "[",
    "]",
    "{",
    "}",
    "\"",
    "'",
    "&a ",
    "*a",
    "!!",
    "|",
    ">",
    "#",
    "%YAML",
    "---\n",
    "...\n",
    "? ",
    "0",
    "-1",
    "18446744073709551616",
    "1e999",
    ".nan",
    "~",
    "<<",
    "version: 1\n",
    "account: bajio\n",
    "name: shelf",
    "::/0",
    "\t",
    "\u{feff}",
    "\u{0}",
    "é",
];

fn check_positions(faults: &[Fault]) {
    for fault in faults {
        assert!(fault.line > 0 && fault.column > 0 && fault.code.entry().is_some(), "{fault}");
    }
}

fn check(text: &str) {
    let old_root = common::root();
    let old = account::parse(ACCOUNT, &old_root, "cascadia").unwrap();
    let mut results = vec![
        account::parse(text, &old_root, "cascadia").err(),
        account::parse_next(text, None, "cascadia", &old).err(),
        root::parse(text).err(),
        root::parse_next(text, &old_root).err(),
    ];
    results.push(balancer::parse(text).err().map(|fault| vec![fault]));
    results.push(agent::parse(text).err().map(|fault| vec![fault]));
    for faults in results.into_iter().flatten() {
        assert!(!faults.is_empty(), "refused without a fault: {text}");
        check_positions(&faults);
    }
    let mut active = ActiveSettings::default();
    active.accept_account("cascadia", text);
    active.accept_root(text);
    active.accept_root(ROOT);
    active.accept_account("cascadia", text);
    active.view();
}

fn mutated() -> impl Strategy<Value = String> {
    let document = prop::sample::select(vec![ROOT, ACCOUNT, BALANCER, AGENT]);
    let edit = (any::<prop::sample::Index>(), 0usize..40, prop::sample::select(FRAGMENTS));
    (document, prop::collection::vec(edit, 1..5)).prop_map(|(document, edits)| {
        let mut chars: Vec<char> = document.chars().collect();
        for (index, removed, inserted) in edits {
            let start = index.index(chars.len() + 1);
            let end = (start + removed).min(chars.len());
            chars.splice(start..end, inserted.chars());
        }
        chars.into_iter().collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn parse_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        check(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn parse_mutated(text in mutated()) {
        check(&text);
    }
}
