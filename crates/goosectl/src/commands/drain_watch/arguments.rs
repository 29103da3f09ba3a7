//! Command line of `goosectl drain-watch`.

use std::time::Duration;

use lexopt::ValueExt as _;
use lexopt::prelude::{Long, Short, Value};

use crate::exit::Failure;
use crate::fleet::Options;

const INTERVAL_MS: u64 = 500;

/// Once a drain has begun, openings stop reaching the upstream within less than this time.
const QUIET_MS: u64 = 3_000;

/// What to watch, and for how long.
#[derive(Debug)]
pub(super) struct Arguments {
    pub(super) options: Options,
    pub(super) upstream: String,
    pub(super) timeout: Option<Duration>,
    pub(super) ignore_closing: bool,
    pub(super) interval: Duration,
    quiet_ms: u64,
}

impl Arguments {
    /// Consecutive samples without an opening after which no more openings are expected.
    pub(super) fn quiet_samples(&self) -> u64 {
        self.quiet_ms.div_ceil(self.interval.as_millis() as u64)
    }
}

/// Parses the rest of the command line; `None` if `--help` is given.
pub(super) fn parse(parser: &mut lexopt::Parser) -> Result<Option<Arguments>, Failure> {
    let (mut options, mut upstream, mut timeout) = (Options::default(), None, None);
    let (mut interval_ms, mut quiet_ms, mut ignore_closing) = (INTERVAL_MS, QUIET_MS, false);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(None),
            Long("timeout-s") => timeout = Some(Duration::from_secs(parser.value()?.parse()?)),
            Long("ignore-closing") => ignore_closing = true,
            Long("interval-ms") => interval_ms = parser.value()?.parse()?,
            Long("quiet-ms") => quiet_ms = parser.value()?.parse()?,
            Long(name) => {
                let name = name.to_owned();
                options.parse_option(&name, parser)?;
            }
            Value(name) if upstream.is_none() => upstream = Some(name.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let upstream = upstream.ok_or_else(|| Failure::usage("drain-watch: no UPSTREAM given"))?;
    if interval_ms == 0 {
        return Err(Failure::usage("drain-watch: --interval-ms must not be zero"));
    }
    let interval = Duration::from_millis(interval_ms);
    Ok(Some(Arguments { options, upstream, timeout, ignore_closing, interval, quiet_ms }))
}
