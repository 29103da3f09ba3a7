//! The transport and addresses of a packet, and the id of its flow.

use std::fmt;
use std::net::SocketAddr;

use decision::keys::FlowId;
use decision::view::{Endpoint, Transport};
use settings::codes;
use wire::inner::{Inner, Segment};

use crate::exit::{Exit, Failure};

/// Transport, caller and destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Tuple {
    pub(super) transport: Transport,
    pub(super) source: SocketAddr,
    pub(super) destination: SocketAddr,
}

/// Parses `tcp 198.51.100.7:40001 203.0.113.1:8443`.
///
/// Errors: [`codes::BAD_TUPLE`].
pub(super) fn parse(text: &str) -> Result<Tuple, Failure> {
    let bad = |what: &str| {
        let text = format!("{what}; write `tcp IP:PORT IP:PORT`, the caller first");
        Failure::new(codes::BAD_TUPLE, Exit::Usage, text)
    };
    let words: Vec<&str> = text.split_whitespace().collect();
    let [transport, source, destination] = words[..] else {
        return Err(bad(&format!("{} word(s) instead of three", words.len())));
    };
    let transport = match transport {
        "tcp" => Transport::Tcp,
        "udp" => Transport::Udp,
        other => return Err(bad(&format!("`{other}` is neither tcp nor udp"))),
    };
    let address = |text: &str| -> Result<SocketAddr, Failure> {
        text.parse().map_err(|_| bad(&format!("`{text}` is not an address with a port")))
    };
    let (source, destination) = (address(source)?, address(destination)?);
    if source.is_ipv4() != destination.is_ipv4() {
        return Err(bad("one address is IPv4 and the other IPv6"));
    }
    Ok(Tuple { transport, source, destination })
}

impl Tuple {
    pub(super) fn endpoint(&self) -> Endpoint {
        let (address, port) = (self.destination.ip(), self.destination.port());
        Endpoint { address, port, transport: self.transport }
    }

    /// Id of the flow, computed as balancers do.
    pub(super) fn flow_id(&self, key: &[u8; 16]) -> FlowId {
        let segment = Segment::Udp { payload: &[] };
        let (endpoint, source) = (self.endpoint(), self.source);
        Inner { endpoint, source, segment, header_bytes: 0 }.flow_id(key)
    }

    pub(super) fn transport_name(&self) -> &'static str {
        match self.transport {
            Transport::Tcp => "tcp",
            Transport::Udp => "udp",
        }
    }
}

impl fmt::Display for Tuple {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} -> {}", self.transport_name(), self.source, self.destination)
    }
}
