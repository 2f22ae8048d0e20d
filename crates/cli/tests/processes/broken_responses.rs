//! Broken responses of a plain service, at the hosts' own interface.

use std::{thread, time::Duration};

use reelreel_stand_ins::connection::{ServedConnection, serve};

use crate::{
    client::{post, status},
    site::{Site, wait_until},
};

/// Size of an upload, the largest that hosts accept. Unit: bytes.
const UPLOAD_BYTES: usize = 4 * 1024 * 1024;

/// Size of the service's receive buffers, so that a host has to wait while it writes an upload.
/// Unit: bytes.
const RECEIVE_BUFFER_BYTES: usize = 4096;

/// Time until the host's write waits for room.
const WRITE_TIME: Duration = Duration::from_millis(200);

/// The body of whole responses.
const BODY: &str = "whole";

/// Responds as the path of the request says.
fn serve_path(connection: &mut ServedConnection) -> Option<()> {
    connection.limit_receive_buffer(RECEIVE_BUFFER_BYTES);
    let head = connection.next_head()?;
    let number = head.target.rsplit('/').next()?.parse::<usize>();
    let Some(case) = number.ok().and_then(|number| CASES.get(number)) else {
        return connection.answer(200, "", BODY);
    };
    if case.is_early {
        thread::sleep(WRITE_TIME);
        connection.reset_on_close();
    } else {
        connection.body(&head)?;
    }
    connection.write(case.response)
}

struct ResponseCase {
    response: &'static str,
    /// Whether it is sent before the request's body has been read, and then reset.
    is_early: bool,
}

const CASES: &[ResponseCase] = &[
    malformed("HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nwhole"),
    malformed("HTTP/1.1 099 Low\r\nContent-Length: 5\r\n\r\nwhole"),
    malformed("HTTP/1.1 600 High\r\nContent-Length: 5\r\n\r\nwhole"),
    malformed("HTTP/1.1 999 High\r\nContent-Length: 5\r\n\r\nwhole"),
    malformed("HTTP/1.1 200 OK\r\nA B: 1\r\nContent-Length: 5\r\n\r\nwhole"),
    malformed("HTTP/1.1 200 OK\r\nA : 1\r\nContent-Length: 5\r\n\r\nwhole"),
    malformed("HTTP/1.1 200 OK\r\nA\u{1}: 1\r\nContent-Length: 5\r\n\r\nwhole"),
    malformed("HTTP/1.1 200 OK\r\nContent-Length : 3\r\nContent-Length: 5\r\n\r\nwhole"),
    ResponseCase { response: "HTTP/1.1 200 OK\r\n\r\npart", is_early: true },
    ResponseCase { response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart", is_early: true },
];

const fn malformed(response: &'static str) -> ResponseCase {
    ResponseCase { response, is_early: false }
}

/// Guards against a response that is no response by RFC 9112, or a part of one, that reaches a caller
/// as a whole one.
#[test]
fn broken_responses_of_a_plain_service_do_not_reach_callers() {
    let site = Site::start();
    let address = serve(|connection| {
        let _ = serve_path(connection);
    });
    site.replace_service(&address.to_string());
    let send = |path: &str, body: &str| post(site.callers(0), path, &[], body).unwrap_or_default();
    wait_until("the host uses the other service", || send("/orders/any", "{}").ends_with(BODY));
    let upload = "x".repeat(UPLOAD_BYTES);
    let mut mistakes = Vec::new();
    for (number, case) in CASES.iter().enumerate() {
        let body = if case.is_early { &upload } else { "{}" };
        let answer = send(&format!("/orders/{number}"), body);
        if status(&answer) != 502 {
            mistakes.push(format!("{:?}: {answer:?}", case.response));
        }
    }
    assert!(mistakes.is_empty(), "{} mistakes:\n{}", mistakes.len(), mistakes.join("\n"));
}
