//! From one root to the next.

use super::Root;
use crate::fault::Fault;

/// Checks a new root against the one that it replaces.
pub fn check_change(_old: &Root, _new: &Root) -> Vec<Fault> {
    Vec::new()
}
