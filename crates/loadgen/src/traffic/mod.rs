//! Generates traffic over loopback: packets built in advance and sent in batches, and a relay as a
//! baseline for comparison.

mod flood;
mod frames;
mod relay;

pub use flood::{Flood, flood};
pub(crate) use flood::{StampSchedule, stamped_flood};
pub(crate) use frames::read_stamp;
pub use frames::{Frames, Opening, balancer_frames, sealed_frames};
pub use relay::{Relay, serve_counts};

use std::net::{SocketAddr, UdpSocket};

use anyhow::{Context as _, ensure};

/// Binds a socket that is never read. It accepts packets until its small receive buffer is full;
/// the kernel drops further packets without an error for the sender.
///
/// Errors: the address is not on loopback, or is in use.
///
/// ```
/// assert!(loadgen::traffic::bind_sink("127.0.0.1:0".parse().unwrap()).is_ok());
/// assert!(loadgen::traffic::bind_sink("0.0.0.0:0".parse().unwrap()).is_err());
/// ```
pub fn bind_sink(address: SocketAddr) -> anyhow::Result<UdpSocket> {
    check_loopback(address)?;
    let socket = UdpSocket::bind(address).with_context(|| address.to_string())?;
    socket2::SockRef::from(&socket).set_recv_buffer_size(4_096)?;
    Ok(socket)
}

/// Rejects addresses outside of loopback, because load must not leave the machine.
pub(crate) fn check_loopback(address: SocketAddr) -> anyhow::Result<()> {
    ensure!(address.ip().is_loopback(), "{address} is not on loopback");
    Ok(())
}
