//! A receiving thread: receives a batch of datagrams, forwards it and repeats.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::time::Duration;

use shell::udp::{self, PayloadRef, Receiver, Sender};

use crate::counters::{Counters, Counts, DropReason};
use crate::forward::{self, Identity, PAYLOAD_START};
use crate::notices::{self, AgentNotice};
use crate::snapshot::{PublishedSnapshot, Snapshot, Subscription};

/// How often an idle thread checks whether it must stop.
const IDLE_CHECK: Duration = Duration::from_millis(100);

/// One receiving thread.
pub(crate) struct Worker {
    pub(crate) socket: UdpSocket,
    pub(crate) identity: Identity,
    pub(crate) published: Arc<PublishedSnapshot>,
    pub(crate) counters: Counters,
    /// Passes agents' notices to the thread that publishes snapshots.
    pub(crate) notices: mpsc::Sender<AgentNotice>,
    pub(crate) stop: Arc<AtomicBool>,
}

/// Binds the sockets that share the data address.
///
/// A socket that shares its port (`SO_REUSEPORT`) can also be bound beside those of another process
/// of the same user, which would then silently lose part of its packets. Therefore a socket that
/// does not share the port is bound first and closed again. This fails if any other process uses
/// the port.
pub(crate) fn bind(address: SocketAddr, count: usize) -> io::Result<Vec<UdpSocket>> {
    drop(udp::bind(address, false, IDLE_CHECK)?);
    (0..count).map(|_| udp::bind(address, true, IDLE_CHECK)).collect()
}

impl Worker {
    /// Forwards datagrams until `stop` is set.
    pub(crate) fn run(self) {
        let mut receiver = Receiver::default();
        let mut sender = Sender::default();
        let mut subscription = Subscription::new(self.published.clone());
        let mut counts = Counts::default();
        while !self.stop.load(Ordering::Relaxed) {
            match receiver.receive(&self.socket) {
                Ok(0) => continue,
                Ok(received) => counts.received += received as u64,
                Err(error) => {
                    log::error!("receive failed: {error}");
                    std::thread::sleep(IDLE_CHECK);
                    continue;
                }
            }
            subscription.refresh();
            self.forward_batch(&receiver, &mut sender, &subscription, &mut counts);
            self.counters.add(&mut counts);
        }
    }

    fn forward_batch(
        &self,
        receiver: &Receiver,
        sender: &mut Sender,
        subscription: &Subscription,
        counts: &mut Counts,
    ) {
        let snapshot = subscription.snapshot();
        for (slot, datagram) in receiver.datagrams().enumerate() {
            match forward::forward(snapshot, &self.identity, datagram, sender.next_prefix()) {
                Ok(home) => {
                    sender.queue_next(PayloadRef { slot, start: PAYLOAD_START }, home);
                    counts.forwarded += 1;
                }
                Err(reason) => self.handle_unforwarded(reason, snapshot, datagram, counts),
            }
        }
        let failed = sender.flush(&self.socket, receiver) as u64;
        counts.forwarded -= failed;
        counts.add_dropped(DropReason::SendFailed, failed);
    }

    fn handle_unforwarded(
        &self,
        reason: DropReason,
        snapshot: &Snapshot,
        datagram: &[u8],
        counts: &mut Counts,
    ) {
        let is_control = reason == DropReason::UnsupportedProtocol;
        match is_control.then(|| notices::open(snapshot, datagram)).flatten() {
            Some(notice) => {
                // Fails only at the end of a shutdown, after the publisher has stopped.
                let _ = self.notices.send(notice);
            }
            None => counts.add_dropped(reason, 1),
        }
    }
}
