//! Test-only switches: each breaks one safeguard, so that the fuzzing can show that it notices.
//!
//! The feature `mutants` is off in every shipped binary; without it the switches cost nothing.

/// A safeguard that is taken out.
#[cfg(feature = "mutants")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mutant {
    /// A witness grants two different claims for one opening.
    PromiseNotKept,
    /// The record of a refusal is forgotten, so that a late copy may run.
    TombstoneForgotten,
    /// A restarted witness grants at once.
    AbstainForgotten,
    /// A restarted witness votes again after one other witness has told its records.
    RecallFromOne,
    /// Older settings replace newer ones.
    OlderSettingsAccepted,
    /// Packets of other services are handled like its own.
    ServiceNotChecked,
    /// The home forgets which agent holds a flow.
    RedirectsForgotten,
    /// Flows are not announced again to a restarted agent or a new home.
    RedirectsNotReannounced,
    /// An unknown flow is reset while a peer is silent.
    ResetInDoubt,
    /// A copy of an opening that has run is delivered again.
    DuplicateDelivered,
    /// The claimant's own vote counts as a majority.
    QuorumOfOne,
    /// A draining or leaving agent takes openings.
    DrainIgnored,
    /// Packets of unknown flows are delivered without asking.
    AdoptAlways,
}

/// Whether the named mutant is on in an agent; constant false without the feature.
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
