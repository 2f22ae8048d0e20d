//! Calls to engines and the store whose responses are broken: orders, reports and the store's calls.

use std::time::Duration;

use bytes::Bytes;
use reelreel_gateway::{
    call::{CallClient, CallError},
    codec::CallRequest,
};
use reelreel_http::{HeaderFields, RequestHead};
use reelreel_stand_ins::connection::{ServedConnection, serve};

/// Size of the body of a long call, more than the buffers between client and server take. Unit: bytes.
const LONG_BODY_BYTES: usize = 6 * 1024 * 1024;

/// Size of the server's receive buffers. Unit: bytes.
const RECEIVE_BUFFER_BYTES: usize = 4096;

/// Time until the client's write waits for room.
const WRITE_TIME: Duration = Duration::from_millis(100);

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How a server handles a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerBehaviour {
    /// It reads the call.
    Read,
    /// It responds before it has read the call's body, and resets the connection.
    ResetEarly,
    /// It reads the call and resets the connection after the response.
    ReadAndReset,
}

struct CallCase {
    response: &'static str,
    behaviour: ServerBehaviour,
}

const fn malformed(response: &'static str) -> CallCase {
    CallCase { response, behaviour: ServerBehaviour::Read }
}

const CASES: &[CallCase] = &[
    malformed("HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}"),
    malformed("HTTP/1.1 099 Low\r\nContent-Length: 2\r\n\r\n{}"),
    malformed("HTTP/1.1 600 High\r\nContent-Length: 2\r\n\r\n{}"),
    malformed("HTTP/1.1 200 OK\r\nA B: 1\r\nContent-Length: 2\r\n\r\n{}"),
    malformed("HTTP/1.1 200 OK\r\nA : 1\r\nContent-Length: 2\r\n\r\n{}"),
    malformed("HTTP/1.1 200 OK\r\nA\u{1}: 1\r\nContent-Length: 2\r\n\r\n{}"),
    CallCase { response: "HTTP/1.1 200 OK\r\n\r\n{}", behaviour: ServerBehaviour::ResetEarly },
    CallCase { response: "HTTP/1.1 200 OK\r\n\r\n{}", behaviour: ServerBehaviour::ReadAndReset },
    CallCase {
        response: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
        behaviour: ServerBehaviour::ResetEarly,
    },
];

fn serve_case(connection: &mut ServedConnection, case: &CallCase) -> Option<()> {
    connection.limit_receive_buffer(RECEIVE_BUFFER_BYTES);
    let head = connection.next_head()?;
    if case.behaviour == ServerBehaviour::ResetEarly {
        std::thread::sleep(WRITE_TIME);
    } else {
        connection.body(&head)?;
    }
    if case.behaviour != ServerBehaviour::Read {
        connection.reset_on_close();
    }
    connection.write(case.response)
}

/// Guards against a response that is no response by RFC 9112, or a part of one, that decides an order,
/// a report or a call to the store.
#[test]
fn broken_responses_to_calls_are_errors() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    for case in CASES {
        let address = serve(move |connection| {
            let _ = serve_case(connection, case);
        });
        let length = match case.behaviour {
            ServerBehaviour::ResetEarly => LONG_BODY_BYTES,
            ServerBehaviour::Read | ServerBehaviour::ReadAndReset => 2,
        };
        let head = RequestHead {
            method: String::from("POST"),
            target: String::from("/orders"),
            is_http11: true,
            fields: HeaderFields::default(),
        };
        let request = CallRequest { head, body: Bytes::from(vec![b'x'; length]) };
        let mut client = CallClient::new(address);
        let response = runtime.block_on(client.call(&request, CALL_TIMEOUT));
        let is_error = matches!(response, Err(CallError::NoResponse(_)));
        assert!(is_error, "{:?}, {:?}: {response:?}", case.response, case.behaviour);
    }
}
