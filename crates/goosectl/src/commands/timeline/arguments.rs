//! Command line of `goosectl timeline`.

use std::path::PathBuf;

use lexopt::ValueExt as _;
use lexopt::prelude::{Long, Short};

use super::merge::Filter;
use crate::exit::Failure;
use crate::fleet::{Options, parse_flow};

/// Which events to read, from where, and how to print them.
#[derive(Debug, Default)]
pub(super) struct Arguments {
    pub(super) options: Options,
    pub(super) filter: Filter,
    pub(super) last_ms: Option<u64>,
    pub(super) html: Option<PathBuf>,
    pub(super) from: Option<PathBuf>,
}

impl Arguments {
    /// Whether to query instances. With `--from` only if the command line selects some.
    pub(super) fn queries_instances(&self) -> bool {
        let options = &self.options;
        let named = options.platform.is_some()
            || options.settings.is_some()
            || !options.instances.is_empty();
        named || self.from.is_none()
    }
}

/// Parses the rest of the command line; `None` if `--help` is given.
pub(super) fn parse(parser: &mut lexopt::Parser) -> Result<Option<Arguments>, Failure> {
    let mut arguments = Arguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(None),
            Long("flow") => {
                let flow = parse_flow(&parser.value()?.string()?)?;
                arguments.filter.flow = Some(format!("{:016x}", flow.0));
            }
            Long("account") => arguments.filter.account = Some(parser.value()?.string()?),
            Long("kind") => arguments.filter.kinds.push(parser.value()?.string()?),
            Long("last") => {
                arguments.last_ms = Some(parser.value()?.parse::<u64>()?.saturating_mul(1_000))
            }
            Long("html") => arguments.html = Some(parser.value()?.into()),
            Long("from") => arguments.from = Some(parser.value()?.into()),
            Long(name) => {
                let name = name.to_owned();
                arguments.options.parse_option(&name, parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(arguments))
}
