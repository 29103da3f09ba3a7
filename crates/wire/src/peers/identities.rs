//! The identities of services, zones and regions that a message mentions, each stated once.

use steering::view::{RegionStamp, ServiceStamp, ZoneStamp};

/// The identities of a message that is being encoded.
#[derive(Debug, Default)]
pub(super) struct StatedIdentities {
    /// In the order of the message.
    stated: Vec<u128>,
    /// Identities and their positions in the message, sorted.
    positions: Vec<(u128, u32)>,
}

impl StatedIdentities {
    /// Position of an identity in the message, to which it is added if necessary.
    pub(super) fn position(&mut self, identity: u128) -> u32 {
        match self.positions.binary_search_by_key(&identity, |(known, _)| *known) {
            Ok(index) => self.positions[index].1,
            Err(index) => {
                let position = u32::try_from(self.stated.len()).unwrap_or(u32::MAX);
                self.stated.push(identity);
                self.positions.insert(index, (identity, position));
                position
            }
        }
    }

    /// The identities as the message contains them.
    pub(super) fn into_body(self) -> Vec<u128> {
        self.stated
    }
}

/// The identities of a received message. The functions return `None` for a position at which the
/// message states none.
#[derive(Debug)]
pub(super) struct ReceivedIdentities(pub(super) Vec<u128>);

impl ReceivedIdentities {
    pub(super) fn service(&self, position: u32) -> Option<ServiceStamp> {
        self.at(position).map(ServiceStamp)
    }

    pub(super) fn zone(&self, position: u32) -> Option<ZoneStamp> {
        self.at(position).map(ZoneStamp)
    }

    pub(super) fn region(&self, position: u32) -> Option<RegionStamp> {
        self.at(position).map(RegionStamp)
    }

    fn at(&self, position: u32) -> Option<u128> {
        self.0.get(usize::try_from(position).ok()?).copied()
    }
}
