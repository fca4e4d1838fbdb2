//! A daemon that is killed after it has acknowledged that its endpoint leaves, a status check that hangs, and
//! two late pings.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::CallerConnection;
use crate::deployment::Deployment;
use crate::endpoint::Task;
use crate::record::Record;

const TIMEOUT_S: u32 = 5;
const DEADLINE_MS: u32 = 2000;
/// Interval of the endpoint's pings, and time for which the last two of them are under way.
const HEARTBEAT: Duration = Duration::from_millis(1500);
const PING_DELAY: Duration = Duration::from_secs(5);
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// `DrainS` of the deployment.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time for which status checks of the endpoint hang.
const HEALTH_HANG: Duration = Duration::from_millis(5500);
const REQUESTS: usize = 5;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Option<String>, String> {
    let task =
        Task { read_pause: Duration::ZERO, work: Duration::from_millis(50), answer_bytes: 2000 };
    let mut deployment = Deployment::start(record, TIMEOUT_S, move |_| task)?;
    let outbound = deployment.vms[0].outbound;
    let announcer = deployment.announcers[1].clone();
    announcer.pause();
    for _ in 0..2 {
        let (record, announcer) = (record.clone(), announcer.clone());
        let sequence = announcer.next_sequence();
        record.note(&format!("the endpoint sends the ping {sequence}, which is under way for {PING_DELAY:?}"));
        thread::spawn(move || {
            thread::sleep(PING_DELAY);
            let acknowledged = announcer.ping(sequence);
            record.note(&format!("the ping {sequence} arrives, acknowledged: {acknowledged}"));
        });
        thread::sleep(HEARTBEAT);
    }
    deployment.endpoints[1].leave();
    if !announcer.deregister() {
        return Err("the deregistration wasn't acknowledged".to_owned());
    }
    let acknowledged = record.now();
    record.note("the daemon acknowledges that the endpoint has deregistered");
    if trouble {
        record.note("the daemon beside the endpoint is killed and started again");
        deployment.vms[1].restart(RESTART_AFTER).map_err(|error| error.to_string())?;
    }
    record.note(&format!("the endpoint's status checks hang for {HEALTH_HANG:?}"));
    deployment.endpoints[1].set_health_hangs(true);
    thread::sleep(HEALTH_HANG);
    deployment.endpoints[1].set_health_hangs(false);
    // By then both pings have arrived, and the machine is in touch again.
    for number in 0..REQUESTS {
        let record = record.clone();
        thread::spawn(move || send_request(&record, outbound, &format!("late-{number}")));
        thread::sleep(Duration::from_millis(300));
    }
    thread::sleep(Duration::from_secs(3));
    let late = record.arrivals().into_iter();
    let late = late.filter(|(id, at)| id.starts_with("late-") && *at > acknowledged + DRAIN_LIMIT);
    let late: Vec<String> = late.map(|(id, _)| id).collect();
    Ok((!late.is_empty()).then(|| {
        format!(
            "{} of {REQUESTS} requests reached an endpoint more than {} s after its deregistration was \
             acknowledged: {}",
            late.len(),
            DRAIN_LIMIT.as_secs(),
            late.join(", ")
        )
    }))
}

fn send_request(record: &Record, outbound: SocketAddrV4, id: &str) {
    record.note(&format!("a client sends {id}, POST /issue/1"));
    let answer = CallerConnection::open(outbound).and_then(|mut connection| {
        connection.send("POST", "/issue/1", id, DEADLINE_MS, b"")?;
        connection.read_answer(Duration::from_secs(3))
    });
    let text = match answer {
        Ok(answer) => answer.status.to_string(),
        Err(error) => error.to_string(),
    };
    record.note(&format!("the client gets {text} for {id}"));
}
