//! Answers, and a reader that extracts them from a byte stream split at arbitrary places.

use std::fmt;
use std::sync::Arc;

use super::{Body, Malformed, RequestId, Responder, line_checksum, parse_number};

/// Longest line of the protocol; a longer one is malformed.
const LINE_BYTES_MAX: usize = 256;

/// Answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The confirmation was run.
    Confirmed(RequestId, Responder),
    /// Header line of a body. From [`AnswerReader`] it means that the body is complete, too.
    Body {
        /// Request.
        id: RequestId,
        /// Service and upstream that answer.
        responder: Responder,
        /// Length of the body.
        bytes: u32,
    },
    /// The feed starts.
    Feed(RequestId, Responder),
    /// One line of a feed.
    Line {
        /// Request.
        id: RequestId,
        /// Number of the line, from zero.
        number: u64,
        /// Checksum, see [`line_checksum`].
        checksum: u64,
    },
    /// The feed ended after this many lines.
    Ended(RequestId, u64),
    /// The request was refused without running.
    Shed(RequestId),
}

impl Answer {
    /// Parses one line, without its newline.
    ///
    /// ```
    /// use standins::protocol::{Answer, RequestId};
    /// assert_eq!(Answer::parse("SHED 7"), Ok(Answer::Shed(RequestId(7))));
    /// ```
    pub fn parse(line: &str) -> Result<Self, Malformed> {
        let mut words = line.split(' ');
        let verb = words.next().ok_or(Malformed)?;
        let id = RequestId(parse_number(words.next())?);
        match verb {
            "OK" => Ok(Self::Confirmed(id, parse_responder(&mut words)?)),
            "FEED" => Ok(Self::Feed(id, parse_responder(&mut words)?)),
            "BODY" => {
                let responder = parse_responder(&mut words)?;
                Ok(Self::Body { id, responder, bytes: parse_number(words.next())? })
            }
            "LINE" => {
                let line = parse_number(words.next())?;
                Ok(Self::Line { id, number: line, checksum: parse_number(words.next())? })
            }
            "END" => Ok(Self::Ended(id, parse_number(words.next())?)),
            "SHED" => Ok(Self::Shed(id)),
            _ => Err(Malformed),
        }
    }

    /// True if the checksum of a feed line matches its number; always true for other answers.
    pub fn is_intact(&self) -> bool {
        match *self {
            Self::Line { id, number, checksum } => checksum == line_checksum(id, number),
            _ => true,
        }
    }
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Confirmed(id, responder) => {
                write!(f, "OK {} {} {}", id.0, responder.service, responder.upstream)
            }
            Self::Body { id, responder, bytes } => {
                write!(f, "BODY {} {} {} {bytes}", id.0, responder.service, responder.upstream)
            }
            Self::Feed(id, responder) => {
                write!(f, "FEED {} {} {}", id.0, responder.service, responder.upstream)
            }
            Self::Line { id, number, checksum } => write!(f, "LINE {} {number} {checksum}", id.0),
            Self::Ended(id, lines) => write!(f, "END {} {lines}", id.0),
            Self::Shed(id) => write!(f, "SHED {}", id.0),
        }
    }
}

/// Reads answers from a byte stream and checks every byte of a body.
///
/// ```
/// use standins::protocol::{Answer, AnswerReader, RequestId};
/// let mut reader = AnswerReader::default();
/// let mut answers = Vec::new();
/// reader.read(b"SHED 7\nSH", |answer| answers.push(answer)).unwrap();
/// assert_eq!(answers, [Answer::Shed(RequestId(7))]);
/// ```
#[derive(Debug, Default)]
pub struct AnswerReader {
    line: Vec<u8>,
    body: Option<PartialBody>,
}

#[derive(Debug)]
struct PartialBody {
    answer: Answer,
    expected: Body,
    remaining_bytes: u32,
}

impl AnswerReader {
    /// Reads `bytes` and passes each answer to `on_answer` once it is complete. Fails on the first
    /// wrong byte of a body and on a malformed line.
    pub fn read(
        &mut self,
        mut bytes: &[u8],
        mut on_answer: impl FnMut(Answer),
    ) -> Result<(), Malformed> {
        while let Some((&first, rest)) = bytes.split_first() {
            if self.body.is_some() {
                bytes = self.read_body(bytes, &mut on_answer)?;
                continue;
            }
            bytes = rest;
            if first == b'\n' {
                self.end_line(&mut on_answer)?;
            } else if self.line.len() < LINE_BYTES_MAX {
                self.line.push(first);
            } else {
                return Err(Malformed);
            }
        }
        Ok(())
    }

    /// True if no answer is partially read.
    pub fn is_between_answers(&self) -> bool {
        self.body.is_none() && self.line.is_empty()
    }

    fn end_line(&mut self, on_answer: &mut impl FnMut(Answer)) -> Result<(), Malformed> {
        let line = std::mem::take(&mut self.line);
        let answer = Answer::parse(std::str::from_utf8(&line).map_err(|_| Malformed)?)?;
        match answer {
            Answer::Body { id, bytes, .. } if bytes > 0 => {
                self.body =
                    Some(PartialBody { answer, expected: Body::new(id), remaining_bytes: bytes });
            }
            whole => on_answer(whole),
        }
        Ok(())
    }

    /// Checks the bytes of the body that have arrived and returns the bytes after them.
    fn read_body<'a>(
        &mut self,
        bytes: &'a [u8],
        on_answer: &mut impl FnMut(Answer),
    ) -> Result<&'a [u8], Malformed> {
        let Some(mut body) = self.body.take() else { return Ok(bytes) };
        let (available, rest) = bytes.split_at(bytes.len().min(body.remaining_bytes as usize));
        if !available.iter().copied().eq(body.expected.by_ref().take(available.len())) {
            return Err(Malformed);
        }
        body.remaining_bytes -= available.len() as u32;
        match body.remaining_bytes {
            0 => on_answer(body.answer),
            _ => self.body = Some(body),
        }
        Ok(rest)
    }
}

fn parse_responder<'a>(words: &mut impl Iterator<Item = &'a str>) -> Result<Responder, Malformed> {
    let mut word = || words.next().map(Arc::from).ok_or(Malformed);
    Ok(Responder { service: word()?, upstream: word()? })
}
