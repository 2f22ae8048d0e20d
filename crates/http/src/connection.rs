//! An HTTP connection: a TCP socket with its read buffer.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    body::{BodyDecoder, BodyError, BodyPart},
    head::{HeadError, RequestHead, ResponseHead},
};

/// Buffer capacity reserved before each read.
const READ_RESERVE_BYTES: usize = 4096;

/// Number of unanswered TCP keepalive probes after which the connection fails.
const KEEPALIVE_PROBES: u32 = 2;

/// An error while reading a message.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The peer closed the connection before the first byte of a message.
    #[error("the connection was closed between messages")]
    Closed,
    /// The peer closed the connection within a message head.
    #[error("the connection was closed within a head")]
    TruncatedHead,
    /// The head was rejected.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The body is malformed or truncated.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The socket failed.
    #[error("the socket failed: {0}")]
    Socket(#[from] io::Error),
}

/// Sets TCP keepalive and `TCP_USER_TIMEOUT`, so that the socket fails about `timeout` after the
/// peer's host stops responding.
///
/// # Errors
/// Returns the socket's error.
pub fn set_dead_peer_timeout(socket: &TcpStream, timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(socket);
    let probe_interval = (timeout / (KEEPALIVE_PROBES + 1)).max(Duration::from_secs(1));
    let keepalive = TcpKeepalive::new()
        .with_time(probe_interval)
        .with_interval(probe_interval)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(timeout))
}

/// Counts the payload bytes of several connections.
#[derive(Debug, Clone, Default)]
pub struct ByteCounter(Arc<CountedBytes>);

#[derive(Debug, Default)]
struct CountedBytes {
    received: AtomicU64,
    sent: AtomicU64,
}

impl ByteCounter {
    /// Returns the number of received bytes.
    pub fn received(&self) -> u64 {
        self.0.received.load(Ordering::Relaxed)
    }

    /// Returns the number of sent bytes.
    pub fn sent(&self) -> u64 {
        self.0.sent.load(Ordering::Relaxed)
    }

    fn add_received(&self, count: usize) {
        self.0.received.fetch_add(count as u64, Ordering::Relaxed);
    }

    fn add_sent(&self, count: usize) {
        self.0.sent.fetch_add(count as u64, Ordering::Relaxed);
    }
}

/// A TCP socket with its read buffer.
#[derive(Debug)]
pub struct HttpStream {
    socket: TcpStream,
    buffer: BytesMut,
    resets_on_drop: bool,
    counter: ByteCounter,
    /// Why the last write did not finish, if it did not.
    unfinished_write: Option<io::ErrorKind>,
}

impl HttpStream {
    /// Wraps a connected socket and sets `TCP_NODELAY`.
    ///
    /// # Errors
    /// Returns the socket's error.
    pub fn new(socket: TcpStream) -> io::Result<Self> {
        socket.set_nodelay(true)?;
        let counter = ByteCounter::default();
        Ok(Self {
            socket,
            buffer: BytesMut::new(),
            resets_on_drop: false,
            counter,
            unfinished_write: None,
        })
    }

    /// Counts the bytes of this connection from now on.
    pub fn count_bytes(&mut self, counter: &ByteCounter) {
        self.counter = counter.clone();
    }

