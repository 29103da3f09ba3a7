//! Faults that keep a daemon from starting: one line with a numbered code, a non-zero exit.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use settings::{Code, codes};

/// Why a daemon does not start.
#[derive(Debug)]
pub struct StartFault {
    /// Number, see `docs/result-codes.md`.
    pub code: Code,
    /// Explanation for people, one line.
    pub text: String,
}

impl StartFault {
    /// A fault with its explanation; line breaks in the text are flattened.
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

    /// An address that cannot be bound.
    pub fn bind(address: SocketAddr, error: &io::Error) -> Self {
        Self::new(codes::PORT_TAKEN, format_args!("cannot listen on {address}: {error}"))
    }

    /// A thread that cannot be started.
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
