//! The table of result codes.

use decision::agent::Reason;
use rstest::rstest;
use settings::codes::{Class, TABLE};
use settings::{Code, codes};

#[test]
fn table_is_sorted_and_numbers_match_classes() {
    assert!(TABLE.windows(2).all(|pair| pair[0].code < pair[1].code));
    for entry in TABLE {
        let thousands = match entry.class {
            Class::Settings => 1,
            Class::Packets => 2,
            Class::Start => 3,
            Class::Control => 4,
            Class::Command => 5,
        };
        assert_eq!(entry.code.0 / 1000, thousands, "{}", entry.name);
    }
}

#[rstest]
#[case(Reason::WrongService, "wrong_service")]
#[case(Reason::AllFull, "all_full")]
#[case(Reason::InDoubt, "in_doubt")]
#[case(Reason::Tombstone, "tombstone")]
#[case(Reason::UnknownFlow, "unknown_flow")]
#[case(Reason::HolderSilent, "holder_silent")]
#[case(Reason::TooManyHops, "too_many_hops")]
#[case(Reason::Overload, "overload")]
#[case(Reason::Duplicate, "duplicate")]
#[case(Reason::StaleView, "stale_view")]
fn reason_has_code_name(#[case] reason: Reason, #[case] name: &str) {
    assert_eq!(Code::from(reason).name(), name);
}

#[rstest]
#[case::known(codes::SYNTAX, "E1001", "syntax")]
#[case::foreign(Code(77), "E0077", "unknown")]
fn code_is_formatted(#[case] code: Code, #[case] number: &str, #[case] name: &str) {
    assert_eq!((code.to_string().as_str(), code.name()), (number, name));
}
