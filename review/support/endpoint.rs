//! Stand-in of an application endpoint.

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use super::http::call;
use super::http::read_body;
use super::http::read_head;
use super::http::write_response;
use super::http::Message;
use super::record::Record;

/// Interval of the pings, the `HeartbeatS` of the settings.
const PING_INTERVAL: Duration = Duration::from_millis(1500);

/// A request that the endpoint began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    /// Seconds since the start of the record.
    pub at: f64,
    pub id: String,
    pub tenant: String,
}

/// Size from which a body is long, for an endpoint that rejects long ones early.
const LONG_BODY_BYTES: usize = 1024 * 1024;

/// What the endpoint does with a request.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    pub time: Duration,
    pub answer_bytes: usize,
}

/// An endpoint beside one daemon.
#[derive(Clone)]
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    born_ms: u64,
    slots: u32,
    sequence: Arc<AtomicU64>,
    work: Arc<Mutex<Work>>,
    runs: Arc<Mutex<Vec<Run>>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    ended: Arc<AtomicBool>,
    /// Bytes a second at which the endpoint reads the rest of a long body that it has rejected, or 0 if
    /// it rejects none.
    pub early_bytes_per_s: Arc<AtomicU64>,
    /// True while the endpoint sends pings.
    pub pings: Arc<AtomicBool>,
    record: Record,
}

impl Endpoint {
    /// Starts an endpoint of a service.
    pub fn start(id: &str, service: &str, slots: u32, work: Work, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the endpoint");
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let endpoint = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("address of the endpoint"),
            born_ms: since_epoch.map_or(0, |time| time.as_millis() as u64),
            slots,
            sequence: Arc::default(),
            work: Arc::new(Mutex::new(work)),
            runs: Arc::default(),
            streams: Arc::default(),
            ended: Arc::default(),
            early_bytes_per_s: Arc::default(),
            pings: Arc::default(),
            record: record.clone(),
        };
        let serving = endpoint.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.ended.load(Ordering::Relaxed) {
                    return;
                }
                let (serving, copy) = (serving.clone(), stream.try_clone());
                serving.streams.lock().expect("lock").extend(copy);
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        endpoint
    }

    /// Sets what the endpoint does with requests from now on.
    pub fn set_work(&self, work: Work) {
        *self.work.lock().expect("lock") = work;
    }

    /// Returns the requests that the endpoint began to work on.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("lock").clone()
    }

    /// Composes a ping with the next sequence number.
    pub fn compose_ping(&self, state: &str) -> (String, String) {
        let sequence = 1 + self.sequence.fetch_add(1, Ordering::Relaxed);
        let body = format!(
            "{{\"Address\":\"{}\",\"born\":{},\"Info\":{{\"Service\":\"{}\",\"Version\":\"v1\",\
             \"Zone\":\"zone-1\",\"Slots\":{}}},\"Status\":{{\"State\":\"{state}\",\"Sequence\":{sequence},\
             \"ColdRemainingS\":0}}}}",
            self.address, self.born_ms, self.service, self.slots
        );
        (format!("/api/instances/{}/heartbeat", self.id), body)
    }

    /// Sends a ping now; returns true if it is acknowledged.
    pub fn ping(&self, control: SocketAddr, state: &str) -> bool {
        let (path, body) = self.compose_ping(state);
        call(control, "POST", &path, &body).is_some_and(|answer| answer.status() == 200)
    }

    /// Sends a ping at each interval until `pings` is false.
    pub fn ping_regularly(&self, control: SocketAddr) {
        self.pings.store(true, Ordering::Relaxed);
        let endpoint = self.clone();
        std::thread::spawn(move || {
            while endpoint.pings.load(Ordering::Relaxed) {
                endpoint.ping(control, "ready");
                std::thread::sleep(PING_INTERVAL);
            }
        });
    }

    /// Ends the endpoint: its connections are closed, and nothing listens any more.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        for stream in self.streams.lock().expect("lock").drain(..) {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
        // Wakes the listener, which then ends.
        TcpStream::connect(self.address).ok();
    }

    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).ok();
        while let Some(mut request) = read_head(&mut stream) {
            let rate = self.early_bytes_per_s.load(Ordering::Relaxed);
            if rate > 0 && request.body_length() >= LONG_BODY_BYTES {
                if self.reject_early(&mut stream, &request, rate).is_err() {
                    return;
                }
                continue;
            }
            if read_body(&mut stream, &mut request).is_none() {
                return;
            }
            if self.handle(&mut stream, &request).is_err() {
                return;
            }
        }
    }

    /// Rejects a request before its body has been read, and reads on slowly.
    fn reject_early(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        bytes_per_s: u64,
    ) -> std::io::Result<()> {
        let id = request.header("x-attempt-id").unwrap_or("");
        let headers = format!("X-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n");
        write_response(stream, "503 Service Unavailable", &headers, b"")?;
        self.record
            .line(&format!("endpoint {} rejects id {id} early", self.id));
        let mut left = request.body_length();
        let mut buffer = vec![0_u8; 64 * 1024];
        while left > 0 {
            let limit = left.min(buffer.len());
            let count = stream.read(&mut buffer[..limit])?;
            if count == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            left -= count;
            std::thread::sleep(Duration::from_secs_f64(count as f64 / bytes_per_s as f64));
        }
        self.record.line(&format!(
            "endpoint {} has read the rest of id {id}",
            self.id
        ));
        Ok(())
    }

    fn handle(&self, stream: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        let header = |name: &str| request.header(name).unwrap_or("").to_owned();
        let (id, expected) = (header("x-attempt-id"), header("x-expected-instance"));
        if !expected.is_empty() && expected != self.id {
            let headers = format!("X-Instance-Id: {}\r\n", self.id);
            return write_response(stream, "421 Misdirected Request", &headers, b"");
        }
        let (method, target) = request.method_and_target();
        let tenant = header("x-tenant-name");
        self.record.line(&format!(
            "endpoint {} runs {method} {target} id {id} tenant {tenant:?}",
            self.id
        ));
        let run = Run {
            at: self.record.seconds(),
            id: id.clone(),
            tenant,
        };
        self.runs.lock().expect("lock").push(run);
        let work = *self.work.lock().expect("lock");
        std::thread::sleep(work.time);
        if self.ended.load(Ordering::Relaxed) {
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        let body = vec![b'x'; work.answer_bytes];
        let headers =
            format!("X-Attempt-Id: {id}\r\nX-Response-Seal: 1.2.3\r\nKeep-Alive: timeout=10\r\n");
        let written = write_response(stream, "200 OK", &headers, &body);
        self.record.line(&format!(
            "endpoint {} answered id {id}: {} bytes",
            self.id,
            body.len()
        ));
        written
    }
}
