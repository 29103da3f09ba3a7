//! Checks of datagrams before they reach the decision core.

use agent::gate::{Admitted, Identity, check, datagram_nonce};
use decision::agent::Forwarding;
use decision::keys::{AccountId, FlowId, ServiceId, UpstreamId, Version};
use decision::message::Message;
use decision::view::{self, AccountSpec, Endpoint, ServiceSpec, Transport, View, WhenInDoubt};
use etherparse::PacketBuilder;
use rstest::rstest;
use settings::{Code, codes};
use wire::control::{self, Envelope};
use wire::gue::{self, Content};
use wire::inner;
use wire::sealed::{AccountKeyring, Header, KeyId, Payload, SEALED_BYTES, SenderId};

const MASTER_KEYS: [(KeyId, [u8; 32]); 1] = [(KeyId(1), [7; 32])];

/// Describes a datagram as its sender builds it. Each test case changes one field of a valid one.
#[derive(Clone)]
struct Spec {
    sealed_for: &'static str,
    account: &'static str,
    service: &'static str,
    port: u16,
    flow: FlowId,
    covered: Option<usize>,
}

fn spec() -> Spec {
    Spec {
        sealed_for: "cascadia",
        account: "cascadia",
        service: "shelf",
        port: 8_443,
        flow: FlowId(OWN.0),
        covered: None,
    }
}

fn service(name: &str, port: u16) -> ServiceSpec {
    let address = [203, 0, 113, 1].into();
    ServiceSpec {
        name: name.into(),
        endpoints: vec![Endpoint { address, port, transport: Transport::Tcp }],
        when_in_doubt: WhenInDoubt::Admit,
        zone_spill_percent: 25,
        upstreams: vec![],
    }
}

fn own_view() -> View {
    let services = vec![service("shelf", 8_443), service("manifest", 9_443)];
    view::build(&[AccountSpec { name: "cascadia".into(), version: Version(7), services }])
}

/// The upstream beside which the agent runs.
const OWN: UpstreamId = UpstreamId(5);

fn own_identity() -> Identity {
    let (account, service) = (AccountId::of("cascadia"), ServiceId::of("cascadia", "shelf"));
    Identity { account, service, upstream: OWN }
}

fn keyring(account: &str) -> AccountKeyring {
    AccountKeyring::derive(&MASTER_KEYS, AccountId::of(account)).unwrap()
}

fn packet(port: u16) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([192, 0, 2, 1], [203, 0, 113, 1], 64);
    let mut packet = Vec::new();
    builder.tcp(40_000, port, 7, 1_024).syn().write(&mut packet, b"").unwrap();
    packet
}

fn header(spec: &Spec) -> Header {
    Header {
        hops: 0,
        forwarding: Forwarding::Direct,
        account: AccountId::of(spec.account),
        service: ServiceId::of(spec.account, spec.service),
        flow: spec.flow,
        version: Version(7),
        sender: SenderId(9),
    }
}

fn datagram(spec: &Spec, payload: Payload<'_>) -> Vec<u8> {
    let mut private = [0; SEALED_BYTES];
    keyring(spec.sealed_for).seal(&header(spec), payload, &mut private).unwrap();
    let (content, body) = match payload {
        Payload::Packet { bytes, .. } => (Content::Ipv4, bytes),
        Payload::Control(body) => (Content::Control(control::CONTROL_TYPE), body),
    };
    let mut datagram = Vec::new();
    gue::encode(content, &private, body, &mut datagram);
    datagram
}

fn packet_datagram(spec: &Spec) -> Vec<u8> {
    let bytes = packet(spec.port);
    let header_bytes = spec.covered.unwrap_or(bytes.len());
    datagram(spec, Payload::Packet { bytes: &bytes, header_bytes })
}

fn code_of(datagram: &[u8]) -> Option<Code> {
    check(&own_identity(), &keyring("cascadia"), &own_view(), datagram).err()
}

