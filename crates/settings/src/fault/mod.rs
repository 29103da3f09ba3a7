//! Faults of settings documents.

use std::fmt;
use std::sync::Arc;

use crate::codes::Code;

/// One fault of a settings document, with its position.
///
/// ```
/// let faults = settings::root::parse("version: 1\naccounts: []\nowner: me\n").unwrap_err();
/// assert!(faults[0].to_string().starts_with("E1003 line 3 column 1 owner: "));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// What is wrong, as a numbered result code.
    pub code: Code,
    /// Line, counted from 1.
    pub line: u32,
    /// Column in characters, counted from 1.
    pub column: u32,
    /// Path of the field, such as `services[0].upstreams`; empty for the whole document.
    pub path: Arc<str>,
    /// Explanation for the reader; not meant to be parsed.
    pub text: Arc<str>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { code, line, column, path, text } = self;
        let space = if path.is_empty() { "" } else { " " };
        write!(f, "{code} line {line} column {column}{space}{path}: {text}")
    }
}

impl std::error::Error for Fault {}
