//! Command line of `goosectl check`.

use std::path::PathBuf;

use lexopt::ValueExt as _;
use lexopt::prelude::{Long, Short, Value};

use crate::exit::Failure;

/// Which document to check, and how to print the result.
#[derive(Debug)]
pub(super) struct Arguments {
    pub(super) file: PathBuf,
    pub(super) document: Document,
    pub(super) against: Option<PathBuf>,
    pub(super) is_json: bool,
}

/// The kind of document to check.
#[derive(Debug)]
pub(super) enum Document {
    Root,
    Account { name: String, root: Option<PathBuf> },
}

impl Arguments {
    /// Whether the check compares addresses with their owners. A subtree without a root document
    /// does not allow it.
    pub(super) fn compares_addresses(&self) -> bool {
        !matches!(self.document, Document::Account { root: None, .. })
    }
}

/// Parses the rest of the command line; `None` if `--help` is given.
pub(super) fn parse(parser: &mut lexopt::Parser) -> Result<Option<Arguments>, Failure> {
    let (mut file, mut account, mut root, mut against) = (None, None, None, None);
    let mut is_json = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(None),
            Long("account") => account = Some(parser.value()?.string()?),
            Long("root") => root = Some(PathBuf::from(parser.value()?)),
            Long("against") => against = Some(PathBuf::from(parser.value()?)),
            Long("json") => is_json = true,
            Value(path) if file.is_none() => file = Some(PathBuf::from(path)),
            other => return Err(other.unexpected().into()),
        }
    }
    let file = file.ok_or_else(|| Failure::usage("check: no FILE given"))?;
    let document = match (account, root) {
        (Some(name), root) => Document::Account { name, root },
        (None, None) => Document::Root,
        (None, Some(_)) => return Err(Failure::usage("check: --root needs --account")),
    };
    Ok(Some(Arguments { file, document, against, is_json }))
}
