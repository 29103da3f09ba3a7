//! Errors that prevent a daemon from starting. They are printed as one line with a numbered code,
//! and the process exits with a non-zero status.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use settings::{Code, codes};

/// The reason why a daemon cannot start.
#[derive(Debug)]
pub struct StartFault {
    /// Result code, listed in `docs/result-codes.md`.
    pub code: Code,
    /// Human-readable explanation on a single line.
    pub text: String,
}

impl StartFault {
    /// Creates a fault from a code and an explanation. Line breaks in the text become spaces.
    ///
    /// ```
    /// use settings::codes;
    /// use shell::fault::StartFault;
    /// let fault = StartFault::new(codes::BAD_ARGUMENTS, "unknown\noption");
    /// assert_eq!(fault.to_string(), "E3001: unknown option");
    /// ```
    pub fn new(code: Code, text: impl fmt::Display) -> Self {
        let text = text.to_string().lines().collect::<Vec<_>>().join(" ");
        Self { code, text }
    }

    /// Creates the fault for an address that cannot be bound.
    pub fn bind(address: SocketAddr, error: &io::Error) -> Self {
        Self::new(codes::PORT_TAKEN, format_args!("cannot listen on {address}: {error}"))
    }

    /// Creates the fault for a thread that cannot be started.
    pub fn thread(error: &io::Error) -> Self {
        Self::new(codes::THREAD_FAILED, format_args!("cannot start a thread: {error}"))
    }
}

impl fmt::Display for StartFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.text)
    }
}

impl std::error::Error for StartFault {}
