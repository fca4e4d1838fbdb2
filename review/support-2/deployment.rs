//! Two machines with daemons, a store and the operator's configuration.

use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::CallerConnection;
use crate::endpoint::Endpoint;
use crate::endpoint::Task;
use crate::record::Record;
use crate::store::Store;
use crate::vm::Announcer;
use crate::vm::Vm;
use crate::vm::VmOptions;

pub const HOST: &str = "office.example";
pub const KEY: &str = "key-of-the-tenant";
/// Service of the machine whose clients send the requests, and of the one that runs them.
const SERVICES: [&str; 2] = ["portal", "ledger"];
const ZONES: [&str; 2] = ["chicago", "detroit"];

/// Deployment whose clients are on the first machine and whose requests run on the second one.
pub struct Deployment {
    pub vms: Vec<Vm>,
    pub endpoints: Vec<Endpoint>,
    pub announcers: Vec<Arc<Announcer>>,
    directory: PathBuf,
}

impl Deployment {
    /// Starts all and waits until a request is served.
    pub fn start(
        record: &Arc<Record>,
        timeout_s: u32,
        task_of: impl Fn(&str) -> Task + Clone + Send + Sync + 'static,
    ) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&directory).map_err(text)?;
        let network = free_network().ok_or("no free loopback addresses")?;
        let ip = |last| Ipv4Addr::new(127, network[0], network[1], last);
        let store = Store::start(ip(250)).map_err(text)?;
        store.append("keyed.op", "config", config(timeout_s).as_bytes());
        let (vms, endpoints, announcers) = (Vec::new(), Vec::new(), Vec::new());
        let mut started = Self { vms, endpoints, announcers, directory };
        for (index, service) in SERVICES.into_iter().enumerate() {
            let (ip, zone, id) = (ip(1 + index as u8), ZONES[index], format!("i-{service}"));
            let endpoint = Endpoint::start(ip, id, record, task_of.clone()).map_err(text)?;
            let options = VmOptions { ip, service, zone, store: store.address };
            let vm = Vm::start(options, &started.directory).map_err(text)?;
            started.announcers.push(vm.announce(&endpoint, service));
            started.vms.push(vm);
            started.endpoints.push(endpoint);
        }
        if !started.vms.iter().all(Vm::wait_ready) {
            return Err("a daemon isn't ready".to_owned());
        }
        started.wait_served()?;
        Ok(started)
    }

    /// Waits until the daemons know each other and the endpoints have announced themselves.
    fn wait_served(&self) -> Result<(), String> {
        for attempt in 0..50 {
            let id = format!("check-{attempt}");
            let connection = CallerConnection::open(self.vms[0].outbound);
            let status = connection.ok().and_then(|mut connection| {
                connection.send("GET", "/read/check/1", &id, 1000, b"").ok()?;
                connection.read_answer(Duration::from_secs(1)).ok()
            });
            if status.is_some_and(|answer| answer.status == 200) {
                // Calm before the case begins, longer than `TouchS`.
                thread::sleep(Duration::from_secs(4));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("no request is served".to_owned())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.vms.clear();
        drop(std::fs::remove_dir_all(&self.directory));
    }
}

fn config(timeout_s: u32) -> String {
    let route = |prefix: &str, kind: &str| {
        format!(
            "{{\"Name\":\"r-{kind}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\
             \"TimeoutS\":{timeout_s},\"TargetLatencyS\":1.5,\"Priority\":1,\"Service\":\"{}\",\
             \"MaxAttempts\":2,\"AllowAnonymous\":false}}",
            SERVICES[1]
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":400,\
             \"Protocol\":\"h1\",\"Tls\":false}}"
        )
    };
    format!(
        "{{\"Version\":7,\"Routes\":[{},{}],\"Services\":[{},{}],\
         \"Limits\":{{\"HeaderBytes\":16384,\"BodyBytes\":67108864,\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}},\
         \"Tenants\":[{{\"Name\":\"tenant\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}",
        route("/read/", "safe"),
        route("/issue/", "unsafe"),
        service(SERVICES[0]),
        service(SERVICES[1])
    )
}

/// Returns the middle bytes of loopback addresses that no other run uses.
fn free_network() -> Option<[u8; 2]> {
    let process = std::process::id();
    (0..50).find_map(|attempt| {
        let number = process + attempt * 977;
        let network = [64 + (number % 128) as u8, (number / 128 % 250) as u8];
        let ports = [8001, 8002, 8003, 8080, 7000, 9464];
        let is_free = |port| TcpListener::bind((Ipv4Addr::new(127, network[0], network[1], 1), port)).is_ok();
        ports.into_iter().all(is_free).then_some(network)
    })
}
