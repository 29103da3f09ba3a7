//! Documents that arrive in any order: the highest version wins, and a faulty one changes nothing.

mod common;

use common::{ACCOUNT, ROOT, edit};
use decision::view::{Endpoint, Transport};
use rstest::rstest;
use settings::{ActiveSettings, Outcome};

/// A document that arrives with its expected outcome, or a check of the state.
///
/// The pairs of texts are the replacements that make the document out of the valid one.
enum Step<'a> {
    Root(&'a [(&'a str, &'a str)], &'a str),
    Account(&'a [(&'a str, &'a str)], &'a str),
    /// Versions in force of the root and of the account `cascadia`, and whether the account's first
    /// address is served.
    Expect(u64, u64, bool),
}

use Step::{Account, Expect, Root};

/// Formats an outcome, such as `Accepted 7` or `Refused E1001`.
fn describe(outcome: &Outcome) -> String {
    let codes = |faults: &[settings::Fault]| {
        faults.iter().map(|fault| format!(" {}", fault.code)).collect::<String>()
    };
    match outcome {
        Outcome::Accepted(version) => format!("Accepted {}", version.0),
        Outcome::Unchanged(version) => format!("Unchanged {}", version.0),
        Outcome::Older(version) => format!("Older {}", version.0),
        Outcome::Deferred(faults) => format!("Deferred{}", codes(faults)),
        Outcome::Refused(faults) => format!("Refused{}", codes(faults)),
    }
}

fn check_state(active: &ActiveSettings, root: u64, account: u64, is_served: bool) {
    let address = "203.0.113.1".parse().unwrap();
    let endpoint = Endpoint { address, port: 8443, transport: Transport::Tcp };
    let version = active.subtree("cascadia").map_or(0, |(version, _)| version.0);
    let in_force = (active.root().map_or(0, |(version, _)| version.0), version);
    assert_eq!(in_force, (root, account));
    assert_eq!(active.view().find_endpoint(endpoint).is_some(), is_served);
}

