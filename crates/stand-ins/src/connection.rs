//! An HTTP server for stand-ins that may violate the protocol: each connection has its own thread,
//! on which the stand-in reads and writes directly.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use bytes::BytesMut;
use reelreel_http::{BodyDecoder, BodyFraming, BodyPart, RequestHead};
use socket2::{Domain, SockRef, Socket, Type};

/// A request received by a stand-in.
#[derive(Debug, Clone)]
pub struct ServedRequest {
    /// The request head.
    pub head: RequestHead,
    /// The complete body.
    pub body: Vec<u8>,
}

/// A connection accepted by a stand-in.
pub struct ServedConnection {
    /// The socket.
    pub socket: TcpStream,
    buffer: BytesMut,
    resets: bool,
    /// A response that is sent once more in the place of the next one.
    late_copy: Option<String>,
}

impl ServedConnection {
    fn new(socket: TcpStream) -> Self {
        Self { socket, buffer: BytesMut::new(), resets: false, late_copy: None }
    }

    /// Resets the connection when it is closed, rather than ending it in order.
    pub fn reset_on_close(&mut self) {
        self.resets = SockRef::from(&self.socket).set_linger(Some(Duration::ZERO)).is_ok();
    }

    /// Limits what the system receives for the stand-in before it reads. Unit: bytes.
    pub fn limit_receive_buffer(&self, bytes: usize) {
        // On failure the peer can write more before it has to wait.
        let _ = SockRef::from(&self.socket).set_recv_buffer_size(bytes);
    }

    fn read_more(&mut self) -> Option<()> {
        let mut bytes = [0; 4096];
        let count = self.socket.read(&mut bytes).ok().filter(|count| *count > 0)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Some(())
    }

    /// Reads a request head; returns `None` if the peer has closed or the head is invalid.
    pub fn next_head(&mut self) -> Option<RequestHead> {
        loop {
            if let Some(head) = RequestHead::parse(&mut self.buffer, 65_536).ok()? {
                return Some(head);
            }
            self.read_more()?;
        }
    }

    /// Reads the body of a request; returns `None` if it is incomplete or invalid.
    pub fn body(&mut self, head: &RequestHead) -> Option<Vec<u8>> {
        let mut decoder = BodyDecoder::new(BodyFraming::of_request(head).ok()?);
        let mut body = Vec::new();
        loop {
            match decoder.next_part(&mut self.buffer).ok()? {
                BodyPart::Data(data) => body.extend_from_slice(&data),
                BodyPart::End => return Some(body),
                BodyPart::Incomplete => self.read_more()?,
            }
        }
    }

    /// Reads a complete request.
    pub fn next_request(&mut self) -> Option<ServedRequest> {
        let head = self.next_head()?;
        let body = self.body(&head)?;
        Some(ServedRequest { head, body })
    }

    /// Writes text; returns `None` if the connection is closed.
    pub fn write(&mut self, text: &str) -> Option<()> {
        self.socket.write_all(text.as_bytes()).ok()
    }

    /// Writes a complete response; `fields` are header lines, each terminated by CRLF.
    pub fn answer(&mut self, status: u16, fields: &str, body: &str) -> Option<()> {
        self.write(&format_response(status, fields, body))
    }

    /// Keeps a response for [`Self::send_late_copy`].
    pub fn keep_late_copy(&mut self, status: u16, fields: &str, body: &str) {
        self.late_copy = Some(format_response(status, fields, body));
    }

    /// Writes the kept copy of a response, in the place of the next one that is due. Returns whether
    /// there was one, or `None` if the connection is closed.
    pub fn send_late_copy(&mut self) -> Option<bool> {
        match self.late_copy.take() {
            Some(response) => self.write(&response).map(|()| true),
            None => Some(false),
        }
    }

    /// Returns whether the peer closes its side within `max_wait`.
    pub fn closes_within(&mut self, max_wait: Duration) -> bool {
        let _ = self.socket.set_read_timeout(Some(max_wait));
        let mut byte = [0; 1];
        let closed = match self.socket.read(&mut byte) {
            Ok(count) => count == 0,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        };
        let _ = self.socket.set_read_timeout(None);
        closed
    }
}

