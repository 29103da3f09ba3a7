//! Command line of `goosectl check`.

use std::path::PathBuf;

use lexopt::ValueExt as _;
use lexopt::prelude::{Long, Short, Value};

use crate::exit::Failure;

/// What to check, and how to show it.
#[derive(Debug)]
pub(super) struct Arguments {
    pub(super) file: PathBuf,
    pub(super) document: Document,
    pub(super) against: Option<PathBuf>,
    pub(super) is_json: bool,
}

/// Kind of the checked document.
#[derive(Debug)]
pub(super) enum Document {
    Root,
    Account { name: String, root: Option<PathBuf> },
}

impl Arguments {
    /// Whether addresses can be compared with their owners.
    pub(super) fn compares_addresses(&self) -> bool {
        !matches!(self.document, Document::Account { root: None, .. })
    }
}

/// Reads the rest of the command line; `None` if help is asked for.
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
