//! Minimal HTTP/1.1 over blocking sockets, for stand-ins and clients.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::TcpStream,
    time::Duration,
};

/// A request or response head with its body.
#[derive(Debug, Clone)]
pub struct Message {
    /// The request line or status line.
    pub start: String,
    /// The header fields in their order.
    pub fields: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query, or an empty string.
    pub fn query(&self, name: &str) -> &str {
        parameter(self.target().split_once('?').map_or("", |(_, query)| query), name)
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }
}

/// Returns a parameter from a text such as `a=1&b=2`, or an empty string.
pub fn parameter<'text>(text: &'text str, name: &str) -> &'text str {
    let mut pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
}

/// Returns the value of a key in a flat JSON text: a string without escapes, or a number.
pub fn json_value<'text>(text: &'text str, key: &str) -> Option<&'text str> {
    let rest = &text[text.find(&format!("\"{key}\":"))? + key.len() + 3..];
    let rest = rest.trim_start();
    if let Some(rest) = rest.strip_prefix('"') {
        return rest.split('"').next();
    }
    rest.split([',', '}', ']']).next().map(str::trim)
}

/// A connection with its read buffer.
pub struct Connection {
    /// The socket.
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Wraps a connected socket.
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Self { socket, buffer: Vec::new() }
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }

    /// Reads more bytes; zero is the end of the stream.
    fn read_more(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let count = self.socket.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the peer closed before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            let started = !self.buffer.is_empty();
            if self.read_more()? == 0 {
                return if started { Err(ErrorKind::UnexpectedEof.into()) } else { Ok(None) };
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
        Ok(Some(Message { start, fields: fields.collect(), body: Vec::new() }))
    }

    /// Reads a request with its body, in any framing.
    pub fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut request) = self.read_head()? else { return Ok(None) };
        if request.field("transfer-encoding").is_some() {
            while let Some(chunk) = self.read_chunk()? {
                request.body.extend(chunk);
            }
        } else if let Some(length) = request.field("content-length") {
            let length = length.parse().map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
            request.body = self.read_exact(length)?;
        }
        Ok(Some(request))
    }

    /// Reads a number of bytes.
    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.read_more()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads what has arrived; `None` at the end of the stream.
    pub fn read_some(&mut self) -> io::Result<Option<Vec<u8>>> {
        if self.buffer.is_empty() && self.read_more()? == 0 {
            return Ok(None);
        }
        Ok(Some(std::mem::take(&mut self.buffer)))
    }

    /// Reads a chunk; `None` after the last one.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.read_line()?;
        let size = size.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16)
            .map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
        if size == 0 {
            while !self.read_line()?.is_empty() {}
            return Ok(None);
        }
        let chunk = self.read_exact(size)?;
        self.read_exact(2)?;
        Ok(Some(chunk))
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.read_more()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Waits for some time; returns whether the peer closed the connection meanwhile.
    pub fn closes_within(&mut self, time: Duration) -> bool {
        let until = std::time::Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(std::time::Instant::now());
            if left.is_zero() {
                return false;
            }
            let _ = self.socket.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let read = self.read_more();
            let _ = self.socket.set_read_timeout(None);
            match read {
                Ok(0) => return true,
                Ok(_) => {
                    // A request that was sent ahead stays in the buffer.
                    std::thread::sleep(until.saturating_duration_since(std::time::Instant::now()));
                    return false;
                }
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return true,
            }
        }
    }

    /// Writes a response with a length.
    pub fn respond(&mut self, status: u16, fields: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes =
            format!("HTTP/1.1 {status} Status\r\n{fields}Content-Length: {}\r\n\r\n", body.len())
                .into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}
