//! Limits on what a chunked body may contain besides its data.

use bytes::BytesMut;
use reelreel_http::{BodyDecoder, BodyError, BodyFraming, BodyPart};

struct FramingCase {
    name: &'static str,
    /// Bytes that are repeated without end.
    unit: &'static str,
    /// What precedes them.
    start: &'static str,
    error: BodyError,
}

const CASES: &[FramingCase] = &[
    FramingCase {
        name: "trailer fields",
        unit: "X-More: 0123456789\r\n",
        start: "0\r\n",
        error: BodyError::TooMuchFraming,
    },
    FramingCase {
        name: "chunk extensions",
        unit: "1;a=0123456789abcdef\r\nx\r\n",
        start: "",
        error: BodyError::TooMuchFraming,
    },
    FramingCase {
        name: "one chunk extension",
        unit: "0123456789abcdef",
        start: "1;a=",
        error: BodyError::MalformedChunk,
    },
    FramingCase {
        name: "digits of a chunk size",
        unit: "0",
        start: "",
        error: BodyError::MalformedChunk,
    },
];

/// More than the framing of a body may have, with its data.
const MAX_BYTES: usize = 64 * 1024;

/// Guards against a decoder that reads framing without end.
#[test]
fn framing_without_end_is_an_error() {
    for case in CASES {
        let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
        let mut buffer = BytesMut::from(case.start);
        let mut bytes = 0;
        let error = loop {
            match decoder.next_part(&mut buffer) {
                Ok(BodyPart::Incomplete) => {
                    buffer.extend_from_slice(case.unit.as_bytes());
                    bytes += case.unit.len();
                    assert!(bytes < MAX_BYTES, "{}: no error", case.name);
                }
                Ok(BodyPart::Data(_)) => {}
                Ok(BodyPart::End) => panic!("{}: the body ended", case.name),
                Err(error) => break error,
            }
        };
        assert_eq!(error, case.error, "{}", case.name);
    }
}

/// Guards against limits that ordinary extensions and trailers reach.
#[test]
fn short_extensions_and_trailers_are_skipped() {
    let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
    let mut buffer = BytesMut::from("3;a=b\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n");
    let first = decoder.next_part(&mut buffer);
    assert_eq!(first, Ok(BodyPart::Data("abc".into())));
    assert_eq!(decoder.next_part(&mut buffer), Ok(BodyPart::End));
}
