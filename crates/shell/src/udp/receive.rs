//! Batched receive.

use std::io::{self, IoSliceMut};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsRawFd as _;

use nix::errno::Errno;
use nix::sys::socket::{MsgFlags, MultiHeaders, SockaddrLike, SockaddrStorage, recvmmsg};

use super::send::PayloadRef;
use super::{BATCH, DATAGRAM_BYTES_MAX};

/// Buffers for one batch of datagrams. `S` is [`SockaddrStorage`] to record the source addresses,
/// or `()` where they are not needed.
pub struct Receiver<S = ()> {
    headers: MultiHeaders<S>,
    buffer: Box<[u8]>,
    lengths: [usize; BATCH],
    sources: [Option<S>; BATCH],
    count: usize,
}

impl<S: SockaddrLike + Copy> Default for Receiver<S> {
    fn default() -> Self {
        Self {
            headers: MultiHeaders::preallocate(BATCH, None),
            buffer: vec![0; BATCH * DATAGRAM_BYTES_MAX].into_boxed_slice(),
            lengths: [0; BATCH],
            sources: [None; BATCH],
            count: 0,
        }
    }
}

impl<S: SockaddrLike + Copy> Receiver<S> {
    /// Waits for a datagram until the socket's timeout, then also receives those already queued.
    /// Returns the number of datagrams, zero after a timeout.
    ///
    /// Errors: those of the system call, except timeouts, interruptions and refused connections.
    pub fn receive(&mut self, socket: &UdpSocket) -> io::Result<usize> {
        self.count = 0;
        match self.receive_batch(socket) {
            Ok(count) => self.count = count,
            // ECONNREFUSED reports an earlier send to a closed port on this machine. It concerns
            // that packet, not this socket.
            Err(Errno::EAGAIN | Errno::EINTR | Errno::ECONNREFUSED) => {}
            Err(errno) => return Err(errno.into()),
        }
        Ok(self.count)
    }

    /// Returns the datagrams of the last batch. One that is longer than [`DATAGRAM_BYTES_MAX`] is
    /// empty, since a truncated packet must not be forwarded.
    pub fn datagrams(&self) -> impl Iterator<Item = &[u8]> {
        let slots = self.buffer.chunks_exact(DATAGRAM_BYTES_MAX);
        slots.zip(&self.lengths).take(self.count).map(|(slot, length)| &slot[..*length])
    }

    /// Returns a payload within the last batch, empty if it does not exist.
    pub fn payload(&self, payload: PayloadRef) -> &[u8] {
        let Some(length) = self.lengths.get(payload.slot) else { return &[] };
        let first = payload.slot * DATAGRAM_BYTES_MAX;
        self.buffer.get(first + payload.start..first + length).unwrap_or_default()
    }

    fn receive_batch(&mut self, socket: &UdpSocket) -> Result<usize, Errno> {
        let mut chunks = self.buffer.chunks_exact_mut(DATAGRAM_BYTES_MAX);
        let mut slices: [[IoSliceMut<'_>; 1]; BATCH] =
            std::array::from_fn(|_| [IoSliceMut::new(chunks.next().unwrap_or_default())]);
        let flags = MsgFlags::MSG_WAITFORONE;
        let fd = socket.as_raw_fd();
        let results = recvmmsg(fd, &mut self.headers, slices.iter_mut(), flags, None)?;
        let mut count = 0;
        for message in results {
            let complete = !message.flags.contains(MsgFlags::MSG_TRUNC);
            self.lengths[count] = if complete { message.bytes } else { 0 };
            self.sources[count] = message.address;
            count += 1;
        }
        Ok(count)
    }
}

impl Receiver<SockaddrStorage> {
    /// Returns the source address of a datagram of the last batch.
    pub fn source(&self, slot: usize) -> Option<SocketAddr> {
        let source = self.sources.get(slot)?.as_ref()?;
        let v4 = source.as_sockaddr_in().map(|v4| SocketAddr::V4((*v4).into()));
        v4.or_else(|| source.as_sockaddr_in6().map(|v6| SocketAddr::V6((*v6).into())))
    }
}
