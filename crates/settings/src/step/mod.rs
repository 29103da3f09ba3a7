//! The step from one version of a document to a later one.

use decision::keys::Version;

use crate::codes;
use crate::document::Cursor;
use crate::fault::Fault;

/// Two versions of a document, the older one in force.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VersionStep {
    old: Version,
    new: Version,
}

impl VersionStep {
    /// A step that goes forward. Reports one that does not, unless nothing changes at all.
    pub(crate) fn forward(
        (old, new): (Version, Version),
        is_same: bool,
        at: &Cursor<'_>,
        faults: &mut Vec<Fault>,
    ) -> Option<Self> {
        if new > old {
            return Some(Self { old, new });
        }
        let at = at.field("version");
        if new < old {
            let text = format!("{} is not larger than {}, which is in force", new.0, old.0);
            faults.push(at.fault(codes::VERSION_NOT_GROWN, text));
        } else if !is_same {
            let text = format!("another document with version {} is in force", new.0);
            faults.push(at.fault(codes::SPLIT_PUBLICATION, text));
        }
        None
    }

    /// Whether versions were published in between that this reader has not seen.
    ///
    /// Nobody may refuse a document for what happened in versions that it missed: a process that
    /// was paused or cut off would keep its old settings for ever. The full rules are checked
    /// before publication by `goosectl check --against`, and here by whoever saw every version.
    pub(crate) fn has_gap(self) -> bool {
        self.new.0 - self.old.0 > 1
    }

    /// Whether something dated `version` may have happened in this step.
    pub(crate) fn covers(self, version: Version) -> bool {
        version == self.new || (self.has_gap() && version > self.old && version < self.new)
    }
}
