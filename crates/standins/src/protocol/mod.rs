//! The protocol between callers and upstreams. It consists of lines of text, so that a capture is
//! readable:
//!
//! ```text
//! CONFIRM <id>             -> OK <id> <service> <upstream>
//! FETCH <id> <bytes>       -> BODY <id> <service> <upstream> <bytes>, newline, that many bytes
//! FEED <id> <interval_ms>  -> FEED <id> <service> <upstream>, then LINE <id> <n> <check> for ever
//! END <id>                 -> END <id> <lines sent>
//! anything while shedding  -> SHED <id>: it was not run
//! ```
//!
//! A datagram carries one `CONFIRM` request without a newline and is answered by one datagram.

mod answer;
mod body;

use std::fmt;
use std::sync::Arc;

pub use answer::{Answer, AnswerReader};
pub use body::{Body, line_checksum};

/// Number of a request, unique across all callers of a run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct RequestId(pub u64);

/// Request of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// A short request that is not idempotent, such as a restock confirmation or a pattern
    /// adjustment.
    Confirm(RequestId),
    /// A request for a body of a given length, such as a packing sheet or a swatch image.
    Fetch {
        /// Number of the request, from which the body is derived.
        id: RequestId,
        /// Length of the body.
        bytes: u32,
    },
    /// A long-lived feed.
    Feed {
        /// Number of the request, from which the lines are derived.
        id: RequestId,
        /// Time between two lines.
        interval_ms: u32,
    },
    /// Ends a feed; the answer states how many lines it had.
    End(RequestId),
}

/// The service and upstream that answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct Responder {
    /// Service.
    pub service: Arc<str>,
    /// Upstream.
    pub upstream: Arc<str>,
}

/// The text is not a line of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl Request {
    /// Number of the request.
    ///
    /// ```
    /// use standins::protocol::{Request, RequestId};
    /// assert_eq!(Request::Confirm(RequestId(7)).id(), RequestId(7));
    /// ```
    pub fn id(self) -> RequestId {
        match self {
            Self::Confirm(id) | Self::End(id) => id,
            Self::Fetch { id, .. } | Self::Feed { id, .. } => id,
        }
    }

    /// Parses one request, without its newline.
    ///
    /// ```
    /// use standins::protocol::{Request, RequestId};
    /// let request = Request::Fetch { id: RequestId(7), bytes: 100 };
    /// assert_eq!(Request::parse(&request.to_string()), Ok(request));
    /// ```
    pub fn parse(line: &str) -> Result<Self, Malformed> {
        let mut words = line.split(' ');
        let verb = words.next().ok_or(Malformed)?;
        let id = RequestId(parse_number(words.next())?);
        let request = match verb {
            "CONFIRM" => Self::Confirm(id),
            "FETCH" => Self::Fetch { id, bytes: parse_number(words.next())? },
            "FEED" => Self::Feed { id, interval_ms: parse_number(words.next())? },
            "END" => Self::End(id),
            _ => return Err(Malformed),
        };
        if words.next().is_some() {
            return Err(Malformed);
        }
        Ok(request)
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Confirm(id) => write!(f, "CONFIRM {}", id.0),
            Self::Fetch { id, bytes } => write!(f, "FETCH {} {bytes}", id.0),
            Self::Feed { id, interval_ms } => write!(f, "FEED {} {interval_ms}", id.0),
            Self::End(id) => write!(f, "END {}", id.0),
        }
    }
}

fn parse_number<T: std::str::FromStr>(word: Option<&str>) -> Result<T, Malformed> {
    word.and_then(|word| word.parse().ok()).ok_or(Malformed)
}
