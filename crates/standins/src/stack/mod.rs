//! One TCP connection in user space: smoltcp with one interface and one socket per connection.
//!
//! A stack per connection finds its socket without a search, and a listener needs no backlog of
//! idle sockets: the upstream makes a listening stack for each opening.

mod device;

use std::net::SocketAddr;

use decision::time::Millis;
use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::socket::tcp;
use smoltcp::time::{Duration, Instant};
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr};

use device::QueueDevice;

/// Bytes of one direction's buffer; a feed's lines and a swatch image pass through it in parts.
const BUFFER_BYTES: usize = 16 * 1024;
/// A peer that acknowledges nothing for this long is given up. Longer than any outage of the lab.
const TIMEOUT_MS: u64 = 40_000;
/// An idle connection shows every so often that it lives, as tablets behind a router do.
const KEEP_ALIVE_MS: u64 = 5_000;

/// One TCP connection and the interface that it owns.
pub struct TcpStack {
    device: QueueDevice,
    interface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
}

impl TcpStack {
    /// A connection that opens from `local` to `remote`; `seed` decides its initial sequence number.
    ///
    /// ```
    /// use decision::time::Millis;
    /// use standins::stack::TcpStack;
    /// let (local, remote) = ("198.18.0.1:5000".parse().unwrap(), "203.0.113.1:80".parse().unwrap());
    /// let mut stack = TcpStack::connect(local, remote, 7, Millis(0));
    /// let mut out = Vec::new();
    /// stack.poll(Millis(0), &mut out);
    /// assert_eq!(out.len(), 1);
    /// ```
    pub fn connect(local: SocketAddr, remote: SocketAddr, seed: u64, now: Millis) -> Self {
        let mut stack = Self::with_address(local, seed, now);
        let socket = stack.sockets.get_mut::<tcp::Socket>(stack.handle);
        // Both addresses were parsed with a port, and the socket is fresh.
        let opened = socket.connect(stack.interface.context(), remote, local);
        debug_assert!(opened.is_ok());
        stack
    }

    /// A connection that waits for its opening on `local`.
    ///
    /// ```
    /// use decision::time::Millis;
    /// let stack = standins::stack::TcpStack::listen("203.0.113.1:80".parse().unwrap(), 7, Millis(0));
    /// assert!(stack.socket().is_listening());
    /// ```
    pub fn listen(local: SocketAddr, seed: u64, now: Millis) -> Self {
        let mut stack = Self::with_address(local, seed, now);
        let opened = stack.socket_mut().listen(local);
        debug_assert!(opened.is_ok());
        stack
    }

    /// A stack without a socket in use: it answers any segment with a reset, as a host does.
    ///
    /// ```
    /// use decision::time::Millis;
    /// let stack = standins::stack::TcpStack::closed("203.0.113.1:80".parse().unwrap(), Millis(0));
    /// assert!(!stack.socket().is_open());
    /// ```
    pub fn closed(local: SocketAddr, now: Millis) -> Self {
        Self::with_address(local, 0, now)
    }

    /// Takes in one IP packet; it is worked on by the next [`TcpStack::poll`].
    pub fn push(&mut self, packet: &[u8]) {
        self.device.received.push_back(packet.to_vec());
    }

    /// Works on received packets and due timers, appending the packets to send.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<Vec<u8>>) {
        self.interface.poll(instant(now), &mut self.device, &mut self.sockets);
        out.append(&mut self.device.sent);
    }

    /// When the next [`TcpStack::poll`] is due without a packet; `None` while nothing is pending.
    /// Later than `now`, for which a poll has just worked on everything.
    pub fn due(&mut self, now: Millis) -> Option<Millis> {
        let at = self.interface.poll_at(instant(now), &self.sockets)?;
        Some(Millis(at.total_millis().max(0) as u64).max(now.after(1)))
    }

    /// The socket.
    pub fn socket(&self) -> &tcp::Socket<'static> {
        self.sockets.get(self.handle)
    }

    /// The socket, for reading, writing and closing.
    pub fn socket_mut(&mut self) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(self.handle)
    }

    fn with_address(local: SocketAddr, seed: u64, now: Millis) -> Self {
        let mut device = QueueDevice::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut interface = Interface::new(config, &mut device, instant(now));
        interface.update_ip_addrs(|addresses| {
            // The list is empty and holds two.
            let _ = addresses.push(IpCidr::new(IpAddress::from(local.ip()), 0));
        });
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let handle = sockets.add(new_socket());
        Self { device, interface, sockets, handle }
    }
}

fn new_socket() -> tcp::Socket<'static> {
    let buffer = || tcp::SocketBuffer::new(vec![0; BUFFER_BYTES]);
    let mut socket = tcp::Socket::new(buffer(), buffer());
    socket.set_timeout(Some(Duration::from_millis(TIMEOUT_MS)));
    socket.set_keep_alive(Some(Duration::from_millis(KEEP_ALIVE_MS)));
    socket.set_nagle_enabled(false);
    socket
}

fn instant(now: Millis) -> Instant {
    Instant::from_millis(now.0 as i64)
}
