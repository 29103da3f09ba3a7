//! The request protocol: parsing in both directions, and streams split at arbitrary places.

use rstest::rstest;
use standins::protocol::line_checksum;
use standins::protocol::{Answer, AnswerReader, Body, Malformed, Request, RequestId, Responder};

const ID: RequestId = RequestId(77);

fn responder() -> Responder {
    Responder { service: "shelf".into(), upstream: "shelf-1".into() }
}

#[rstest]
#[case::confirm("CONFIRM 77", Ok(Request::Confirm(ID)))]
#[case::fetch("FETCH 77 9", Ok(Request::Fetch { id: ID, bytes: 9 }))]
#[case::feed("FEED 77 200", Ok(Request::Feed { id: ID, interval_ms: 200 }))]
#[case::end("END 77", Ok(Request::End(ID)))]
#[case::empty("", Err(Malformed))]
#[case::no_number("CONFIRM", Err(Malformed))]
#[case::negative("CONFIRM -1", Err(Malformed))]
#[case::too_many("CONFIRM 77 78", Err(Malformed))]
#[case::unknown("RESTOCK 77", Err(Malformed))]
fn request_line(#[case] line: &str, #[case] expected: Result<Request, Malformed>) {
    assert_eq!(Request::parse(line), expected);
    if let Ok(request) = expected {
        assert_eq!(request.to_string(), line);
    }
}

#[rstest]
#[case::confirmed(Answer::Confirmed(ID, responder()))]
#[case::body(Answer::Body { id: ID, responder: responder(), bytes: 3 })]
#[case::feed(Answer::Feed(ID, responder()))]
#[case::line(Answer::Line { id: ID, number: 5, checksum: line_checksum(ID, 5) })]
#[case::ended(Answer::Ended(ID, 6))]
#[case::shed(Answer::Shed(ID))]
fn answer_line_round_trips(#[case] answer: Answer) {
    assert_eq!(Answer::parse(&answer.to_string()), Ok(answer.clone()));
    assert!(answer.is_intact());
}

fn stream() -> Vec<u8> {
    let mut stream = b"BODY 77 shelf shelf-1 300\n".to_vec();
    stream.extend(Body::new(ID).take(300));
    stream.extend_from_slice(b"OK 78 shelf shelf-1\n");
    stream
}

#[rstest]
#[case::bytewise(1)]
#[case::odd_size(7)]
#[case::whole_stream(1_000)]
fn split_stream_yields_the_same_answers(#[case] chunk_bytes: usize) {
    let mut reader = AnswerReader::default();
    let mut answers = Vec::new();
    for bytes in stream().chunks(chunk_bytes) {
        reader.read(bytes, |answer| answers.push(answer)).unwrap();
    }
    let body = Answer::Body { id: ID, responder: responder(), bytes: 300 };
    assert_eq!(answers, [body, Answer::Confirmed(RequestId(78), responder())]);
    assert!(reader.is_between_answers());
}

/// A flipped bit at any offset of a body is detected, and so is a truncated body.
#[test]
fn wrong_body_byte_is_detected() {
    for offset in 26..326 {
        let mut stream = stream();
        stream[offset] ^= 0x10;
        assert_eq!(AnswerReader::default().read(&stream, |_| {}), Err(Malformed), "{offset}");
    }
    let mut reader = AnswerReader::default();
    reader.read(&stream()[..300], |_| panic!("a truncated body must not yield an answer")).unwrap();
    assert!(!reader.is_between_answers());
}

#[test]
fn wrong_line_checksum_is_detected() {
    assert!(!Answer::Line { id: ID, number: 5, checksum: line_checksum(ID, 6) }.is_intact());
}
