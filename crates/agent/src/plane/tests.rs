//! Tests of the data thread with real sockets. A test acts as balancer, peer, upstream and gateway.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use decision::agent::{Agent, AgentConfig, Event, FlowLocation, FlowState, Forwarding};
use decision::keys::{AccountId, FlowId, Incarnation, ServiceId, UpstreamId, Version};
use decision::message::{Claim, ClaimAnswer, Heartbeat, Knowledge, Message, RecordCompleteness};
use decision::rank;
use decision::view::WhenInDoubt;
use etherparse::PacketBuilder;
use settings::Outcome;
use shell::boottime;
use shell::settings_sync::{Scope, Source, Store};
use shell::udp::{self, Prefix};
use telemetry::metrics::Metrics;
use telemetry::timeline::Timeline;
use wire::control::{self, Envelope};
use wire::gue::{self, Content};
use wire::inner;
use wire::notice::{self, Notice};
use wire::sealed::{AccountKeyring, Header, KeyId, Payload, SEALED_BYTES, SenderId};

use super::{Addresses, DataPlane, DataPlaneConfig, FlowList, FlowQuery, Request};
use crate::counters::Counters;
use crate::gate::Identity;

/// Longer than any reply takes; elapses only if a reply is missing.
const TIMEOUT: Duration = Duration::from_secs(10);
const KEY: [(KeyId, [u8; 32]); 1] = [(KeyId(1), [7; 32])];

/// An agent's data thread and the sockets around it.
struct Harness {
    agent: SocketAddr,
    peer: UdpSocket,
    upstream: UdpSocket,
    gateway: UdpSocket,
    requests: mpsc::Sender<Request>,
    timeline: Arc<Timeline>,
    handed_over: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

fn socket() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

fn service() -> ServiceId {
    ServiceId::of("cascadia", "shelf")
}

fn upstream(name: &str) -> UpstreamId {
    UpstreamId::of("cascadia", "shelf", name)
}

fn keyring() -> AccountKeyring {
    AccountKeyring::new(&KEY).unwrap()
}

/// Returns a flow whose home is the agent called `name`, out of two agents with the same weight.
fn flow_of(name: &str) -> FlowId {
    let candidates = [(upstream("own"), 100), (upstream("peer"), 100)];
    let home = |flow: &FlowId| {
        rank::order(service(), rank::bucket_of(*flow), &candidates)[0] == upstream(name)
    };
    (0..64).map(|bucket| FlowId(bucket << 58 | 5)).find(home).unwrap()
}

fn subtree(when_in_doubt: &str, own: SocketAddr, peer: Option<SocketAddr>) -> String {
    let entry = |name: &str, address: SocketAddr| {
        let port = address.port();
        format!(
            "      - {{name: {name}, zone: z, weight: 100, max_flows: 9, state: active, since: 1, \
             agent_address: \"{address}\", control_address: \"127.8.0.1:{port}\", address: \"127.9.0.1:{port}\"}}\n"
        )
    };
    let peer = peer.map(|peer| entry("peer", peer)).unwrap_or_default();
    let own = entry("own", own);
    format!(
        "account: cascadia\nversion: 7\nservices:\n  - name: shelf\n    \
         addresses: [\"203.0.113.1:8443/tcp\"]\n    when_in_doubt: {when_in_doubt}\n    \
         zone_spill_percent: 25\n    upstreams:\n{own}{peer}"
    )
}

fn store(timeline: &Arc<Timeline>, subtree: &str) -> Arc<Store> {
    let store = Arc::new(Store::new(Scope::Account("cascadia".into()), timeline.clone()));
    let root = "version: 1\naccounts: [{name: cascadia, prefixes: [\"203.0.113.0/28\"]}]\n";
    store.offer_root(root, Source::Platform);
    let outcome = store.offer_account("cascadia", subtree, Source::Platform);
    assert_eq!(outcome, Some(Outcome::Accepted(Version(7))));
    store
}

fn harness(when_in_doubt: WhenInDoubt, with_peer: bool) -> Harness {
    let data = super::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let agent = data.local_addr().unwrap();
    let (peer, peer_address) = socket();
    let ((upstream_socket, upstream_address), (gateway, gateway_address)) = (socket(), socket());
    let timeline = Arc::new(Timeline::new("own".into(), 64));
    let setting = if when_in_doubt == WhenInDoubt::Admit { "admit" } else { "refuse" };
    let store = store(&timeline, &subtree(setting, agent, with_peer.then_some(peer_address)));
    let (requests, inbox) = mpsc::channel();
    let (stop, handed_over) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
    let config = DataPlaneConfig {
        socket: data,
        addresses: Addresses { upstream: upstream_address, gateway: gateway_address },
        identity: Identity {
            account: AccountId::of("cascadia"),
            service: service(),
            upstream: upstream("own"),
        },
        account: "cascadia".into(),
        keyring: keyring(),
        store: store.clone(),
        timeline: timeline.clone(),
        counters: Counters::new(&Metrics::default()),
        fetch: mpsc::channel().0,
        handed_over: handed_over.clone(),
        ready: Arc::default(),
        stop: stop.clone(),
    };
    let agent_config = AgentConfig {
        upstream: upstream("own"),
        service: service(),
        incarnation: Incarnation(1),
        may_have_prior_flows: false,
        seed: 1,
    };
    let core = Agent::new(agent_config, store.view(), boottime::now());
    let plane = DataPlane::new(config, core, store.view(), store.generation(), inbox);
    let thread = Some(std::thread::spawn(move || plane.run()));
    let upstream = upstream_socket;
    Harness { agent, peer, upstream, gateway, requests, timeline, handed_over, stop, thread }
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let ended = self.thread.take().map(JoinHandle::join);
        assert!(std::thread::panicking() || ended.is_some_and(|result| result.is_ok()));
    }
}

