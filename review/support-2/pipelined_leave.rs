//! Clients that have sent further safe requests before the first is answered, and leave.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::CallerConnection;
use crate::deployment::Deployment;
use crate::endpoint::Task;
use crate::record::Record;
use crate::record::Run;

const TARGET: &str = "/read/1";
const CLIENTS: usize = 20;
const REQUESTS: usize = 3;
const SEND_GAP: Duration = Duration::from_millis(30);
const STAY: Duration = Duration::from_millis(400);
const WORK: Duration = Duration::from_secs(2);
const DEADLINE_MS: u32 = 8000;
/// Time after a client has left in which its requests may still reach endpoints or be worked on.
const LEFT_LIMIT: Duration = Duration::from_millis(500);
/// Requests that may reach an endpoint later than that.
const TOLERATED_ARRIVALS: usize = 3;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Option<String>, String> {
    let deployment = Deployment::start(record, 8, |target| {
        let work = if target == TARGET { WORK } else { Duration::ZERO };
        Task { read_pause: Duration::ZERO, work, answer_bytes: 2000 }
    })?;
    let outbound = deployment.vms[0].outbound;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || {
                send_requests(&record, client, CallerConnection::open(outbound)?, trouble)
            })
        })
        .collect();
    let mut left = Vec::new();
    for client in clients {
        let outcome = client.join().map_err(|_| "a client's thread ended".to_owned())?;
        left.push(outcome.map_err(|error| error.to_string())?);
    }
    thread::sleep(WORK * REQUESTS as u32);
    let Some(left): Option<Vec<Duration>> = left.into_iter().collect() else {
        return Ok(None);
    };
    let runs = record.runs();
    let left_of = |run: &Run| {
        let client = run.id.strip_prefix('c')?.split('-').next()?.parse::<usize>().ok()?;
        left.get(client).copied()
    };
    let late = runs.iter().filter(|run| left_of(run).is_some_and(|left| run.began > left + LEFT_LIMIT));
    let late = late.count();
    let in_time = runs.iter().filter(|run| left_of(run).is_some_and(|left| run.began <= left));
    let in_time: Vec<&Run> = in_time.collect();
    let is_at_work = |run: &&&Run| {
        let limit = left_of(run).map(|left| left + LEFT_LIMIT);
        run.ended.is_none_or(|(at, _)| limit.is_some_and(|limit| at > limit))
    };
    let at_work = in_time.iter().filter(is_at_work).count();
    let broken = late > TOLERATED_ARRIVALS || at_work * 4 > in_time.len();
    Ok(broken.then(|| {
        format!(
            "{late} requests reached the endpoint over half a second after their client had left, and the \
             endpoint was still at work on {at_work} of {} after that time",
            in_time.len()
        )
    }))
}

/// Sends requests; returns the time at which the client left, or none if it got all answers.
fn send_requests(
    record: &Record,
    client: usize,
    mut connection: CallerConnection,
    leaves: bool,
) -> std::io::Result<Option<Duration>> {
    for number in 0..REQUESTS {
        let id = format!("c{client}-{number}");
        connection.send("GET", TARGET, &id, DEADLINE_MS, b"")?;
        record.note(&format!("client {client} sends {id}, GET {TARGET}"));
        thread::sleep(SEND_GAP);
    }
    if leaves {
        thread::sleep(STAY);
        drop(connection);
        record.note(&format!("client {client} closes its connection"));
        return Ok(Some(record.now()));
    }
    for _ in 0..REQUESTS {
        let answer = connection.read_answer(Duration::from_secs(9))?;
        record.note(&format!("client {client} gets {} for {}", answer.status, answer.id));
    }
    Ok(None)
}
