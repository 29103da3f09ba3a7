//! Disables one safeguard, so that `cargo xtask lab --mutant NAME` can show that the lab detects
//! it. Only compiled with the feature `mutants`, which no shipped binary has.

use decision::agent::{Agent, Mutant};

/// Environment variable that names the mutant.
const VARIABLE: &str = "GOOSEBERRYSILL_MUTANT";

/// Mutants of the decision core whose effect is visible end to end, by name.
const MUTANTS: &[(&str, Mutant)] = &[
    ("redirects-forgotten", Mutant::RedirectsForgotten),
    ("redirects-not-reannounced", Mutant::RedirectsNotReannounced),
    ("reset-in-doubt", Mutant::ResetInDoubt),
    ("duplicate-delivered", Mutant::DuplicateDelivered),
    ("drain-ignored", Mutant::DrainIgnored),
    ("adopt-always", Mutant::AdoptAlways),
];

/// Disables the safeguard that the environment variable names, if it is set. Panics on an unknown
/// name, because a run without any mutant would test nothing and must not pass.
pub(crate) fn apply(mut agent: Agent) -> Agent {
    if let Ok(name) = std::env::var(VARIABLE) {
        let known = MUTANTS.iter().find(|(known, _)| *known == name);
        let (_, mutant) = known.unwrap_or_else(|| panic!("{VARIABLE}: unknown mutant `{name}`"));
        log::warn!("a safeguard is disabled by mutant: {mutant:?}");
        agent.set_mutant(Some(*mutant));
    }
    agent
}
