//! An endpoint: runs requests, keeps a record of each run, and drops a run whose connection closes.

use std::io::ErrorKind;
use std::io::Result;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::accept;
use crate::http::Connection;
use crate::http::Head;
use crate::record::Record;
use crate::socket::narrow_listener;

/// Interval at which a run looks whether its connection is still open.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes of a body that are read before a pause.
const READ_BEFORE_PAUSE: usize = 2048;

/// What an endpoint does with a request.
#[derive(Clone, Copy)]
pub struct Task {
    /// Time without reading after the first bytes of a long body.
    pub read_pause: Duration,
    pub work: Duration,
    pub answer_bytes: usize,
}

/// Endpoint that serves until the process ends.
pub struct Endpoint {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    record: Arc<Record>,
    task_of: Box<dyn Fn(&str) -> Task + Send + Sync>,
    leaving: AtomicBool,
    health_hangs: AtomicBool,
}

impl Endpoint {
    /// Starts an endpoint; `task_of` returns the task of a request by its target.
    pub fn start(
        ip: Ipv4Addr,
        id: String,
        record: &Arc<Record>,
        task_of: impl Fn(&str) -> Task + Send + Sync + 'static,
    ) -> Result<Self> {
        let listener = TcpListener::bind((ip, 8080))?;
        narrow_listener(&listener)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.clone(),
            record: record.clone(),
            task_of: Box::new(task_of),
            leaving: AtomicBool::new(false),
            health_hangs: AtomicBool::new(false),
        });
        let served = shared.clone();
        accept(listener, move |connection| drop(serve(&served, connection)));
        Ok(Self { id, address, shared })
    }

    /// Sets whether status checks hang.
    pub fn set_health_hangs(&self, hangs: bool) {
        self.shared.health_hangs.store(hangs, Ordering::SeqCst);
    }

    /// Makes the endpoint say in status checks that it leaves.
    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
    }
}

fn serve(shared: &Shared, mut connection: Connection) -> Result<()> {
    connection.stream.set_nodelay(true)?;
    while let Some(head) = connection.read_head()? {
        let instance = &shared.id;
        if head.second_word() == "/health" {
            while shared.health_hangs.load(Ordering::SeqCst) {
                thread::sleep(LOOK_INTERVAL);
            }
            let leaves = shared.leaving.load(Ordering::SeqCst);
            let status = if leaves { "503 Service Unavailable" } else { "200 OK" };
            let text =
                format!("HTTP/1.1 {status}\r\nX-Instance-Id: {instance}\r\nContent-Length: 0\r\n\r\n");
            connection.stream.write_all(text.as_bytes())?;
            continue;
        }
        let id = head.header("x-attempt-id").unwrap_or("").to_owned();
        if head.header("x-expected-instance").is_some_and(|expected| expected != instance) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n\
                 X-Instance-Id: {instance}\r\nContent-Length: 0\r\n\r\n"
            );
            connection.stream.write_all(text.as_bytes())?;
            continue;
        }
        shared.record.note_arrival(&id);
        let run = shared.record.begin_run(&id);
        let ended = run_request(shared, &mut connection, &head, &id);
        shared.record.end_run(run, if ended.is_ok() { "answered" } else { "connection closed" });
        ended?;
    }
    Ok(())
}

fn run_request(shared: &Shared, connection: &mut Connection, head: &Head, id: &str) -> Result<()> {
    let task = (shared.task_of)(head.second_word());
    let length = head.content_length();
    let mut read = 0;
    while read < length.min(READ_BEFORE_PAUSE) {
        read += connection.read_some(length - read)?;
    }
    if read < length {
        thread::sleep(task.read_pause);
    }
    while read < length {
        read += connection.read_some(length - read)?;
    }
    work(connection, task.work)?;
    let body = answer_body(id, task.answer_bytes);
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: {}\r\nContent-Length: {}\r\n\r\n",
        shared.id,
        body.len()
    );
    connection.stream.write_all(&[head.as_bytes(), &body].concat())
}

/// Works for some time; ends with an error once the connection is closed.
fn work(connection: &Connection, time: Duration) -> Result<()> {
    let started = Instant::now();
    connection.stream.set_read_timeout(Some(LOOK_INTERVAL))?;
    while started.elapsed() < time {
        match connection.stream.peek(&mut [0]) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => thread::sleep(LOOK_INTERVAL),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    connection.stream.set_read_timeout(None)
}

/// Returns the body of the answer to a request, which names it.
pub fn answer_body(id: &str, bytes: usize) -> Vec<u8> {
    let mut body = format!("answer to {id} ").into_bytes();
    while body.len() < bytes {
        body.push(b'.');
    }
    body
}
