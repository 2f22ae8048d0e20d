//! Heads that are not a response by RFC 9112, and must not be taken for one.

use bytes::BytesMut;
use reelreel_http::{HeadError, ResponseHead};

/// Maximum size of a head in these tests. Unit: bytes.
const HEAD_LIMIT: usize = 4096;

struct StatusCase {
    status_line: &'static str,
    status: Option<u16>,
}

const STATUS_CASES: &[StatusCase] = &[
    StatusCase { status_line: "HTTP/1.1 000 None", status: None },
    StatusCase { status_line: "HTTP/1.1 000", status: None },
    StatusCase { status_line: "HTTP/1.0 000 None", status: None },
    StatusCase { status_line: "HTTP/1.1 001 None", status: None },
    StatusCase { status_line: "HTTP/1.1 099 None", status: None },
    StatusCase { status_line: "HTTP/1.1 600 None", status: None },
    StatusCase { status_line: "HTTP/1.1 999 None", status: None },
    StatusCase { status_line: "HTTP/1.1 20 Short", status: None },
    StatusCase { status_line: "HTTP/1.1 2000 Long", status: None },
    StatusCase { status_line: "HTTP/1.1 -20 Sign", status: None },
    StatusCase { status_line: "HTTP/1.1 2x0 Letter", status: None },
    StatusCase { status_line: "HTTP/1.1  200 Blank", status: None },
    StatusCase { status_line: "HTTP/1.1\u{1}200 Control", status: None },
    StatusCase { status_line: "HTTP/1.1 200 Con\u{1}trol", status: None },
    StatusCase { status_line: "HTTP/2.0 200 Version", status: None },
    StatusCase { status_line: "HTTP/1.1 100 Continue", status: Some(100) },
    StatusCase { status_line: "HTTP/1.1 200", status: Some(200) },
    StatusCase { status_line: "HTTP/1.1 299 Unusual", status: Some(299) },
    StatusCase { status_line: "HTTP/1.1 599 Unusual", status: Some(599) },
];

/// Guards against a status outside of 100 to 599 that is taken for the status of a response.
#[test]
fn a_status_outside_of_100_to_599_is_malformed() {
    for StatusCase { status_line, status } in STATUS_CASES {
        let mut buffer = BytesMut::from(format!("{status_line}\r\nA: 1\r\n\r\n").as_bytes());
        let parsed = ResponseHead::parse(&mut buffer, HEAD_LIMIT);
        match status {
            Some(status) => {
                let head = parsed.expect("a valid head").expect("a complete head");
                assert_eq!(head.status, *status, "{status_line:?}");
            }
            None => assert_eq!(parsed, Err(HeadError::Malformed), "{status_line:?}"),
        }
    }
}

/// Header lines of which none has a valid name, or a valid value.
const INVALID_LINES: &[&[u8]] = &[
    b"A B: 1",
    b"A : 1",
    b"A\t: 1",
    b" A: 1",
    b"\tA: 1",
    b"A\tB: 1",
    b"A\x00B: 1",
    b"A\x01B: 1",
    b"A\x01: 1",
    b"\x01A: 1",
    b"A\x0bB: 1",
    b"A\x0cB: 1",
    b"A\x1fB: 1",
    b"A\x7fB: 1",
    b"A\x7f: 1",
    b"A\rB: 1",
    b"A\x80B: 1",
    b"A\xa0: 1",
    b"A(B): 1",
    b"A/B: 1",
    b": 1",
    b"A",
    b"A: 1\r\n folded",
    b"A: 1\r\n\tfolded",
    b"A: 1\x012",
    b"A: 1\x002",
    b"A: 1\x7f2",
    b"A: 1\r2",
    b"Content-Length : 3",
    b"Content-Length\x01: 3",
    b"Transfer-Encoding : chunked",
    b"Transfer-Encoding\x0b: chunked",
];

/// Guards against a field name with a blank or a control byte, at any place of a head, that is passed
/// on or changes how the body is framed.
#[test]
fn a_field_name_with_a_blank_or_control_byte_is_malformed() {
    let valid: &[u8] = b"Content-Length: 5";
    for line in INVALID_LINES {
        for lines in [[line, valid], [valid, line]] {
            let head = [b"HTTP/1.1 200 OK", lines[0], lines[1], b"", b"hello"].join(&b"\r\n"[..]);
            let parsed = ResponseHead::parse(&mut BytesMut::from(&head[..]), HEAD_LIMIT);
            let text = head.escape_ascii();
            assert_eq!(parsed, Err(HeadError::Malformed), "{text}");
        }
    }
}
