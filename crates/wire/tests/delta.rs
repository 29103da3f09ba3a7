//! Tests of the deltas between two versions of a settings text.

use decision::keys::Version;
use proptest::prelude::*;
use rstest::rstest;
use wire::delta::Delta;

/// A subtree of 50 services in which the version line and one weight change.
fn subtree(version: u64, weight: u32) -> String {
    let services = (0..50).map(|n| {
        let weight = if n == 25 { weight } else { 100 };
        format!("  - name: service-{n}\n    weight: {weight}\n")
    });
    format!("account: cascadia\nversion: {version}\nservices:\n{}", services.collect::<String>())
}

/// The version line at the top always changes. A delta that omits only the common beginning and end
/// therefore repeats all lines up to the changed weight, which is more than half the subtree
/// (5,865 B of 9,862 B).
#[test]
fn between_version_and_weight_stays_small() {
    let (old, new) = (subtree(1, 100), subtree(2, 90));
    let delta = Delta::between(Version(1), &old, &new);
    assert_eq!(delta.apply(&old).as_deref(), Some(&*new));
    assert!(rmp_serde::to_vec(&delta).unwrap().len() < 60);
}

#[rstest]
#[case::equal("a\n", "a\n")]
#[case::from_nothing("", "a\nb")]
#[case::to_nothing("a\nb", "")]
#[case::last_line_without_end("a\nb", "a\nc")]
#[case::not_ascii("é\n", "è\n")]
fn apply_own_delta(#[case] old: &str, #[case] new: &str) {
    assert_eq!(Delta::between(Version(1), old, new).apply(old).as_deref(), Some(new));
}

proptest! {
    #[test]
    fn apply_any_own_delta(old in "[ab\n]{0,30}", new in "[ab\n]{0,30}") {
        prop_assert_eq!(Delta::between(Version(1), &old, &new).apply(&old), Some(new));
    }

    #[test]
    fn apply_any_bytes(bytes: Vec<u8>, old in "[ab\n]{0,30}") {
        if let Ok(delta) = rmp_serde::from_slice::<Delta>(&bytes) {
            let _ = delta.apply(&old);
        }
    }

    #[test]
    fn apply_any_numbers(keep: u32, drop: u32, old in "[ab\n]{0,30}") {
        let bytes = rmp_serde::to_vec(&(1u64, vec![(keep, drop, "x")])).unwrap();
        let delta: Delta = rmp_serde::from_slice(&bytes).unwrap();
        let _ = delta.apply(&old);
    }
}
