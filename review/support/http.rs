//! Minimal HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A message: its first line, headers with names in lower case, and body.
#[derive(Debug, Clone)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Returns the length of the body that the head announces.
    pub fn body_length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|length| length.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the target of a request.
    pub fn method_and_target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads the head of a message; returns none at the end of the connection.
pub fn read_head(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    let mut byte = [0_u8; 1];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
        if head.len() > 65536 {
            return None;
        }
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let start = lines.next()?.to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    Some(Message {
        start,
        headers: headers.collect(),
        body: Vec::new(),
    })
}

/// Reads the body after a head; returns none if it is incomplete.
pub fn read_body(stream: &mut TcpStream, message: &mut Message) -> Option<()> {
    let mut body = vec![0_u8; message.body_length()];
    stream.read_exact(&mut body).ok()?;
    message.body = body;
    Some(())
}

/// Reads a message with a `Content-Length`; returns none if it is incomplete.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut message = read_head(stream)?;
    read_body(stream, &mut message)?;
    Some(message)
}

/// Writes a response with a body.
pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> std::io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

/// Sends one request on a new connection; returns the response, or none if there is no complete one.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Message> {
    let wait = Duration::from_secs(3);
    let mut stream = TcpStream::connect_timeout(&address, wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut stream)
}
