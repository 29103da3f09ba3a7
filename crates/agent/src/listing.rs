//! What the time of the listing says about earlier incarnations of the agent.

use decision::agent::UpstreamReport;

/// Maximum age of an upstream that counts as new. A new upstream without open flows cannot hold
/// flows that a previous incarnation of this agent admitted.
const NEW_UPSTREAM_MAX_AGE_MS: u64 = 2_000;
/// Time within which a published version is in force everywhere, also where a source of settings
/// lags behind.
const SETTINGS_SPREAD_MS: u64 = 7_000;

/// Whether the upstream was certainly not listed when this process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// It may have been listed before, so that an earlier incarnation may have served it.
    BeforeStart,
    /// It was listed later, so that this is its first agent.
    AfterStart,
}

/// Whether settings that do not list the upstream show that it was not listed when this process
/// started, `up_ms` ago. The configuration service confirmed them `confirmed_age_ms` ago: so long
/// after the start that a version published before it would have been among them.
///
/// ```
/// use agent::listing::was_unlisted_at_start;
/// assert!(!was_unlisted_at_start(1_000, 0));
/// assert!(was_unlisted_at_start(60_000, 2_000));
/// ```
pub fn was_unlisted_at_start(up_ms: u64, confirmed_age_ms: u64) -> bool {
    up_ms.saturating_sub(confirmed_age_ms) > SETTINGS_SPREAD_MS
}

/// Whether the upstream may hold flows that a previous incarnation of this agent admitted.
///
/// Mistaking an old upstream for a new one would break its flows. An upstream therefore counts as
/// new only if it reports that it has no open flows, and if it has just started or was not listed
/// when this process did.
pub fn may_have_prior_flows(report: Option<UpstreamReport>, listing: Listing) -> bool {
    !report.is_some_and(|report| {
        let is_young = report.age_ms.is_some_and(|age| age < NEW_UPSTREAM_MAX_AGE_MS);
        report.open_flows == 0 && (is_young || listing == Listing::AfterStart)
    })
}
