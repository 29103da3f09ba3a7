//! Command line of `goosectl explain`.

use std::path::PathBuf;

use lexopt::ValueExt as _;
use lexopt::prelude::{Long, Short, Value};

use super::tuple::{self, Tuple};
use crate::exit::Failure;
use crate::fleet::{self, Options};

const KEY_BYTES: usize = 16;

/// The packet to explain, and where to read the settings.
#[derive(Debug)]
pub(super) struct Arguments {
    pub(super) options: Options,
    pub(super) tuple: Tuple,
    pub(super) flow_key: [u8; KEY_BYTES],
    pub(super) account: Option<String>,
    pub(super) subtree: Option<PathBuf>,
}

/// Parses the rest of the command line; `None` if `--help` is given.
pub(super) fn parse(parser: &mut lexopt::Parser) -> Result<Option<Arguments>, Failure> {
    let (mut options, mut words) = (Options::default(), Vec::new());
    let (mut key, mut account, mut subtree) = (None, None, None);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(None),
            Long("flow-key") => key = Some(parse_key(&parser.value()?.string()?)?),
            Long("account") => account = Some(parser.value()?.string()?),
            Long("subtree") => subtree = Some(PathBuf::from(parser.value()?)),
            Long(name) => {
                let name = name.to_owned();
                options.parse_option(&name, parser)?;
            }
            Value(word) => words.push(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let tuple = tuple::parse(&words.join(" "))?;
    if subtree.is_some() && account.is_none() {
        return Err(Failure::usage("explain: --subtree needs --account"));
    }
    let flow_key = match (key, &options.settings) {
        (Some(key), _) => key,
        (None, Some(file)) => fleet::read_flow_key(file)?,
        (None, None) => return Err(Failure::usage("explain: give --flow-key or --settings")),
    };
    Ok(Some(Arguments { options, tuple, flow_key, account, subtree }))
}

fn parse_key(hex: &str) -> Result<[u8; KEY_BYTES], Failure> {
    let bad = || Failure::usage("explain: --flow-key is not 32 hexadecimal digits");
    if hex.len() != 2 * KEY_BYTES || !hex.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return Err(bad());
    }
    u128::from_str_radix(hex, 16).map(u128::to_be_bytes).map_err(|_| bad())
}