    /// Connects to `address` within `timeout`.
    ///
    /// # Errors
    /// Returns the socket's error, or a timeout error.
    pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let connecting = TcpStream::connect(address);
        let socket = tokio::time::timeout(timeout, connecting).await??;
        Self::new(socket)
    }

    /// Sets TCP keepalive and `TCP_USER_TIMEOUT`, so that the socket fails about `timeout` after the
    /// peer's host stops responding.
    ///
    /// # Errors
    /// Returns the socket's error.
    pub fn set_dead_peer_timeout(&self, timeout: Duration) -> io::Result<()> {
        set_dead_peer_timeout(&self.socket, timeout)
    }

    /// Bounds output that the peer has not read: the system buffers about `buffer_bytes`, and the
    /// socket fails when the peer takes nothing of it within `timeout`, also after it was closed.
    ///
    /// # Errors
    /// Returns the socket's error.
    pub fn bound_output(&self, buffer_bytes: usize, timeout: Duration) -> io::Result<()> {
        let socket = SockRef::from(&self.socket);
        socket.set_send_buffer_size(buffer_bytes)?;
        socket.set_tcp_user_timeout(Some(timeout))
    }

    /// Returns the socket, or `None` if bytes that were read from it have not been consumed.
    pub fn into_socket(self) -> Option<TcpStream> {
        self.buffer.is_empty().then_some(self.socket)
    }

    /// Returns whether the read buffer has unconsumed bytes.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the number of unconsumed bytes in the read buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether a kept-alive connection can be reused: open and without unexpected bytes.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0; 1];
        let result = self.socket.try_read(&mut byte);
        let would_block =
            matches!(&result, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        would_block && self.buffer.is_empty()
    }

    /// Frees the read buffer of an idle connection if it is empty.
    pub fn release_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Reads more bytes into the buffer; zero means that the peer closed its side.
    ///
    /// # Errors
    /// Returns the socket's error, and an error in place of the end of the stream if the last write did
    /// not finish: the system reports a reset only once, which may have been to the write, and a peer
    /// that closes before it has received all resets the connection only when more arrives.
    pub async fn read_more(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_RESERVE_BYTES);
        let count = self.socket.read_buf(&mut self.buffer).await?;
        if let (0, Some(error)) = (count, self.unfinished_write) {
            return Err(error.into());
        }
        self.counter.add_received(count);
        Ok(count)
    }

    /// Returns whether the socket has failed since it was last read or written, such as by a reset
    /// that follows the end of the stream.
    pub fn has_failed(&self) -> bool {
        !matches!(self.socket.take_error(), Ok(None))
    }

    /// Waits until the peer closes its side or the socket fails.
    ///
    /// Bytes that arrive meanwhile stay in the buffer. Once it has `limit` bytes, reading stops and
    /// the future stays pending: a close is then not detected here.
    pub async fn wait_closed(&mut self, limit: usize) {
        while self.buffer.len() < limit {
            match self.read_more().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending::<()>().await;
    }

    /// Reads a request head.
    ///
    /// # Errors
    /// Returns why no valid head could be read.
    pub async fn read_request_head(&mut self, limit: usize) -> Result<RequestHead, ReadError> {
        loop {
            if let Some(head) = RequestHead::parse(&mut self.buffer, limit)? {
                return Ok(head);
            }
            self.read_more_of_head().await?;
        }
    }

    /// Reads a response head.
    ///
    /// # Errors
    /// Returns why no valid head could be read.
    pub async fn read_response_head(&mut self, limit: usize) -> Result<ResponseHead, ReadError> {
        loop {
            if let Some(head) = ResponseHead::parse(&mut self.buffer, limit)? {
                return Ok(head);
            }
            self.read_more_of_head().await?;
        }
    }

    async fn read_more_of_head(&mut self) -> Result<(), ReadError> {
        let started = !self.buffer.is_empty();
        match self.read_more().await? {
            0 if started => Err(ReadError::TruncatedHead),
            0 => Err(ReadError::Closed),
            _ => Ok(()),
        }
    }

    /// Reads the next bytes of a body; `None` when the body is complete.
    ///
    /// # Errors
    /// Returns an error if the body is malformed or truncated.
    pub async fn read_body(
        &mut self,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, ReadError> {
        loop {
            match decoder.next_part(&mut self.buffer)? {
                BodyPart::Data(data) => return Ok(Some(data)),
                BodyPart::End => return Ok(None),
                BodyPart::Incomplete => {}
            }
            if self.read_more().await? == 0 {
                decoder.handle_eof()?;
            }
        }
    }

    /// Reads a complete body of at most `limit` bytes; `None` when it is longer.
    ///
    /// # Errors
    /// Returns an error if the body is malformed or truncated.
    pub async fn read_full_body(
        &mut self,
        decoder: &mut BodyDecoder,
        limit: usize,
    ) -> Result<Option<Bytes>, ReadError> {
        let Some(first) = self.read_body(decoder).await? else {
            return Ok(Some(Bytes::new()));
        };
        if decoder.is_done() {
            return Ok((first.len() <= limit).then_some(first));
        }
        let mut body = BytesMut::from(first);
        while body.len() <= limit {
            match self.read_body(decoder).await? {
                Some(data) => body.extend_from_slice(&data),
                None => return Ok(Some(body.freeze())),
            }
        }
        Ok(None)
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    /// Returns the socket's error.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.split().1.write(bytes).await
    }

    /// Splits the stream, so that a response can be read while its request is still being written.
    pub fn split(&mut self) -> (HttpReader<'_>, HttpWriter<'_>) {
        let (reader, writer) = self.socket.split();
        let counter = &self.counter;
        let reader = HttpReader { socket: reader, buffer: &mut self.buffer, counter };
        let unfinished_write = &mut self.unfinished_write;
        (reader, HttpWriter { socket: writer, counter, unfinished_write })
    }

    /// Sets whether the connection is closed with a TCP reset when it is dropped, also when the
    /// process ends: for a response that ends with its connection, as long as it is not complete.
    pub fn reset_on_drop(&mut self, resets: bool) {
        if self.resets_on_drop != resets {
            // On failure the socket is closed already.
            let _ = SockRef::from(&self.socket).set_linger(resets.then_some(Duration::ZERO));
            self.resets_on_drop = resets;
        }
    }

    /// Closes the connection with a TCP reset, so that the peer does not take the response as
    /// complete.
    pub fn reset(self) {
        // On failure the close is orderly; the peer still detects the missing end of the body.
        let _ = SockRef::from(&self.socket).set_linger(Some(Duration::ZERO));
    }

    /// Closes the write side and discards what the peer still sends, for at most `timeout`: unread
    /// bytes at the close would cause a reset, and the peer could lose the response.
    pub async fn close_gracefully(mut self, timeout: Duration) {
        if self.socket.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            while matches!(self.read_more().await, Ok(count) if count > 0) {
                self.buffer.clear();
            }
        };
        let _ = tokio::time::timeout(timeout, drain).await;
    }
}

