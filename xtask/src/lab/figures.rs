//! The figures of a run, which are printed in the last line of its output.

use std::collections::BTreeMap;

use serde::Serialize;

/// Results of a run. Counts cover the whole run unless the name says otherwise.
#[derive(Debug, Default, Serialize)]
pub(super) struct Figures {
    pub(super) scenario: &'static str,
    pub(super) seed: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) mutant: Option<String>,
    pub(super) duration_ms: u64,
    /// Connections established.
    pub(super) flows_opened: u64,
    /// Established connections that were reset, closed early or corrupted in a phase of planned
    /// changes, or that have made no progress since such a phase.
    pub(super) flows_broken_by_planned_change: u64,
    /// The same for phases of faults, except connections counted in the next figure.
    pub(super) flows_broken_by_faults: u64,
    /// Connections to upstreams that the lab itself killed. No balancer can preserve these.
    pub(super) flows_lost_with_killed_upstreams: u64,
    pub(super) packets_misdelivered: u64,
    pub(super) requests_run_twice: u64,
    pub(super) requests_refused_but_run: u64,
    /// Requests on established connections without a complete answer, and datagrams without an
    /// answer in planned changes.
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
    /// Also counted as incomplete answers, since the fabric drops no packets in these phases.
    pub(super) datagrams_unanswered_in_planned_change: u64,
    pub(super) datagrams_unanswered_in_faults: u64,
    pub(super) requests_shed: u64,
    pub(super) settings_published: u64,
    pub(super) settings_reverted: u64,
    pub(super) settings_lagging_at_end: u64,
    pub(super) settings_in_force_ms_p50: u64,
    pub(super) settings_in_force_ms_p99: u64,
    pub(super) exits_unclean: u64,
    /// Time to open a connection, for openings begun in planned changes.
    pub(super) opening_ms_p50: u64,
    pub(super) opening_ms_p99: u64,
    pub(super) opening_ms_p99_in_faults: u64,
    /// Time from request to complete answer, for requests begun in planned changes.
    pub(super) answer_ms_p50: u64,
    pub(super) answer_ms_p99: u64,
    pub(super) answer_ms_p99_in_faults: u64,
    pub(super) reads_per_s_max: u64,
    /// By service: open connections of the most loaded upstream over the mean, median of all
    /// samples.
    pub(super) imbalance_max_over_mean: BTreeMap<&'static str, f64>,
    /// One line for each failed check.
    pub(super) failures: Vec<String>,
    pub(super) pass: bool,
}
