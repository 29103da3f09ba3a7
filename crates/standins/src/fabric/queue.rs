//! Datagrams in flight, ordered by the time at which they arrive.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Socket from which a datagram is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Port {
    /// Towards balancers.
    Ingress,
    /// Towards callers.
    Gateway,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Outbound {
    /// Socket.
    pub port: Port,
    /// Receiver.
    pub to: SocketAddr,
    /// Content, shared between duplicates.
    pub payload: Arc<[u8]>,
}

/// Queue ordered by due time; datagrams due at the same time keep the order of insertion.
#[derive(Debug, Default)]
pub struct DelayQueue {
    heap: BinaryHeap<Reverse<(u64, u64, Outbound)>>,
    pushed: u64,
}

impl DelayQueue {
    /// Adds a datagram that is due at `due_us`.
    pub fn push(&mut self, due_us: u64, outbound: Outbound) {
        self.pushed += 1;
        self.heap.push(Reverse((due_us, self.pushed, outbound)));
    }

    /// Removes and returns the earliest datagram if it is due.
    ///
    /// ```
    /// use standins::fabric::{DelayQueue, Outbound, Port};
    /// let to = "127.0.0.1:1".parse().unwrap();
    /// let mut queue = DelayQueue::default();
    /// queue.push(5, Outbound { port: Port::Ingress, to, payload: [].into() });
    /// assert!(queue.pop_due(4).is_none());
    /// assert!(queue.pop_due(5).is_some());
    /// ```
    pub fn pop_due(&mut self, now_us: u64) -> Option<Outbound> {
        if self.due_us()? > now_us {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, outbound))| outbound)
    }

    /// When the earliest datagram is due.
    pub fn due_us(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((due_us, ..))| *due_us)
    }
}
