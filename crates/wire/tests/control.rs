//! Tests of the encoding of control messages.

mod common;

use decision::keys::{FlowId, Incarnation, UpstreamId, Version};
use decision::message::{
    Claim, ClaimAnswer, ClaimRecord, Entrusted, FlowNote, HandedOver, Heartbeat, Knowledge,
    Message, Opening, Outdated, PreviousIncarnation, RecordCompleteness, RecordsExtent,
};
use proptest::prelude::*;
use rstest::rstest;
use wire::control::{ControlError, Envelope, LIST_MAX, MESSAGE_BYTES_MAX, decode, encode};

const OPENING: Opening = Opening { flow: FlowId(u64::MAX), nonce: u32::MAX };
const VIEW: Version = Version(7);
const INCARNATION: Incarnation = Incarnation(u64::MAX);
const HANDED_OVER: HandedOver = HandedOver { peer_timeouts: u32::MAX, informed_agents: 3 };

fn note() -> FlowNote {
    FlowNote { opening: OPENING, open: true, age_ms: u32::MAX }
}

fn announce(notes: usize) -> Message {
    Message::Announce { incarnation: INCARNATION, sequence: u64::MAX, notes: vec![note(); notes] }
}

fn relearn_reply(openings: usize) -> Message {
    let (from, next) = (FlowId(1), Some(FlowId(u64::MAX)));
    let openings = vec![OPENING; openings];
    let entrusted = Vec::new();
    Message::RelearnReply {
        incarnation: INCARNATION,
        from,
        openings,
        entrusted,
        next,
        complete: true,
    }
}

fn relearn_reply_entrusted(entries: usize) -> Message {
    let (from, next) = (FlowId(1), Some(FlowId(u64::MAX)));
    let entrusted = vec![Entrusted { opening: OPENING, holder: UpstreamId(u64::MAX) }; entries];
    let openings = Vec::new();
    Message::RelearnReply {
        incarnation: INCARNATION,
        from,
        openings,
        entrusted,
        next,
        complete: true,
    }
}

fn claim_reply(answer: ClaimAnswer) -> Message {
    let claim = Claim::Run(UpstreamId(3));
    Message::ClaimReply { opening: OPENING, claim, answer, view: VIEW, incarnation: INCARNATION }
}

fn ask_reply(knowledge: Knowledge) -> Message {
    Message::AskReply { flow: FlowId(4), question: 5, knowledge, view: VIEW }
}

fn heartbeat() -> Message {
    Message::Heartbeat(Heartbeat {
        incarnation: INCARNATION,
        born: Some(INCARNATION),
        beat: 77,
        view: VIEW,
        open_flows: 1,
        unanswered: 2,
        accepting: true,
        ramp_percent: 30,
        leaving: false,
    })
}

#[rstest]
#[case::claim(Message::ClaimRequest {
    opening: OPENING, claim: Claim::Refuse, view: VIEW, incarnation: INCARNATION,
})]
#[case::recall(Message::Recall { incarnation: INCARNATION, from: 9 })]
#[case::recall_reply(Message::RecallReply {
    incarnation: INCARNATION,
    from: 9,
    records: vec![ClaimRecord { opening: OPENING, claim: Claim::Refuse, incarnation: INCARNATION }],
    next: Some(37),
    memory: RecordCompleteness::Newborn,
    met_before: true,
})]
#[case::read_claims(Message::ReadClaims { incarnation: INCARNATION, from: u64::MAX })]
#[case::claims_page(claims_page(2, 1))]
#[case::granted(claim_reply(ClaimAnswer::Granted))]
#[case::taken(claim_reply(ClaimAnswer::Taken(Claim::Run(UpstreamId(9)))))]
#[case::taken_by_refusal(claim_reply(ClaimAnswer::Taken(Claim::Refuse)))]
#[case::abstained(claim_reply(ClaimAnswer::Abstained))]
#[case::stale_view(claim_reply(ClaimAnswer::StaleView))]
#[case::announce(announce(2))]
#[case::announce_ack(Message::AnnounceAck { incarnation: INCARNATION, sequence: 8 })]
#[case::ask(Message::Ask { flow: FlowId(4), question: 5 })]
#[case::mine(ask_reply(Knowledge::Mine))]
#[case::held_by(ask_reply(Knowledge::HeldBy(UpstreamId(6))))]
#[case::closing(ask_reply(Knowledge::Closing))]
#[case::not_mine(ask_reply(Knowledge::NotMine))]
#[case::unsure(ask_reply(Knowledge::Unsure))]
#[case::relearn(Message::Relearn { incarnation: INCARNATION, from: FlowId(3) })]
#[case::relearn_reply(relearn_reply(2))]
#[case::entrusted(relearn_reply_entrusted(2))]
#[case::heartbeat(heartbeat())]
#[case::outdated(Message::Outdated(Outdated { from: Version(3), next: VIEW, expires_in_ms: 9 }))]
#[case::ask_about(Message::AskAbout { flow: OPENING.flow, question: u64::MAX, sequence: u32::MAX })]
#[case::tell_likely(Message::Tell { flow: OPENING.flow, question: 1, knowledge: Knowledge::Likely, view: VIEW })]
#[case::tell_unlikely(Message::Tell { flow: OPENING.flow, question: 1, knowledge: Knowledge::Unlikely, view: VIEW })]
#[case::tell(Message::Tell { flow: OPENING.flow, question: 1, knowledge: Knowledge::Unsure, view: VIEW })]
#[case::handed_over(Message::HandedOver { incarnation: INCARNATION, state: HANDED_OVER })]
#[case::former(Message::Former { incarnation: INCARNATION, former: PreviousIncarnation { incarnation: Some(Incarnation(3)), handed_over: Some(HANDED_OVER), resumed: true } })]
#[case::former_unknown(Message::Former { incarnation: INCARNATION, former: PreviousIncarnation { incarnation: None, handed_over: None, resumed: false } })]
fn decode_own_encoding(#[case] message: Message) {
    let envelope = Envelope { clock: u64::MAX, message };
    let mut bytes = Vec::new();
    encode(&envelope, &mut bytes).unwrap();
    assert_eq!(decode(&bytes).unwrap(), envelope);
}

