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
