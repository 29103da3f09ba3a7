//! The fabric: sprays every packet at random over the balancers that it believes in, delays it by
//! zones, and loses, duplicates and reorders on request. Returns go to the caller that owns the
//! inner destination.

mod plan;
mod queue;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

pub use plan::{Balancer, Delay, Faults, Plan, Pool, Zone};
pub use queue::{DelayQueue, Outbound, Port};

/// Source and destination of an inner packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Addresses {
    source: IpAddr,
    destination: IpAddr,
}

/// Counters, body of `GET /admin/stats`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Packets of callers that were handed to a balancer.
    pub packets_sprayed: u64,
    /// Packets handed back to a caller.
    pub packets_returned: u64,
    /// Packets lost on request.
    pub packets_lost: u64,
    /// Extra copies made on request.
    pub packets_duplicated: u64,
    /// Packets held back on request.
    pub packets_reordered: u64,
    /// Packets to an address without a pool or a pool without balancers.
    pub packets_without_balancer: u64,
    /// Packets to an inner address that no caller has used.
    pub packets_without_caller: u64,
    /// Datagrams that are no plain GUE with an IP packet.
    pub packets_malformed: u64,
}

/// The fabric. Datagrams and time go in, datagrams with a due time come out.
pub struct Fabric {
    random: Pcg64,
    plan: Plan,
    /// Where each caller's inner address was last seen, sorted by address.
    callers: Vec<(IpAddr, SocketAddr)>,
    queue: DelayQueue,
    stats: Stats,
}

impl Fabric {
    /// A fabric that believes in no balancer yet.
    ///
    /// ```
    /// assert_eq!(standins::fabric::Fabric::new(1).stats().packets_sprayed, 0);
    /// ```
    pub fn new(seed: u64) -> Self {
        Self {
            random: Pcg64::seed_from_u64(seed),
            plan: Plan::default(),
            callers: Vec::new(),
            queue: DelayQueue::default(),
            stats: Stats::default(),
        }
    }

    /// Changes what the fabric believes. A balancer that is left out gets packets for
    /// `remove_lag_ms` more.
    pub fn set_plan(&mut self, now_us: u64, plan: Plan) {
        self.plan.replace(now_us, plan);
    }

    /// Counters.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Takes in a datagram of the caller at `from`.
    pub fn receive_from_caller(&mut self, now_us: u64, from: SocketAddr, datagram: &[u8]) {
        let Some(addresses) = inner_addresses(datagram) else {
            self.stats.packets_malformed += 1;
            return;
        };
        self.record_caller(addresses.source, from);
        let balancer = self.plan.choose(now_us, addresses.destination, &mut self.random);
        let Some(balancer) = balancer else {
            self.stats.packets_without_balancer += 1;
            return;
        };
        let delay_us = self.plan.delay_us(addresses.source, balancer.address.ip());
        self.stats.packets_sprayed += 1;
        self.dispatch(now_us, delay_us, Port::Ingress, balancer.address, datagram);
    }

    /// Takes in a datagram of an upstream or agent at `from`.
    pub fn receive_from_upstream(&mut self, now_us: u64, from: SocketAddr, datagram: &[u8]) {
        let Some(addresses) = inner_addresses(datagram) else {
            self.stats.packets_malformed += 1;
            return;
        };
        let caller = self.callers.binary_search_by(|(known, _)| known.cmp(&addresses.destination));
        let Ok(position) = caller else {
            self.stats.packets_without_caller += 1;
            return;
        };
        let to = self.callers[position].1;
        let delay_us = self.plan.delay_us(addresses.destination, from.ip());
        self.stats.packets_returned += 1;
        self.dispatch(now_us, delay_us, Port::Gateway, to, datagram);
    }

    /// The next datagram that is due, if there is one.
    pub fn pop_due(&mut self, now_us: u64) -> Option<Outbound> {
        self.queue.pop_due(now_us)
    }

    /// When the next datagram is due.
    pub fn due_us(&self) -> Option<u64> {
        self.queue.due_us()
    }

    fn dispatch(&mut self, now_us: u64, delay_us: u64, port: Port, to: SocketAddr, bytes: &[u8]) {
        let faults = self.plan.faults;
        if self.happens(faults.loss_ppm) {
            self.stats.packets_lost += 1;
            return;
        }
        let payload: Arc<[u8]> = Arc::from(bytes);
        let mut due_us = now_us + delay_us;
        if self.happens(faults.duplicate_ppm) {
            self.stats.packets_duplicated += 1;
            let copy_due_us = due_us + self.random.random_range(0..=faults.reorder_us);
            self.queue.push(copy_due_us, Outbound { port, to, payload: Arc::clone(&payload) });
        }
        if self.happens(faults.reorder_ppm) {
            self.stats.packets_reordered += 1;
            due_us += self.random.random_range(0..=faults.reorder_us);
        }
        self.queue.push(due_us, Outbound { port, to, payload });
    }

    fn happens(&mut self, ppm: u32) -> bool {
        ppm > 0 && self.random.random_range(0..1_000_000) < ppm
    }

    fn record_caller(&mut self, address: IpAddr, caller: SocketAddr) {
        match self.callers.binary_search_by(|(known, _)| known.cmp(&address)) {
            Ok(position) => self.callers[position].1 = caller,
            Err(position) => self.callers.insert(position, (address, caller)),
        }
    }
}

fn inner_addresses(datagram: &[u8]) -> Option<Addresses> {
    let frame = wire::gue::parse(datagram).ok()?;
    let packet = frame.payload;
    match frame.content {
        wire::gue::Content::Ipv4 => {
            let source: [u8; 4] = packet.get(12..16)?.try_into().ok()?;
            let destination: [u8; 4] = packet.get(16..20)?.try_into().ok()?;
            Some(Addresses { source: source.into(), destination: destination.into() })
        }
        wire::gue::Content::Ipv6 => {
            let source: [u8; 16] = packet.get(8..24)?.try_into().ok()?;
            let destination: [u8; 16] = packet.get(24..40)?.try_into().ok()?;
            Some(Addresses { source: source.into(), destination: destination.into() })
        }
        wire::gue::Content::Control(_) => None,
    }
}
