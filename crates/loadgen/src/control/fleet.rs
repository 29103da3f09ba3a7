//! Simulates many gossiping nodes in one process. Messages arrive in the next round, and time is
//! simulated.

use decision::keys::{AccountId, Version};
use decision::spread::{
    MissingVersion, NodeId, Peer, ROUND_INTERVAL_MS, Spread, SpreadAction, SpreadEvent,
    SpreadMessage, Tuning,
};
use decision::time::Millis;
use wire::exchange::SUBTREES_MAX;
use wire::exchange::{Kind, Question};
use wire::sealed::{AccountKeyring, KeyId};

use crate::world::account_name;

/// Bytes of one HTTP exchange besides path and body: request and response headers as the daemons
/// send them, and the TCP and IP headers of a separate connection (nine segments). This is an upper
/// estimate: a connection that is kept open costs less.
const HTTP_HEADERS_BYTES: u64 = 9 * 40 + 220;

/// Bytes of one HTTP exchange besides its body: [`HTTP_HEADERS_BYTES`], the path with the signature
/// that authenticates the request, and the seal that authenticates the answer.
pub(crate) fn exchange_overhead_bytes() -> u64 {
    let keyring =
        AccountKeyring::new(&[(KeyId(1), [7; 32])]).expect("a keyring can be created from one key");
    let account = account_name(0).into();
    let question = Question { kind: Kind::Subtree, account, nonce: u64::MAX };
    let path = question.signed_path(&keyring).expect("a keyring with a key can sign a path");
    let answer = question.seal_answer(&keyring, &()).expect("an empty answer can be sealed");
    // The unit value of the body is encoded as one byte, which is not overhead.
    HTTP_HEADERS_BYTES + (path.len() + answer.len() - 1) as u64
}

/// Bytes of a datagram besides its body: IP and UDP headers (28), GUE header (4) and the sealed
/// private data.
pub(crate) const DATAGRAM_OVERHEAD_BYTES: u64 = 28 + 4 + wire::sealed::SEALED_BYTES as u64;

/// Network traffic, summed over all nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Number of gossip messages and of fetches from peers.
    pub messages: u64,
    /// Bytes, counted once for the sender and once for the receiver.
    pub bytes: u64,
    /// Largest number of bytes that one node sent and received in one second.
    pub peak_node_bytes: u64,
    /// Reads of the configuration service.
    pub service_reads: u64,
}

/// A fleet of simulated nodes and the messages in transit between them.
pub struct Fleet {
    nodes: Vec<Spread>,
    ids: Vec<NodeId>,
    pending_events: Vec<(usize, SpreadEvent)>,
    node_bytes: Vec<u64>,
    traffic: Traffic,
    delta_bytes: u64,
    exchange_overhead_bytes: u64,
    message_overhead_bytes: u64,
    now: Millis,
}

impl Fleet {
    /// Creates `count` nodes in `zones` availability zones. Each holds `accounts` accounts at
    /// version 1. The body of a fetched change has `delta_bytes` bytes.
    ///
    /// ```
    /// let fleet = loadgen::control::Fleet::new(10, 2, 5, 200);
    /// assert_eq!(fleet.traffic().messages, 0);
    /// ```
    pub fn new(count: usize, zones: usize, accounts: u64, delta_bytes: u64) -> Self {
        Self::with_tuning(count, zones, accounts, delta_bytes, Tuning::default())
    }

    /// Like [`Fleet::new`], with other gossip parameters.
    ///
    /// ```
    /// use decision::spread::Tuning;
    /// let tuning = Tuning { fanout: 2, rounds: 1 };
    /// assert_eq!(loadgen::control::Fleet::with_tuning(10, 2, 5, 200, tuning).traffic().bytes, 0);
    /// ```
    pub fn with_tuning(
        count: usize,
        zones: usize,
        accounts: u64,
        delta_bytes: u64,
        tuning: Tuning,
    ) -> Self {
        let peers: Vec<Peer> = (0..count).map(|index| peer(index, zones)).collect();
        let start = Millis(0);
        let mut nodes: Vec<Spread> =
            peers.iter().map(|own| Spread::new(own.clone(), own.id.0, start)).collect();
        for node in &mut nodes {
            node.set_tuning(tuning);
            node.handle(start, SpreadEvent::Peers(peers.clone()), &mut Vec::new());
            for account in 1..=accounts {
                node.handle(start, installed_event(account, 1), &mut Vec::new());
            }
            node.handle(start, SpreadEvent::Confirmed { age_ms: 0 }, &mut Vec::new());
        }
        let ids = peers.iter().map(|peer| peer.id).collect();
        let traffic = Traffic::default();
        let node_bytes = vec![0; count];
        let mut fleet = Self {
            nodes,
            ids,
            pending_events: Vec::new(),
            node_bytes,
            traffic,
            delta_bytes,
            exchange_overhead_bytes: exchange_overhead_bytes(),
            message_overhead_bytes: DATAGRAM_OVERHEAD_BYTES,
            now: start,
        };
        fleet.run(2_000);
        fleet.traffic = Traffic::default();
        fleet
    }

