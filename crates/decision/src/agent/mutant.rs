//! Test-only switches that each disable one safeguard, so that a fuzzing run can prove
//! that it detects the fault.
//!
//! The feature `mutants` is off in every shipped binary; without it the switches compile to
//! nothing.

/// A fault that results from disabling one safeguard.
#[cfg(feature = "mutants")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mutant {
    /// A witness grants two different claims for one opening.
    PromiseNotKept,
    /// The record of a refusal is discarded, so that a late copy may run.
    TombstoneForgotten,
    /// A restarted witness grants claims at once instead of abstaining.
    AbstainForgotten,
    /// A restarted witness votes again as soon as one other witness has sent its records.
    RecallFromOne,
    /// Records that were read to settle a membership are not kept.
    RecordsNotLearned,
    /// A witness goes by its own record although it knows of another claim that may have won.
    DisputesIgnored,
    /// Records count as final that were read while their witness still ran the old settings.
    StaleRecordsCounted,
    /// Records count although their witness has lost some.
    IncompleteRecordsCounted,
    /// Half of a membership counts as closed, although one of them has only ended.
    TieCountsAsClosed,
    /// A balancer's report counts for a membership with other members.
    OtherMembersOutdated,
    /// A witness goes on to grant claims after it has stated that its records are final.
    RecordsNotSealed,
    /// A witness helps another one to vote again that runs older settings.
    OlderWitnessRecalled,
    /// A witness counts as new because its upstream is, although it was listed before it started.
    ListedWitnessNewborn,
    /// Older settings replace newer ones.
    OlderSettingsAccepted,
    /// Packets of other services are handled like those of the agent's own service.
    ServiceNotChecked,
    /// The home does not record which agent holds a flow.
    RedirectsForgotten,
    /// Flows are not announced again to a restarted agent or a new home.
    RedirectsNotReannounced,
    /// An unknown flow is reset although a peer has not replied.
    ResetInDoubt,
    /// A copy of an opening that has run is delivered again.
    DuplicateDelivered,
    /// The claimant's own vote counts as a majority.
    QuorumOfOne,
    /// A draining or leaving agent accepts openings.
    DrainIgnored,
    /// Packets of unknown flows are delivered without asking the peers.
    AdoptAlways,
}

/// Whether the named mutant is active in an agent; always false without the feature.
macro_rules! mutated {
    ($agent:expr, $name:ident) => {{
        #[cfg(feature = "mutants")]
        let on = $agent.mutant == Some($crate::agent::Mutant::$name);
        #[cfg(not(feature = "mutants"))]
        let on = false;
        on
    }};
}

pub(super) use mutated;
