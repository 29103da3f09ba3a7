//! Tests of the sealed private data.

mod common;

use decision::agent::Forwarding;
use decision::keys::{AccountId, FlowId, ServiceId, Version};
use proptest::prelude::*;
use rstest::rstest;
use wire::sealed::{
    ACCOUNT_KEY_BYTES, AccountKeyring, Header, KeyId, Payload, SEALED_BYTES, SealError, SenderId,
    derive_account_key,
};

const BODY: &[u8] = b"0123456789abcdef0123456789abcdef";
const COVERED: usize = 24;
const PACKET: Payload<'static> = Payload::Packet { bytes: BODY, header_bytes: COVERED };

fn header() -> Header {
    Header {
        hops: 1,
        forwarding: Forwarding::Assigned,
        account: AccountId(0x0102_0304_0506_0708),
        service: ServiceId(0x1112_1314_1516_1718),
        flow: FlowId(0x2122_2324_2526_2728),
        version: Version(7),
        sender: SenderId(0x4142_4344_4546_4748),
    }
}

fn ring(keys: &[(u8, u8)]) -> AccountKeyring {
    let keys: Vec<(KeyId, [u8; ACCOUNT_KEY_BYTES])> =
        keys.iter().map(|(id, byte)| (KeyId(*id), [*byte; ACCOUNT_KEY_BYTES])).collect();
    AccountKeyring::new(&keys).unwrap()
}

fn sealed(ring: &AccountKeyring, payload: Payload<'_>) -> [u8; SEALED_BYTES] {
    let mut private = [0; SEALED_BYTES];
    ring.seal(&header(), payload, &mut private).unwrap();
    private
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Two releases run side by side during an upgrade of the fleet. After a change of the layout or of
/// a key derivation, neither would accept the other's frames.
#[test]
fn seal_golden_vector() {
    let expected = concat!(
        "0101010218000000",
        "0102030405060708",
        "1112131415161718",
        "2122232425262728",
        "0000000000000007",
        "4142434445464748",
        "cec8571e5c4e6c840ebbc4cdb959509b",
    );
    assert_eq!(hex(&sealed(&ring(&[(1, 9)]), PACKET)), expected);
}

#[test]
fn derive_account_key_golden_vector() {
    let key = derive_account_key(&[7; 32], KeyId(1), AccountId::of("cascadia"));
    assert_eq!(hex(&key), "e51f05189f4497588119c5e1b76f474c9754af93e1df09217bdcb4a704723dbb");
}

#[rstest]
#[case::same_key(&[(1, 9)], Ok(()))]
#[case::old_key_second(&[(2, 5), (1, 9)], Ok(()))]
#[case::key_withdrawn(&[(2, 5)], Err(SealError::UnknownKey(1)))]
#[case::key_of_other_account(&[(1, 8)], Err(SealError::BadMac))]
fn open_by_keyring(#[case] keys: &[(u8, u8)], #[case] expected: Result<(), SealError>) {
    let private = sealed(&ring(&[(1, 9)]), PACKET);
    let opened = ring(keys).open(&private, PACKET);
    assert_eq!(opened.map(|opened| assert_eq!(opened.header, header())), expected);
}

#[rstest]
#[case::format(0, 3, SealError::Format(3))]
#[case::format_of_control(0, 2, SealError::Format(2))]
#[case::key_id(1, 2, SealError::UnknownKey(2))]
#[case::hops(2, 0, SealError::BadMac)]
#[case::forwarding(3, 0, SealError::BadMac)]
#[case::covered_less(4, 0, SealError::BadMac)]
#[case::covered_beyond_payload(4, 33, SealError::Truncated)]
#[case::reserved(5, 1, SealError::BadMac)]
#[case::account(8, 0, SealError::BadMac)]
#[case::service(16, 0, SealError::BadMac)]
#[case::flow(24, 0, SealError::BadMac)]
#[case::version(39, 8, SealError::BadMac)]
#[case::sender(40, 0, SealError::BadMac)]
#[case::mac(63, 0, SealError::BadMac)]
fn open_changed_byte(#[case] offset: usize, #[case] value: u8, #[case] expected: SealError) {
    let ring = ring(&[(1, 9)]);
    let mut private = sealed(&ring, PACKET);
    assert_ne!(private[offset], value, "the case does not change the byte");
    private[offset] = value;
    assert_eq!(ring.open(&private, PACKET), Err(expected));
}

#[rstest]
#[case::covered_byte(0, Err(SealError::BadMac))]
#[case::last_covered_byte(COVERED - 1, Err(SealError::BadMac))]
#[case::first_uncovered_byte(COVERED, Ok(()))]
fn open_changed_payload(#[case] offset: usize, #[case] expected: Result<(), SealError>) {
    let ring = ring(&[(1, 9)]);
    let private = sealed(&ring, PACKET);
    let mut bytes = BODY.to_vec();
    bytes[offset] ^= 1;
    let payload = Payload::Packet { bytes: &bytes, header_bytes: 0 };
    assert_eq!(ring.open(&private, payload).map(|_| ()), expected);
}

#[rstest]
#[case::empty(0)]
#[case::one_word_less(SEALED_BYTES - 4)]
#[case::one_word_more(SEALED_BYTES + 4)]
fn open_wrong_length(#[case] length: usize) {
    let private = vec![1; length];
    assert_eq!(ring(&[(1, 9)]).open(&private, PACKET), Err(SealError::Truncated));
}

/// A key is rotated in three steps: the new key is added to all keyrings, it becomes the first key,
/// with which frames are sealed, and the old key is removed.
#[test]
fn seal_uses_first_key() {
    let private = sealed(&ring(&[(2, 5), (1, 9)]), PACKET);
    assert!(ring(&[(2, 5)]).open(&private, PACKET).is_ok());
}

#[test]
fn seal_too_long_headers() {
    let bytes = [0; 300];
    let payload = Payload::Packet { bytes: &bytes, header_bytes: 256 };
    let result = ring(&[(1, 9)]).seal(&header(), payload, &mut [0; SEALED_BYTES]);
    assert_eq!(result, Err(SealError::HeadersTooLong(256)));
}

proptest! {
    #![proptest_config(common::fixed_seed())]

    #[test]
    fn open_any_bytes(private: Vec<u8>, payload: Vec<u8>) {
        let ring = ring(&[(1, 9)]);
        let packet = Payload::Packet { bytes: &payload, header_bytes: 0 };
        prop_assert!(ring.open(&private, packet).is_err());
        prop_assert!(ring.open(&private, Payload::Control(&payload)).is_err());
    }

    #[test]
    fn open_what_was_sealed(
        hops: u8, account: u64, service: u64, flow: u64, version: u64, sender: u64, body: Vec<u8>,
    ) {
        let header = Header {
            hops,
            forwarding: Forwarding::Direct,
            account: AccountId(account),
            service: ServiceId(service),
            flow: FlowId(flow),
            version: Version(version),
            sender: SenderId(sender),
        };
        let ring = ring(&[(1, 9)]);
        let mut private = [0; SEALED_BYTES];
        ring.seal(&header, Payload::Control(&body), &mut private).unwrap();
        prop_assert_eq!(ring.open(&private, Payload::Control(&body)).unwrap().header, header);
    }
}
