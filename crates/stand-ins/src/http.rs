//! The HTTP server and the helpers that the stand-ins share.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use serde::Serialize;
use socket2::{Domain, Socket, Type};
use tiny_http::{Header, Request, Response, Server};

/// The interval at which a server checks whether it must stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The stack size of a thread that serves a request.
const REQUEST_STACK_BYTES: usize = 128 << 10;

/// The guard of a server, which stops when the guard is dropped.
#[derive(Debug)]
pub struct ServerGuard {
    address: String,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ServerGuard {
    /// Serves requests at `address`, each on its own thread.
    ///
    /// # Errors
    /// Returns an error if it cannot listen on the address.
    pub fn serve(
        address: &str,
        handler: impl Fn(Request) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = listen(address)?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let address = server.server_addr().to_string();
        let stopping = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopping);
        let handler = Arc::new(handler);
        let thread = thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let Ok(Some(request)) = server.recv_timeout(STOP_POLL_INTERVAL) else { continue };
                let handler = Arc::clone(&handler);
                let spawned = thread::Builder::new()
                    .stack_size(REQUEST_STACK_BYTES)
                    .spawn(move || handler(request));
                drop(spawned);
            }
        });
        Ok(Self { address, stopping, thread: Some(thread) })
    }

    /// Returns the address as `ip:port`.
    pub fn address(&self) -> &str {
        &self.address
    }
}

impl Drop for ServerGuard {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

/// Listens with a backlog for bursts of connections.
fn listen(address: &str) -> io::Result<TcpListener> {
    const CONNECTION_BACKLOG: i32 = 4096;
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(CONNECTION_BACKLOG)?;
    Ok(socket.into())
}

/// Splits a URL into its path segments and its query.
pub fn split_url(url: &str) -> (Vec<String>, BTreeMap<String, String>) {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let segments = path.split('/').filter(|part| !part.is_empty()).map(str::to_owned).collect();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
    (segments, query)
}

/// Returns the value of a request header; names are case-insensitive.
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let header_field = request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    header_field.map(|header| header.value.as_str())
}

/// Reads the complete body of a request.
pub fn read_body(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    drop(request.as_reader().read_to_end(&mut body));
    body
}

/// Responds with a JSON body.
///
/// # Panics
/// Never panics: the header is a constant.
pub fn respond_json(request: Request, status: u16, value: &impl Serialize) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let kind = Header::from_bytes("content-type", "application/json").expect("constant header");
    drop(request.respond(Response::from_data(body).with_status_code(status).with_header(kind)));
}

/// Responds with the first half of a JSON body, which has no length and ends with its connection.
pub fn respond_cut_open(request: Request, value: &impl Serialize) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut writer = request.into_writer();
    drop(writer.write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"));
    drop(writer.write_all(&body[..body.len() / 2]));
    drop(writer.flush());
}

/// Writes a chunked response and flushes each chunk.
///
/// `tiny_http` buffers chunks, so the framing is implemented here.
pub struct StreamWriter {
    writer: Box<dyn Write + Send>,
}

impl StreamWriter {
    /// Writes the head of a response.
    ///
    /// # Errors
    /// Returns an error if the connection is closed.
    pub fn begin(request: Request, headers: &[(&str, &str)]) -> io::Result<Self> {
        let mut writer = request.into_writer();
        write!(writer, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n")?;
        for (name, value) in headers {
            write!(writer, "{name}: {value}\r\n")?;
        }
        write!(writer, "\r\n")?;
        writer.flush()?;
        Ok(Self { writer })
    }

    /// Writes a chunk.
    ///
    /// # Errors
    /// Returns an error if the connection is closed.
    pub fn write(&mut self, piece: &str) -> io::Result<()> {
        write!(self.writer, "{:x}\r\n{piece}\r\n", piece.len())?;
        self.writer.flush()
    }

    /// Ends the response.
    ///
    /// # Errors
    /// Returns an error if the connection is closed.
    pub fn end(mut self) -> io::Result<()> {
        write!(self.writer, "0\r\n\r\n")?;
        self.writer.flush()
    }
}
