//! Checks of the change from one version of a subtree to the next.

mod common;

use common::{ACCOUNT, check_faults, edit};
use rstest::rstest;
use settings::account;

const SHELF_2: &str = r#"      - name: shelf-2
        zone: pnw-b
        weight: 1000
        max_flows: 2000
        agent_address: "127.20.1.2:6080"
        control_address: "127.20.1.2:9080"
        address: "127.30.1.2:6080"
        state: retired
        since: 2
        retired: 7
"#;

const SHELF_3: &str = r#"      - name: shelf-3
        zone: pnw-b
        weight: 10
        max_flows: 2000
        agent_address: "127.20.1.3:6080"
        control_address: "127.20.1.3:9080"
        address: "127.30.1.3:6080"
        state: active
        since: 8
"#;

/// Checks the change from version 7, edited by `old`, to version `version`, further edited by
/// `new`.
fn check(version: u64, old: &[(&str, &str)], new: &[(&str, &str)], expected: &[&str]) {
    let apply = |yaml: String, edits: &[(&str, &str)]| {
        edits.iter().fold(yaml, |yaml, (from, to)| edit(&yaml, from, to))
    };
    let old = apply(ACCOUNT.to_owned(), old);
    let new = apply(edit(&old, "version: 7", &format!("version: {version}")), new);
    let root = common::root();
    let old = account::parse(&old, &root, "cascadia").unwrap();
    let result = account::parse_next(&new, Some(&root), "cascadia", &old);
    check_faults(&result.err().unwrap_or_default(), expected);
}

#[rstest]
#[case::nothing(8, &[], &[])]
#[case::same_document(7, &[], &[])]
#[case::weight(8, &[], &[("weight: 100\n", "weight: 5\n")])]
#[case::drain(8, &[], &[("state: active", "state: draining")])]
#[case::retire(8, &[], &[("state: active\n        since: 1", "state: retired\n        since: 1\n        retired: 8")])]
#[case::remove_retired(8, &[], &[(SHELF_2, "")])]
#[case::add(8, &[], &[(SHELF_2, SHELF_3)])]
#[case::remove_active_where_admit(8, &[("refuse", "admit"), ("state: retired", "state: active"), ("        retired: 7\n", "")], &[("        state: active\n        since: 2\n", "        state: active\n        since: 2\n"), (SHELF_2_ACTIVE, "")])]
#[case::gap_remove(9, &[("state: retired", "state: active"), ("        retired: 7\n", "")], &[(SHELF_2_ACTIVE, "")])]
#[case::gap_add_earlier(10, &[], &[(SHELF_2, SHELF_3)])]
#[case::gap_retire_earlier(10, &[], &[("state: active\n        since: 1", "state: retired\n        since: 1\n        retired: 9")])]
#[case::gap_return(10, &[], &[("state: retired\n        since: 2\n        retired: 7", "state: active\n        since: 9")])]
fn step_allowed(#[case] version: u64, #[case] old: &[(&str, &str)], #[case] new: &[(&str, &str)]) {
    check(version, old, new, &[]);
}

const SHELF_2_ACTIVE: &str = r#"      - name: shelf-2
        zone: pnw-b
        weight: 1000
        max_flows: 2000
        agent_address: "127.20.1.2:6080"
        control_address: "127.20.1.2:9080"
        address: "127.30.1.2:6080"
        state: active
        since: 2
"#;

const ACTIVATE: &[(&str, &str)] =
    &[("state: retired", "state: active"), ("        retired: 7\n", "")];

#[rstest]
#[case::older(6, &[], &[("retired: 7", "retired: 6")], "E1030 line 2 column 10 version: ")]
#[case::split(7, &[], &[("weight: 100\n", "weight: 101\n")], "E1031 line 2 column 10 version: ")]
#[case::remove_active(8, ACTIVATE, &[(SHELF_2_ACTIVE, "")], "E1032 line 9 column 7 services[0].upstreams: ")]
#[case::remove_active_and_admit(8, ACTIVATE, &[(SHELF_2_ACTIVE, ""), ("refuse", "admit")], "E1032 line 9 column 7 services[0].upstreams: ")]
#[case::remove_service(8, &[], &[("name: shelf\n", "name: rack\n"), ("since: 1", "since: 8"), (SHELF_2, "")], "E1032 line 4 column 3 services: ")]
#[case::new_with_old_since(8, &[], &[(SHELF_2, SHELF_3), ("since: 8", "since: 7")], "E1033 line 26 column 16 services[0].upstreams[1].since: ")]
#[case::since_changed(8, &[], &[("since: 1", "since: 8")], "E1034 line 17 column 16 services[0].upstreams[0].since: ")]
#[case::retired_late(8, &[], &[("state: active\n        since: 1", "state: retired\n        since: 1\n        retired: 7")], "E1035 line 18 column 18 services[0].upstreams[0].retired: ")]
#[case::retired_rewritten(8, &[], &[("retired: 7", "retired: 8")], "E1035 line 27 column 18 services[0].upstreams[1].retired: ")]
#[case::returned(8, &[], &[("state: retired", "state: active"), ("        retired: 7\n", "")], "E1035 line 25 column 16 services[0].upstreams[1].state: ")]
#[case::gap_since_too_old(10, &[], &[(SHELF_2, SHELF_3), ("since: 8", "since: 7")], "E1033 line 26 column 16 services[0].upstreams[1].since: ")]
#[case::gap_since_rewritten(10, &[], &[("since: 2", "since: 3")], "E1034 line 26 column 16 services[0].upstreams[1].since: ")]
#[case::gap_retired_rewritten(10, &[], &[("retired: 7", "retired: 8")], "E1035 line 27 column 18 services[0].upstreams[1].retired: ")]
fn step_refused(
    #[case] version: u64,
    #[case] old: &[(&str, &str)],
    #[case] new: &[(&str, &str)],
    #[case] expected: &str,
) {
    check(version, old, new, &[expected]);
}

#[test]
fn check_change_without_text() {
    let root = common::root();
    let old = account::parse(ACCOUNT, &root, "cascadia").unwrap();
    let mut new = old.clone();
    new.version.0 = 8;
    new.services[0].upstreams[0].since.0 = 8;
    let expected = "E1034 line 1 column 1 services[shelf].upstreams[shelf-1].since: ";
    check_faults(&account::check_change(&old, &new), &[expected]);
}
