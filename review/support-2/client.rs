//! A client's connection to the daemon on its machine.

use std::io::ErrorKind;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::deployment::HOST;
use crate::deployment::KEY;
use crate::http::Connection;
use crate::socket::connect_narrow;

pub struct CallerConnection {
    connection: Connection,
}

/// Complete answer.
pub struct Answer {
    pub status: u16,
    pub id: String,
    pub sealed: bool,
    pub body: Vec<u8>,
}

impl CallerConnection {
    /// Connects with a small receive window.
    pub fn open(address: SocketAddrV4) -> Result<Self> {
        let connection = Connection::from_stream(connect_narrow(address)?);
        Ok(Self { connection })
    }

    /// Sends a request without waiting for earlier answers.
    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        id: &str,
        deadline_ms: u32,
        body: &[u8],
    ) -> Result<()> {
        let length = body.len();
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {length}\r\n\r\n"
        );
        self.connection.stream.write_all(&[head.as_bytes(), body].concat())
    }

    /// Reads the next answer as fast as it arrives.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer isn't complete, or nothing arrives for `timeout`.
    pub fn read_answer(&mut self, timeout: Duration) -> Result<Answer> {
        self.connection.stream.set_read_timeout(Some(timeout))?;
        let head = self.connection.read_head()?.ok_or(ErrorKind::UnexpectedEof)?;
        let body = self.connection.read_body(head.content_length())?;
        Ok(Answer {
            status: head.second_word().parse().unwrap_or(0),
            id: head.header("x-attempt-id").unwrap_or("").to_owned(),
            sealed: head.header("x-response-seal").is_some(),
            body,
        })
    }
}
