//! Tests of the encoding of notices.

use decision::keys::Version;
use decision::message::{Outdated, OutdatedReport};
use rstest::rstest;
use wire::notice::{Notice, decode, encode};

const REPORT: OutdatedReport = OutdatedReport {
    outdated: Outdated { from: Version(3), next: Version(u64::MAX), expires_in_ms: u32::MAX },
    members: u64::MAX,
};

#[rstest]
#[case::leaving(Notice::Leaving)]
#[case::peer(Notice::Peer { upstream: u64::MAX, beat: 5, up: true })]
#[case::settings(Notice::Settings { version: 7 })]
#[case::outdated(Notice::from(REPORT))]
#[case::ask_outdated(Notice::AskOutdated)]
fn decode_own_encoding(#[case] notice: Notice) {
    assert_eq!(decode(&encode(notice)), Some(notice));
}

#[rstest]
#[case::report(Notice::from(REPORT), Some(REPORT))]
#[case::question(Notice::AskOutdated, None)]
#[case::other(Notice::Leaving, None)]
fn outdated_of_notice(#[case] notice: Notice, #[case] expected: Option<OutdatedReport>) {
    assert_eq!(notice.outdated(), expected);
}
