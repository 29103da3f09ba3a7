//! Datagrams between balancers: GUE control frames, sealed with the fleet's key, on the UDP port of
//! the control address.
//!
//! A replayed datagram is harmless: versions and heartbeat numbers only grow, and a comparison only
//! causes a reply to its sender. A replayed comparison can make settings look confirmed, but only
//! as long as they equal the sender's, that is, while they are the newest that any balancer had.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use decision::keys::{AccountId, ServiceId, Version};
use decision::spread::{NodeId, ROUND_INTERVAL_MS, SpreadMessage};
use wire::exchange::FLEET;
use wire::gue::{self, Content};
use wire::sealed::{AccountKeyring, Header, Payload, SenderId, control_datagram};
use wire::spread;

/// Longest wait for a datagram. A fraction of a gossip round, so that rounds start on time.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(ROUND_INTERVAL_MS / 4);
/// Largest datagram accepted.
const DATAGRAM_BYTES_MAX: usize = 2_048;

/// Socket between balancers, with the fleet's keyring.
#[derive(Debug)]
pub struct Link {
    socket: UdpSocket,
    keyring: AccountKeyring,
    own: NodeId,
}

impl Link {
    /// Binds the UDP port of `address`.
    ///
    /// Errors: those of the system calls.
    pub fn bind(address: SocketAddr, keyring: AccountKeyring, own: NodeId) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        Ok(Self { socket, keyring, own })
    }

    /// Address at which the link receives.
    ///
    /// Errors: those of the system call.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a message. It is not retransmitted: the next comparison makes up for a lost message.
    pub fn send(&self, to: SocketAddr, message: &SpreadMessage) {
        let header =
            Header::control(AccountId::of(FLEET), ServiceId(0), Version(0), SenderId(self.own.0));
        let body = spread::encode(message);
        if let Ok(datagram) = control_datagram(&self.keyring, &header, spread::CONTROL_TYPE, &body)
        {
            let _ = self.socket.send_to(&datagram, to);
        }
    }

    /// Waits for a datagram up to a fraction of a gossip round. `None` if none arrives or if it is
    /// not a balancer's message.
    pub fn receive(&self) -> Option<(NodeId, SpreadMessage)> {
        let mut buffer = [0; DATAGRAM_BYTES_MAX];
        let (bytes, _) = self.socket.recv_from(&mut buffer).ok()?;
        self.open(&buffer[..bytes])
    }

    /// Authenticates a datagram and returns its sender and message.
    pub fn open(&self, datagram: &[u8]) -> Option<(NodeId, SpreadMessage)> {
        let frame = gue::parse(datagram).ok()?;
        if frame.content != Content::Control(spread::CONTROL_TYPE) {
            return None;
        }
        let opened = self.keyring.open(frame.private, Payload::Control(frame.payload)).ok()?;
        let message = spread::decode(frame.payload).ok()?;
        Some((NodeId(opened.header.sender.0), message))
    }
}
