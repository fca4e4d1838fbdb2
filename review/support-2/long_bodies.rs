//! A planned stop of the daemon whose clients send long bodies, to an endpoint that reads slowly.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::CallerConnection;
use crate::deployment::Deployment;
use crate::endpoint::Task;
use crate::record::Record;

const CLIENTS: usize = 3;
/// Largest body of the site files in force.
const BODY_BYTES: usize = 24_000;
const READ_PAUSE: Duration = Duration::from_secs(3);
const WORK: Duration = Duration::from_millis(200);
const STOP_DELAY: Duration = Duration::from_millis(300);
const DEADLINE_MS: u32 = 8000;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Option<String>, String> {
    let read_pause = if trouble { READ_PAUSE } else { Duration::ZERO };
    let deployment =
        Deployment::start(record, 8, move |_| Task { read_pause, work: WORK, answer_bytes: 2000 })?;
    let outbound = deployment.vms[0].outbound;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || send_request(&record, client, CallerConnection::open(outbound)?))
        })
        .collect();
    thread::sleep(STOP_DELAY);
    record.note("SIGTERM to the daemon of the clients' machine");
    deployment.vms[0].terminate();
    let mut broken_off = Vec::new();
    for client in clients {
        let outcome = client.join().map_err(|_| "a client's thread ended".to_owned())?;
        broken_off.extend(outcome.map_err(|error| error.to_string())?);
    }
    // The endpoint sees that its connection is closed once it reads on.
    thread::sleep(READ_PAUSE);
    Ok((!broken_off.is_empty()).then(|| {
        format!(
            "{} of {CLIENTS} requests were broken off while their endpoint was at work, long before their \
             deadline: {}",
            broken_off.len(),
            broken_off.join(", ")
        )
    }))
}

/// Sends a request; returns what it got in place of its endpoint's answer, if that came too early.
fn send_request(
    record: &Record,
    client: usize,
    mut connection: CallerConnection,
) -> std::io::Result<Option<String>> {
    let id = format!("c{client}");
    record.note(&format!("client {client} sends {id}, POST /issue/1, {BODY_BYTES} bytes"));
    connection.send("POST", "/issue/1", &id, DEADLINE_MS, &vec![b'x'; BODY_BYTES])?;
    record.note(&format!("client {client} has sent the last byte of {id}"));
    let sent = record.now();
    let answer = connection.read_answer(Duration::from_secs(9));
    let took = record.now().saturating_sub(sent).as_secs_f64();
    let (text, is_endpoints) = match answer {
        Ok(answer) => (format!("{} after {took:.1} s", answer.status), answer.sealed),
        Err(error) => (format!("no answer after {took:.1} s ({error})"), false),
    };
    record.note(&format!("client {client} gets {text} for {id}, from the endpoint: {is_endpoints}"));
    let ran = record.run_of(&id).is_some();
    Ok((ran && !is_endpoints).then(|| format!("{id} got {text}")))
}
