//! Connections to a server that accepts none for a while, or resets them.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use reelreel_stand_ins::connection::StoppableServer;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(80);

const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the listener has an address")
}

fn connects(address: SocketAddr) -> bool {
    TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).is_ok()
}

fn eventually(condition: impl Fn() -> bool) -> bool {
    let started_at = Instant::now();
    while !condition() {
        if started_at.elapsed() > SETTLE_TIMEOUT {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
    true
}

/// Guards against a stall that ends open connections, or lets new ones through.
#[test]
fn a_stalled_server_serves_open_connections_and_accepts_none() {
    let (address, server) = (free_address(), StoppableServer::default());
    server.start(address, |connection| {
        while connection.next_request().is_some() {
            if connection.answer(200, "", "served").is_none() {
                return;
            }
        }
    });
    let mut open = TcpStream::connect(address).expect("the server accepts connections");
    server.stall_connects(true);
    assert!(eventually(|| !connects(address)), "connects succeed");
    assert!((0..5).all(|_| !connects(address)), "a connect succeeded");
    open.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").expect("the connection is open");
    let mut bytes = [0; 12];
    open.read_exact(&mut bytes).expect("the open connection is served");
    assert!(bytes.ends_with(b"200"), "{bytes:?}");
    server.stall_connects(false);
    assert!(eventually(|| connects(address)), "connects still fail");
    server.stop();
}

/// Guards against resets that reach the peer as an orderly end.
#[test]
fn a_connection_is_reset_on_request() {
    let (address, server) = (free_address(), StoppableServer::default());
    server.start(address, |connection| {
        let _ = connection.write("begun");
        connection.reset_on_close();
    });
    let mut open = TcpStream::connect(address).expect("the server accepts connections");
    let mut bytes = Vec::new();
    let error = open.read_to_end(&mut bytes).expect_err("the connection is reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    server.stop();
}
