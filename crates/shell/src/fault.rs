//! Faults that keep a daemon from starting: one line with a numbered code, a non-zero exit.

use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why a daemon does not start.
#[derive(Debug)]
pub struct StartFault {
    /// Number, see `docs/result-codes.md`.
    pub code: u16,
    /// Explanation for people, one line.
    pub text: String,
}

/// The command line is wrong.
pub const BAD_ARGUMENTS: u16 = 3001;
/// The settings file cannot be read.
pub const SETTINGS_UNREADABLE: u16 = 3002;
/// The settings file has faults.
pub const SETTINGS_REFUSED: u16 = 3003;
/// An address cannot be bound.
pub const PORT_TAKEN: u16 = 3004;
/// A key is missing.
pub const KEY_MISSING: u16 = 3005;
/// The platform does not answer; logged, never fatal.
pub const PLATFORM_UNREACHABLE: u16 = 3006;
/// A thread or runtime could not be started.
pub const THREAD_FAILED: u16 = 3008;

impl StartFault {
    /// A fault with its explanation; line breaks in the text are flattened.
    ///
    /// ```
    /// use shell::fault::{BAD_ARGUMENTS, StartFault};
    /// let fault = StartFault::new(BAD_ARGUMENTS, "unknown\noption");
    /// assert_eq!(fault.to_string(), "E3001: unknown option");
    /// ```
    pub fn new(code: u16, text: impl fmt::Display) -> Self {
        let text = text.to_string().lines().collect::<Vec<_>>().join(" ");
        Self { code, text }
    }

    /// An address that cannot be bound.
    pub fn bind(address: SocketAddr, error: &io::Error) -> Self {
        Self::new(PORT_TAKEN, format_args!("cannot listen on {address}: {error}"))
    }

    /// A thread that cannot be started.
    pub fn thread(error: &io::Error) -> Self {
        Self::new(THREAD_FAILED, format_args!("cannot start a thread: {error}"))
    }
}

impl fmt::Display for StartFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:04}: {}", self.code, self.text)
    }
}

impl std::error::Error for StartFault {}
