//! Traffic over loopback: packets made ahead, sent in batches, and a relay to compare with.

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

/// Binds a socket from which nobody reads: it takes packets until its small buffer is full, after
/// which the kernel drops them without telling their sender.
///
/// Errors: the address is not on loopback, or taken.
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

/// Load must not leave the machine.
pub(crate) fn check_loopback(address: SocketAddr) -> anyhow::Result<()> {
    ensure!(address.ip().is_loopback(), "{address} is not on loopback");
    Ok(())
}
