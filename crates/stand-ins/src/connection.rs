//! A small HTTP server that does wrong when told to: one thread for each connection, which the stand-in reads and writes by itself.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use bytes::BytesMut;
use reelreel_http::{BodyDecoder, BodyFraming, BodyPart, RequestHead};

/// A request as a stand-in gets it.
#[derive(Debug, Clone)]
pub struct ServedRequest {
    /// The head.
    pub head: RequestHead,
    /// The whole body.
    pub body: Vec<u8>,
}

/// One connection of a stand-in.
pub struct ServedConnection {
    /// The socket.
    pub socket: TcpStream,
    buffer: BytesMut,
}

impl ServedConnection {
    fn read_more(&mut self) -> Option<()> {
        let mut bytes = [0; 4096];
        let count = self.socket.read(&mut bytes).ok().filter(|count| *count > 0)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Some(())
    }

    /// Reads a head; `None` when the peer has closed or sent none.
    pub fn next_head(&mut self) -> Option<RequestHead> {
        loop {
            if let Some(head) = RequestHead::take(&mut self.buffer, 65_536).ok()? {
                return Some(head);
            }
            self.read_more()?;
        }
    }

    /// Reads the body that belongs to a head.
    pub fn body(&mut self, head: &RequestHead) -> Option<Vec<u8>> {
        let mut decoder = BodyDecoder::new(BodyFraming::of_request(head).ok()?);
        let mut body = Vec::new();
        loop {
            match decoder.next_part(&mut self.buffer).ok()? {
                BodyPart::Data(data) => body.extend_from_slice(&data),
                BodyPart::End => return Some(body),
                BodyPart::More => self.read_more()?,
            }
        }
    }

    /// Reads a request whole.
    pub fn next_request(&mut self) -> Option<ServedRequest> {
        let head = self.next_head()?;
        let body = self.body(&head)?;
        Some(ServedRequest { head, body })
    }

    /// Writes bytes; `None` when the peer takes none.
    pub fn write(&mut self, text: &str) -> Option<()> {
        self.socket.write_all(text.as_bytes()).ok()
    }

    /// Writes a whole answer; `fields` are lines of the head, each with its end.
    pub fn answer(&mut self, status: u16, fields: &str, body: &str) -> Option<()> {
        let length = body.len();
        self.write(&format!(
            "HTTP/1.1 {status} Status\r\n{fields}Content-Length: {length}\r\n\r\n{body}"
        ))
    }

    /// Returns whether the peer closes its side within `max_wait`.
    pub fn closes_within(&mut self, max_wait: Duration) -> bool {
        let _ = self.socket.set_read_timeout(Some(max_wait));
        let mut byte = [0; 1];
        let stopped = match self.socket.read(&mut byte) {
            Ok(count) => count == 0,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        };
        let _ = self.socket.set_read_timeout(None);
        stopped
    }
}

/// Serves connections with `serve` on a free port until the process ends.
///
/// # Panics
/// When no port is free.
pub fn serve(serve: impl Fn(&mut ServedConnection) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let _ = socket.set_nodelay(true);
                serve(&mut ServedConnection { socket, buffer: BytesMut::new() });
            });
        }
    });
    address
}

/// How often a server that can end looks whether it should.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A server that can end as a process does: nothing listens at its address, and its connections break off.
#[derive(Clone, Default)]
pub struct StoppableServer {
    stopping: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
}

impl StoppableServer {
    /// Serves connections at an address until it ends.
    ///
    /// # Panics
    /// When the address is taken.
    pub fn start(
        &self,
        address: SocketAddr,
        serve: impl Fn(&mut ServedConnection) + Send + Sync + 'static,
    ) {
        let listener = TcpListener::bind(address).expect("the address is free");
        listener.set_nonblocking(true).expect("a listener that can be looked at");
        let (server, serve) = (self.clone(), Arc::new(serve));
        thread::spawn(move || {
            while !server.stopping.load(Ordering::Acquire) {
                let Ok((socket, _)) = listener.accept() else {
                    thread::sleep(STOP_POLL_INTERVAL);
                    continue;
                };
                let _ = socket.set_nodelay(true);
                let handle = socket.try_clone().expect("a handle of the socket");
                server.sockets.lock().unwrap_or_else(PoisonError::into_inner).push(handle);
                let serve = Arc::clone(&serve);
                thread::spawn(move || {
                    serve(&mut ServedConnection { socket, buffer: BytesMut::new() });
                });
            }
            drop(listener);
            server.stopped.store(true, Ordering::Release);
        });
    }

    /// Ends it; returns once nothing listens any more.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        while !self.stopped.load(Ordering::Acquire) {
            thread::sleep(STOP_POLL_INTERVAL);
        }
        for socket in self.sockets.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Returns whether it has ended.
    pub fn has_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }
}
