//! What balancers remember of outdated memberships for the agents of a service.
//!
//! If all agents of a service restart, none of them knows which earlier memberships are outdated.
//! Agents therefore report these to balancers and ask them after a restart. A balancer decides
//! nothing by them. What it has forgotten costs the agents time only.

#[cfg(test)]
mod tests;

use crate::keys::{ServiceId, Version};
use crate::message::{Outdated, OutdatedReport};
use crate::time::Millis;

/// Memberships remembered for each service. Settings rarely list entries of more than a few.
pub const PER_SERVICE: usize = 16;

/// Outdated memberships of all services, each under its own service.
#[derive(Clone, Debug, Default)]
pub struct OutdatedTable {
    /// Sorted by service and version.
    entries: Vec<Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    service: ServiceId,
    from: Version,
    next: Version,
    members: u64,
    /// When all claims that were granted under it will have expired.
    until: Millis,
}

impl Entry {
    fn key(&self) -> (ServiceId, Version, Version, u64) {
        (self.service, self.from, self.next, self.members)
    }
}

impl OutdatedTable {
    /// Remembers a report. Of two reports on one membership the earlier end counts.
    ///
    /// ```
    /// use decision::keys::{ServiceId, Version};
    /// use decision::message::{Outdated, OutdatedReport};
    /// use decision::outdated::OutdatedTable;
    /// use decision::time::Millis;
    ///
    /// let mut table = OutdatedTable::default();
    /// let outdated = Outdated { from: Version(1), next: Version(2), expires_in_ms: 500 };
    /// table.learn(Millis(0), ServiceId(7), OutdatedReport { outdated, members: 9 });
    /// let known = table.of_service(Millis(200), ServiceId(7));
    /// assert_eq!(known[0].outdated.expires_in_ms, 300);
    /// ```
    pub fn learn(&mut self, now: Millis, service: ServiceId, report: OutdatedReport) {
        let OutdatedReport { outdated: Outdated { from, next, expires_in_ms }, members } = report;
        let until = now.after(expires_in_ms.into());
        let entry = Entry { service, from, next, members, until };
        match self.entries.binary_search_by_key(&entry.key(), Entry::key) {
            Ok(index) => {
                let known = &mut self.entries[index];
                known.until = known.until.min(until);
            }
            Err(index) => {
                self.entries.insert(index, entry);
                self.forget_oldest(service);
            }
        }
    }

    /// What is known of a service.
    pub fn of_service(&self, now: Millis, service: ServiceId) -> Vec<OutdatedReport> {
        let report = |entry: &Entry| {
            let expires_in_ms = entry.until.since(now) as u32;
            let outdated = Outdated { from: entry.from, next: entry.next, expires_in_ms };
            OutdatedReport { outdated, members: entry.members }
        };
        self.entries[self.range(service)].iter().map(report).collect()
    }

    /// Forgets the services that are not listed any more.
    pub fn retain_services(&mut self, is_listed: impl Fn(ServiceId) -> bool) {
        self.entries.retain(|entry| is_listed(entry.service));
    }

    fn forget_oldest(&mut self, service: ServiceId) {
        let range = self.range(service);
        if range.len() > PER_SERVICE {
            self.entries.remove(range.start);
        }
    }

    fn range(&self, service: ServiceId) -> std::ops::Range<usize> {
        let start = self.entries.partition_point(|entry| entry.service < service);
        let end = self.entries.partition_point(|entry| entry.service <= service);
        start..end
    }
}
