//! Sockets and clocks around a pure caller or upstream.

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

/// A change by the admin endpoint takes effect after this long at most.
const SLEEP_MAX_MS: u64 = 10;
/// Datagrams worked on before timers are looked at again.
const BATCH_MAX: usize = 64;
/// Largest datagram.
const DATAGRAM_BYTES_MAX: usize = 65_535;
/// Room for bursts; the kernel may grant less.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// How a shell drives what is inside it.
pub struct Shell<T> {
    /// The caller or upstream.
    pub inner: Arc<Mutex<T>>,
    /// Takes in one inner packet.
    pub handle_packet: fn(&mut T, Millis, &[u8]),
    /// Works on what is due and appends inner packets to send.
    pub poll: fn(&mut T, Millis, &mut Vec<Vec<u8>>),
    /// When the next poll is due.
    pub due: fn(&T) -> Option<Millis>,
    /// Runs after each poll and before its packets are sent; true ends the shell.
    pub after_poll: AfterPoll<T>,
}

/// Takes what was polled and whether the process was told to end; says whether it may end now.
pub type AfterPoll<T> = Box<dyn FnMut(&mut T, bool) -> anyhow::Result<bool>>;

impl<T> Shell<T> {
    /// Takes packets on `local` and sends to `remote`, both in plain GUE, until told to end.
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
            // A time-out only means that a timer is due; an error of the socket shows at its use.
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

/// Locks, also after a panic elsewhere: the stand-ins' records outlive a failed call.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A flag that SIGTERM and SIGINT set.
pub fn termination_flag() -> anyhow::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&flag))?;
    }
    Ok(flag)
}

/// A UDP socket with room for bursts. Must be called within a tokio runtime.
pub fn bind(local: SocketAddr) -> anyhow::Result<UdpSocket> {
    let domain = socket2::Domain::for_address(local);
    let socket = socket2::Socket::new(domain, socket2::Type::DGRAM, None)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_nonblocking(true)?;
    socket.bind(&local.into()).with_context(|| format!("cannot listen on {local}/udp"))?;
    Ok(UdpSocket::from_std(socket.into())?)
}

/// What kind of packet this is by its version field; `None` for neither.
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
    // A network loses packets; the stacks on both ends retransmit.
    let _ = socket.send_to(frame, remote).await;
}
