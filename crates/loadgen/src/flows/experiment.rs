//! Experiment files.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::Path;

use anyhow::{Context as _, ensure};
use decision::keys::AccountId;
use serde::Deserialize;
use wire::sealed::{AccountKeyring, KeyId};

use crate::traffic::{Frames, Opening, balancer_frames, check_loopback, sealed_frames};

/// Highest rate in packets/s; above it the sender itself is the bottleneck.
const RATE_MAX: u64 = 1_000_000;
/// Longest duration of one run, warm-up included.
const DURATION_MS_MAX: u64 = 10_000;
/// Largest number of flows; it takes the source ports of four client addresses.
const FLOWS_MAX: usize = 200_000;
/// Longest total duration of all runs.
const TOTAL_MS_MAX: u64 = 120_000;

/// An experiment, as described by a file under `experiments/`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name shown in results and plots.
    pub name: String,
    /// Address of the process under load.
    pub to: SocketAddr,
    /// Addresses to which that process sends the packets; the load tool listens on them.
    pub receivers: Vec<SocketAddr>,
    /// Kind of packets to send.
    pub source: Source,
    /// Number of flows; packets are sent on them round-robin.
    pub flows: usize,
    /// Rates in packets/s, measured one after the other.
    pub rates: Vec<u64>,
    /// Runs at each rate; the median of the runs is reported.
    pub runs: u64,
    /// Time at the start of a run whose packets are not counted.
    pub warm_up_ms: u64,
    /// Time after the warm-up whose packets are counted.
    pub duration_ms: u64,
}

/// Kind of packets that an experiment sends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Source {
    /// Packets as the network fabric sends them to a balancer; a relay accepts them too.
    Fabric {
        /// Addresses of services.
        services: Vec<SocketAddrV4>,
    },
    /// Packets as a balancer sends them to an agent, sealed with the keys of `cargo xtask bench`.
    Sealed {
        /// Name of the client account.
        account: String,
        /// Name of the service.
        service: String,
        /// Address of the service.
        address: SocketAddrV4,
        /// Value of every byte of the master key.
        master_byte: u8,
        /// Value of every byte of the flow key.
        flow_key_byte: u8,
    },
}

impl Experiment {
    /// Reads and validates an experiment file.
    ///
    /// Errors: the file cannot be read or parsed, an address is not on loopback, or a value exceeds
    /// the limits for load.
    ///
    /// ```
    /// use loadgen::flows::Experiment;
    /// assert!(Experiment::read("/nonexistent".as_ref()).is_err());
    /// ```
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let path_text = path.display().to_string();
        let text = std::fs::read_to_string(path).with_context(|| path_text.clone())?;
        Self::parse(&text).context(path_text)
    }

    /// Parses and validates the text of an experiment file.
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

    /// Builds the datagrams to send.
    pub(crate) fn frames(&self) -> anyhow::Result<Frames> {
        match &self.source {
            Source::Fabric { services } => balancer_frames(services, self.flows, Opening::No),
            Source::Sealed { account, service, address, master_byte, flow_key_byte } => {
                let masters = [(KeyId(1), [*master_byte; 32])];
                let keyring = AccountKeyring::derive(&masters, AccountId::of(account));
                let keyring =
                    keyring.context("cannot derive the keyring of the account: no master key")?;
                let service_address_and_key = (*address, &[*flow_key_byte; 16]);
                sealed_frames(
                    &keyring,
                    (account, service),
                    service_address_and_key,
                    self.flows,
                    Opening::No,
                )
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
