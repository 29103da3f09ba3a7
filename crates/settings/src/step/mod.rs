//! The change from one version of a document to a later one.

use decision::keys::Version;

use crate::codes;
use crate::document::Cursor;
use crate::fault::Fault;

/// The versions before and after a change of a document. The old one is in force.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VersionStep {
    old: Version,
    new: Version,
}

impl VersionStep {
    /// The step from version `old` to a larger version `new`. Otherwise there is no step, and a
    /// fault is reported unless the document is the same as the one in force.
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

    /// Whether versions may have been published in between that this reader has not seen.
    ///
    /// A reader must not refuse a document because of changes in versions that it missed: otherwise
    /// a process that was paused or disconnected would keep its old settings forever. All rules are
    /// checked before publication by `goosectl check --against`, and here by every reader that has
    /// seen all versions.
    pub(crate) fn has_gap(self) -> bool {
        self.new.0 - self.old.0 > 1
    }

    /// Whether a change with the given `version` may be part of this step.
    pub(crate) fn covers(self, version: Version) -> bool {
        version == self.new || (self.has_gap() && version > self.old && version < self.new)
    }
}
