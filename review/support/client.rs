//! Stand-in of a client.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use super::http::read_head;

/// What a client got for a request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status, or 0 if the connection ended without an answer.
    pub status: u16,
    /// True if the whole body arrived.
    pub complete: bool,
    pub bytes: usize,
    pub expected_bytes: usize,
    /// Time from the sending to the end.
    pub took: Duration,
}

/// A request.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: Option<&'a str>,
    pub deadline: Duration,
    pub body: &'a [u8],
    /// Bytes a second that the client reads, if that is limited.
    pub bytes_per_s: Option<usize>,
}

/// Sends a request on a new connection and reads its answer, until the client's deadline.
pub fn send(address: SocketAddr, request: &Request) -> Answer {
    let started = Instant::now();
    let mut answer = Answer {
        status: 0,
        complete: false,
        bytes: 0,
        expected_bytes: 0,
        took: Duration::ZERO,
    };
    exchange(address, request, started, &mut answer);
    answer.took = started.elapsed();
    answer
}

fn exchange(
    address: SocketAddr,
    request: &Request,
    started: Instant,
    answer: &mut Answer,
) -> Option<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(request.deadline)).ok()?;
    let key = request
        .key
        .map(|key| format!("Authorization: Bearer {key}\r\n"));
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n{}Content-Length: {}\r\n\r\n",
        request.method,
        request.path,
        request.id,
        request.deadline.as_millis(),
        key.unwrap_or_default(),
        request.body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(request.body).ok()?;
    let head = read_head(&mut stream)?;
    answer.status = head.status();
    answer.expected_bytes = head.header("content-length")?.parse().ok()?;
    let mut buffer = vec![0_u8; 64 * 1024];
    while answer.bytes < answer.expected_bytes {
        let left = request.deadline.checked_sub(started.elapsed())?;
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        answer.bytes += count;
        if let Some(rate) = request.bytes_per_s {
            std::thread::sleep(Duration::from_secs_f64(count as f64 / rate as f64));
        }
    }
    answer.complete = true;
    Some(())
}
