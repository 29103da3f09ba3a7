//! Identities of services, availability zones and regions, derived from their names.
//!
//! Client accounts choose names and do not trust one another, so an identity must be wide enough
//! that nobody can search for two names that share it.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;

/// Identity of a service: 128 bits that stand for its name. An agent whose address previously
/// belonged to another service thus never delivers packets of that service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceStamp(pub u128);

impl ServiceStamp {
    /// The stamp of a service's name. Its low bits are the [`ShortStamp`] by which earlier releases
    /// identify the service. Zero stands for no service and is never returned.
    ///
    /// ```
    /// use steering::view::ServiceStamp;
    /// assert_ne!(ServiceStamp::of("shelf"), ServiceStamp::of("manifest"));
    /// ```
    pub fn of(name: &str) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        let short = (hasher.finish() as u32 & ShortStamp::MASK).max(1);
        Self(name_hash(name) & !u128::from(ShortStamp::MASK) | u128::from(short))
    }

    /// The part of the stamp that every packet has room for.
    ///
    /// ```
    /// use steering::view::ServiceStamp;
    /// assert_eq!(ServiceStamp(5 << 24 | 7).short(), ServiceStamp(6 << 24 | 7).short());
    /// ```
    pub fn short(self) -> ShortStamp {
        ShortStamp(self.0 as u32 & ShortStamp::MASK)
    }
}

/// The low three bytes of a service's stamp. Different short stamps are those of different services;
/// equal ones may be, too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShortStamp(pub u32);

impl ShortStamp {
    /// Bits of a short stamp.
    pub const BITS: u32 = 24;
    const MASK: u32 = (1 << Self::BITS) - 1;
}

/// The service that a packet from a balancer is addressed to, as far as the packet states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressedService {
    /// The service.
    Stated(ServiceStamp),
    /// A part of its stamp.
    Short {
        /// The part.
        stamp: ShortStamp,
        /// Whether the balancer states the service if it is asked to. Balancers of earlier releases
        /// know no more than the short stamp themselves.
        can_state: bool,
    },
}

impl AddressedService {
    /// Whether it is `service`; `None` if this cannot be told, and the balancer is to be asked.
    ///
    /// ```
    /// use steering::view::{AddressedService, ServiceStamp, ShortStamp};
    /// let (one, other) = (ServiceStamp(5 << 24 | 7), ServiceStamp(6 << 24 | 7));
    /// assert_eq!(AddressedService::Stated(one).is(other), Some(false));
    /// let short = AddressedService::Short { stamp: ShortStamp(7), can_state: true };
    /// assert_eq!(short.is(other), None);
    /// ```
    pub fn is(self, service: ServiceStamp) -> Option<bool> {
        match self {
            Self::Stated(stated) => Some(stated == service),
            Self::Short { stamp, .. } if stamp != service.short() => Some(false),
            Self::Short { can_state, .. } => (!can_state).then_some(true),
        }
    }
}

/// Identity of an availability zone; zero if unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneStamp(pub u128);

impl ZoneStamp {
    /// The stamp of an availability zone's name.
    ///
    /// ```
    /// use steering::view::ZoneStamp;
    /// assert_ne!(ZoneStamp::of("pnw-a"), ZoneStamp::of("pnw-b"));
    /// ```
    pub fn of(name: &str) -> Self {
        Self(name_hash(name).max(1))
    }
}

/// Identity of a region: a group of availability zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionStamp(pub u128);

impl RegionStamp {
    /// The stamp of a region's name.
    ///
    /// ```
    /// use steering::view::RegionStamp;
    /// assert_ne!(RegionStamp::of("pnw"), RegionStamp::of("bajio"));
    /// ```
    pub fn of(name: &str) -> Self {
        Self(name_hash(name).max(1))
    }
}

fn name_hash(name: &str) -> u128 {
    let mut low = [0; size_of::<u128>()];
    low.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..size_of::<u128>()]);
    u128::from_le_bytes(low)
}
