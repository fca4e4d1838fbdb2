//! A planned stop of the daemon whose clients send further safe requests before the first is answered.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::CallerConnection;
use crate::deployment::Deployment;
use crate::endpoint::answer_body;
use crate::endpoint::Task;
use crate::record::Record;

const CLIENTS: usize = 8;
/// Largest answer of the site files in force.
const ANSWER_BYTES: usize = 36_000;
/// Time from SIGTERM until the clients send; a second after it they have seen at most one missed check.
const SEND_DELAY: Duration = Duration::from_millis(900);
const SEND_GAP: Duration = Duration::from_millis(30);
const WORK: Duration = Duration::from_millis(1700);
const DEADLINE_MS: u32 = 5000;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Option<String>, String> {
    let deployment = Deployment::start(record, 5, |target| {
        let first = target.starts_with("/issue/");
        let work = if first { WORK } else { Duration::from_millis(50) };
        let answer_bytes = if first { ANSWER_BYTES } else { 2000 };
        Task { read_pause: Duration::ZERO, work, answer_bytes }
    })?;
    if trouble {
        record.note("SIGTERM to the daemon of the clients' machine");
        deployment.vms[0].terminate();
    }
    let outbound = deployment.vms[0].outbound;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            let connection = CallerConnection::open(outbound);
            thread::spawn(move || send_requests(&record, client, connection))
        })
        .collect();
    let mut lost = Vec::new();
    for client in clients {
        let outcome = client.join().map_err(|_| "a client's thread ended".to_owned())?;
        lost.extend(outcome.map_err(|error| error.to_string())?);
    }
    Ok((!lost.is_empty()).then(|| {
        format!(
            "{} of {CLIENTS} requests at which an endpoint was at work and that it answered in time ended \
             without a complete answer: {}",
            lost.len(),
            lost.join(", ")
        )
    }))
}

/// Sends an unsafe request and three safe ones behind it; returns those that were passed on and have no
/// complete answer.
fn send_requests(
    record: &Record,
    client: usize,
    connection: std::io::Result<CallerConnection>,
) -> std::io::Result<Vec<String>> {
    let mut connection = connection?;
    thread::sleep(SEND_DELAY);
    let ids: Vec<String> = (0..4).map(|number| format!("c{client}-{number}")).collect();
    for (number, id) in ids.iter().enumerate() {
        let (method, target) = if number == 0 { ("POST", "/issue/1") } else { ("GET", "/read/1") };
        connection.send(method, target, id, DEADLINE_MS, b"")?;
        record.note(&format!("client {client} sends {id}, {method} {target}"));
        thread::sleep(SEND_GAP);
    }
    let mut open = ids.iter();
    for id in &ids {
        match connection.read_answer(Duration::from_secs(6)) {
            Ok(answer) => {
                let bytes = if id.ends_with("-0") { ANSWER_BYTES } else { 2000 };
                let whole = answer.status == 200 && answer.body == answer_body(id, bytes);
                let (status, length) = (answer.status, answer.body.len());
                record.note(&format!("client {client} gets {status} for {id}, {length} bytes, whole: {whole}"));
                open.next();
            }
            Err(error) => {
                record.note(&format!("client {client} gets no complete answer for {id}: {error}"));
                break;
            }
        }
    }
    // A request that was sent behind another and wasn't passed on doesn't count.
    let passed_on = open.filter(|id| {
        let run = record.run_of(id);
        run.is_some_and(|run| matches!(run.ended, Some((_, "answered"))))
    });
    Ok(passed_on.cloned().collect())
}
