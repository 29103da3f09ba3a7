//! Requests at a simulated upstream that processes a few at a time and queues the others.

use std::collections::{BTreeMap, VecDeque};

use steering::flow::FlowKey;

use super::upstream::Reaction;
use super::world::Packet;

/// Sequence number of the first data byte on every flow.
const FIRST_SEQUENCE: u32 = 1;

/// How far an upstream has received a flow.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// Sequence number after the last data received.
    received: u32,
    /// Sequence number after the last request that was answered.
    answered: u32,
    /// Whether the caller has ended the flow.
    ended: bool,
}

/// The requests in progress and in the queue of an upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Slots {
    flows: BTreeMap<FlowKey, Progress>,
    running: Vec<Packet>,
    queued: VecDeque<Packet>,
}

impl Slots {
    /// Handles a packet that an upstream without limits would react to like this; returns what this
    /// upstream does. It runs each request once, and runs none whose caller has ended the flow.
    pub(super) fn react(&mut self, reaction: Reaction, packet: &Packet) -> Reaction {
        let segment = packet.segment;
        if !matches!(reaction, Reaction::Answer | Reaction::Close) {
            return reaction;
        }
        let start = Progress { received: FIRST_SEQUENCE, answered: FIRST_SEQUENCE, ended: false };
        let progress = self.flows.entry(segment.flow).or_insert(start);
        match reaction {
            Reaction::Answer if segment.next_sequence() <= progress.answered => Reaction::Answer,
            Reaction::Answer if progress.ended || segment.next_sequence() <= progress.received => {
                Reaction::Consume
            }
            Reaction::Answer => {
                progress.received = segment.next_sequence();
                self.queued.push_back(*packet);
                Reaction::Queue
            }
            // The end is confirmed after the answer to the last request. A flow whose caller has
            // given up its request never gets there.
            Reaction::Close => {
                progress.ended = true;
                if segment.sequence <= progress.answered {
                    Reaction::Close
                } else {
                    Reaction::Consume
                }
            }
            other => other,
        }
    }

    /// Moves the next queued request to a free slot out of `slots`, and discards those whose callers
    /// have ended their flows.
    pub(super) fn start_next(&mut self, slots: usize) -> Option<Packet> {
        if self.running.len() >= slots {
            return None;
        }
        let flows = &self.flows;
        let has_gone = |packet: &Packet| {
            flows.get(&packet.segment.flow).is_some_and(|progress| progress.ended)
        };
        self.queued.retain(|packet| !has_gone(packet));
        let next = self.queued.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Notes that a request is answered.
    pub(super) fn finish(&mut self, packet: &Packet) {
        self.running.retain(|running| running != packet);
        if let Some(progress) = self.flows.get_mut(&packet.segment.flow) {
            progress.answered = packet.segment.next_sequence();
        }
    }

    /// Number of requests that run or are queued.
    pub(super) fn len(&self) -> usize {
        self.running.len() + self.queued.len()
    }
}
