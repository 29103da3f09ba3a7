//! Small `Copy` keys and identifiers.
//!
//! An *id* is stable across processes and restarts and may travel on the wire; a *key* indexes a
//! table of one [`View`](crate::view::View) in one process and never leaves it.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);
    };
}

id!(
    /// Identifies a client account in every process: a hash of its name.
    AccountId
);
id!(
    /// Identifies a service in every process: a hash of its account and its name.
    ServiceId
);
id!(
    /// Identifies an upstream, and thereby the agent beside it: a hash of service and name.
    UpstreamId
);
id!(
    /// Identifies a flow within its service: a keyed hash of protocol, addresses and ports.
    FlowId
);
id!(
    /// Version of one account's settings; never decreases.
    Version
);
id!(
    /// Distinguishes successive runs of one process; a later run has the larger number.
    Incarnation
);

/// Index of an account in its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountKey(pub u32);

/// Index of a service in its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(pub u32);

/// Index of an upstream in its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamKey(pub u32);

/// One of the [`BUCKET_COUNT`](crate::rank::BUCKET_COUNT) buckets into which the flows of a service
/// are hashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BucketIndex(pub u16);

impl AccountId {
    /// Derives the id of the account called `name`.
    ///
    /// ```
    /// use decision::keys::AccountId;
    /// assert_ne!(AccountId::of("cascadia"), AccountId::of("bajio"));
    /// ```
    pub fn of(name: &str) -> Self {
        Self(hash_names(&[name]))
    }
}

impl ServiceId {
    /// Derives the id of a service from the names of account and service.
    ///
    /// ```
    /// use decision::keys::ServiceId;
    /// assert_eq!(ServiceId::of("cascadia", "shelf"), ServiceId::of("cascadia", "shelf"));
    /// ```
    pub fn of(account: &str, service: &str) -> Self {
        Self(hash_names(&[account, service]))
    }
}

impl UpstreamId {
    /// Derives the id of an upstream from the names of account, service and upstream.
    ///
    /// ```
    /// use decision::keys::UpstreamId;
    /// assert_ne!(
    ///     UpstreamId::of("cascadia", "shelf", "shelf-1"),
    ///     UpstreamId::of("cascadia", "shelf", "shelf-2"),
    /// );
    /// ```
    pub fn of(account: &str, service: &str, upstream: &str) -> Self {
        Self(hash_names(&[account, service, upstream]))
    }
}

/// Hashes each name together with its length, so that `["ab", "c"]` and `["a", "bc"]` differ.
fn hash_names(names: &[&str]) -> u64 {
    let mut hasher = SipHasher13::new();
    for name in names {
        hasher.write_u64(name.len() as u64);
        hasher.write(name.as_bytes());
    }
    hasher.finish()
}
