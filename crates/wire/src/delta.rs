//! Line-based differences between two versions of a settings text.
//!
//! A change of settings touches the version line and one or two others. Sending only these keeps a
//! burst of many changes within the byte budget, which whole subtrees would exceed.

use decision::keys::Version;
use serde::{Deserialize, Serialize};
use similar::{Algorithm, DiffOp, capture_diff_slices};

/// Maximum size in bytes of the text that a delta may produce: the limit of a value in the
/// configuration service.
const TEXT_BYTES_MAX: usize = 1 << 20;

/// Turns the text of one version into that of a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    base: u64,
    hunks: Vec<Hunk>,
}

/// Number of lines to keep, number of lines to drop after them, and the text to insert instead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Hunk(u32, u32, String);

impl Delta {
    /// The delta that turns `old`, the text of version `base`, into `new`.
    ///
    /// ```
    /// use decision::keys::Version;
    /// use wire::delta::Delta;
    /// let (old, new) = ("version: 1\na\nb\nweight: 100\n", "version: 2\na\nb\nweight: 90\n");
    /// let delta = Delta::between(Version(1), old, new);
    /// assert_eq!(delta.apply(old).as_deref(), Some(new));
    /// ```
    pub fn between(base: Version, old: &str, new: &str) -> Self {
        let (old, new) = (lines(old), lines(new));
        let mut hunks = Vec::new();
        let mut kept = 0;
        for op in capture_diff_slices(Algorithm::Myers, &old, &new) {
            match op {
                DiffOp::Equal { len, .. } => kept += len as u32,
                _ => {
                    let insert = new[op.new_range()].concat();
                    hunks.push(Hunk(kept, op.old_range().len() as u32, insert));
                    kept = 0;
                }
            }
        }
        Self { base: base.0, hunks }
    }

    /// Version to whose text the delta applies.
    ///
    /// ```
    /// use decision::keys::Version;
    /// use wire::delta::Delta;
    /// assert_eq!(Delta::between(Version(4), "", "a").base(), Version(4));
    /// ```
    pub fn base(&self) -> Version {
        Version(self.base)
    }

    /// The new text; `None` if the delta does not fit `old` or the text becomes too large.
    ///
    /// ```
    /// use decision::keys::Version;
    /// use wire::delta::Delta;
    /// let delta = Delta::between(Version(1), "a\nb\nc\n", "a\nb\nd\n");
    /// assert_eq!(delta.apply("a\n"), None);
    /// ```
    pub fn apply(&self, old: &str) -> Option<String> {
        let old = lines(old);
        let mut text = String::new();
        let mut position = 0usize;
        for Hunk(keep, drop, insert) in &self.hunks {
            let kept_to = position.checked_add(*keep as usize)?;
            text.extend(old.get(position..kept_to)?.iter().copied());
            text.push_str(insert);
            position = kept_to.checked_add(*drop as usize)?;
            if text.len() > TEXT_BYTES_MAX {
                return None;
            }
        }
        text.extend(old.get(position..)?.iter().copied());
        Some(text)
    }
}

/// Splits a text into lines, each with its line ending.
fn lines(text: &str) -> Vec<&str> {
    text.split_inclusive('\n').collect()
}
