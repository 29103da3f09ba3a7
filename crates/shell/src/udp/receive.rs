//! Receiving in batches.

use std::io::{self, IoSliceMut};
use std::net::UdpSocket;
use std::os::fd::AsRawFd as _;

use nix::errno::Errno;
use nix::sys::socket::{MsgFlags, MultiHeaders, recvmmsg};

use super::send::PayloadRef;
use super::{BATCH, DATAGRAM_BYTES_MAX};

/// Buffers for one batch of datagrams.
pub struct Receiver {
    headers: MultiHeaders<()>,
    buffer: Box<[u8]>,
    lengths: [usize; BATCH],
    count: usize,
}

impl Default for Receiver {
    fn default() -> Self {
        Self {
            headers: MultiHeaders::preallocate(BATCH, None),
            buffer: vec![0; BATCH * DATAGRAM_BYTES_MAX].into_boxed_slice(),
            lengths: [0; BATCH],
            count: 0,
        }
    }
}

impl Receiver {
    /// Waits for a datagram until the socket's time-out and takes what else is there. Returns how
    /// many came, zero after a time-out.
    ///
    /// Errors: those of the system call, except time-outs and interruptions.
    pub fn receive(&mut self, socket: &UdpSocket) -> io::Result<usize> {
        self.count = 0;
        match self.receive_batch(socket) {
            Ok(count) => self.count = count,
            // A send to a closed port of a local receiver is reported here (ECONNREFUSED): it
            // concerns that packet, not this socket.
            Err(Errno::EAGAIN | Errno::EINTR | Errno::ECONNREFUSED) => {}
            Err(errno) => return Err(errno.into()),
        }
        Ok(self.count)
    }

    /// The datagrams of the last batch; one longer than [`DATAGRAM_BYTES_MAX`] comes out empty,
    /// since half a packet must not be passed on.
    pub fn datagrams(&self) -> impl Iterator<Item = &[u8]> {
        let slots = self.buffer.chunks_exact(DATAGRAM_BYTES_MAX);
        slots.zip(&self.lengths).take(self.count).map(|(slot, length)| &slot[..*length])
    }

    /// A part of a datagram of the last batch; empty if it does not exist.
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
        for (message, length) in results.zip(&mut self.lengths) {
            let whole = !message.flags.contains(MsgFlags::MSG_TRUNC);
            *length = if whole { message.bytes } else { 0 };
            count += 1;
        }
        Ok(count)
    }
}