/// A machine of another account can seal only with that account's key. Whatever its header claims,
/// the agent rejects its packets.
#[rstest]
#[case::own(spec(), None)]
#[case::key_of_other_account(Spec { sealed_for: "bajio", ..spec() }, Some(codes::BAD_MAC))]
#[case::names_other_account(Spec { account: "bajio", ..spec() }, Some(codes::FOREIGN_ACCOUNT))]
#[case::names_other_service(Spec { service: "manifest", ..spec() }, Some(codes::WRONG_SERVICE))]
#[case::address_of_other_service(Spec { port: 9_443, ..spec() }, Some(codes::WRONG_SERVICE))]
#[case::address_without_service(Spec { port: 22, ..spec() }, Some(codes::NO_SERVICE))]
#[case::ports_not_covered(Spec { covered: Some(20), ..spec() }, Some(codes::BAD_MAC))]
fn check_packet(#[case] spec: Spec, #[case] expected: Option<Code>) {
    assert_eq!(code_of(&packet_datagram(&spec)), expected);
}

fn unsealed_datagram() -> Vec<u8> {
    let mut datagram = Vec::new();
    gue::encode(Content::Ipv4, &[], &packet(8_443), &mut datagram);
    datagram
}

fn with_byte(mut datagram: Vec<u8>, offset: usize, value: u8) -> Vec<u8> {
    datagram[offset] = value;
    datagram
}

#[rstest]
#[case::empty(vec![], codes::MALFORMED)]
#[case::not_sealed(unsealed_datagram(), codes::MALFORMED)]
#[case::unknown_key(with_byte(packet_datagram(&spec()), 5, 9), codes::UNKNOWN_KEY)]
#[case::changed_port(with_byte(packet_datagram(&spec()), 68 + 23, 1), codes::BAD_MAC)]
#[case::packet_as_control(with_byte(packet_datagram(&spec()), 0, 0x30), codes::UNSUPPORTED_PROTOCOL)]
#[case::control_body_garbage(datagram(&spec(), Payload::Control(b"\xc1")), codes::MALFORMED)]
fn check_refused(#[case] datagram: Vec<u8>, #[case] expected: Code) {
    assert_eq!(code_of(&datagram), Some(expected));
}

/// The address of a retired upstream may be reassigned to another upstream of the service while a
/// peer's settings still list both at that address. If this agent accepted messages for the retired
/// upstream, they would hide the messages for this agent. Agents of an earlier release name no
/// receiver.
#[rstest]
#[case::mine(FlowId(OWN.0), None)]
#[case::not_named(FlowId(0), None)]
#[case::gone(FlowId(6), Some(codes::WRONG_RECEIVER))]
fn check_receiver(#[case] flow: FlowId, #[case] expected: Option<Code>) {
    let envelope = Envelope { clock: 4, message: Message::Ask { flow: FlowId(8), question: 6 } };
    let mut body = Vec::new();
    control::encode(&envelope, &mut body).unwrap();
    let spec = Spec { flow, ..spec() };
    assert_eq!(code_of(&datagram(&spec, Payload::Control(&body))), expected);
}

#[test]
fn check_control_message() {
    let envelope = Envelope { clock: 4, message: Message::Ask { flow: FlowId(5), question: 6 } };
    let mut body = Vec::new();
    control::encode(&envelope, &mut body).unwrap();
    let datagram = datagram(&spec(), Payload::Control(&body));
    let admitted = check(&own_identity(), &keyring("cascadia"), &own_view(), &datagram).unwrap();
    let Admitted::Message { header, envelope: received } = admitted else { panic!("a packet") };
    assert_eq!(UpstreamId(header.sender.0), UpstreamId(9));
    assert_eq!(received, envelope);
}

/// Two distinct datagrams from one caller's port are two openings for a service that must not run a
/// request twice, and one flow for any other service.
#[rstest]
#[case::admit(WhenInDoubt::Admit, true)]
#[case::refuse(WhenInDoubt::Refuse, false)]
fn datagram_nonce_by_service(#[case] when_in_doubt: WhenInDoubt, #[case] same: bool) {
    let nonce = datagram_nonce(when_in_doubt);
    assert_eq!(nonce(b"restock 1") == nonce(b"restock 2"), same);
    assert_eq!(nonce(b"restock 1"), nonce(b"restock 1"));
    assert_eq!(same, nonce(b"restock 1") == inner::FLOW_NONCE);
}
