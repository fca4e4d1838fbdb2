//! Queries the status of daemons.

use std::io::IsTerminal;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::Request;
use serde_json::Value;

use crate::transport::ConnectionPool;
use crate::transport::SendOptions;

const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Waits longer than this show their progress on a terminal.
const PROGRESS_DELAY: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_STATUS_BYTES: usize = 64 * 1024 * 1024;

/// Fetches a daemon's status from its control address; `None` if it does not answer.
pub async fn fetch_status(address: &str) -> Option<Value> {
    let address: SocketAddr = address.parse().ok()?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = "/status".parse().ok()?;
    let host = address.to_string().parse().ok()?;
    request.headers_mut().insert(hyper::header::HOST, host);
    let options = SendOptions {
        deadline: Instant::now() + STATUS_TIMEOUT,
        max_answer_bytes: MAX_STATUS_BYTES,
        new_connection: true,
    };
    let response = ConnectionPool::default()
        .send(address, request, options)
        .await
        .ok()?;
    serde_json::from_slice(&response.body).ok()
}

/// Waits until the status of every daemon satisfies a condition.
///
/// Returns the daemons that do not satisfy it when `timeout` has passed.
pub async fn wait_for_daemons(
    daemons: &[String],
    timeout: Duration,
    condition: impl Fn(&Value) -> bool,
) -> Vec<String> {
    let started = Instant::now();
    let deadline = started + timeout;
    let mut unsatisfied: Vec<String> = daemons.to_vec();
    loop {
        let mut remaining = Vec::new();
        for daemon in unsatisfied {
            let status = fetch_status(&daemon).await;
            if !status.is_some_and(|status| condition(&status)) {
                remaining.push(daemon);
            }
        }
        unsatisfied = remaining;
        if unsatisfied.is_empty() || Instant::now() >= deadline {
            return unsatisfied;
        }
        if started.elapsed() > PROGRESS_DELAY && std::io::stderr().is_terminal() {
            let reached = daemons.len() - unsatisfied.len();
            eprint!("\rin force on {reached} of {} daemons", daemons.len());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the version of a team in a status.
pub fn team_version(status: &Value, team: &str) -> Option<u64> {
    status
        .get("teams")?
        .as_array()?
        .iter()
        .find(|entry| entry.get("team").and_then(Value::as_str) == Some(team))?
        .get("version")?
        .as_u64()
}

/// Returns the offset up to which a daemon has applied the log, 0 if the status has none.
pub fn next_offset(status: &Value) -> u64 {
    status
        .get("next_offset")
        .and_then(Value::as_u64)
        .unwrap_or(0)
}
