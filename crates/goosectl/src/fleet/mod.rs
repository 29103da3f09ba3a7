//! Discovery of the instances, and the requests that commands send to them.
//!
//! Every request is a GET and changes no state, neither of a daemon nor of the platform.

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

/// Lines of `--help` shared by all commands that query instances.
pub(crate) const OPTIONS_HELP: &str = "\
  --platform ADDR    read the list of instances from the platform at ADDR, e.g. 127.1.0.1:8000
                     (default: the environment variable GOOSECTL_PLATFORM)
  --settings FILE    balancer.yaml or agent.yaml with the platform's address; if the platform does
                     not answer, query the balancers that the file names
  --instance ADDR    query the instance with this control address; may be repeated, and works
                     without the platform
  --timeout-ms N     timeout of each request in milliseconds (default 2000)
  --json             print one JSON document instead of tables
";

/// The instances that a command queries.
pub(crate) struct Fleet {
    pub(crate) targets: Vec<Target>,
    /// Remarks for the operator, such as that the platform's list could not be read.
    pub(crate) notes: Vec<String>,
    /// Address of the platform, if known.
    pub(crate) platform: Option<SocketAddr>,
    pub(crate) client: Client,
}

/// An instance that requests are sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Target {
    /// Name of the instance, or its control address if only that is known.
    pub(crate) name: String,
    pub(crate) control: SocketAddr,
    /// Its entry in the platform's list, if it has one.
    pub(crate) listed: Option<ListEntry>,
}

/// An entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ListEntry {
    pub(crate) kind: Kind,
    pub(crate) state: State,
    pub(crate) zone: String,
    pub(crate) data: SocketAddr,
    /// Set for agents only.
    pub(crate) served_upstream: Option<ServedUpstream>,
}

/// The upstream that an agent serves.
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

    /// State according to the platform's list; `-` if the instance is not on it.
    pub(crate) fn state(&self) -> &'static str {
        match self.listed.as_ref().map(|listed| listed.state) {
            None => "-",
            Some(State::Live) => "live",
            Some(State::Leaving) => "leaving",
        }
    }
}