/// The read half of a split [`HttpStream`].
#[derive(Debug)]
pub struct HttpReader<'stream> {
    socket: tokio::net::tcp::ReadHalf<'stream>,
    buffer: &'stream mut BytesMut,
    counter: &'stream ByteCounter,
}

impl HttpReader<'_> {
    /// Reads a response head; see [`HttpStream::read_response_head`].
    ///
    /// # Errors
    /// Returns why no valid head could be read.
    pub async fn read_response_head(&mut self, limit: usize) -> Result<ResponseHead, ReadError> {
        loop {
            if let Some(head) = ResponseHead::parse(self.buffer, limit)? {
                return Ok(head);
            }
            let started = !self.buffer.is_empty();
            self.buffer.reserve(READ_RESERVE_BYTES);
            match self.socket.read_buf(self.buffer).await? {
                0 if started => return Err(ReadError::TruncatedHead),
                0 => return Err(ReadError::Closed),
                count => self.counter.add_received(count),
            }
        }
    }
}

/// The write half of a split [`HttpStream`].
#[derive(Debug)]
pub struct HttpWriter<'stream> {
    socket: tokio::net::tcp::WriteHalf<'stream>,
    counter: &'stream ByteCounter,
    unfinished_write: &'stream mut Option<io::ErrorKind>,
}

impl HttpWriter<'_> {
    /// Writes all of `bytes`.
    ///
    /// # Errors
    /// Returns the socket's error.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        // Stays if the future is dropped.
        *self.unfinished_write = Some(io::ErrorKind::ConnectionAborted);
        let written = self.socket.write_all(bytes).await;
        *self.unfinished_write = written.as_ref().err().map(io::Error::kind);
        written?;
        self.counter.add_sent(bytes.len());
        Ok(())
    }
}
