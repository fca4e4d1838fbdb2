//! Runs daemons as separate processes, for measurements of their CPU time and memory.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use marigoldhatch_standins::endpoint::DaemonAddresses;

const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Clock ticks per second in /proc; 100 on every Linux that this runs on.
const TICKS_PER_SECOND: f64 = 100.0;

/// A daemon process under measurement; dropping it kills the process.
#[derive(Debug)]
pub struct MeasuredDaemon {
    pub traffic: SocketAddr,
    pub local: SocketAddr,
    pub control: SocketAddr,
    child: Child,
    settings: PathBuf,
}

impl MeasuredDaemon {
    /// Starts daemon number `index` of a measurement.
    pub fn start(index: usize, log_url: &str, log_filter: &str) -> Self {
        let process_id = std::process::id();
        let ip = Ipv4Addr::new(
            127,
            100 + (process_id % 100) as u8,
            (index / 250) as u8,
            (index % 250 + 1) as u8,
        );
        let address = |port: u16| SocketAddr::from((ip, port));
        let settings = serde_json::json!({
            "vm": format!("vm-{index}"),
            "failure_domain": format!("domain-{}", index % 4),
            "region": format!("region-{}", index % 2),
            "traffic_address": address(7100).to_string(),
            "local_address": address(7101).to_string(),
            "peer_address": address(7102).to_string(),
            "control_address": address(7103).to_string(),
            "log_url": log_url,
            "fleet_secret": "a secret of the measurements, no more",
            "log_filter": log_filter,
        });
        let path =
            std::env::temp_dir().join(format!("marigoldhatch-bench-{process_id}-{index}.jsonc"));
        std::fs::write(&path, settings.to_string()).expect("failed to write the settings");
        let program = std::env::current_exe()
            .expect("failed to find the path of this program")
            .with_file_name("marigoldhatchd");
        let child = Command::new(&program)
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| {
                panic!(
                    "failed to start {}: {error}; build the daemon first",
                    program.display()
                )
            });
        Self {
            traffic: address(7100),
            local: address(7101),
            control: address(7103),
            child,
            settings: path,
        }
    }

    /// Waits until the daemon accepts connections for traffic.
    pub async fn wait_until_ready(&self) {
        let end = Instant::now() + START_TIMEOUT;
        while tokio::net::TcpStream::connect(self.traffic).await.is_err() {
            assert!(
                Instant::now() < end,
                "the daemon at {} did not start",
                self.traffic
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the addresses at which an endpoint calls the daemon and announces itself.
    pub fn addresses(&self) -> DaemonAddresses {
        DaemonAddresses {
            local: self.local,
            control: self.control,
        }
    }

    /// Returns the CPU time that the daemon has used, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let stat = self.read_proc("stat");
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
        (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SECOND
    }

    /// Returns the resident memory of the daemon, in MB.
    pub fn memory_mb(&self) -> f64 {
        let status = self.read_proc("status");
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        kilobytes
            .and_then(|text| text.parse::<f64>().ok())
            .unwrap_or(0.0)
            / 1024.0
    }

    fn read_proc(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default()
    }
}

impl Drop for MeasuredDaemon {
    fn drop(&mut self) {
        // Errors are ignored: the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Returns the bytes that the loopback device has received, including TCP and IP headers.
pub fn loopback_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"));
    let received = line.and_then(|line| line.split_whitespace().nth(1));
    received.and_then(|text| text.parse().ok()).unwrap_or(0.0)
}
