//! Runs a caller or upstream, which does no I/O itself, on a UDP socket and the system clock.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Context as _;
use decision::time::Millis;
use signal_hook::consts::{SIGINT, SIGTERM};
use tokio::net::UdpSocket;
use wire::gue;

use crate::clock;

/// Longest sleep between two polls, and so the longest delay until a change by the admin endpoint
/// takes effect.
const SLEEP_MAX_MS: u64 = 10;
/// Number of datagrams handled before timers are checked again.
const BATCH_MAX: usize = 64;
/// Largest datagram.
const DATAGRAM_BYTES_MAX: usize = 65_535;
/// Requested size of the socket buffers, to absorb bursts; the kernel may grant less.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Event loop around a caller or upstream.
pub struct Shell<T> {
    /// The caller or upstream.
    pub inner: Arc<Mutex<T>>,
    /// Handles one received inner packet.
    pub handle_packet: fn(&mut T, Millis, &[u8]),
    /// Handles queued packets and due timers, and appends the inner packets to send.
    pub poll: fn(&mut T, Millis, &mut Vec<Vec<u8>>),
    /// When the next poll is due.
    pub due: fn(&T) -> Option<Millis>,
    /// Called after each poll and before its packets are sent; true ends the event loop.
    pub after_poll: AfterPoll<T>,
}

/// Receives the polled caller or upstream and whether a termination signal was received; returns
/// whether the process may end now.
pub type AfterPoll<T> = Box<dyn FnMut(&mut T, bool) -> anyhow::Result<bool>>;

impl<T> Shell<T> {
    /// Receives packets on `local` and sends to `remote`, both in plain GUE, until `after_poll`
    /// returns true.
    pub fn run(self, local: SocketAddr, remote: SocketAddr) -> anyhow::Result<()> {
        let terminated = termination_flag()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(self.drive(local, remote, &terminated))
    }

    async fn drive(
        mut self,
        local: SocketAddr,
        remote: SocketAddr,
        terminated: &AtomicBool,
    ) -> anyhow::Result<()> {
        let socket = bind(local)?;
        let mut datagram = vec![0; DATAGRAM_BYTES_MAX];
        let (mut packets, mut frame) = (Vec::new(), Vec::new());
        loop {
            self.receive(&socket, &mut datagram);
            let now = clock::now();
            let (due, end) = {
                let mut inner = lock(&self.inner);
                (self.poll)(&mut inner, now, &mut packets);
                let end = (self.after_poll)(&mut inner, terminated.load(Ordering::Relaxed))?;
                ((self.due)(&inner), end)
            };
            for packet in packets.drain(..) {
                send(&socket, &packet, remote, &mut frame).await;
            }
            if end {
                return Ok(());
            }
            let sleep_ms = due.map_or(SLEEP_MAX_MS, |due| due.since(now).min(SLEEP_MAX_MS));
            // A time-out means that a timer is due; a socket error recurs at the next use.
            let _ = tokio::time::timeout(Duration::from_millis(sleep_ms), socket.readable()).await;
        }
    }

    fn receive(&mut self, socket: &UdpSocket, datagram: &mut [u8]) {
        let mut inner = lock(&self.inner);
        for _ in 0..BATCH_MAX {
            let Ok((length, _)) = socket.try_recv_from(datagram) else { return };
            let Ok(frame) = gue::parse(&datagram[..length]) else { continue };
            (self.handle_packet)(&mut inner, clock::now(), frame.payload);
        }
    }
}

/// Locks the mutex even if it is poisoned, so that the records of a stand-in stay available after a
/// call that panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a flag that SIGTERM and SIGINT set.
pub fn termination_flag() -> anyhow::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&flag))?;
    }
    Ok(flag)
}

/// Binds a UDP socket with large buffers. Must be called within a tokio runtime.
pub fn bind(local: SocketAddr) -> anyhow::Result<UdpSocket> {
    let domain = socket2::Domain::for_address(local);
    let socket = socket2::Socket::new(domain, socket2::Type::DGRAM, None)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_nonblocking(true)?;
    socket.bind(&local.into()).with_context(|| format!("cannot listen on {local}/udp"))?;
    Ok(UdpSocket::from_std(socket.into())?)
}

/// Content type of an IP packet by its version field; `None` if it is neither 4 nor 6.
pub fn content_of(packet: &[u8]) -> Option<gue::Content> {
    match packet.first()? >> 4 {
        4 => Some(gue::Content::Ipv4),
        6 => Some(gue::Content::Ipv6),
        _ => None,
    }
}

async fn send(socket: &UdpSocket, packet: &[u8], remote: SocketAddr, frame: &mut Vec<u8>) {
    let Some(content) = content_of(packet) else { return };
    frame.clear();
    gue::encode(content, &[], packet, frame);
    // A failed send is like a packet lost in the network: the TCP stacks retransmit.
    let _ = socket.send_to(frame, remote).await;
}
