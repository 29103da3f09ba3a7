//! Plan of the fabric: balancers by destination, availability zones, delays and faults.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use rand::RngExt as _;
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

/// Body of `PUT /admin/plan`. Replaces the previous plan as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Balancer pools by destination.
    pub pools: Vec<Pool>,
    /// Availability zones of callers, balancers, upstreams and agents, by their address.
    pub zones: Vec<Zone>,
    /// Delays between zones.
    pub delays: Vec<Delay>,
    /// One-way delay between zones whose pair is not listed, also within one zone.
    pub delay_us: u64,
    /// Faults to inject.
    pub faults: Faults,
    /// How long a balancer that this plan leaves out still gets packets.
    pub remove_lag_ms: u64,
}

/// The balancers that receive packets for a set of destination addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Destination addresses.
    pub addresses: Vec<IpAddr>,
    /// Balancers.
    pub balancers: Vec<Balancer>,
}

/// One balancer of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Balancer {
    /// Address on which it receives plain GUE.
    pub address: SocketAddr,
    /// Time from which it gets no more packets; set when a plan leaves it out.
    #[serde(skip)]
    pub leaves_at_us: Option<u64>,
}

/// The addresses of one availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name.
    pub name: Arc<str>,
    /// Addresses of machines, or inner addresses of callers.
    pub addresses: Vec<IpAddr>,
}

/// Delay between two zones, in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delay {
    /// The two zones, in either order.
    pub zones: [Arc<str>; 2],
    /// One-way delay.
    pub delay_us: u64,
}

/// Faults to inject, in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Share of packets lost, in millionths.
    pub loss_ppm: u32,
    /// Share of packets duplicated, in millionths.
    pub duplicate_ppm: u32,
    /// Share of packets delayed by a random time, so that later ones overtake them, in millionths.
    pub reorder_ppm: u32,
    /// Largest additional delay of a reordered packet or of a duplicate.
    pub reorder_us: u64,
}

impl Plan {
    /// Replaces the plan. Balancers that the new one leaves out stay until their removal lag ends;
    /// a lag that already runs is not restarted.
    pub(super) fn replace(&mut self, now_us: u64, mut new: Plan) {
        let leaves_at_us = now_us + new.remove_lag_ms * 1_000;
        for old in &self.pools {
            let Some(pool) = new.pools.iter_mut().find(|pool| pool.addresses == old.addresses)
            else {
                continue;
            };
            for balancer in &old.balancers {
                if pool.balancers.iter().any(|kept| kept.address == balancer.address) {
                    continue;
                }
                let leaves_at_us = balancer.leaves_at_us.unwrap_or(leaves_at_us);
                pool.balancers.push(Balancer { leaves_at_us: Some(leaves_at_us), ..*balancer });
            }
        }
        *self = new;
    }

    /// Picks a balancer at random, independently for each packet.
    pub(super) fn choose(
        &mut self,
        now_us: u64,
        destination: IpAddr,
        random: &mut Pcg64,
    ) -> Option<Balancer> {
        let pool = self.pools.iter_mut().find(|pool| pool.addresses.contains(&destination))?;
        pool.balancers.retain(|balancer| balancer.leaves_at_us.is_none_or(|at| at > now_us));
        if pool.balancers.is_empty() {
            return None;
        }
        Some(pool.balancers[random.random_range(0..pool.balancers.len())])
    }

    /// One-way delay between two addresses.
    pub(super) fn delay_us(&self, a: IpAddr, b: IpAddr) -> u64 {
        let (Some(a), Some(b)) = (self.zone(a), self.zone(b)) else { return self.delay_us };
        let is_pair = |delay: &&Delay| match &delay.zones {
            [x, y] => (**x == *a && **y == *b) || (**x == *b && **y == *a),
        };
        self.delays.iter().find(is_pair).map_or(self.delay_us, |delay| delay.delay_us)
    }

    fn zone(&self, address: IpAddr) -> Option<&str> {
        let zone = self.zones.iter().find(|zone| zone.addresses.contains(&address))?;
        Some(&zone.name)
    }
}
