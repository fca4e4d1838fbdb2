//! Two regions that lose each other for over a minute and find each other again.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::CallerConnection;
use crate::deployment::Deployment;
use crate::endpoint::Task;
use crate::record::Record;

const BEFORE: Duration = Duration::from_secs(5);
const CUT: Duration = Duration::from_secs(66);
/// `RecoverS` of the deployment.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
const AFTER: Duration = Duration::from_secs(8);
const PAUSE: Duration = Duration::from_millis(200);
const DEADLINE_MS: u32 = 1000;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Option<String>, String> {
    let task = Task { read_pause: Duration::ZERO, work: Duration::from_millis(20), answer_bytes: 2000 };
    let (deployment, cut) = Deployment::start_with_proxies(record, move |_| task)?;
    let (served, sent) = send_requests(record, &deployment, "before", BEFORE);
    if served * 4 < sent {
        return Err(format!("only {served} of {sent} requests were served before the cut"));
    }
    if trouble {
        record.note("the regions lose each other; both reach the store");
        cut.set(true);
    }
    thread::sleep(CUT);
    cut.set(false);
    record.note("the regions reach each other again");
    thread::sleep(RECOVERY_LIMIT);
    let (served, sent) = send_requests(record, &deployment, "after", AFTER);
    let limit = RECOVERY_LIMIT.as_secs();
    Ok((served * 4 < sent).then(|| {
        format!("{served} of {sent} requests that were sent more than {limit} s after the cut were served")
    }))
}

/// Sends requests for some time; returns how many were served and sent.
fn send_requests(
    record: &Record,
    deployment: &Deployment,
    name: &str,
    time: Duration,
) -> (usize, usize) {
    let (mut served, mut sent) = (0, 0);
    let end = record.now() + time;
    while record.now() < end {
        sent += 1;
        let id = format!("{name}-{sent}");
        record.note(&format!("a client sends {id}, GET /read/1"));
        let answer = CallerConnection::open(deployment.vms[0].outbound).and_then(|mut connection| {
            connection.send("GET", "/read/1", &id, DEADLINE_MS, b"")?;
            connection.read_answer(Duration::from_secs(2))
        });
        let text = match answer {
            Ok(answer) => {
                served += usize::from(answer.status == 200);
                answer.status.to_string()
            }
            Err(error) => error.to_string(),
        };
        record.note(&format!("the client gets {text} for {id}"));
        thread::sleep(PAUSE);
    }
    (served, sent)
}
