//! Address ranges in CIDR notation.

use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

/// A range of addresses that share their first bits.
///
/// ```
/// let prefix: settings::Prefix = "203.0.113.0/28".parse().unwrap();
/// assert!(prefix.contains("203.0.113.15".parse().unwrap()));
/// assert!(!prefix.contains("203.0.113.16".parse().unwrap()));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Prefix {
    address: IpAddr,
    length: u8,
}

/// Why a text is not a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PrefixError {
    /// The text is not of the form `ADDRESS/LENGTH`.
    #[error("expected ADDRESS/LENGTH")]
    Form,
    /// The length exceeds the number of bits of the address.
    #[error("the length exceeds the bits of the address")]
    Length,
    /// Bits beyond the length are set, so the intended range is ambiguous.
    #[error("bits after the prefix length must be zero")]
    HostBits,
}

impl Prefix {
    /// Whether an address lies in the range.
    pub fn contains(&self, address: IpAddr) -> bool {
        same_family(self.address, address)
            && network(address, self.length) == network(self.address, self.length)
    }

    /// Whether two ranges share an address.
    ///
    /// ```
    /// let parse = |text: &str| text.parse::<settings::Prefix>().unwrap();
    /// assert!(parse("10.0.0.0/8").overlaps(&parse("10.1.0.0/16")));
    /// assert!(!parse("10.0.0.0/8").overlaps(&parse("11.0.0.0/8")));
    /// ```
    pub fn overlaps(&self, other: &Self) -> bool {
        self.contains(other.address) || other.contains(self.address)
    }
}

impl FromStr for Prefix {
    type Err = PrefixError;

    fn from_str(text: &str) -> Result<Self, PrefixError> {
        let (address, length) = text.split_once('/').ok_or(PrefixError::Form)?;
        let address: IpAddr = address.parse().map_err(|_| PrefixError::Form)?;
        if length.is_empty() || !length.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(PrefixError::Form);
        }
        let length: u8 = length.parse().map_err(|_| PrefixError::Length)?;
        if u32::from(length) > width(address) {
            return Err(PrefixError::Length);
        }
        if network(address, length) != bits(address) {
            return Err(PrefixError::HostBits);
        }
        Ok(Self { address, length })
    }
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.address, self.length)
    }
}

fn same_family(a: IpAddr, b: IpAddr) -> bool {
    a.is_ipv4() == b.is_ipv4()
}

fn width(address: IpAddr) -> u32 {
    if address.is_ipv4() { 32 } else { 128 }
}

fn bits(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(address) => address.to_bits().into(),
        IpAddr::V6(address) => address.to_bits(),
    }
}

/// The address with the bits after `length` cleared.
fn network(address: IpAddr, length: u8) -> u128 {
    let host_bits = width(address) - u32::from(length);
    let clear = |bits: u128| bits.checked_shr(host_bits).unwrap_or(0);
    clear(bits(address)).checked_shl(host_bits).unwrap_or(0)
}