    /// Counts messages as HTTP exchanges instead of datagrams, for comparison.
    pub fn use_http(&mut self) {
        self.message_overhead_bytes = self.exchange_overhead_bytes;
    }

    /// Advances simulated time by `duration_ms`.
    pub fn run(&mut self, duration_ms: u64) {
        let end = self.now.after(duration_ms);
        while self.now < end {
            self.run_round();
        }
    }

    /// Advances simulated time until `done` holds for all nodes and returns the elapsed
    /// milliseconds, or `None` if that takes longer than `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, done: impl Fn(&Spread) -> bool) -> Option<u64> {
        let start = self.now;
        while self.now.since(start) < limit_ms {
            self.run_round();
            if self.nodes.iter().all(&done) {
                return Some(self.now.since(start));
            }
        }
        None
    }

    /// Queues an event for a node; it is handled in the next round.
    pub fn inject(&mut self, node: usize, event: SpreadEvent) {
        self.pending_events.push((node, event));
    }

    /// Makes a settings version active on a node, as if the node had received it from the
    /// configuration service.
    pub fn install(&mut self, node: usize, account: u64, version: u64) {
        self.inject(node, installed_event(account, version));
    }

    /// Network traffic since the fleet was created and settled.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    fn run_round(&mut self) {
        self.now = self.now.after(ROUND_INTERVAL_MS);
        for (node, event) in std::mem::take(&mut self.pending_events) {
            self.dispatch(node, event);
        }
        for node in 0..self.nodes.len() {
            self.dispatch(node, SpreadEvent::Tick);
        }
        if self.now.0.is_multiple_of(1_000) {
            let peak = self.node_bytes.iter().copied().max().unwrap_or(0);
            self.traffic.peak_node_bytes = self.traffic.peak_node_bytes.max(peak);
            self.node_bytes.fill(0);
        }
    }

    fn dispatch(&mut self, node: usize, event: SpreadEvent) {
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut actions);
        for action in actions {
            self.perform_action(node, action);
        }
    }

    fn perform_action(&mut self, node: usize, action: SpreadAction) {
        match action {
            SpreadAction::Send { to, message } => self.send(node, to, message),
            SpreadAction::FetchFromPeer { from, missing } => {
                // A list entry consists of a name of 20 bytes, a version and two separators.
                let entry_bytes = 26;
                let exchanges = missing.len().div_ceil(SUBTREES_MAX) as u64;
                let bodies = missing.len() as u64 * (self.delta_bytes + entry_bytes);
                self.count_message(
                    node,
                    from.0 as usize,
                    exchanges * self.exchange_overhead_bytes + bodies,
                );
                for MissingVersion { account, version } in missing {
                    self.pending_events.push((node, SpreadEvent::Installed { account, version }));
                }
            }
            SpreadAction::FetchFromService { .. } => self.traffic.service_reads += 1,
            SpreadAction::MembersChanged => {}
        }
    }

    fn send(&mut self, from: usize, to: NodeId, message: SpreadMessage) {
        let body = wire::spread::encode(&message);
        self.count_message(from, to.0 as usize, body.len() as u64 + self.message_overhead_bytes);
        // The receiver's decoding is part of the measured processor time.
        let message =
            wire::spread::decode(&body).expect("a message encoded by `encode` can be decoded");
        let event = SpreadEvent::Message { from: self.ids[from], message };
        self.pending_events.push((to.0 as usize, event));
    }

    fn count_message(&mut self, from: usize, to: usize, bytes: u64) {
        self.traffic.messages += 1;
        self.traffic.bytes += 2 * bytes;
        self.node_bytes[from] += bytes;
        self.node_bytes[to] += bytes;
    }
}

fn peer(index: usize, zones: usize) -> Peer {
    Peer { id: NodeId(index as u64), zone: format!("zone-{}", index % zones).into() }
}

fn installed_event(account: u64, version: u64) -> SpreadEvent {
    SpreadEvent::Installed { account: AccountId(account), version: Version(version) }
}
