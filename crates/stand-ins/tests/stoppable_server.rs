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

/// Sends a request; returns whether all of a successful response arrives.
fn is_served(open: &mut TcpStream) -> bool {
    open.set_read_timeout(Some(SETTLE_TIMEOUT)).expect("a socket option");
    open.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").expect("the connection is open");
    let mut response = String::new();
    let mut bytes = [0; 256];
    while !response.ends_with("served") {
        match open.read(&mut bytes) {
            Ok(0) | Err(_) => return false,
            Ok(count) => response.push_str(&String::from_utf8_lossy(&bytes[..count])),
        }
    }
    response.starts_with("HTTP/1.1 200")
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
    // A connection that was only queued when the stall began would not be served.
    assert!(is_served(&mut open), "the connection is not served before the stall");
    server.stall_connects(true);
    assert!(eventually(|| !connects(address)), "connects succeed");
    assert!((0..5).all(|_| !connects(address)), "a connect succeeded");
    assert!(is_served(&mut open), "the open connection is not served");
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
