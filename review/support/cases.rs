//! The events of each case.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use super::client::send;
use super::client::Request;
use super::daemon::Daemon;
use super::daemon::MEMORY_MB;
use super::endpoint::Endpoint;
use super::endpoint::Work;
use super::http::call;
use super::proxy::start_proxy;
use super::record::Record;
use super::store::Store;
use super::store::StorePort;

const KEY: &str = "6wsjnbanfqasnmgkcuyj";
const OTHER_KEY: &str = "8pjbvk9m68k7b2ex5wa5";
const TENANT: &str = "pulo780";
const DEADLINE: Duration = Duration::from_secs(6);

/// A machine: its endpoint, its port of the store, and its daemon.
struct Machine {
    endpoint: Endpoint,
    store: StorePort,
    daemon: Daemon,
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns a configuration with a safe, an unsafe and a keyless route to `archive`.
fn configuration(version: u64, keys: &[&str]) -> String {
    configuration_with_route(version, keys, "")
}

/// Returns the same configuration with one more route, if `added` is its JSON text.
fn configuration_with_route(version: u64, keys: &[&str], added: &str) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    let route = |name: &str, kind: &str, open: bool| {
        format!(
            "{{\"Name\":\"r-{name}\",\"Host\":\"h.example\",\"PathPrefix\":\"/{name}/\",\"Kind\":\"{kind}\",\
             \"TimeoutS\":6,\"TargetLatencyS\":1.5,\"Priority\":1,\"Service\":\"archive\",\
             \"MaxAttempts\":2,\"AllowAnonymous\":{open}}}"
        )
    };
    let mut routes = vec![
        route("read", "safe", false),
        route("file", "unsafe", false),
        route("open", "safe", true),
    ];
    if !added.is_empty() {
        routes.push(added.to_owned());
    }
    let routes = routes.join(",");
    let service = |name: &str| {
        format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":508,\"Protocol\":\"h1\",\"Tls\":false}}")
    };
    let services = [service("archive"), service("desk")].join(",");
    format!(
        "{{\"Version\":{version},\"Routes\":[{routes}],\"Services\":[{services}],\
         \"Limits\":{{\"HeaderBytes\":16384,\"BodyBytes\":67108864,\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}},\
         \"Tenants\":[{{\"Name\":\"{TENANT}\",\"ApiKeys\":[{keys}],\"Priority\":1}}]}}"
    )
}

/// Starts one machine for each service, with all endpoints announced and all daemons ready.
fn start_machines(
    services: &[(&str, Work)],
    behind_proxies: bool,
    store: &Store,
    record: &Record,
) -> Result<Vec<Machine>, String> {
    store.put(
        "keyed.op",
        "config",
        configuration(5, &[KEY, OTHER_KEY]).as_bytes(),
    );
    let mut machines = Vec::new();
    for (index, (service, work)) in services.iter().enumerate() {
        let endpoint = Endpoint::start(&format!("i-{index}"), service, 68, *work, record);
        let port = store.open_port();
        let name = format!("sidecar-{index}");
        let daemon = Daemon::start(
            &name,
            service,
            endpoint.address,
            &port,
            behind_proxies,
            record,
        );
        machines.push(Machine {
            endpoint,
            store: port,
            daemon,
        });
    }
    for machine in &machines {
        machine.daemon.wait_ready()?;
        machine.endpoint.ping_regularly(machine.daemon.control);
    }
    Ok(machines)
}

fn request<'a>(method: &'a str, path: &'a str, id: &'a str) -> Request<'a> {
    Request {
        method,
        path,
        id,
        key: Some(KEY),
        deadline: DEADLINE,
        body: b"",
        bytes_per_s: None,
    }
}

/// Waits until a request through `entry` succeeds.
fn wait_served(entry: SocketAddr) -> Result<(), String> {
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < Duration::from_secs(10) {
        number += 1;
        let answer = send(
            entry,
            &request("GET", "/read/start", &format!("start-{number}")),
        );
        if answer.status == 200 {
            return Ok(());
        }
        sleep(millis(100));
    }
    Err("no request was served within 10 s".to_owned())
}

