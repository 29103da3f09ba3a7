//! Tests of the conclusions from the time of the listing.

use agent::listing::{Listing, may_have_prior_flows, was_unlisted_at_start};
use decision::agent::UpstreamReport;
use rstest::rstest;

/// Settings that a lagging source serves may lack a version that was published before the start.
/// An agent that took itself for the first one then could vote on what an earlier incarnation has
/// decided, and a request would run twice.
#[rstest]
#[case::just_started(10, 0, false)]
#[case::confirmed_soon_after_the_start(60_000, 55_000, false)]
#[case::at_the_bound(7_000, 0, false)]
#[case::never_confirmed(60_000, 60_000, false)]
#[case::confirmed_before_the_start(10_000, 90_000, false)]
#[case::confirmed_late_enough(10_000, 2_000, true)]
fn was_unlisted_at_start_time(
    #[case] up_ms: u64,
    #[case] confirmed_age_ms: u64,
    #[case] expected: bool,
) {
    assert_eq!(was_unlisted_at_start(up_ms, confirmed_age_ms), expected);
}

/// An upstream that has waited for its listing is no longer young, but holds no flows.
#[rstest]
#[case::young(0, Some(500), Listing::BeforeStart, false)]
#[case::old(0, Some(60_000), Listing::BeforeStart, true)]
#[case::old_listed_later(0, Some(60_000), Listing::AfterStart, false)]
#[case::has_flows(1, Some(500), Listing::AfterStart, true)]
#[case::age_unknown(0, None, Listing::BeforeStart, true)]
fn may_have_prior_flows_report(
    #[case] open_flows: u32,
    #[case] age_ms: Option<u64>,
    #[case] listing: Listing,
    #[case] expected: bool,
) {
    let report =
        UpstreamReport { healthy: true, draining: false, shedding: false, open_flows, age_ms };
    assert_eq!(may_have_prior_flows(Some(report), listing), expected);
}

/// Without a report of the upstream nothing is known about its flows.
#[test]
fn may_have_prior_flows_no_report() {
    assert!(may_have_prior_flows(None, Listing::AfterStart));
}
