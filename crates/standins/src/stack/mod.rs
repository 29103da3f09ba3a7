//! One TCP connection in user space, on smoltcp with one interface and one socket per connection.
//!
//! With a stack per connection smoltcp need not search for the socket of a packet, and a listener
//! needs no backlog of idle sockets: the upstream creates a listening stack for each opening.

mod device;

use std::net::SocketAddr;

use decision::time::Millis;
use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::socket::tcp;
use smoltcp::time::{Duration, Instant};
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr};

use device::QueueDevice;

/// Size of the buffer of each direction. Longer content, such as the body of a fetch, passes
/// through it in parts.
const BUFFER_BYTES: usize = 16 * 1024;
/// The connection is aborted when the peer acknowledges nothing for this long. Longer than any
/// outage in the lab.
const TIMEOUT_MS: u64 = 40_000;
/// Interval of keep-alive segments on an idle connection, as tablets behind a router send them.
const KEEP_ALIVE_MS: u64 = 5_000;

/// One TCP connection and the interface that it owns.
pub struct TcpStack {
    device: QueueDevice,
    interface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
}

impl TcpStack {
    /// Opens a connection from `local` to `remote`; `seed` determines its initial sequence number.
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
        // Fails only for an invalid address or a socket in use. Both addresses were parsed with a
        // port, and the socket is new.
        let opened = socket.connect(stack.interface.context(), remote, local);
        debug_assert!(opened.is_ok());
        stack
    }

    /// Creates a stack that listens on `local` for one connection.
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

    /// Creates a stack whose socket is closed. It answers any segment with a reset, as a host does.
    ///
    /// ```
    /// use decision::time::Millis;
    /// let stack = standins::stack::TcpStack::closed("203.0.113.1:80".parse().unwrap(), Millis(0));
    /// assert!(!stack.socket().is_open());
    /// ```
    pub fn closed(local: SocketAddr, now: Millis) -> Self {
        Self::with_address(local, 0, now)
    }

    /// Queues one received IP packet for the next [`TcpStack::poll`].
    pub fn push(&mut self, packet: &[u8]) {
        self.device.received.push_back(packet.to_vec());
    }

    /// Handles received packets and due timers, and appends the packets to send to `out`.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<Vec<u8>>) {
        self.interface.poll(instant(now), &mut self.device, &mut self.sockets);
        out.append(&mut self.device.sent);
    }

    /// When the next [`TcpStack::poll`] is due if no packet arrives; `None` while no timer runs.
    /// Always later than `now`, because it follows a poll at `now`.
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
            // Cannot fail: the list is empty and has room for two.
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
