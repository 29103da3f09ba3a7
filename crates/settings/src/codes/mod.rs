//! Numbered result codes of the whole product.
//!
//! One table holds every code; `docs/result-codes.md` is generated from it. The number of a code is
//! never reused for another meaning.

mod table;

use std::fmt;

use decision::agent::Reason;

pub use table::*;

/// Number of a result code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Code(pub u16);

/// Part of the product that reports a code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Settings documents, 1xxx.
    Settings,
    /// Packets and flows, 2xxx.
    Packets,
    /// Start of a process, 3xxx.
    Start,
    /// Control messages and HTTP, 4xxx.
    Control,
    /// The command line, 5xxx.
    Command,
}

/// One row of [`TABLE`].
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Number, shown as `E` and four digits.
    pub code: Code,
    /// Name in lower case, as in logs and metrics.
    pub name: &'static str,
    /// Part of the product that reports it.
    pub class: Class,
    /// Explanation of what has happened.
    pub text: &'static str,
    /// Advice on what to do about it.
    pub action: &'static str,
}

impl Code {
    /// The row of this code in [`TABLE`], or `None` if the product does not use the number.
    ///
    /// ```
    /// use settings::codes;
    /// assert_eq!(codes::UNKNOWN_FIELD.entry().unwrap().name, "unknown_field");
    /// ```
    pub fn entry(self) -> Option<&'static Entry> {
        let index = TABLE.binary_search_by_key(&self, |entry| entry.code).ok()?;
        Some(&TABLE[index])
    }

    /// Name in lower case for logs and metrics, `unknown` for a number that is not in the table.
    ///
    /// ```
    /// assert_eq!(settings::Code(1003).name(), "unknown_field");
    /// ```
    pub fn name(self) -> &'static str {
        self.entry().map_or("unknown", |entry| entry.name)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:04}", self.0)
    }
}

impl From<Reason> for Code {
    fn from(reason: Reason) -> Self {
        Self(reason as u16)
    }
}

impl Class {
    /// Heading of the class in the documentation.
    pub fn title(self) -> &'static str {
        match self {
            Self::Settings => "Settings documents",
            Self::Packets => "Packets and flows",
            Self::Start => "Start of a process",
            Self::Control => "Control messages and HTTP",
            Self::Command => "Command line",
        }
    }
}
