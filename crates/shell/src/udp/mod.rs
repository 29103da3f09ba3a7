//! UDP sockets that send and receive in batches. One system call receives up to [`BATCH`]
//! datagrams, and one sends as many, each to its own destination.
//!
//! `quinn-udp` sends a batch to a single destination only, so this module uses the batched calls of
//! `nix`. Nothing is allocated once a socket is set up.

mod receive;
mod send;

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};

pub use receive::Receiver;

/// A receiver that records the source address of each datagram.
pub type SourceReceiver = Receiver<nix::sys::socket::SockaddrStorage>;

pub use send::{PayloadRef, Prefix, Sender, send_one};

/// Maximum number of datagrams in one system call. Larger batches showed no gain on loopback and
/// delay each packet until the rest of its batch is processed.
pub const BATCH: usize = 64;
/// Largest datagram accepted: the jumbo frames of common clouds (9,001 bytes) with added headers.
pub const DATAGRAM_BYTES_MAX: usize = 9_216;
/// Requested size of the kernel's socket buffers, which hold about 50 ms of traffic at a million
/// packets per second. The kernel may grant less.
const SOCKET_BUFFER_BYTES: usize = 8 << 20;

/// Binds a socket whose receive calls time out after `timeout`.
///
/// With `shared`, several sockets may be bound to `address` and the kernel distributes flows among
/// them. Without it, a port in use is an error.
///
/// Errors: those of the system calls, such as an address in use.
pub fn bind(address: SocketAddr, shared: bool, timeout: Duration) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_port(shared)?;
    // The only effect of a smaller buffer is that packets are dropped earlier in a burst.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.set_read_timeout(Some(timeout))?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}
