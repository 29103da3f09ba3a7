//! Experiment files.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::Path;

use anyhow::{Context as _, ensure};
use decision::keys::AccountId;
use serde::Deserialize;
use wire::sealed::{AccountKeyring, KeyId};

use crate::traffic::{Frames, Opening, balancer_frames, check_loopback, sealed_frames};

/// Most packets a second: beyond this the sender itself is the limit.
const RATE_MAX: u64 = 1_000_000;
/// Longest run.
const DURATION_MS_MAX: u64 = 10_000;
/// Most flows: the ports of a few callers.
const FLOWS_MAX: usize = 200_000;
/// Longest sum of all runs.
const TOTAL_MS_MAX: u64 = 120_000;

/// A file under `experiments/`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name, in results and plots.
    pub name: String,
    /// Process under load.
    pub to: SocketAddr,
    /// Where its packets come out; the tool listens there.
    pub receivers: Vec<SocketAddr>,
    /// What is sent.
    pub source: Source,
    /// Flows over which packets are dealt out.
    pub flows: usize,
    /// Packets a second, one step after the other.
    pub rates: Vec<u64>,
    /// Runs at each rate; medians count.
    pub runs: u64,
    /// Time before packets count.
    pub warm_up_ms: u64,
    /// Time in which they do.
    pub duration_ms: u64,
}

/// What is sent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Source {
    /// As the fabric sends to a balancer, or anything to a relay.
    Fabric {
        /// Addresses of services.
        services: Vec<SocketAddrV4>,
    },
    /// As a balancer sends to an agent. The keys are those of `cargo xtask bench`.
    Sealed {
        /// Client account.
        account: String,
        /// Service.
        service: String,
        /// Address of the service.
        address: SocketAddrV4,
        /// Each byte of the master key.
        master_byte: u8,
        /// Each byte of the flow key.
        flow_key_byte: u8,
    },
}

impl Experiment {
    /// Reads and checks a file.
    ///
    /// Errors: unreadable, not an experiment, not on loopback, or beyond the bounds of a load.
    ///
    /// ```
    /// use loadgen::flows::Experiment;
    /// assert!(Experiment::read("/nonexistent".as_ref()).is_err());
    /// ```
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).with_context(|| shown.clone())?;
        Self::parse(&text).context(shown)
    }

    /// Parses and checks the text of a file.
    ///
    /// Errors: as for [`Experiment::read`].
    ///
    /// ```
    /// let yaml = "
    /// name: relay
    /// to: 127.90.0.2:6080
    /// receivers: ['127.64.0.0:6080']
    /// source: {fabric: {services: ['10.0.0.1:443']}}
    /// flows: 100
    /// rates: [1000]
    /// runs: 1
    /// warm_up_ms: 100
    /// duration_ms: 500
    /// ";
    /// assert_eq!(loadgen::flows::Experiment::parse(yaml).unwrap().rates, [1000]);
    /// assert!(loadgen::flows::Experiment::parse(&yaml.replace("127.90", "192.90")).is_err());
    /// ```
    pub fn parse(yaml: &str) -> anyhow::Result<Self> {
        let experiment: Self = serde_saphyr::from_str(yaml)?;
        experiment.check()?;
        Ok(experiment)
    }

    /// Makes the datagrams.
    pub(crate) fn frames(&self) -> anyhow::Result<Frames> {
        match &self.source {
            Source::Fabric { services } => balancer_frames(services, self.flows, Opening::No),
            Source::Sealed { account, service, address, master_byte, flow_key_byte } => {
                let masters = [(KeyId(1), [*master_byte; 32])];
                let keyring = AccountKeyring::derive(&masters, AccountId::of(account));
                let keyring = keyring.context("no key")?;
                let place = (*address, &[*flow_key_byte; 16]);
                sealed_frames(&keyring, (account, service), place, self.flows, Opening::No)
            }
        }
    }

    fn check(&self) -> anyhow::Result<()> {
        self.receivers.iter().chain([&self.to]).try_for_each(|it| check_loopback(*it))?;
        ensure!((1..=FLOWS_MAX).contains(&self.flows), "flows: 1 to {FLOWS_MAX}");
        let rates_fit = self.rates.iter().all(|rate| (1..=RATE_MAX).contains(rate));
        ensure!(rates_fit && !self.rates.is_empty(), "rates: 1 to {RATE_MAX}, at least one");
        let run_ms = self.warm_up_ms.saturating_add(self.duration_ms);
        ensure!(self.duration_ms > 0 && run_ms <= DURATION_MS_MAX, "at most {DURATION_MS_MAX} ms");
        let total_ms = run_ms.saturating_mul(self.runs).saturating_mul(self.rates.len() as u64);
        ensure!(self.runs > 0 && total_ms <= TOTAL_MS_MAX, "at most {TOTAL_MS_MAX} ms in all");
        Ok(())
    }
}
