//! The figures of a run, as the last line of its output has them.

use std::collections::BTreeMap;

use serde::Serialize;

/// What a run showed. Counts are of the whole run unless the name says otherwise.
#[derive(Debug, Default, Serialize)]
pub(super) struct Figures {
    pub(super) scenario: &'static str,
    pub(super) seed: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) mutant: Option<String>,
    pub(super) duration_ms: u64,
    /// Connections established.
    pub(super) flows_opened: u64,
    /// Established connections that were reset, closed early, corrupted or made no progress,
    /// noticed in (or, for no progress, since) a phase of planned changes.
    pub(super) flows_broken_by_planned_change: u64,
    /// The same in a phase of faults, but for the next figure.
    pub(super) flows_broken_by_faults: u64,
    /// Connections of upstreams that the lab itself killed; nobody could have saved them.
    pub(super) flows_lost_with_killed_upstreams: u64,
    pub(super) packets_misdelivered: u64,
    pub(super) requests_run_twice: u64,
    pub(super) requests_refused_but_run: u64,
    /// Requests on established connections without a whole answer, and datagrams without an
    /// answer in planned change.
    pub(super) answers_incomplete: u64,
    pub(super) answers_complete: u64,
    pub(super) openings_to_leaving_after_3s: u64,
    pub(super) openings_refused_in_planned_change: u64,
    pub(super) openings_refused_in_faults: u64,
    pub(super) openings_unanswered_in_planned_change: u64,
    pub(super) openings_unanswered_in_faults: u64,
    /// Openings and datagrams refused or unanswered later than 3 s after the last fault.
    pub(super) openings_failed_after_recovery: u64,
    pub(super) datagrams_sent: u64,
    pub(super) datagrams_refused: u64,
    /// Counted as incomplete answers as well: the fabric lost none then.
    pub(super) datagrams_unanswered_in_planned_change: u64,
    pub(super) datagrams_unanswered_in_faults: u64,
    pub(super) requests_shed: u64,
    pub(super) settings_published: u64,
    pub(super) settings_reverted: u64,
    pub(super) settings_lagging_at_end: u64,
    pub(super) settings_in_force_ms_p50: u64,
    pub(super) settings_in_force_ms_p99: u64,
    pub(super) exits_unclean: u64,
    /// Opening of a connection, begun in planned change.
    pub(super) opening_ms_p50: u64,
    pub(super) opening_ms_p99: u64,
    pub(super) opening_ms_p99_in_faults: u64,
    /// Request until the whole answer, begun in planned change.
    pub(super) answer_ms_p50: u64,
    pub(super) answer_ms_p99: u64,
    pub(super) answer_ms_p99_in_faults: u64,
    pub(super) reads_per_s_max: u64,
    /// By service: open connections of the fullest upstream over the mean, median of all looks.
    pub(super) imbalance_max_over_mean: BTreeMap<&'static str, f64>,
    /// One line for each broken promise.
    pub(super) failures: Vec<String>,
    pub(super) pass: bool,
}
