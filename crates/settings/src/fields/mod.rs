//! Checked fields that several documents share.

use std::net::SocketAddr;
use std::str::FromStr as _;
use std::sync::Arc;

use decision::view::{Endpoint, Transport};

use crate::codes;
use crate::document::Cursor;
use crate::fault::Fault;
use crate::prefix::Prefix;

/// Maximum length of a name in bytes: that of a DNS label, so that names can be used in host names
/// and metric labels.
const MAX_NAME_BYTES: usize = 63;

/// Stands in for an address that cannot be parsed. It is never used, since the document is refused.
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// Checks a name: a lower-case letter, then lower-case letters, digits and hyphens.
pub(crate) fn name(text: &str, at: &Cursor<'_>, faults: &mut Vec<Fault>) -> Arc<str> {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let starts_with_letter = text.starts_with(|first: char| first.is_ascii_lowercase());
    if !starts_with_letter || text.len() > MAX_NAME_BYTES || !text.bytes().all(is_allowed) {
        let text = format!(
            "`{}` is not 1 to {MAX_NAME_BYTES} lower-case letters, digits and hyphens, beginning \
             with a letter",
            shorten(text)
        );
        faults.push(at.fault(codes::BAD_NAME, text));
    }
    text.into()
}

/// Parses an address range.
pub(crate) fn prefix(text: &str, at: &Cursor<'_>, faults: &mut Vec<Fault>) -> Option<Prefix> {
    Prefix::from_str(text)
        .map_err(|error| {
            let text = format!("`{}`: {error}", shorten(text));
            faults.push(at.fault(codes::BAD_PREFIX, text));
        })
        .ok()
}

/// Parses the address and port of a process, `IP:PORT`.
pub(crate) fn address(text: &str, at: &Cursor<'_>, faults: &mut Vec<Fault>) -> SocketAddr {
    let Ok(address) = text.parse::<SocketAddr>() else {
        let text = format!("`{}` is not IP:PORT, with IPv6 in brackets", shorten(text));
        faults.push(at.fault(codes::BAD_ADDRESS, text));
        return PLACEHOLDER_ADDRESS;
    };
    check_port(address, at, faults);
    address
}

/// Parses an address of a service, `IP:PORT/tcp` or `IP:PORT/udp`.
pub(crate) fn endpoint(text: &str, at: &Cursor<'_>, faults: &mut Vec<Fault>) -> Option<Endpoint> {
    let parsed = text.rsplit_once('/').and_then(|(address, protocol)| {
        let transport = match protocol {
            "tcp" => Transport::Tcp,
            "udp" => Transport::Udp,
            _ => return None,
        };
        Some((address.parse::<SocketAddr>().ok()?, transport))
    });
    let Some((address, transport)) = parsed else {
        let text = format!("`{}` is not IP:PORT/tcp or IP:PORT/udp", shorten(text));
        faults.push(at.fault(codes::BAD_ADDRESS, text));
        return None;
    };
    check_port(address, at, faults);
    Some(Endpoint { address: address.ip(), port: address.port(), transport })
}

/// Parses bytes written as hexadecimal digits. The text is a secret and must not appear in a fault.
pub(crate) fn hex<const N: usize>(text: &str, at: &Cursor<'_>, faults: &mut Vec<Fault>) -> [u8; N] {
    let mut bytes = [0; N];
    if text.len() != 2 * N || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        let text = format!("expected {} hexadecimal digits", 2 * N);
        faults.push(at.fault(codes::BAD_KEY, text));
        return bytes;
    }
    for (byte, digits) in bytes.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
        *byte = (hex_digit(digits[0]) << 4) | hex_digit(digits[1]);
    }
    bytes
}

fn hex_digit(digit: u8) -> u8 {
    (digit as char).to_digit(16).unwrap_or_default() as u8
}

fn check_port(address: SocketAddr, at: &Cursor<'_>, faults: &mut Vec<Fault>) {
    if address.port() == 0 {
        faults.push(at.fault(codes::OUT_OF_RANGE, "port 0 is outside 1 to 65535"));
    }
}

/// Truncates a text to [`MAX_NAME_BYTES`] characters, for quoting it in a message.
fn shorten(text: &str) -> &str {
    let end = text.char_indices().nth(MAX_NAME_BYTES).map_or(text.len(), |(index, _)| index);
    &text[..end]
}