fn tcp(flags: &str) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([192, 0, 2, 1], [203, 0, 113, 1], 64);
    let builder = builder.tcp(40_000, 8_443, 77, 1_024);
    let builder = if flags == "S" { builder.syn() } else { builder.ack(500) };
    let mut packet = Vec::new();
    builder.write(&mut packet, b"").unwrap();
    packet
}

impl Harness {
    fn send(&self, sender: UpstreamId, flow: FlowId, content: Content, body: &[u8]) {
        let header = Header {
            hops: 0,
            forwarding: Forwarding::Direct,
            account: AccountId::of("cascadia"),
            service: service(),
            flow,
            version: Version(7),
            sender: SenderId(sender.0),
        };
        let payload = match content {
            Content::Control(_) => Payload::Control(body),
            _ => Payload::Packet { bytes: body, header_bytes: body.len() },
        };
        let mut private = [0; SEALED_BYTES];
        keyring().seal(&header, payload, &mut private).unwrap();
        let prefix = Prefix::new(gue::header(content, SEALED_BYTES), &private);
        udp::send_one(&self.peer, &prefix, body, self.agent, &mut Vec::new()).unwrap();
    }

    fn send_packet(&self, flow: FlowId, packet: &[u8]) {
        self.send(UpstreamId(1), flow, Content::Ipv4, packet);
    }

    fn send_message(&self, message: Message) {
        let mut body = Vec::new();
        control::encode(&Envelope { clock: 1, message }, &mut body).unwrap();
        self.send(upstream("peer"), FlowId(0), Content::Control(control::CONTROL_TYPE), &body);
    }

    /// Receives the next packet forwarded to the peer, with its header. Skips control messages.
    fn packet_to_peer(&self) -> (Header, Vec<u8>) {
        loop {
            let datagram = receive(&self.peer);
            let frame = gue::parse(&datagram).unwrap();
            if frame.content == Content::Ipv4 {
                let payload = Payload::Packet { bytes: frame.payload, header_bytes: 0 };
                let opened = keyring().open(frame.private, payload).unwrap();
                return (opened.header, frame.payload.to_vec());
            }
        }
    }

