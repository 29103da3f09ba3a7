//! A network device for smoltcp that receives from and sends to in-memory queues.

use std::collections::VecDeque;

use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::time::Instant;

/// Keeps inner packets below the usual MTU of 1500 bytes, with room for the encapsulation.
const MTU_BYTES: usize = 1_400;

/// Queues of received and of sent packets.
#[derive(Debug, Default)]
pub(super) struct QueueDevice {
    pub(super) received: VecDeque<Vec<u8>>,
    pub(super) sent: Vec<Vec<u8>>,
}

pub(super) struct Received(Vec<u8>);

pub(super) struct Sent<'a>(&'a mut Vec<Vec<u8>>);

impl Device for QueueDevice {
    type RxToken<'a> = Received;
    type TxToken<'a> = Sent<'a>;

    fn receive(&mut self, _timestamp: Instant) -> Option<(Received, Sent<'_>)> {
        let packet = self.received.pop_front()?;
        Some((Received(packet), Sent(&mut self.sent)))
    }

    fn transmit(&mut self, _timestamp: Instant) -> Option<Sent<'_>> {
        Some(Sent(&mut self.sent))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU_BYTES;
        capabilities
    }
}

impl RxToken for Received {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(&self.0)
    }
}

impl TxToken for Sent<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, f: F) -> R {
        let mut packet = vec![0; len];
        let result = f(&mut packet);
        self.0.push(packet);
        result
    }
}
