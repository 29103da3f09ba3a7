//! The difference between two versions of a subtree's text.
//!
//! A typical change touches one line. Sending the text between the common beginning and the common
//! end keeps a storm of changes within the byte budget, where whole subtrees would not be.

use crate::keys::Version;

/// Replaces the middle of a known text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// Version of the text to which the delta applies.
    pub base: Version,
    /// Bytes kept from the beginning of the base.
    pub prefix_bytes: usize,
    /// Bytes kept from the end of the base.
    pub suffix_bytes: usize,
    /// Text in between.
    pub middle: String,
}

impl Delta {
    /// The delta that turns `old` into `new`.
    ///
    /// ```
    /// use decision::{keys::Version, spread::Delta};
    /// let delta = Delta::between(Version(1), "weight: 100\n", "weight: 90\n");
    /// assert_eq!(delta.middle, "9");
    /// assert_eq!(delta.apply("weight: 100\n").as_deref(), Some("weight: 90\n"));
    /// ```
    pub fn between(base: Version, old: &str, new: &str) -> Self {
        let prefix_bytes = common_prefix(old, new);
        let suffix_bytes = common_suffix(&old[prefix_bytes..], &new[prefix_bytes..]);
        let middle = new[prefix_bytes..new.len() - suffix_bytes].to_owned();
        Self { base, prefix_bytes, suffix_bytes, middle }
    }

    /// The new text, or nothing if the delta does not fit `old`.
    ///
    /// ```
    /// use decision::{keys::Version, spread::Delta};
    /// let delta = Delta { base: Version(1), prefix_bytes: 9, suffix_bytes: 0, middle: "x".into() };
    /// assert_eq!(delta.apply("short"), None);
    /// ```
    pub fn apply(&self, old: &str) -> Option<String> {
        let kept_bytes = self.prefix_bytes.checked_add(self.suffix_bytes)?;
        if kept_bytes > old.len() {
            return None;
        }
        let prefix = old.get(..self.prefix_bytes)?;
        let suffix = old.get(old.len() - self.suffix_bytes..)?;
        Some([prefix, &self.middle, suffix].concat())
    }
}

fn common_prefix(a: &str, b: &str) -> usize {
    let equal = a.bytes().zip(b.bytes()).take_while(|(x, y)| x == y).count();
    (0..=equal).rev().find(|&at| a.is_char_boundary(at) && b.is_char_boundary(at)).unwrap_or(0)
}

fn common_suffix(a: &str, b: &str) -> usize {
    let equal = a.bytes().rev().zip(b.bytes().rev()).take_while(|(x, y)| x == y).count();
    let fits =
        |&count: &usize| a.is_char_boundary(a.len() - count) && b.is_char_boundary(b.len() - count);
    (0..=equal).rev().find(fits).unwrap_or(0)
}
