//! From one version of a subtree to the next.

use decision::view::AccountSpec;

use crate::fault::Fault;

/// Checks a new subtree against the one that it replaces.
pub fn check_change(_old: &AccountSpec, _new: &AccountSpec) -> Vec<Fault> {
    Vec::new()
}