    /// Receives messages to the peer until `select` returns a value for one of them.
    fn message_to_peer<T>(&self, select: impl Fn(Message) -> Option<T>) -> T {
        loop {
            let datagram = receive(&self.peer);
            let frame = gue::parse(&datagram).unwrap();
            if frame.content == Content::Control(control::CONTROL_TYPE) {
                keyring().open(frame.private, Payload::Control(frame.payload)).unwrap();
                let message = control::decode(frame.payload).unwrap().message;
                if let Some(found) = select(message) {
                    return found;
                }
            }
        }
    }

    fn flows(&self, query: FlowQuery) -> FlowList {
        let (reply, answer) = mpsc::sync_channel(1);
        self.requests.send(Request::Flows(query, reply)).unwrap();
        answer.recv_timeout(TIMEOUT).unwrap()
    }
}

fn receive(socket: &UdpSocket) -> Vec<u8> {
    let mut buffer = [0; 2_048];
    let bytes = socket.recv(&mut buffer).expect("no datagram received");
    buffer[..bytes].to_vec()
}

/// Receives a packet as the upstream or the gateway gets it: in a GUE frame without private data.
fn receive_packet(socket: &UdpSocket) -> Vec<u8> {
    let datagram = receive(socket);
    let frame = gue::parse(&datagram).unwrap();
    assert_eq!((frame.content, frame.private), (Content::Ipv4, &[][..]));
    frame.payload.to_vec()
}

#[test]
fn opening_is_delivered() {
    let harness = harness(WhenInDoubt::Admit, false);
    harness.send_packet(FlowId(5), &tcp("S"));
    assert_eq!(receive_packet(&harness.upstream), tcp("S"));
    let list = harness.flows(FlowQuery::Limit(10));
    assert_eq!((list.open, list.entries[0].state), (1, "open"));
    assert_eq!(harness.flows(FlowQuery::ById(FlowId(6))).entries[0].state, "unknown");
    let (reply, answer) = mpsc::sync_channel(1);
    harness.requests.send(Request::Explain(FlowId(5), reply)).unwrap();
    let (version, explanation) = answer.recv_timeout(TIMEOUT).unwrap();
    assert_eq!((version, explanation.ranking.len()), (Version(7), 1));
    assert_eq!(explanation.location, FlowLocation::Local(FlowState::Open));
    assert!(harness.timeline.after(Default::default()).iter().any(|e| e.kind == "admitted"));
}

/// A TCP segment of an unknown flow is answered with a reset whose sequence number the caller
/// accepts.
#[test]
fn unknown_flow_is_reset() {
    let harness = harness(WhenInDoubt::Admit, false);
    harness.send_packet(FlowId(5), &tcp("A"));
    let answer = receive_packet(&harness.gateway);
    let reset = inner::parse(&answer).unwrap();
    assert_eq!(reset.endpoint.port, 40_000);
    let inner::Segment::Tcp { flags, sequence, .. } = reset.segment else { panic!("not TCP") };
    assert_eq!((flags.rst, sequence), (true, 500));
}

#[test]
fn opening_is_forwarded_to_home() {
    let harness = harness(WhenInDoubt::Admit, true);
    harness.send_packet(flow_of("peer"), &tcp("S"));
    let (header, packet) = harness.packet_to_peer();
    assert_eq!((header.hops, header.forwarding), (1, Forwarding::Redirected));
    assert_eq!((header.flow, header.sender), (flow_of("peer"), SenderId(upstream("own").0)));
    assert_eq!(packet, tcp("S"));
}