fn format_response(status: u16, fields: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} Status\r\n{fields}Content-Length: {length}\r\n\r\n{body}")
}

/// Serves connections with `serve` on a free port until the process ends.
///
/// # Panics
/// Panics if no port is free.
pub fn serve(serve: impl Fn(&mut ServedConnection) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let _ = socket.set_nodelay(true);
                serve(&mut ServedConnection::new(socket));
            });
        }
    });
    address
}

/// The interval at which a server polls for connections and for its stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The number of connections that wait to be accepted at a server that accepts them.
const BACKLOG: i32 = 128;

/// The number of connections that fill the queue of a server that accepts none.
const QUEUE_FILLERS: usize = 3;

/// A server that can stop like a process that exits: it closes its listener and all connections.
#[derive(Clone, Default)]
pub struct StoppableServer {
    stalled: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
    sockets: Arc<Mutex<BTreeMap<u64, TcpStream>>>,
}

impl StoppableServer {
    /// Serves connections at an address until it is stopped.
    ///
    /// # Panics
    /// Panics if the address is in use.
    pub fn start(
        &self,
        address: SocketAddr,
        serve: impl Fn(&mut ServedConnection) + Send + Sync + 'static,
    ) {
        let listener = TcpListener::bind(address).expect("the address is free");
        listener.set_nonblocking(true).expect("the listener can be set to non-blocking");
        let (server, serve) = (self.clone(), Arc::new(serve));
        thread::spawn(move || {
            let mut fillers = Vec::new();
            let mut connection_count = 0;
            while !server.stopping.load(Ordering::Acquire) {
                if server.stalled.load(Ordering::Acquire) {
                    if fillers.is_empty() {
                        fillers = fill_queue(&listener, address);
                    }
                    thread::sleep(STOP_POLL_INTERVAL);
                    continue;
                }
                if !fillers.is_empty() {
                    fillers.clear();
                    let _ = SockRef::from(&listener).listen(BACKLOG);
                }
                let Ok((socket, _)) = listener.accept() else {
                    thread::sleep(STOP_POLL_INTERVAL);
                    continue;
                };
                let _ = socket.set_nodelay(true);
                let handle = socket.try_clone().expect("the socket can be cloned");
                connection_count += 1;
                server.lock_sockets().insert(connection_count, handle);
                let (serve, server) = (Arc::clone(&serve), server.clone());
                thread::spawn(move || {
                    let mut connection = ServedConnection::new(socket);
                    serve(&mut connection);
                    // A reset is sent when the last handle is closed.
                    drop(server.lock_sockets().remove(&connection_count));
                    if !connection.resets {
                        let _ = connection.socket.shutdown(Shutdown::Both);
                    }
                });
            }
            drop(listener);
            server.stopped.store(true, Ordering::Release);
        });
    }

    /// Accepts no new connections while `stalled`: connects get no response. Open connections go on.
    pub fn stall_connects(&self, stalled: bool) {
        self.stalled.store(stalled, Ordering::Release);
    }

    /// Stops the server; returns once the listener is closed and the connections are shut down.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        while !self.stopped.load(Ordering::Acquire) {
            thread::sleep(STOP_POLL_INTERVAL);
        }
        for socket in self.lock_sockets().values() {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    fn lock_sockets(&self) -> MutexGuard<'_, BTreeMap<u64, TcpStream>> {
        self.sockets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the server has stopped listening.
    pub fn has_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }
}

/// Fills the queue of connections that wait to be accepted, so that further connects get no response.
fn fill_queue(listener: &TcpListener, address: SocketAddr) -> Vec<Socket> {
    let _ = SockRef::from(listener).listen(0);
    let fillers = (0..QUEUE_FILLERS).filter_map(|_| {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).ok()?;
        socket.set_nonblocking(true).ok()?;
        // The connect is under way, or waits like all further ones.
        let _ = socket.connect(&address.into());
        Some(socket)
    });
    fillers.collect()
}
