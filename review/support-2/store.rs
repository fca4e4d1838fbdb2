//! The platform's store: keyed topics in memory, with the reads and appends that daemons use.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

use crate::http::accept;
use crate::http::Connection;

type Records = Vec<(String, Vec<u8>)>;

#[derive(Default)]
struct Shared {
    topics: Mutex<HashMap<String, Records>>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start(ip: std::net::Ipv4Addr) -> Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::<Shared>::default();
        let store = Self { address, shared };
        let served = store.clone();
        // A daemon may close its connection at any time.
        accept(listener, move |connection| drop(served.serve(connection)));
        Ok(store)
    }

    /// Appends a record; returns the offset after it.
    pub fn append(&self, topic: &str, key: &str, value: &[u8]) -> usize {
        let mut topics = self.shared.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        self.shared.changed.notify_all();
        records.len()
    }

    fn serve(&self, mut connection: Connection) -> Result<()> {
        while let Some(head) = connection.read_head()? {
            let target = head.second_word().to_owned();
            let body = connection.read_body(head.content_length())?;
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let parameter = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                let value = pairs.clone().find(|(key, _)| *key == name);
                value.map_or("", |(_, value)| value).to_owned()
            };
            let topic = parameter("Topic");
            let answer = match path {
                "/api/log-append" => self.append_raw(&topic, &body)?,
                "/api/log-newest" => self.newest(&topic),
                _ => {
                    let from = parameter("From").parse().unwrap_or(0);
                    let wait = parameter("WaitMs").parse().unwrap_or(0);
                    self.read(&topic, from, Duration::from_millis(wait))
                }
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", answer.len());
            connection.stream.write_all(&[head.as_bytes(), &answer].concat())?;
        }
        Ok(())
    }

    fn append_raw(&self, topic: &str, body: &[u8]) -> Result<Vec<u8>> {
        let key_length = usize::from(*body.get(4).ok_or(ErrorKind::InvalidData)?);
        let key = body.get(5..5 + key_length).ok_or(ErrorKind::InvalidData)?;
        let key = String::from_utf8_lossy(key).into_owned();
        let end = self.append(topic, &key, &body[5 + key_length..]);
        Ok(format!("{{\"Offset\":{},\"End\":{end}}}", end - 1).into_bytes())
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.shared.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<String> = items
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        format!("{{\"items\":[{items}],\"HasMore\":false,\"End\":{end}}}").into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let topics = self.shared.topics.lock().unwrap();
        let has_none =
            |topics: &mut HashMap<String, Records>| topics.get(topic).map_or(0, Vec::len) <= from;
        let waited = self.shared.changed.wait_timeout_while(topics, wait, has_none);
        let (topics, _) = waited.unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut page = (records.len() as u64).to_be_bytes().to_vec();
        page.extend([0; 8]);
        for (key, value) in records.iter().skip(from) {
            let length = 1 + key.len() + value.len();
            page.extend((length as u32).to_be_bytes());
            page.push(key.len() as u8);
            page.extend(key.as_bytes());
            page.extend(value);
        }
        page
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let number = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}
