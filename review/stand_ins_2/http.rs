//! Just enough HTTP/1.1 for stand-ins.

use std::{
    io::{Error, ErrorKind, Read, Result, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A message: its first line, its header fields and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// A connection with its read buffer.
pub struct Connection {
    pub socket: TcpStream,
    pub buffer: Vec<u8>,
}

impl Connection {
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Self { socket, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    /// Reads more bytes; zero means that the peer closed in order.
    pub fn read_more(&mut self) -> Result<usize> {
        let mut bytes = [0; 8192];
        let count = self.socket.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> Result<Message> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields.map(|(key, value)| (key.to_owned(), value.trim().to_owned()));
                return Ok(Message { first_line, fields: fields.collect(), body: Vec::new() });
            }
            if self.read_more()? == 0 {
                return Err(Error::from(ErrorKind::UnexpectedEof));
            }
        }
    }

    /// Reads a message whose body has a length, or none.
    pub fn read_message(&mut self) -> Result<Message> {
        let mut message = self.read_head()?;
        let length = message.field("content-length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.buffer.len() < length {
            if self.read_more()? == 0 {
                return Err(Error::from(ErrorKind::UnexpectedEof));
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(message)
    }

    /// Writes a response whose body has a length.
    pub fn respond(&mut self, status: &str, fields: &str, body: &[u8]) -> Result<()> {
        let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.socket.write_all(&bytes)
    }
}

/// Makes one call over a new connection.
pub fn call(address: SocketAddr, method: &str, target: &str, body: &[u8]) -> Result<Message> {
    let mut connection = Connection::open(address, Duration::from_secs(1))?;
    connection.socket.set_read_timeout(Some(Duration::from_secs(2)))?;
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    connection.socket.write_all(&bytes)?;
    connection.read_message()
}

/// Returns the value of a query parameter.
pub fn query<'target>(target: &'target str, name: &str) -> &'target str {
    let pairs = target.split_once('?').map_or("", |(_, pairs)| pairs).split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
}

/// Returns the text or number of a key in a flat JSON object.
pub fn json_value(body: &[u8], key: &str) -> String {
    let text = String::from_utf8_lossy(body);
    let Some((_, rest)) = text.split_once(&format!("\"{key}\":")) else { return String::new() };
    let rest = rest.trim_start();
    match rest.strip_prefix('"') {
        Some(rest) => rest.split('"').next().unwrap_or_default().to_owned(),
        None => rest.chars().take_while(char::is_ascii_digit).collect(),
    }
}
