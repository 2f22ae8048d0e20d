//! One socket together with the bytes read from it but not yet used.

use std::{io, net::SocketAddr, time::Duration};

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

/// How much room a read is given.
const READ_RESERVE_BYTES: usize = 4096;

/// How many keep-alive probes go unanswered before a silent peer counts as gone.
const KEEPALIVE_PROBES: u32 = 2;

/// Why nothing more can be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The peer closed the connection before the first byte of a message.
    #[error("the connection was closed between messages")]
    Closed,
    /// The peer closed the connection within a head.
    #[error("the connection was closed within a head")]
    TruncatedHead,
    /// The head can not be accepted.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The body can not be read on.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The socket failed.
    #[error("the socket failed: {0}")]
    Socket(#[from] io::Error),
}

/// One socket together with the bytes read from it but not yet used.
#[derive(Debug)]
pub struct HttpStream {
    socket: TcpStream,
    buffer: BytesMut,
}

impl HttpStream {
    /// Wraps a connected socket and turns off the delay of small packets.
    ///
    /// # Errors
    /// Returns the socket's error.
    pub fn new(socket: TcpStream) -> io::Result<Self> {
        socket.set_nodelay(true)?;
        Ok(Self { socket, buffer: BytesMut::new() })
    }

    /// Connects to `address` within `timeout`.
    ///
    /// # Errors
    /// Returns the socket's error, or that the time was over.
    pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let connecting = TcpStream::connect(address);
        let socket = tokio::time::timeout(timeout, connecting).await??;
        Self::new(socket)
    }

    /// Makes the socket fail when the peer's host is silent for about `timeout`.
    ///
    /// # Errors
    /// Returns the socket's error.
    pub fn set_dead_peer_timeout(&self, timeout: Duration) -> io::Result<()> {
        let socket = SockRef::from(&self.socket);
        let probe_interval = (timeout / (KEEPALIVE_PROBES + 1)).max(Duration::from_secs(1));
        let keepalive = TcpKeepalive::new()
            .with_time(probe_interval)
            .with_interval(probe_interval)
            .with_retries(KEEPALIVE_PROBES);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(timeout))
    }

    /// Returns whether bytes were read that nothing has used.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns how many bytes were read that nothing has used.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether a kept connection is still quiet: neither closed nor holding stray bytes.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0; 1];
        let result = self.socket.try_read(&mut byte);
        let would_block =
            matches!(&result, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        would_block && self.buffer.is_empty()
    }

    /// Frees the read buffer of a connection that rests.
    pub fn release_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Reads more bytes; zero means that the peer closed its side.
    ///
    /// # Errors
    /// Returns the socket's error.
    pub async fn read_more(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_RESERVE_BYTES);
        self.socket.read_buf(&mut self.buffer).await
    }

    /// Waits until the peer has closed its side or the socket failed.
    ///
    /// Bytes that arrive meanwhile are kept, at most `limit` of them; beyond that the peer is held
    /// up and its close is noticed only later.
    pub async fn wait_closed(&mut self, limit: usize) {
        while self.buffer.len() < limit {
            match self.read_more().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending::<()>().await;
    }

    /// Reads a request's head.
    ///
    /// # Errors
    /// Returns why there is none.
    pub async fn read_request_head(&mut self, limit: usize) -> Result<RequestHead, ReadError> {
        loop {
            if let Some(head) = RequestHead::parse(&mut self.buffer, limit)? {
                return Ok(head);
            }
            self.read_more_of_head().await?;
        }
    }

    /// Reads a response's head.
    ///
    /// # Errors
    /// Returns why there is none.
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

    /// Reads the next bytes of a body; `None` when the body is whole.
    ///
    /// # Errors
    /// Returns that the body is malformed or was cut short.
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

    /// Reads a whole body of at most `limit` bytes; `None` when it is longer.
    ///
    /// # Errors
    /// Returns that the body is malformed or was cut short.
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
        self.socket.write_all(bytes).await
    }

    /// Splits the stream, so that a long request can be written while its answer is read.
    pub fn split(&mut self) -> (HttpReader<'_>, tokio::net::tcp::WriteHalf<'_>) {
        let (socket, writer) = self.socket.split();
        (HttpReader { socket, buffer: &mut self.buffer }, writer)
    }

    /// Closes the connection so that the peer sees a reset and can not take the answer for whole.
    pub fn reset(self) {
        // A failure leaves an ordinary close, which the missing end of the body still tells apart.
        let _ = SockRef::from(&self.socket).set_linger(Some(Duration::ZERO));
    }

    /// Closes the write side and reads what the peer still sends, so that the close is no reset.
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

/// The reading half of a split stream.
#[derive(Debug)]
pub struct HttpReader<'stream> {
    socket: tokio::net::tcp::ReadHalf<'stream>,
    buffer: &'stream mut BytesMut,
}

impl HttpReader<'_> {
    /// Reads a response's head; see [`HttpStream::read_response_head`].
    ///
    /// # Errors
    /// Returns why there is none.
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
                _ => {}
            }
        }
    }
}
