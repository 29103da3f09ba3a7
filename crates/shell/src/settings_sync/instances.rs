//! The platform's list of instances. It lags behind the real state and serves as a hint only.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::Deserialize;

/// Kind of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A balancer.
    Balancer,
    /// An agent.
    Agent,
}

/// State of an instance as last reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Running.
    Live,
    /// Shutting down.
    Leaving,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Instance {
    /// Name.
    pub name: Arc<str>,
    /// Kind.
    pub kind: Kind,
    /// Account, for an agent.
    pub account: Option<Arc<str>>,
    /// Service, for an agent.
    pub service: Option<Arc<str>>,
    /// Upstream, for an agent.
    pub upstream: Option<Arc<str>>,
    /// Address on which it receives packets.
    pub data_address: SocketAddr,
    /// Address of its HTTP endpoint.
    pub control_address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Region.
    pub region: Arc<str>,
    /// State.
    pub state: State,
}

/// The response of `GET /v1/instances`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct InstanceList {
    /// All instances, in no particular order.
    pub instances: Vec<Instance>,
}

/// The latest list received, shared by the threads of a process.
#[derive(Debug, Default)]
pub struct Instances {
    list: Mutex<Arc<Vec<Instance>>>,
    generation: AtomicU64,
}

impl Instances {
    /// Returns the latest list, empty until the first one is received.
    ///
    /// ```
    /// assert!(shell::settings_sync::instances::Instances::default().list().is_empty());
    /// ```
    pub fn list(&self) -> Arc<Vec<Instance>> {
        self.lock().clone()
    }

    /// Returns a number that grows with each change of the list.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// Replaces the list. The generation grows only if the list differs.
    pub fn replace(&self, list: InstanceList) {
        let mut held = self.lock();
        if **held != list.instances {
            *held = Arc::new(list.instances);
            self.generation.fetch_add(1, Ordering::Release);
        }
    }

    /// Returns the control addresses of all instances of a kind.
    pub fn control_addresses(&self, kind: Kind) -> Vec<SocketAddr> {
        let list = self.list();
        list.iter().filter(|entry| entry.kind == kind).map(|entry| entry.control_address).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Arc<Vec<Instance>>> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
