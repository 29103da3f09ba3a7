//! The instances that a command asks: which ones there are, and how they are asked.
//!
//! Every request is a GET. Nothing here changes the state of a daemon or of the platform.

mod answers;
mod ask;
mod discover;
mod options;
mod published;

use std::net::SocketAddr;

use shell::http::client::Client;
use shell::settings_sync::instances::{Kind, State};

pub(crate) use answers::{AgentExplained, BalancerExplained, Event, Flow, Flows, Status, Zones};
pub(crate) use ask::{Answer, RequestError};
pub(crate) use options::{Options, parse_flow, read_flow_key};

/// Lines of `--help` that all asking commands share.
pub(crate) const OPTIONS_HELP: &str = "\
  --platform ADDR    ask the platform there for the list of instances, e.g. 127.1.0.1:8000
                     (default: the environment variable GOOSECTL_PLATFORM)
  --settings FILE    balancer.yaml or agent.yaml: take the platform's address from there; if the
                     platform does not answer, ask the balancers that the file names
  --instance ADDR    ask the instance with this control address; may be repeated, and alone
                     suffices where the platform is down
  --timeout-ms N     longest wait for one answer (default 2000)
  --json             one JSON document instead of tables
";

/// The instances that are asked.
pub(crate) struct Fleet {
    pub(crate) targets: Vec<Target>,
    /// What the reader must know about the list.
    pub(crate) notes: Vec<String>,
    /// Where the platform answers, if it is known.
    pub(crate) platform: Option<SocketAddr>,
    pub(crate) client: Client,
}

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Target {
    /// Its name, or its control address where only that is known.
    pub(crate) name: String,
    pub(crate) control: SocketAddr,
    /// What the platform's list says about it.
    pub(crate) listed: Option<ListEntry>,
}

/// An entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ListEntry {
    pub(crate) kind: Kind,
    pub(crate) state: State,
    pub(crate) zone: String,
    pub(crate) data: SocketAddr,
    /// Of an agent.
    pub(crate) served_upstream: Option<ServedUpstream>,
}

/// What an agent serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServedUpstream {
    pub(crate) account: String,
    pub(crate) service: String,
    pub(crate) upstream: String,
}

impl Target {
    pub(crate) fn kind(&self) -> Option<Kind> {
        self.listed.as_ref().map(|listed| listed.kind)
    }

    pub(crate) fn served_upstream(&self) -> Option<&ServedUpstream> {
        self.listed.as_ref().and_then(|listed| listed.served_upstream.as_ref())
    }

    pub(crate) fn zone(&self) -> &str {
        self.listed.as_ref().map_or("-", |listed| &listed.zone)
    }

    /// What the platform's list says about its life.
    pub(crate) fn state(&self) -> &'static str {
        match self.listed.as_ref().map(|listed| listed.state) {
            None => "-",
            Some(State::Live) => "live",
            Some(State::Leaving) => "leaving",
        }
    }
}
