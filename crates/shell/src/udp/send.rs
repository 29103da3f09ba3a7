//! Batched send.

use std::io::{self, IoSlice};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsRawFd as _;

use nix::errno::Errno;
use nix::sys::socket::{
    ControlMessage, MsgFlags, MultiHeaders, SockaddrLike, SockaddrStorage, sendmmsg,
};
use wire::gue::{self, Content, HEADER_BYTES, PRIVATE_BYTES_MAX};
use wire::sealed::SEALED_BYTES;

use super::{BATCH, Receiver};

const PREFIX_BYTES_MAX: usize = HEADER_BYTES + PRIVATE_BYTES_MAX;
/// One slot more than a batch, so that [`Sender::next_prefix`] always has a slot to write to.
const SLOTS: usize = BATCH + 1;

/// Headers that precede a payload: the GUE header and its private data.
#[derive(Clone, Copy, Debug)]
pub struct Prefix {
    bytes: [u8; PREFIX_BYTES_MAX],
    length: usize,
}

/// Reference to a payload within the last received batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PayloadRef {
    /// Index of the datagram in the batch.
    pub slot: usize,
    /// Offset of the payload in the datagram.
    pub start: usize,
}

/// Queue of datagrams to be sent together. Their payloads stay in the buffers of the batch in which
/// they were received.
pub struct Sender {
    headers: MultiHeaders<SockaddrStorage>,
    prefixes: Box<[Prefix]>,
    payloads: Box<[PayloadRef]>,
    destinations: Box<[Option<SockaddrStorage>]>,
    count: usize,
}

impl Prefix {
    /// Creates a prefix from a GUE header and private data.
    ///
    /// ```
    /// use shell::udp::Prefix;
    /// let prefix = Prefix::new([0, 4, 0, 0], &[]);
    /// assert_eq!(prefix.as_bytes(), [0, 4, 0, 0]);
    /// ```
    pub fn new(header: [u8; HEADER_BYTES], private: &[u8]) -> Self {
        let mut bytes = [0; PREFIX_BYTES_MAX];
        let length = HEADER_BYTES + private.len().min(PRIVATE_BYTES_MAX);
        bytes[..HEADER_BYTES].copy_from_slice(&header);
        bytes[HEADER_BYTES..length].copy_from_slice(&private[..length - HEADER_BYTES]);
        Self { bytes, length }
    }

    /// Makes this the prefix of a plain frame, which has no private data.
    pub fn start_plain(&mut self, content: Content) {
        self.length = HEADER_BYTES;
        self.bytes[..HEADER_BYTES].copy_from_slice(&gue::header(content, 0));
    }

    /// Makes this the prefix of a sealed frame and returns the buffer for its private data.
    ///
    /// ```
    /// use shell::udp::Prefix;
    /// use wire::gue::Content;
    /// let mut prefix = Prefix::new([0; 4], &[]);
    /// prefix.start_sealed(Content::Ipv4).fill(7);
    /// assert_eq!(prefix.as_bytes()[..6], [16, 4, 0, 0, 7, 7]);
    /// ```
    pub fn start_sealed(&mut self, content: Content) -> &mut [u8; SEALED_BYTES] {
        self.length = HEADER_BYTES + SEALED_BYTES;
        let (header, private) = self.bytes.split_at_mut(HEADER_BYTES);
        header.copy_from_slice(&gue::header(content, SEALED_BYTES));
        private.first_chunk_mut().expect("private data has room for the sealed layout")
    }

    /// Returns the bytes of the headers.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes[..self.length]
    }
}

impl Default for Sender {
    fn default() -> Self {
        let payload = PayloadRef { slot: 0, start: 0 };
        Self {
            headers: MultiHeaders::preallocate(BATCH, None),
            prefixes: vec![Prefix::new([0; HEADER_BYTES], &[]); SLOTS].into_boxed_slice(),
            payloads: vec![payload; SLOTS].into_boxed_slice(),
            destinations: vec![None; SLOTS].into_boxed_slice(),
            count: 0,
        }
    }
}

impl Sender {
    /// Returns the prefix of the next datagram, to be written in place without a copy.
    pub fn next_prefix(&mut self) -> &mut Prefix {
        &mut self.prefixes[self.count]
    }

    /// Queues the datagram whose prefix was written last.
    ///
    /// A batch has at most [`BATCH`] datagrams and each is forwarded at most once, so the queue
    /// does not overflow. A further datagram would go to the extra slot and not be sent.
    pub fn queue_next(&mut self, payload: PayloadRef, to: SocketAddr) {
        self.payloads[self.count] = payload;
        self.destinations[self.count] = Some(SockaddrStorage::from(to));
        self.count = BATCH.min(self.count + 1);
    }

    /// Sends the queued datagrams, with payloads from `received`, and empties the queue.
    ///
    /// Returns the number of datagrams that could not be sent. A failed datagram is skipped, so
    /// that one unreachable destination does not block the others.
    pub fn flush<S>(&mut self, socket: &UdpSocket, received: &Receiver<S>) -> usize
    where
        S: SockaddrLike + Copy,
    {
        let mut start = 0;
        let mut failed = 0;
        while start < self.count {
            match self.send_from(start, socket, received) {
                Ok(sent) => start += sent,
                Err(Errno::EINTR) => {}
                Err(_) => {
                    failed += 1;
                    start += 1;
                }
            }
        }
        self.count = 0;
        failed
    }

    fn send_from<S>(
        &mut self,
        start: usize,
        socket: &UdpSocket,
        received: &Receiver<S>,
    ) -> Result<usize, Errno>
    where
        S: SockaddrLike + Copy,
    {
        let (prefixes, payloads) = (&self.prefixes, &self.payloads);
        let slices: [[IoSlice<'_>; 2]; BATCH] = std::array::from_fn(|offset| {
            let index = (start + offset).min(BATCH - 1);
            let payload = received.payload(payloads[index]);
            [IoSlice::new(prefixes[index].as_bytes()), IoSlice::new(payload)]
        });
        let count = self.count - start;
        let destinations = &self.destinations[start..self.count];
        let no_control: [ControlMessage<'_>; 0] = [];
        let flags = MsgFlags::empty();
        let results = sendmmsg(
            socket.as_raw_fd(),
            &mut self.headers,
            slices[..count].iter(),
            destinations,
            no_control,
            flags,
        )?;
        Ok(results.count())
    }
}

/// Sends a single datagram outside of a batch. `scratch` is the buffer that it is assembled in.
///
/// Errors: those of the system call.
pub fn send_one(
    socket: &UdpSocket,
    prefix: &Prefix,
    payload: &[u8],
    to: SocketAddr,
    scratch: &mut Vec<u8>,
) -> io::Result<()> {
    scratch.clear();
    scratch.extend_from_slice(prefix.as_bytes());
    scratch.extend_from_slice(payload);
    socket.send_to(scratch, to).map(|_| ())
}
