//! UDP sockets that move datagrams in batches: one system call receives up to [`BATCH`] of them,
//! one sends as many, each to its own receiver.
//!
//! `quinn-udp` sends a batch to a single destination only, so the batched calls of `nix` are used.
//! Nothing is allocated after a socket has been set up.

mod receive;
mod send;

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};

pub use receive::Receiver;

/// A receiver that keeps the sources of the datagrams.
pub type SourceReceiver = Receiver<nix::sys::socket::SockaddrStorage>;

pub use send::{PayloadRef, Prefix, Sender, send_one};

/// Most datagrams in one system call. Larger batches gained nothing on loopback and keep a packet
/// waiting for its neighbours.
pub const BATCH: usize = 64;
/// Largest datagram taken: jumbo frames of today's clouds (9,001 bytes) and our headers.
pub const DATAGRAM_BYTES_MAX: usize = 9_216;
/// Kernel buffer asked for: holds about 50 ms of a million packets a second. The kernel may grant
/// less.
const SOCKET_BUFFER_BYTES: usize = 8 << 20;

/// Binds a socket whose receives time out after `timeout`. With `shared`, several sockets may be
/// bound to `address` and the kernel spreads flows over them; without, a taken port is an error.
///
/// Errors: those of the system calls, such as an address in use.
pub fn bind(address: SocketAddr, shared: bool, timeout: Duration) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_port(shared)?;
    // A smaller buffer than asked for loses packets earlier under a burst, nothing else.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.set_read_timeout(Some(timeout))?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}
