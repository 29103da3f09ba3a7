//! The measured processes: the relay, a balancer and an agent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context as _, ensure};
use loadgen::traffic::Frames;
use shell::http::client::Client;

use super::process::Process;

/// Time within which a daemon must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Kind of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Bare relay.
    Relay,
    /// Balancer.
    Balancer,
    /// Agent.
    Agent,
}

/// A process under load.
pub(super) struct Subject {
    pub(super) kind: Kind,
    pub(super) process: Process,
    pub(super) data: SocketAddr,
    /// HTTP endpoint; the relay's address is not used.
    pub(super) control: SocketAddr,
    pub(super) frames: Frames,
}

/// Counters of a subject at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reading {
    /// Packets moved since the start.
    pub(super) packets: u64,
    /// CPU time of the thread that moves them.
    pub(super) cpu_time: Duration,
}

impl Kind {
    /// Name in results and messages.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Relay => "relay",
            Self::Balancer => "balancer",
            Self::Agent => "agent",
        }
    }

    /// Name of the thread that moves packets.
    fn packet_thread(self) -> &'static str {
        match self {
            Self::Relay => "relay",
            Self::Balancer => "receive-0",
            Self::Agent => "data",
        }
    }

    /// Status counter of moved packets; the relay has no status.
    fn packet_counter(self) -> &'static str {
        match self {
            Self::Relay => "",
            Self::Balancer => "packets_forwarded_total",
            Self::Agent => "packets_delivered",
        }
    }
}

impl Subject {
    pub(super) fn kind(&self) -> Kind {
        self.kind
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.data
    }

    pub(super) fn frames(&self) -> &Frames {
        &self.frames
    }

    /// Reads the current counters. The CPU time is read first for all kinds, so that the readings
    /// are comparable.
    pub(super) fn reading(&self) -> anyhow::Result<Reading> {
        let cpu_time = self.process.cpu_time(Some(self.kind.packet_thread()))?;
        let packets = match self.kind {
            Kind::Relay => self.process.query()?.parse()?,
            Kind::Balancer | Kind::Agent => self.counter(self.kind.packet_counter())?,
        };
        Ok(Reading { packets, cpu_time })
    }

    /// Reads a counter from the daemon's status.
    pub(super) fn counter(&self, name: &str) -> anyhow::Result<u64> {
        let status = self.status()?;
        status["counters"][name].as_u64().with_context(|| format!("no counter {name}"))
    }

    /// Waits until the daemon is ready and its status satisfies `condition`.
    pub(super) fn wait_until_ready(
        &self,
        condition: impl Fn(&serde_json::Value) -> bool,
    ) -> anyhow::Result<()> {
        let start = Instant::now();
        loop {
            match self.status() {
                Ok(status) if status["ready"] == true && condition(&status) => return Ok(()),
                answer => {
                    let name = self.kind.name();
                    ensure!(
                        start.elapsed() < READY_TIMEOUT,
                        "{name} did not become ready: {answer:?}"
                    );
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn status(&self) -> anyhow::Result<serde_json::Value> {
        let body = Client::new(Duration::from_secs(2)).get(self.control, "/status")?;
        Ok(serde_json::from_slice(&body)?)
    }
}
