//! Takes one safeguard out, so that `cargo xtask lab --mutant NAME` can show that it notices. Only
//! in builds with the feature `mutants`, which no shipped binary has.

use decision::agent::{Agent, Mutant};

/// Environment variable that names the mutant.
const VARIABLE: &str = "GOOSEBERRYSILL_MUTANT";

/// Switches of the core that have a symptom on the whole path.
const MUTANTS: &[(&str, Mutant)] = &[
    ("redirects-forgotten", Mutant::RedirectsForgotten),
    ("redirects-not-reannounced", Mutant::RedirectsNotReannounced),
    ("reset-in-doubt", Mutant::ResetInDoubt),
    ("duplicate-delivered", Mutant::DuplicateDelivered),
    ("drain-ignored", Mutant::DrainIgnored),
    ("adopt-always", Mutant::AdoptAlways),
];

/// The agent without the safeguard that the environment names. Panics on an unknown name: a run
/// that tests nothing must not pass.
pub(crate) fn apply(mut agent: Agent) -> Agent {
    if let Ok(name) = std::env::var(VARIABLE) {
        let known = MUTANTS.iter().find(|(known, _)| *known == name);
        let (_, mutant) = known.unwrap_or_else(|| panic!("{VARIABLE}: unknown mutant `{name}`"));
        log::warn!("a safeguard is taken out: {mutant:?}");
        agent.set_mutant(Some(*mutant));
    }
    agent
}
