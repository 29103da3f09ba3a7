//! Decoding any bytes gives a value or an error, and encoding the value gives the same bytes.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use wire::gue::{self, Content};

fn config() -> Config {
    Config {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..Config::default()
    }
}

fn check_any_bytes(datagram: &[u8]) -> Result<(), TestCaseError> {
    let Ok(frame) = gue::parse(datagram) else { return Ok(()) };
    prop_assert!(frame.private.len() <= gue::PRIVATE_BYTES_MAX);
    let length = gue::HEADER_BYTES + frame.private.len() + frame.payload.len();
    prop_assert_eq!(length, datagram.len());
    let mut again = Vec::new();
    gue::encode(frame.content, frame.private, frame.payload, &mut again);
    prop_assert_eq!(again, datagram);
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn parse_any_bytes(datagram in proptest::collection::vec(any::<u8>(), 0..256)) {
        check_any_bytes(&datagram)?;
    }

    #[test]
    fn parse_bytes_with_likely_header(
        first in 0u8..64,
        protocol in prop_oneof![Just(4u8), Just(41), any::<u8>()],
        rest in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let datagram = [&[first, protocol, 0, 0], rest.as_slice()].concat();
        check_any_bytes(&datagram)?;
    }

    #[test]
    fn parse_encoded_frame_cut_anywhere(
        private_words in 0usize..=31,
        payload in proptest::collection::vec(any::<u8>(), 0..64),
        cut in any::<prop::sample::Index>(),
    ) {
        let private = vec![7; private_words * 4];
        let mut datagram = Vec::new();
        gue::encode(Content::Ipv4, &private, &payload, &mut datagram);
        let frame = gue::parse(&datagram);
        prop_assert_eq!(frame.map(|frame| frame.payload), Ok(payload.as_slice()));
        let shortest = gue::HEADER_BYTES + private.len();
        let length = cut.index(datagram.len());
        prop_assert_eq!(gue::parse(&datagram[..length]).is_ok(), length >= shortest);
    }
}