/// SIGTERM while clients read answers that the endpoint has already given.
pub fn shutdown_cuts_answers(trouble: bool, record: &Record) -> Result<bool, String> {
    /// Times of the requests after the SIGTERM, in milliseconds. Callers leave a stopping daemon after
    /// two missed checks a second apart, so these still come to it.
    const SENT_AT_MS: [u64; 3] = [300, 1000, 1700];
    const ANSWER_BYTES: usize = 12 * 1024 * 1024;
    /// A client at a line of 30 Mbit/s: it reads an answer in 3.4 s.
    const READ_BYTES_PER_S: usize = 3_750_000;
    let store = Store::default();
    let work = Work {
        time: millis(100),
        answer_bytes: 200,
    };
    let machines = start_machines(&[("desk", work), ("archive", work)], false, &store, record)?;
    let entry = &machines[0].daemon;
    wait_served(entry.outbound)?;
    machines[1].endpoint.set_work(Work {
        time: millis(100),
        answer_bytes: ANSWER_BYTES,
    });
    if trouble {
        entry.terminate();
    }
    let mut clients = Vec::new();
    for (number, sent_at) in SENT_AT_MS.into_iter().enumerate() {
        let (address, record) = (entry.outbound, record.clone());
        clients.push(std::thread::spawn(move || {
            sleep(millis(sent_at));
            let id = format!("filing-{number}");
            record.line(&format!(
                "client sends POST /file/{number} id {id}, deadline 6 s"
            ));
            let path = format!("/file/{number}");
            let answer = send(
                address,
                &Request {
                    bytes_per_s: Some(READ_BYTES_PER_S),
                    body: b"a return to file",
                    ..request("POST", &path, &id)
                },
            );
            record.line(&format!(
                "client of {id} got status {}, {} of {} bytes, after {:.3} s",
                answer.status,
                answer.bytes,
                answer.expected_bytes,
                answer.took.as_secs_f64()
            ));
            answer
        }));
    }
    let answers: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().expect("client"))
        .collect();
    let runs = machines[1].endpoint.runs();
    let ran = |number: usize| runs.iter().any(|run| run.id == format!("filing-{number}"));
    if !(0..SENT_AT_MS.len()).all(ran) {
        return Err("a request did not run".to_owned());
    }
    // Past its deadline a client has no right to the rest.
    let cut = answers
        .iter()
        .filter(|answer| !answer.complete && answer.took < DEADLINE);
    let cut = cut.count();
    record.line(&format!(
        "{cut} of {} requests ran and have no complete answer, before their deadline",
        answers.len()
    ));
    if !trouble && answers.iter().any(|answer| !answer.complete) {
        return Err("a client did not read its answer in time".to_owned());
    }
    Ok(cut > 0)
}