fn check(steps: &[Step<'_>]) {
    let apply = |document: &str, edits: &[(&str, &str)]| {
        edits.iter().fold(document.to_owned(), |yaml, (from, to)| edit(&yaml, from, to))
    };
    let mut active = ActiveSettings::default();
    for (index, step) in steps.iter().enumerate() {
        let (outcome, expected) = match step {
            Root(edits, expected) => (active.accept_root(&apply(ROOT, edits)), expected),
            Account(edits, expected) => {
                (active.accept_account("cascadia", &apply(ACCOUNT, edits)), expected)
            }
            Expect(root, account, is_served) => {
                check_state(&active, *root, *account, *is_served);
                continue;
            }
        };
        assert_eq!(describe(&outcome), **expected, "step {index}");
    }
}

const V8: (&str, &str) = ("version: 7", "version: 8");
const V6: (&str, &str) = ("version: 7", "version: 6");
const RETIRED_6: (&str, &str) = ("retired: 7", "retired: 6");
const ROOT_4: (&str, &str) = ("version: 3", "version: 4");
const PREFIX_REMOVED: (&str, &str) = ("\"203.0.113.0/28\", ", "");
const BROKEN: (&str, &str) = ("weight: 100\n", "weight: 0\n");

#[rstest]
#[case::in_order(&[Root(&[], "Accepted 3"), Account(&[], "Accepted 7"), Account(&[V8], "Accepted 8"), Expect(3, 8, true)])]
#[case::repeated(&[Root(&[], "Accepted 3"), Root(&[], "Unchanged 3"), Account(&[], "Accepted 7"), Account(&[], "Unchanged 7")])]
#[case::reformatted(&[Root(&[], "Accepted 3"), Account(&[], "Accepted 7"), Account(&[("weight: 100\n", "weight:   100\n")], "Unchanged 7")])]
#[case::older_root(&[Root(&[ROOT_4], "Accepted 4"), Root(&[], "Older 4"), Expect(4, 0, false)])]
#[case::older(&[Root(&[], "Accepted 3"), Account(&[], "Accepted 7"), Account(&[V6, RETIRED_6], "Older 7"), Expect(3, 7, true)])]
#[case::older_and_broken(&[Root(&[], "Accepted 3"), Account(&[], "Accepted 7"), Account(&[V6, RETIRED_6, BROKEN], "Older 7")])]
#[case::broken(&[Root(&[], "Accepted 3"), Account(&[], "Accepted 7"), Account(&[V8, BROKEN], "Refused E1008"), Expect(3, 7, true)])]
#[case::broken_root(&[Root(&[], "Accepted 3"), Account(&[], "Accepted 7"), Root(&[ROOT_4, ("/28", "/33")], "Refused E1014"), Expect(3, 7, true)])]
#[case::split(&[Root(&[], "Accepted 3"), Account(&[], "Accepted 7"), Account(&[("weight: 100\n", "weight: 9\n")], "Refused E1031"), Expect(3, 7, true)])]
#[case::split_root(&[Root(&[], "Accepted 3"), Root(&[("bajio", "other")], "Refused E1031")])]
#[case::bad_step(&[Root(&[], "Accepted 3"), Account(&[], "Accepted 7"), Account(&[V8, ("since: 1", "since: 8")], "Refused E1034"), Expect(3, 7, true)])]
#[case::other_account(&[Root(&[], "Accepted 3"), Account(&[("cascadia", "bajio")], "Refused E1020"), Expect(3, 0, false)])]
fn accept(#[case] steps: &[Step<'_>]) {
    check(steps);
}

/// Updates may reach an instance out of order, so a subtree may arrive before the root that allows
/// it. If it were refused for good, the account would stay on the older version until the next
/// publication.
#[rstest]
#[case::no_root_yet(&[Account(&[], "Deferred"), Expect(0, 0, false), Root(&[], "Accepted 3"), Expect(3, 7, true)])]
#[case::new_prefix(&[Root(&[PREFIX_REMOVED], "Accepted 3"), Account(&[], "Deferred E1022"), Expect(3, 0, false), Root(&[ROOT_4], "Accepted 4"), Expect(4, 7, true)])]
#[case::new_account(&[Root(&[("cascadia", "anahuac")], "Accepted 3"), Account(&[], "Deferred E1021 E1022 E1022"), Root(&[("version: 3", "version: 5")], "Accepted 5"), Expect(5, 7, true)])]
#[case::newest_waits(&[Account(&[V8], "Deferred"), Account(&[], "Deferred"), Root(&[], "Accepted 3"), Expect(3, 8, true)])]
#[case::still_waits(&[Root(&[PREFIX_REMOVED], "Accepted 3"), Account(&[], "Deferred E1022"), Root(&[ROOT_4, PREFIX_REMOVED], "Accepted 4"), Expect(4, 0, false), Root(&[("version: 3", "version: 5")], "Accepted 5"), Expect(5, 7, true)])]
#[case::superseded(&[Root(&[], "Accepted 3"), Account(&[("203.0.113.1:", "203.0.113.65:")], "Deferred E1025"), Account(&[V8], "Accepted 8"), Root(&[ROOT_4], "Accepted 4"), Expect(4, 8, true)])]
fn defer(#[case] steps: &[Step<'_>]) {
    check(steps);
}

/// A root that removes a range from an account takes effect at once, without a new subtree:
/// otherwise callers' packets would still reach the previous owner. The account's other addresses
/// stay in service, and the range is served again if a later root returns it.
#[rstest]
#[case::removed_and_returned(&[Root(&[], "Accepted 3"), Account(&[], "Accepted 7"), Expect(3, 7, true), Root(&[ROOT_4, PREFIX_REMOVED], "Accepted 4"), Expect(4, 7, false), Account(&[], "Unchanged 7"), Expect(4, 7, false), Root(&[("version: 3", "version: 5")], "Accepted 5"), Expect(5, 7, true)])]
#[case::account_removed(&[Root(&[], "Accepted 3"), Account(&[], "Accepted 7"), Root(&[ROOT_4, ("cascadia", "anahuac"), PREFIX_REMOVED, ("\"2001:db8:1::/48\"", "")], "Accepted 4"), Expect(4, 7, false)])]
#[case::moved_at_once(&[Root(&[], "Accepted 3"), Account(&[], "Accepted 7"), Root(&[ROOT_4, PREFIX_REMOVED, ("203.0.113.16/28", "203.0.113.0/28")], "Refused E1036"), Expect(3, 7, true)])]
#[case::moved_unseen(&[Root(&[], "Accepted 3"), Account(&[], "Accepted 7"), Root(&[("version: 3", "version: 9"), PREFIX_REMOVED, ("203.0.113.16/28", "203.0.113.0/28")], "Accepted 9"), Expect(9, 7, false)])]
fn root_removes_range(#[case] steps: &[Step<'_>]) {
    check(steps);
}

#[test]
fn other_addresses_stay_after_range_removal() {
    let mut active = ActiveSettings::default();
    active.accept_root(ROOT);
    active.accept_account("cascadia", ACCOUNT);
    active.accept_root(&edit(
        &edit(ROOT, PREFIX_REMOVED.0, PREFIX_REMOVED.1),
        "version: 3",
        "version: 4",
    ));
    let address = "2001:db8:1::1".parse().unwrap();
    let endpoint = Endpoint { address, port: 8443, transport: Transport::Udp };
    assert!(active.view().find_endpoint(endpoint).is_some());
}

#[test]
fn pending_bounded() {
    let mut active = ActiveSettings::default();
    let outcome = |active: &mut ActiveSettings, index: u32| {
        let yaml = format!("account: a{index}\nversion: 1\nservices: []\n");
        describe(&active.accept_account(&format!("a{index}"), &yaml))
    };
    assert!((0..64).all(|index| outcome(&mut active, index) == "Deferred"));
    assert_eq!(outcome(&mut active, 64), "Refused");
    assert_eq!(outcome(&mut active, 63), "Deferred");
}

#[test]
fn documents_are_kept_verbatim() {
    let mut active = ActiveSettings::default();
    active.accept_root(ROOT);
    active.accept_account("cascadia", ACCOUNT);
    assert_eq!(&*active.subtree("cascadia").unwrap().1, ACCOUNT);
    assert_eq!(&*active.root().unwrap().1, ROOT);
    let names: Vec<String> =
        active.versions().iter().map(|(n, v)| format!("{n} {}", v.0)).collect();
    assert_eq!(names, ["cascadia 7"]);
}
