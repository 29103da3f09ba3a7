//! Sending in batches.

use std::io::{self, IoSlice};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsRawFd as _;

use nix::errno::Errno;
use nix::sys::socket::{ControlMessage, MsgFlags, MultiHeaders, SockaddrStorage, sendmmsg};
use wire::gue::{HEADER_BYTES, PRIVATE_BYTES_MAX};

use super::{BATCH, Receiver};

const PREFIX_BYTES_MAX: usize = HEADER_BYTES + PRIVATE_BYTES_MAX;

/// Headers that go before a payload: GUE header and private data.
#[derive(Clone, Copy, Debug)]
pub struct Prefix {
    bytes: [u8; PREFIX_BYTES_MAX],
    length: usize,
}

/// A payload inside the last received batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PayloadRef {
    /// Which datagram of the batch.
    pub slot: usize,
    /// Where in the datagram the payload starts.
    pub start: usize,
}

/// Datagrams that wait to be sent with the batch in which their payloads were received.
pub struct Sender {
    headers: MultiHeaders<SockaddrStorage>,
    prefixes: Box<[Prefix]>,
    payloads: Box<[PayloadRef]>,
    receivers: Box<[Option<SockaddrStorage>]>,
    count: usize,
}

impl Prefix {
    /// A prefix of a GUE header and private data.
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

    /// The bytes to be sent.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes[..self.length]
    }
}

impl Default for Sender {
    fn default() -> Self {
        let payload = PayloadRef { slot: 0, start: 0 };
        Self {
            headers: MultiHeaders::preallocate(BATCH, None),
            prefixes: vec![Prefix::new([0; HEADER_BYTES], &[]); BATCH].into_boxed_slice(),
            payloads: vec![payload; BATCH].into_boxed_slice(),
            receivers: vec![None; BATCH].into_boxed_slice(),
            count: 0,
        }
    }
}

impl Sender {
    /// Queues a datagram. A batch has at most [`BATCH`] datagrams and each leads to one at most,
    /// so the queue never overflows; one datagram more would be ignored.
    pub fn queue(&mut self, prefix: &Prefix, payload: PayloadRef, to: SocketAddr) {
        if self.count == BATCH {
            return;
        }
        self.prefixes[self.count] = *prefix;
        self.payloads[self.count] = payload;
        self.receivers[self.count] = Some(SockaddrStorage::from(to));
        self.count += 1;
    }

    /// Sends what is queued; payloads come out of `received`. Returns how many could not be sent:
    /// a receiver that cannot be reached must not hold up the others, so it is passed over.
    pub fn flush(&mut self, socket: &UdpSocket, received: &Receiver) -> usize {
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

    fn send_from(
        &mut self,
        start: usize,
        socket: &UdpSocket,
        received: &Receiver,
    ) -> Result<usize, Errno> {
        let (prefixes, payloads) = (&self.prefixes, &self.payloads);
        let slices: [[IoSlice<'_>; 2]; BATCH] = std::array::from_fn(|offset| {
            let index = (start + offset).min(BATCH - 1);
            let payload = received.payload(payloads[index]);
            [IoSlice::new(prefixes[index].as_bytes()), IoSlice::new(payload)]
        });
        let count = self.count - start;
        let receivers = &self.receivers[start..self.count];
        let no_control: [ControlMessage<'_>; 0] = [];
        let flags = MsgFlags::empty();
        let results = sendmmsg(
            socket.as_raw_fd(),
            &mut self.headers,
            slices[..count].iter(),
            receivers,
            no_control,
            flags,
        )?;
        Ok(results.count())
    }
}

/// Sends one datagram outside a batch, assembled in `scratch`.
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
