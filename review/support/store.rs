//! Stand-in of the platform's store: a log whose keyed topics also serve the newest records.
//!
//! It follows the page on the metadata store: `log-append`, `log-read` with a wait, and `log-newest`.
//! Each daemon has a port of its own, so that the store can turn one machine away (status 503, nothing
//! done) while it serves the others and the operator.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use super::http::read_message;
use super::http::write_response;
use super::http::Message;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type Record = (String, Vec<u8>);

#[derive(Default)]
struct Topics {
    records: Mutex<HashMap<String, Vec<Record>>>,
    changed: Condvar,
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<Topics>,
}

/// Port of the store that one machine uses.
#[derive(Clone)]
pub struct StorePort {
    pub address: SocketAddr,
    /// True while the store turns the machine away.
    pub turned_away: Arc<AtomicBool>,
}

impl Store {
    /// Opens a port for one machine.
    pub fn open_port(&self) -> StorePort {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let address = listener.local_addr().expect("address of the store");
        let turned_away = Arc::new(AtomicBool::new(false));
        let (store, flag) = (self.clone(), turned_away.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, flag) = (store.clone(), flag.clone());
                std::thread::spawn(move || store.serve(stream, &flag));
            }
        });
        StorePort {
            address,
            turned_away,
        }
    }

    /// Writes a record as the operator does; it is confirmed when this returns.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut records = self.topics.records.lock().expect("lock the store");
        let topic = records.entry(topic.to_owned()).or_default();
        topic.push((key.to_owned(), value.to_vec()));
        self.topics.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream, turned_away: &AtomicBool) {
        stream.set_nodelay(true).ok();
        while let Some(request) = read_message(&mut stream) {
            std::thread::sleep(ANSWER_TIME);
            if turned_away.load(Ordering::Relaxed) {
                if write_response(&mut stream, "503 Service Unavailable", "", b"{}").is_err() {
                    return;
                }
                continue;
            }
            let (status, body) = self.answer(&request);
            // A machine that was cut off meanwhile doesn't get the answer of a long poll.
            if turned_away.load(Ordering::Relaxed) {
                return;
            }
            if write_response(&mut stream, status, "", &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let (_, target) = request.method_and_target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let topic = query.get("Topic").copied().unwrap_or("").to_owned();
        match path {
            "/api/log-append" => ("200 OK", self.append(&topic, &request.body)),
            "/api/log-newest" => ("200 OK", self.newest(&topic)),
            "/api/log-read" => {
                let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok());
                let wait = Duration::from_millis(number("WaitMs").unwrap_or(0));
                (
                    "200 OK",
                    self.read(&topic, number("From").unwrap_or(0), wait),
                )
            }
            _ => ("404 Not Found", b"{}".to_vec()),
        }
    }

    fn append(&self, topic: &str, mut bytes: &[u8]) -> Vec<u8> {
        let mut records = self.topics.records.lock().expect("lock the store");
        let topic = records.entry(topic.to_owned()).or_default();
        let offset = topic.len();
        while bytes.len() >= 5 {
            let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
            let record = &bytes[4..4 + length];
            bytes = &bytes[4 + length..];
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            topic.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
        }
        let end = topic.len();
        self.topics.changed.notify_all();
        format!("{{\"Offset\":{offset},\"End\":{end}}}").into_bytes()
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let mut records = self.topics.records.lock().expect("lock the store");
        let topic = records.entry(topic.to_owned()).or_default();
        let mut newest: HashMap<&str, (usize, &[u8])> = HashMap::new();
        for (offset, (key, value)) in topic.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items = items.map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}")
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = topic.len();
        format!("{{\"items\":[{items}],\"HasMore\":false,\"End\":{end}}}").into_bytes()
    }

    fn read(&self, topic: &str, from: u64, wait: Duration) -> Vec<u8> {
        let deadline = Instant::now() + wait;
        let mut records = self.topics.records.lock().expect("lock the store");
        loop {
            let list = records.entry(topic.to_owned()).or_default();
            let now = Instant::now();
            if list.len() as u64 > from || now >= deadline {
                let mut body = Vec::new();
                body.extend_from_slice(&(list.len() as u64).to_be_bytes());
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in list.iter().skip(from as usize) {
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend_from_slice(&length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return body;
            }
            let (guard, _) = self
                .topics
                .changed
                .wait_timeout(records, deadline - now)
                .expect("wait in the store");
            records = guard;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let value = (bits >> (18 - 6 * digit)) & 63;
                text.push(char::from(DIGITS[value as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
