//! A minimal UDP relay that makes the same batched system calls as the daemons and does nothing
//! else. Its throughput is the upper bound for a process on plain sockets.

use std::io::{BufRead as _, Write as _};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::ensure;
use shell::udp::{self, PayloadRef, Receiver, Sender};
use wire::gue::{Content, HEADER_BYTES};

use super::check_loopback;

/// Receive timeout of the relay's socket.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Forwards datagrams from one socket to several receivers, round-robin.
pub struct Relay {
    socket: UdpSocket,
    receivers: Vec<SocketAddr>,
    forwarded: Arc<AtomicU64>,
}

impl Relay {
    /// Binds the listening socket.
    ///
    /// Errors: an address is not on loopback, `listen` is in use, or `receivers` is empty.
    ///
    /// ```
    /// use loadgen::traffic::Relay;
    /// assert!(Relay::bind("127.0.0.1:0".parse().unwrap(), vec![]).is_err());
    /// ```
    pub fn bind(listen: SocketAddr, receivers: Vec<SocketAddr>) -> anyhow::Result<Self> {
        ensure!(!receivers.is_empty(), "a relay needs at least one receiver");
        receivers.iter().chain([&listen]).try_for_each(|address| check_loopback(*address))?;
        let socket = udp::bind(listen, false, READ_TIMEOUT)?;
        Ok(Self { socket, receivers, forwarded: Arc::default() })
    }

    /// Counter of the packets forwarded so far.
    pub fn forwarded(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.forwarded)
    }

    /// Forwards datagrams until the process ends.
    ///
    /// Errors: receiving from the socket fails.
    pub fn run(self) -> anyhow::Result<()> {
        let mut receiver = Receiver::<()>::default();
        let mut sender = Sender::default();
        let mut next = 0;
        loop {
            let count = receiver.receive(&self.socket)?;
            for (slot, datagram) in receiver.datagrams().enumerate() {
                if datagram.len() <= HEADER_BYTES {
                    continue;
                }
                sender.next_prefix().start_plain(Content::Ipv4);
                let payload = PayloadRef { slot, start: HEADER_BYTES };
                sender.queue_next(payload, self.receivers[next]);
                next = (next + 1) % self.receivers.len();
            }
            let failed = sender.flush(&self.socket, &receiver);
            self.forwarded.fetch_add((count - failed) as u64, Ordering::Relaxed);
        }
    }
}

/// Prints the number of forwarded packets for each line of standard input, until the input ends.
///
/// Errors: a standard stream cannot be read or written.
pub fn serve_counts(forwarded: &AtomicU64) -> anyhow::Result<()> {
    let mut output = std::io::stdout().lock();
    for line in std::io::stdin().lock().lines() {
        line?;
        writeln!(output, "{}", forwarded.load(Ordering::Relaxed))?;
        output.flush()?;
    }
    Ok(())
}