fn recall_reply(count: usize) -> Message {
    let opening = Opening { flow: FlowId(u64::MAX), nonce: u32::MAX };
    let claim = Claim::Run(UpstreamId(u64::MAX));
    let record = ClaimRecord { opening, claim, incarnation: Incarnation(u64::MAX) };
    Message::RecallReply {
        incarnation: Incarnation(u64::MAX),
        from: u64::MAX,
        records: vec![record; count],
        next: Some(u64::MAX),
        memory: RecordCompleteness::Forgetful,
        met_before: true,
    }
}

fn claims_page(records: usize, settled: usize) -> Message {
    let claim = Claim::Run(UpstreamId(u64::MAX));
    let record = ClaimRecord { opening: OPENING, claim, incarnation: INCARNATION };
    let extent = RecordsExtent {
        incarnation: INCARNATION,
        version: Version(u64::MAX),
        complete: true,
        ended: true,
        settled: vec![(Version(u64::MAX), Version(u64::MAX)); settled],
    };
    Message::ClaimsPage {
        incarnation: INCARNATION,
        from: u64::MAX,
        records: vec![record; records],
        next: Some(u64::MAX),
        extent,
    }
}

/// The largest messages that the core sends fit into one datagram, also with the largest numbers.
#[rstest]
#[case::announce(announce(decision::agent::limits::NOTES_PER_ANNOUNCE))]
#[case::relearn_reply(relearn_reply(decision::agent::limits::OPENINGS_PER_PAGE))]
#[case::entrusted(relearn_reply_entrusted(decision::agent::limits::OPENINGS_PER_PAGE))]
#[case::recall_reply(recall_reply(decision::agent::limits::RECORDS_PER_PAGE))]
#[case::claims_page(claims_page(
    decision::agent::limits::CLAIMS_PER_PAGE,
    decision::agent::limits::SETTLED_PER_PAGE,
))]
fn encode_largest_message(#[case] message: Message) {
    let mut bytes = Vec::new();
    encode(&Envelope { clock: u64::MAX, message }, &mut bytes).unwrap();
    assert!(bytes.len() <= 1_200, "{} bytes", bytes.len());
}

#[rstest]
#[case::list(announce(LIST_MAX + 1), ControlError::ListTooLong(LIST_MAX + 1))]
#[case::bytes(relearn_reply(LIST_MAX), ControlError::TooLarge(1_961))]
fn encode_refused(#[case] message: Message, #[case] expected: ControlError) {
    let mut bytes = b"before".to_vec();
    assert_eq!(encode(&Envelope { clock: 1, message }, &mut bytes), Err(expected));
    assert_eq!(bytes, b"before");
}

/// Agents of two releases exchange messages during an upgrade of the fleet. If a heartbeat gained a
/// field, older agents could not decode it and would consider all newer agents failed.
#[rstest]
#[case::ask(
    Message::Ask { flow: FlowId(258), question: 5 },
    b"\x92\x01\x81\xa3Ask\x92\xcd\x01\x02\x05",
)]
#[case::heartbeat(
    heartbeat(),
    b"\x92\x01\x81\xa9Heartbeat\x99\xcf\xff\xff\xff\xff\xff\xff\xff\xff\xcf\xff\xff\xff\xff\xff\xff\xff\xff\x4d\x07\x01\x02\xc3\x1e\xc2",
)]
fn encode_golden_vector(#[case] message: Message, #[case] expected: &[u8]) {
    let mut bytes = Vec::new();
    encode(&Envelope { clock: 1, message }, &mut bytes).unwrap();
    assert_eq!(bytes, expected);
}

/// A message of a kind that only a newer release defines is rejected as malformed.
#[test]
fn decode_unknown_kind() {
    assert_eq!(decode(b"\x92\x01\x81\xa5Newer\x91\x07"), Err(ControlError::Malformed));
}

/// A list that announces 2^32 - 1 entries is rejected because of that number, before any entry is
/// read.
#[rstest]
#[case::not_message_pack(b"\xc1".to_vec(), ControlError::Malformed)]
#[case::empty(vec![], ControlError::Malformed)]
#[case::too_large(vec![0; MESSAGE_BYTES_MAX + 1], ControlError::TooLarge(MESSAGE_BYTES_MAX + 1))]
#[case::endless_list(
    b"\x92\x01\x81\xa8Announce\x93\x01\x01\xdd\xff\xff\xff\xff".to_vec(),
    ControlError::Malformed,
)]
fn decode_refused(#[case] bytes: Vec<u8>, #[case] expected: ControlError) {
    assert_eq!(decode(&bytes), Err(expected));
}

proptest! {
    #![proptest_config(common::fixed_seed())]

    #[test]
    fn decode_any_bytes(bytes: Vec<u8>) {
        let _ = decode(&bytes);
    }

    #[test]
    fn decode_damaged_message(offset: prop::sample::Index, value: u8) {
        let mut bytes = Vec::new();
        encode(&Envelope { clock: 1, message: announce(3) }, &mut bytes).unwrap();
        let offset = offset.index(bytes.len());
        bytes[offset] = value;
        let _ = decode(&bytes);
    }
}
