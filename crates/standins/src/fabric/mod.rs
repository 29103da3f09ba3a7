//! The network fabric: sprays every packet at random over the balancers of its plan, delays it by
//! the availability zones involved, and loses, duplicates and reorders packets on request. Returned
//! packets go to the caller that owns the inner destination address.

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
    /// Packets of callers that were forwarded to a balancer.
    pub packets_sprayed: u64,
    /// Packets returned to a caller.
    pub packets_returned: u64,
    /// Packets lost on request.
    pub packets_lost: u64,
    /// Packets duplicated on request.
    pub packets_duplicated: u64,
    /// Packets delayed on request.
    pub packets_reordered: u64,
    /// Packets whose destination has no pool, or a pool without balancers.
    pub packets_without_balancer: u64,
    /// Packets to an inner address from which no caller has sent.
    pub packets_without_caller: u64,
    /// Datagrams that are not an IP packet in plain GUE.
    pub packets_malformed: u64,
}

/// The fabric. It does no I/O: datagrams and the time are passed in, and each datagram to send is
/// returned once it is due.
pub struct Fabric {
    random: Pcg64,
    plan: Plan,
    /// Where each caller's inner address was last seen, sorted by address.
    callers: Vec<(IpAddr, SocketAddr)>,
    queue: DelayQueue,
    stats: Stats,
}

impl Fabric {
    /// Creates a fabric with an empty plan.
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

    /// Replaces the plan. A balancer that the new plan leaves out gets packets for another
    /// `remove_lag_ms`.
    pub fn set_plan(&mut self, now_us: u64, plan: Plan) {
        self.plan.replace(now_us, plan);
    }

    /// Counters.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Handles a datagram from the caller at `from`.
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

    /// Handles a datagram from an upstream or agent at `from`.
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

    /// Removes and returns the next datagram if it is due.
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
