//! Options shared by all commands that query instances.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use decision::keys::FlowId;
use lexopt::ValueExt as _;
use settings::codes;
use settings::process::{agent, balancer};

use crate::exit::{Exit, Failure};

const DEFAULT_TIMEOUT_MS: u64 = 2_000;

/// Which instances to query, and how to print the answers.
#[derive(Debug)]
pub(crate) struct Options {
    pub(crate) platform: Option<SocketAddr>,
    pub(crate) settings: Option<PathBuf>,
    pub(crate) instances: Vec<SocketAddr>,
    pub(crate) timeout: Duration,
    pub(crate) is_json: bool,
}

/// The part of a process's settings file that commands need.
pub(super) struct ProcessFile {
    pub(super) platform: SocketAddr,
    /// Control addresses of the listed peers and of the process itself.
    pub(super) control_addresses: Vec<SocketAddr>,
    flow_key: [u8; 16],
}

impl Default for Options {
    fn default() -> Self {
        let timeout = Duration::from_millis(DEFAULT_TIMEOUT_MS);
        Self { platform: None, settings: None, instances: Vec::new(), timeout, is_json: false }
    }
}

impl Options {
    /// Reads the value of the option `--name` from the command line and stores it.
    ///
    /// Errors: [`codes::USAGE`] if there is no such option.
    pub(crate) fn parse_option(
        &mut self,
        name: &str,
        parser: &mut lexopt::Parser,
    ) -> Result<(), Failure> {
        match name {
            "platform" => self.platform = Some(parser.value()?.parse()?),
            "settings" => self.settings = Some(parser.value()?.into()),
            "instance" => self.instances.push(parser.value()?.parse()?),
            "timeout-ms" => self.timeout = Duration::from_millis(parser.value()?.parse()?),
            "json" => self.is_json = true,
            _ => return Err(lexopt::Error::UnexpectedOption(format!("--{name}")).into()),
        }
        Ok(())
    }
}

/// Reads the key of the flow hash from a process's settings file.
pub(crate) fn read_flow_key(path: &Path) -> Result<[u8; 16], Failure> {
    read(path).map(|file| file.flow_key)
}

/// Reads the settings file of a balancer or an agent.
///
/// Errors: [`codes::FILE_UNREADABLE`] if the file cannot be read or is neither.
pub(super) fn read(path: &Path) -> Result<ProcessFile, Failure> {
    let unreadable = |error: &dyn std::fmt::Display| {
        Failure::new(codes::FILE_UNREADABLE, Exit::File, format!("{}: {error}", path.display()))
    };
    let yaml = std::fs::read_to_string(path).map_err(|error| unreadable(&error))?;
    if let Ok(agent) = agent::parse(&yaml) {
        let control_addresses = [agent.peers, vec![agent.control_address]].concat();
        return Ok(ProcessFile {
            platform: agent.platform_address,
            control_addresses,
            flow_key: agent.flow_key,
        });
    }
    let balancer = balancer::parse(&yaml).map_err(|fault| unreadable(&fault))?;
    let control_addresses = [balancer.peers, vec![balancer.control_address]].concat();
    Ok(ProcessFile {
        platform: balancer.platform_address,
        control_addresses,
        flow_key: balancer.flow_key,
    })
}

/// Parses a hexadecimal flow id.
///
/// Errors: [`codes::BAD_TUPLE`].
pub(crate) fn parse_flow(text: &str) -> Result<FlowId, Failure> {
    let bad = |_| {
        Failure::new(
            codes::BAD_TUPLE,
            Exit::Usage,
            format!("`{text}` is not a hexadecimal flow id"),
        )
    };
    u64::from_str_radix(text, 16).map(FlowId).map_err(bad)
}