/// A service that runs each opening at most once must not see an opening before its claim has been
/// recorded. The peer is half of the witnesses here, so the opening is held until the peer grants
/// the claim. The agent itself votes only after the peer has replied to its recall, which asks for
/// the votes that a previous incarnation may have given.
#[test]
fn held_opening_is_delivered_once_granted() {
    let harness = harness(WhenInDoubt::Refuse, true);
    harness.send_message(Message::Heartbeat(Heartbeat {
        incarnation: Incarnation(1),
        born: None,
        beat: 1,
        view: Version(7),
        open_flows: 8,
        unanswered: 0,
        accepting: false,
        ramp_percent: 100,
        leaving: false,
    }));
    let recalled = harness.message_to_peer(|message| match message {
        Message::Recall { incarnation, from } => Some(Message::RecallReply {
            incarnation,
            from,
            records: Vec::new(),
            next: None,
            memory: RecordCompleteness::Complete,
            met_before: true,
        }),
        _ => None,
    });
    harness.send_message(recalled);
    harness.send_packet(flow_of("own"), &tcp("S"));
    let reply = harness.message_to_peer(|message| match message {
        Message::ClaimRequest { opening, claim, view, incarnation } => {
            assert_eq!(claim, Claim::Run(upstream("own")));
            let answer = ClaimAnswer::Granted;
            Some(Message::ClaimReply { opening, claim, answer, view, incarnation })
        }
        _ => None,
    });
    harness.upstream.set_nonblocking(true).unwrap();
    assert!(harness.upstream.recv(&mut [0; 64]).is_err(), "delivered before it was granted");
    harness.upstream.set_nonblocking(false).unwrap();
    harness.send_message(reply);
    assert_eq!(receive_packet(&harness.upstream), tcp("S"));
}

#[test]
fn ask_is_answered() {
    let harness = harness(WhenInDoubt::Admit, true);
    harness.send_message(Message::Ask { flow: FlowId(5), question: 3 });
    let (flow, knowledge) = harness.message_to_peer(|message| match message {
        Message::AskReply { flow, question: 3, knowledge, .. } => Some((flow, knowledge)),
        _ => None,
    });
    assert_eq!((flow, knowledge), (FlowId(5), Knowledge::NotMine));
}

/// A leaving agent notifies the balancers that have sent to it. Otherwise they would go on sending,
/// and a caller's datagram that arrives between the exit of this process and the start of its
/// successor would be lost.
#[test]
fn leaving_notifies_balancers() {
    let harness = harness(WhenInDoubt::Admit, false);
    harness.send_packet(FlowId(5), &tcp("S"));
    receive_packet(&harness.upstream);
    harness.requests.send(Request::Event(Event::Leave)).unwrap();
    let datagram = receive(&harness.peer);
    let frame = gue::parse(&datagram).unwrap();
    assert_eq!(frame.content, Content::Control(notice::CONTROL_TYPE));
    let opened = keyring().open(frame.private, Payload::Control(frame.payload)).unwrap();
    assert_eq!(opened.header.sender, SenderId(upstream("own").0));
    assert_eq!(notice::decode(frame.payload), Some(Notice::Leaving));
}

/// A leaving agent reports its hand-over as complete only after its peers have acknowledged its
/// flows.
#[test]
fn leaving_waits_for_acknowledgement() {
    let harness = harness(WhenInDoubt::Admit, true);
    harness.send_packet(flow_of("own"), &tcp("S"));
    receive_packet(&harness.upstream);
    harness.requests.send(Request::Event(Event::Leave)).unwrap();
    let acknowledge = harness.message_to_peer(|message| match message {
        Message::Announce { sequence, .. } => {
            Some(Message::AnnounceAck { incarnation: Incarnation(1), sequence })
        }
        _ => None,
    });
    assert!(!harness.handed_over.load(Ordering::Acquire));
    harness.send_message(acknowledge);
    let deadline = boottime::now().after(TIMEOUT.as_millis() as u64);
    while !harness.handed_over.load(Ordering::Acquire) {
        assert!(boottime::now() < deadline, "hand-over did not complete");
        std::thread::yield_now();
    }
}
