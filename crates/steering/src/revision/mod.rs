//! The order in which the configuration service has published what balancers know.

use std::fmt;

/// A moment in the history of the configuration service.
///
/// The service counts its changes. When it comes back from an older copy it counts on from there, so
/// a number stands for other contents than before; a new era begins. All that is known of a later
/// era is newer than all that is known of an earlier one, whatever the numbers.
///
/// ```
/// use steering::revision::Revision;
/// let before = Revision { era: 1, number: 18 };
/// let returned = Revision { era: 2, number: 11 };
/// assert!(returned > before);
/// assert_eq!(returned.to_string(), "2.11");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// How often the service has come back from a copy, counted from any start; zero if it does not
    /// say.
    pub era: u64,
    /// Number of the last change.
    pub number: u64,
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.number),
            era => write!(f, "{era}.{}", self.number),
        }
    }
}
