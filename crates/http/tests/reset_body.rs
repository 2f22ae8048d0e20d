//! Bodies without a length whose connection is reset.

use std::{io::Write, net::TcpListener, thread, time::Duration};

use reelreel_http::{BodyDecoder, BodyFraming, HttpStream, ReadError};
use socket2::SockRef;

/// Maximum size of a head and of a body in these tests. Unit: bytes.
const SIZE_LIMIT: usize = 4096;

/// Time until a reset has arrived.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

/// How a client uses a connection that has been reset before it reads.
#[derive(Debug, Clone, Copy)]
enum ClientUse {
    /// It only reads.
    Read,
    /// It writes first, by which the system reports the reset.
    Write,
    /// The same with the write half of the split connection.
    WriteHalf,
}

/// Sends the start of a body without a length, then resets the connection, and reads as a client does.
async fn read_reset_body(client_use: ClientUse) -> Result<Option<bytes::Bytes>, ReadError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a connection");
        socket.write_all(b"HTTP/1.1 200 OK\r\n\r\npart of").expect("the part is sent");
        SockRef::from(&socket).set_linger(Some(Duration::ZERO)).expect("the option is set");
    });
    let connecting = HttpStream::connect(address, Duration::from_secs(1));
    let mut stream = connecting.await.expect("a connection");
    server.join().expect("the server ends");
    tokio::time::sleep(ARRIVAL_TIME).await;
    let written = match client_use {
        ClientUse::Read => None,
        ClientUse::Write => Some(stream.write(b"upload").await),
        ClientUse::WriteHalf => Some(stream.split().1.write(b"upload").await),
    };
    assert!(!matches!(written, Some(Ok(()))), "the write succeeded");
    let head = stream.read_response_head(SIZE_LIMIT).await?;
    let framing = BodyFraming::of_response(&head, "POST")?;
    assert_eq!(framing, BodyFraming::UntilClose);
    stream.read_full_body(&mut BodyDecoder::new(framing), SIZE_LIMIT).await
}

/// Guards against a reset that a failed write has reported, so that the system reports the end of the
/// stream to the next read.
#[test]
fn a_body_without_length_is_truncated_by_a_reset_that_a_write_reported() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    for client_use in [ClientUse::Read, ClientUse::Write, ClientUse::WriteHalf] {
        let body = runtime.block_on(read_reset_body(client_use));
        assert!(matches!(body, Err(ReadError::Socket(_))), "{client_use:?}: {body:?}");
    }
}