/// Traffic grows while the executors keep the answers of the last requests.
pub fn kept_answers_fill_memory(trouble: bool, record: &Record) -> Result<bool, String> {
    const ANSWER_BYTES: usize = 128 * 1024;
    const USUAL_PER_S: f64 = 120.0;
    const BURST_FACTOR: f64 = 1.7;
    const LENGTH: Duration = Duration::from_secs(104);
    /// Bursts of 20 s: their begins, in seconds.
    const BURSTS: [u64; 3] = [32, 58, 84];
    const BURST_SECONDS: u64 = 20;
    const RESTART_DELAY: Duration = Duration::from_millis(500);
    /// Ends of processes that break the rule, on each of two machines.
    const MAX_ENDS: u32 = 3;
    let store = Store::default();
    let small = Work {
        time: millis(20),
        answer_bytes: 200,
    };
    let services = [("desk", small), ("archive", small), ("archive", small)];
    let mut machines = start_machines(&services, false, &store, record)?;
    wait_served(machines[0].daemon.outbound)?;
    for machine in &machines[1..] {
        machine.endpoint.set_work(Work {
            time: millis(110),
            answer_bytes: ANSWER_BYTES,
        });
    }
    let entry = machines[0].daemon.outbound;
    let done = Arc::new(AtomicU32::new(0));
    let failed: Arc<Mutex<Vec<String>>> = Arc::default();
    let started = Instant::now();
    let mut ends = [0; 3];
    let mut peaks = [0; 3];
    let mut restart_at: [Option<Instant>; 3] = [None; 3];
    let (mut sent, mut due, mut last) = (0_u32, 0.0, started);
    let mut next_line = 0;
    while started.elapsed() < LENGTH && ends.iter().filter(|count| **count >= MAX_ENDS).count() < 2
    {
        let second = started.elapsed().as_secs();
        let in_burst = BURSTS
            .iter()
            .any(|from| (*from..from + BURST_SECONDS).contains(&second));
        let factor = if trouble && in_burst {
            BURST_FACTOR
        } else {
            1.0
        };
        due += last.elapsed().as_secs_f64() * USUAL_PER_S * factor;
        last = Instant::now();
        while due >= 1.0 {
            due -= 1.0;
            sent += 1;
            let (number, failed, done, record) =
                (sent, failed.clone(), done.clone(), record.clone());
            std::thread::spawn(move || {
                let id = format!("invoice-{number}");
                let answer = send(entry, &request("POST", "/file/invoice", &id));
                if answer.status == 200 && answer.complete {
                    done.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                record.line(&format!("client of {id} got status {}", answer.status));
                failed.lock().expect("lock").push(id);
            });
        }
        for (index, machine) in machines.iter_mut().enumerate() {
            if let Some(at) = restart_at[index] {
                if Instant::now() >= at {
                    machine.daemon.start_again();
                    restart_at[index] = None;
                }
                continue;
            }
            let memory = machine.daemon.memory_mb();
            peaks[index] = memory.max(peaks[index]);
            if memory > MEMORY_MB {
                let name = &machine.daemon.name;
                record.line(&format!("{name} holds {memory} MiB, over its MemoryMb of {MEMORY_MB}: the platform kills it"));
                machine.daemon.kill();
                ends[index] += 1;
                restart_at[index] = Some(Instant::now() + RESTART_DELAY);
            }
        }
        if second >= next_line {
            next_line += 2;
            record.line(&format!(
                "sent {sent}, traffic x {factor}, answered {}, failed {}; memory {:?} MiB",
                done.load(Ordering::Relaxed),
                failed.lock().expect("lock").len(),
                machines
                    .iter()
                    .map(|machine| machine.daemon.memory_mb())
                    .collect::<Vec<_>>()
            ));
        }
        sleep(millis(5));
    }
    sleep(millis(1000));
    let done = done.load(Ordering::Relaxed);
    let failed = failed.lock().expect("lock").clone();
    let runs = machines.iter().flat_map(|machine| machine.endpoint.runs());
    let ran: HashSet<String> = runs.map(|run| run.id).collect();
    let unanswered = failed.iter().filter(|id| ran.contains(*id)).count();
    record.line(&format!(
        "sent {sent}, answered {done}, failed {}; {unanswered} ran and were not answered; most memory {peaks:?} MiB \
         of {MEMORY_MB}; ends of the processes {ends:?}",
        failed.len()
    ));
    if done == 0 {
        return Err("no request was answered".to_owned());
    }
    Ok(ends.iter().filter(|count| **count >= MAX_ENDS).count() >= 2)
}

/// An endpoint leaves just after its daemon has been started again, and an earlier ping comes late.
pub fn leaving_forgotten(trouble: bool, record: &Record) -> Result<bool, String> {
    const DRAIN: Duration = Duration::from_secs(2);
    const TOUCH: Duration = Duration::from_secs(3);
    let store = Store::default();
    let work = Work {
        time: millis(100),
        answer_bytes: 200,
    };
    let mut machines = start_machines(&[("desk", work), ("archive", work)], false, &store, record)?;
    let entry = machines[0].daemon.outbound;
    wait_served(entry)?;
    let endpoint = machines[1].endpoint.clone();
    let control = machines[1].daemon.control;
    // From here on the pings are sent one by one.
    endpoint.pings.store(false, Ordering::Relaxed);
    sleep(millis(1600));
    endpoint.ping(control, "ready");
    if trouble {
        machines[1].daemon.kill();
        sleep(millis(500));
        machines[1].daemon.start_again();
    }
    let started_at = Instant::now();
    machines[1].daemon.wait_ready()?;
    sleep(millis(300));
    let (path, body) = endpoint.compose_ping("ready");
    record.line("endpoint i-1 sends a ping, which is held up on its way");
    sleep(millis(200));
    let leave = format!("/api/instances/{}/deregister", endpoint.id);
    let acknowledged =
        call(control, "POST", &leave, "").is_some_and(|answer| answer.status() == 200);
    let left_at = Instant::now();
    record.line(&format!(
        "endpoint i-1 deregisters; acknowledged: {acknowledged}"
    ));
    if !acknowledged {
        return Err("the endpoint's leaving was not acknowledged".to_owned());
    }
    sleep(millis(1800));
    let answer = call(control, "POST", &path, &body).map_or(0, |answer| answer.status());
    record.line(&format!("the late ping arrives; status {answer}"));
    // Requests that count: later than DrainS after the confirmation, with both machines in touch.
    let from = (left_at + DRAIN).max(started_at + TOUCH) + millis(100);
    sleep(from.saturating_duration_since(Instant::now()));
    let before = endpoint.runs().len();
    record.line(&format!(
        "{:.3} s after the confirmation",
        left_at.elapsed().as_secs_f64()
    ));
    for number in 0..10 {
        let answer = send(
            entry,
            &request("POST", "/file/late", &format!("late-{number}")),
        );
        record.line(&format!(
            "client of late-{number} got status {}",
            answer.status
        ));
        sleep(millis(50));
    }
    endpoint.set_work(Work {
        time: millis(1000),
        answer_bytes: 200,
    });
    let last = std::thread::spawn(move || send(entry, &request("POST", "/file/last", "last")));
    sleep(millis(300));
    record.line(&format!(
        "endpoint i-1 exits, {:.3} s after the confirmation",
        left_at.elapsed().as_secs_f64()
    ));
    endpoint.end();
    let last = last.join().expect("client");
    record.line(&format!("client of last got status {}", last.status));
    let reached = endpoint.runs().len() - before;
    record.line(&format!(
        "{reached} requests reached the endpoint later than DrainS after the confirmation"
    ));
    Ok(reached > 0)
}

/// A machine is cut off while a key is withdrawn.
pub fn withdrawn_key_names_tenant(trouble: bool, record: &Record) -> Result<bool, String> {
    const CUT: Duration = Duration::from_secs(9);
    const REVOKE: Duration = Duration::from_secs(5);
    let store = Store::default();
    let work = Work {
        time: millis(50),
        answer_bytes: 200,
    };
    let services = [("archive", work), ("archive", work), ("desk", work)];
    let machines = start_machines(&services, true, &store, record)?;
    let cut = Arc::new(AtomicBool::new(false));
    let SocketAddr::V4(cut_address) = machines[0].daemon.links else {
        return Err("the links are not at an IPv4 address".to_owned());
    };
    for (index, machine) in machines.iter().enumerate() {
        let only_from = (index > 0).then_some(*cut_address.ip());
        start_proxy(
            machine.daemon.links,
            machine.daemon.own_links(),
            &cut,
            only_from,
        );
    }
    let entry = machines[0].daemon.outbound;
    wait_served(entry)?;
    sleep(millis(2500));
    if trouble {
        record.line("machine sidecar-0 is cut off from the store and from the other machines");
        machines[0].store.turned_away.store(true, Ordering::Relaxed);
        cut.store(true, Ordering::Relaxed);
    }
    let cut_at = Instant::now();
    sleep(millis(200));
    store.put(
        "keyed.op",
        "config",
        configuration(8, &[OTHER_KEY]).as_bytes(),
    );
    let revoked_at = Instant::now();
    record.line(&format!(
        "version 8 is confirmed: key {KEY} is withdrawn from tenant {TENANT}"
    ));
    sleep((revoked_at + REVOKE + millis(300)).saturating_duration_since(Instant::now()));
    let before = runs_named(&machines, TENANT);
    let mut number = 0;
    while cut_at.elapsed() < CUT - millis(500) {
        number += 1;
        for path in ["/read/account", "/open/account"] {
            let id = format!("{}-{number}", &path[1..5]);
            let answer = send(entry, &request("GET", path, &id));
            record.line(&format!(
                "{:.3} s after the confirmation, a client sends GET {path} id {id} with the withdrawn key: status {}",
                revoked_at.elapsed().as_secs_f64(),
                answer.status
            ));
        }
        sleep(millis(300));
    }
    cut.store(false, Ordering::Relaxed);
    machines[0]
        .store
        .turned_away
        .store(false, Ordering::Relaxed);
    let named = runs_named(&machines, TENANT) - before;
    record.line(&format!(
        "{named} requests with the withdrawn key ran with X-Tenant-Name {TENANT} later than RevokeS"
    ));
    Ok(named > 0)
}

/// Returns the number of requests that the endpoints ran with this tenant's name.
fn runs_named(machines: &[Machine], tenant: &str) -> usize {
    let runs = machines.iter().flat_map(|machine| machine.endpoint.runs());
    runs.filter(|run| run.tenant == tenant).count()
}

/// A key is withdrawn in a configuration that also has a route of a high rank number.
pub fn unread_configuration(trouble: bool, record: &Record) -> Result<bool, String> {
    const REVOKE: Duration = Duration::from_secs(5);
    const BULK_ROUTE: &str = "{\"Name\":\"r-bulk\",\"Host\":\"h.example\",\"PathPrefix\":\"/bulk/\",\"Kind\":\"safe\",\
        \"TimeoutS\":6,\"TargetLatencyS\":1.5,\"Priority\":300,\"Service\":\"archive\",\"MaxAttempts\":2,\
        \"AllowAnonymous\":false}";
    let store = Store::default();
    let work = Work {
        time: millis(50),
        answer_bytes: 200,
    };
    let machines = start_machines(
        &[("archive", work), ("archive", work), ("desk", work)],
        false,
        &store,
        record,
    )?;
    wait_served(machines[2].daemon.outbound)?;
    sleep(millis(1000));
    let keys: &[&str] = if trouble {
        &[OTHER_KEY]
    } else {
        &[KEY, OTHER_KEY]
    };
    let text = configuration_with_route(8, keys, BULK_ROUTE);
    store.put("keyed.op", "config", text.as_bytes());
    let confirmed_at = Instant::now();
    record.line("version 8 is confirmed: it adds a route with Priority 300");
    if trouble {
        record.line(&format!("version 8 takes key {KEY} away"));
    }
    let mut ran_late = 0;
    for second in 1..=20_u64 {
        sleep(
            (confirmed_at + Duration::from_secs(second)).saturating_duration_since(Instant::now()),
        );
        for machine in &machines {
            let id = format!("{}-{second}", machine.daemon.name);
            let sent_at = confirmed_at.elapsed();
            let answer = send(machine.daemon.outbound, &request("POST", "/file/levy", &id));
            let ran = machines
                .iter()
                .any(|one| one.endpoint.runs().iter().any(|run| run.id == id));
            record.line(&format!(
                "{:.3} s after the confirmation, a client of {} sends POST /file/levy id {id} with that key: \
                 status {}, ran: {ran}, ready: {}",
                sent_at.as_secs_f64(),
                machine.daemon.name,
                answer.status,
                machine.daemon.is_ready()
            ));
            if ran && trouble && sent_at > REVOKE {
                ran_late += 1;
            }
            if !trouble && !ran {
                return Err("a request with a valid key did not run".to_owned());
            }
        }
    }
    record.line(&format!(
        "{ran_late} requests with the withdrawn key ran, sent later than RevokeS"
    ));
    Ok(ran_late > 0)
}

/// Two regions lose each other for over a minute, and a tenant then sends more than its allotment.
pub fn parted_for_good(trouble: bool, record: &Record) -> Result<bool, String> {
    const CUT: Duration = Duration::from_secs(68);
    const RECOVER: Duration = Duration::from_secs(15);
    const LOAD: Duration = Duration::from_secs(7);
    /// Requests a second from the clients of each of the two machines.
    const SENT_PER_S: u32 = 60;
    const WINDOW_S: f64 = 5.0;
    const RATE_PER_S: f64 = 40.0;
    const BURST: f64 = 40.0;
    const LIMIT: f64 = (RATE_PER_S * WINDOW_S + BURST) * 1.1 + 20.0;
    let store = Store::default();
    let work = Work {
        time: millis(20),
        answer_bytes: 200,
    };
    let machines = start_machines(
        &[("archive", work), ("archive", work)],
        true,
        &store,
        record,
    )?;
    let cut = Arc::new(AtomicBool::new(false));
    for machine in &machines {
        start_proxy(machine.daemon.links, machine.daemon.own_links(), &cut, None);
    }
    let quota = format!("\"RatePerS\":{RATE_PER_S},\"Burst\":{BURST},\"Name\":\"{TENANT}\"");
    let text = configuration(8, &[KEY, OTHER_KEY]);
    let text = text.replace(&format!("\"Name\":\"{TENANT}\""), &quota);
    store.put("keyed.op", "config", text.as_bytes());
    wait_served(machines[0].daemon.outbound)?;
    sleep(Duration::from_secs(3));
    let before = load_both(&machines, LOAD, SENT_PER_S, WINDOW_S, record);
    if trouble {
        record.line(
            "the two machines lose each other; both reach the store, their endpoints and clients",
        );
        cut.store(true, Ordering::Relaxed);
    }
    sleep(CUT);
    cut.store(false, Ordering::Relaxed);
    record.line("the two machines reach each other again");
    sleep(RECOVER + millis(500));
    let after = load_both(&machines, LOAD, SENT_PER_S, WINDOW_S, record);
    record.line(&format!(
        "most requests of {TENANT} that ran in {WINDOW_S} s: {before} before, {after} after; the rule allows {LIMIT:.0}"
    ));
    if f64::from(before) > LIMIT {
        return Err("the rule was broken before the disruption".to_owned());
    }
    Ok(f64::from(after) > LIMIT)
}

/// Sends requests at both machines and returns the most that ran within a window of `window_s`.
fn load_both(
    machines: &[Machine],
    length: Duration,
    per_s: u32,
    window_s: f64,
    record: &Record,
) -> u32 {
    let before: Vec<usize> = machines
        .iter()
        .map(|one| one.endpoint.runs().len())
        .collect();
    let counts = Arc::new([AtomicU32::new(0), AtomicU32::new(0), AtomicU32::new(0)]);
    let from = record.seconds();
    let mut number = 0;
    while record.seconds() < from + length.as_secs_f64() {
        number += 1;
        for machine in machines {
            let (address, counts) = (machine.daemon.outbound, counts.clone());
            let id = format!("{}-{from:.0}-{number}", machine.daemon.name);
            std::thread::spawn(move || {
                let answer = send(address, &request("POST", "/file/levy", &id));
                let counter = match answer.status {
                    200 => &counts[0],
                    429 => &counts[1],
                    _ => &counts[2],
                };
                counter.fetch_add(1, Ordering::Relaxed);
            });
        }
        sleep(Duration::from_secs(1) / per_s);
    }
    sleep(millis(500));
    let mut times: Vec<f64> = Vec::new();
    for (machine, before) in machines.iter().zip(before) {
        let runs = machine.endpoint.runs();
        record.line(&format!(
            "endpoint {} ran {}",
            machine.endpoint.id,
            runs.len() - before
        ));
        times.extend(runs[before..].iter().map(|run| run.at));
    }
    let [served, refused, other] =
        [0, 1, 2].map(|index: usize| counts[index].load(Ordering::Relaxed));
    record.line(&format!(
        "clients got 200: {served}, 429: {refused}, anything else: {other}"
    ));
    times.sort_by(f64::total_cmp);
    let within = |first: f64| {
        times
            .iter()
            .filter(|at| **at >= first && **at < first + window_s)
            .count()
    };
    times
        .iter()
        .map(|first| within(*first) as u32)
        .max()
        .unwrap_or(0)
}

/// An endpoint rejects a long body early and reads on slowly, and then drains.
pub fn queued_behind_a_body(trouble: bool, record: &Record) -> Result<bool, String> {
    const DRAIN: Duration = Duration::from_secs(2);
    let store = Store::default();
    let work = Work {
        time: millis(100),
        answer_bytes: 200,
    };
    let machines = start_machines(&[("desk", work), ("archive", work)], false, &store, record)?;
    let entry = machines[0].daemon.outbound;
    wait_served(entry)?;
    let endpoint = &machines[1].endpoint;
    if trouble {
        endpoint
            .early_bytes_per_s
            .store(2_000_000, Ordering::Relaxed);
    }
    let body = vec![b'b'; 12 * 1024 * 1024];
    let upload = Request {
        body: &body,
        ..request("POST", "/file/upload", "upload")
    };
    let answer = send(entry, &upload);
    record.line(&format!("client of upload got status {}", answer.status));
    let client = std::thread::spawn(move || send(entry, &request("POST", "/file/levy", "behind")));
    sleep(millis(300));
    endpoint.pings.store(false, Ordering::Relaxed);
    if !endpoint.ping(machines[1].daemon.control, "draining") {
        return Err("the drain was not acknowledged".to_owned());
    }
    let drained_at = record.seconds();
    record.line("endpoint i-1 reports draining; acknowledged");
    let answer = client.join().expect("client");
    record.line(&format!(
        "client of behind got status {}, after {:.3} s",
        answer.status,
        answer.took.as_secs_f64()
    ));
    sleep(Duration::from_secs(2));
    let runs = endpoint.runs();
    let run = runs.iter().find(|run| run.id == "behind");
    let late = run.is_some_and(|run| run.at > drained_at + DRAIN.as_secs_f64());
    let at = run.map(|run| run.at - drained_at);
    record.line(&format!(
        "the request reached the endpoint at {at:.3?} s after the confirmation"
    ));
    Ok(late)
}
