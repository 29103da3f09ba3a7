//! Agents that understand packets which state their service. Agents of earlier releases drop these.

use std::net::Ipv4Addr;

/// Maximum number of agents. When it is reached, all are learnt anew.
const AGENTS_MAX: usize = 65_536;

/// What is known of agents by their replies.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceReaders {
    /// Agents, and whether they understand such packets, sorted by address.
    agents: Vec<(Ipv4Addr, bool)>,
    /// Number of agents that understand such packets.
    readers: usize,
}

impl ServiceReaders {
    /// Records a reply of the agent at `address`. One of another release may have replaced it.
    pub(super) fn record_reply(&mut self, address: Ipv4Addr, reads_service: bool) {
        match self.find(address) {
            Ok(index) if self.agents[index].1 == reads_service => return,
            Ok(index) => self.agents[index].1 = reads_service,
            Err(_) if self.agents.len() >= AGENTS_MAX => {
                self.agents = vec![(address, reads_service)]
            }
            Err(index) => self.agents.insert(index, (address, reads_service)),
        }
        self.readers = self.agents.iter().filter(|(_, reads_service)| *reads_service).count();
    }

    /// Whether a packet to the agent at `address` states its service. An unknown agent is expected
    /// to understand it if all known ones do. If it does not, the packet is lost, and its replies to
    /// pings show why.
    pub(super) fn may_state_service(&self, address: Ipv4Addr) -> bool {
        match self.find(address) {
            Ok(index) => self.agents[index].1,
            Err(_) => self.readers > 0 && self.readers == self.agents.len(),
        }
    }

    fn find(&self, address: Ipv4Addr) -> Result<usize, usize> {
        self.agents.binary_search_by_key(&address, |(known, _)| *known)
    }
}
