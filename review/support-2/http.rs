//! HTTP/1.1 messages on plain sockets, for the stand-ins of clients, endpoints and the store.

use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Connection with the bytes that were received and not yet used.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// First line and headers of a message; header names are in lower case.
pub struct Head {
    pub line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: the target of a request or the status of a response.
    pub fn second_word(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn content_length(&self) -> usize {
        let value = self.header("content-length");
        value.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

impl Connection {
    pub fn from_stream(stream: TcpStream) -> Self {
        let buffer = Vec::new();
        Self { stream, buffer }
    }

    pub fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self::from_stream(stream))
    }

    /// Reads a head; returns none if the connection ends before its first byte.
    pub fn read_head(&mut self) -> Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(parse_head(&text)));
            }
            if !self.receive()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads the next bytes of a body of `length` bytes, at least one.
    pub fn read_some(&mut self, length: usize) -> Result<usize> {
        if self.buffer.is_empty() && !self.receive()? {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let count = self.buffer.len().min(length);
        self.buffer.drain(..count);
        Ok(count)
    }

    pub fn read_body(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.receive()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn receive(&mut self) -> Result<bool> {
        let mut bytes = [0; 65536];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }
}

/// Sends one request on a new connection and returns the status and the body of its response.
pub fn call(address: SocketAddr, request: &str, path: &str, body: &[u8]) -> Result<(u16, Vec<u8>)> {
    let mut connection = Connection::connect(address)?;
    connection.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let length = body.len();
    let head = format!("{request} {path} HTTP/1.1\r\nHost: daemon\r\nContent-Length: {length}\r\n\r\n");
    connection.stream.write_all(&[head.as_bytes(), body].concat())?;
    let head = connection.read_head()?.ok_or(ErrorKind::UnexpectedEof)?;
    let body = connection.read_body(head.content_length())?;
    let status = head.second_word().parse();
    Ok((status.map_err(|_| Error::from(ErrorKind::InvalidData))?, body))
}

/// Accepts connections for as long as the process runs, each with a thread of its own.
pub fn accept(listener: TcpListener, serve: impl Fn(Connection) + Clone + Send + 'static) {
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let serve = serve.clone();
            thread::spawn(move || serve(Connection::from_stream(stream)));
        }
    });
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or("").to_owned();
    let pairs = lines.filter_map(|line| line.split_once(':'));
    let headers = pairs.map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()));
    let headers = headers.collect();
    Head { line, headers }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|part| part == pattern)
}
