//! What the fabric believes: balancers by destination, zones, delays and faults.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use rand::RngExt as _;
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

/// Body of `PUT /admin/plan`. Replaces all that the fabric believed before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Balancers by destination.
    pub pools: Vec<Pool>,
    /// Zones of callers, balancers, upstreams and agents by their address.
    pub zones: Vec<Zone>,
    /// Delays between zones.
    pub delays: Vec<Delay>,
    /// Delay between zones that are not listed, and within one.
    pub delay_us: u64,
    /// What goes wrong.
    pub faults: Faults,
    /// A balancer that is left out of a new plan gets packets for this much longer.
    pub remove_lag_ms: u64,
}

/// The balancers that take packets to some addresses.
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
    /// Where it takes plain GUE.
    pub address: SocketAddr,
    /// Gets no packets from this moment, set once it was left out of a plan.
    #[serde(skip)]
    pub leaves_at_us: Option<u64>,
}

/// A set of addresses that lie in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name.
    pub name: Arc<str>,
    /// Addresses of machines, or inner addresses of callers.
    pub addresses: Vec<IpAddr>,
}

/// One way between two zones; either order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delay {
    /// The two zones.
    pub zones: [Arc<str>; 2],
    /// One way.
    pub delay_us: u64,
}

/// What goes wrong, in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Packets that vanish, in millionths.
    pub loss_ppm: u32,
    /// Packets that arrive twice, in millionths.
    pub duplicate_ppm: u32,
    /// Packets that arrive late, in millionths.
    pub reorder_ppm: u32,
    /// How late at most.
    pub reorder_us: u64,
}

impl Plan {
    /// Takes over a new plan; balancers that it leaves out leave after their lag.
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

    /// One balancer by chance, for each packet anew.
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

    /// Delay between two machines.
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
