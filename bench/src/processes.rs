//! Daemons as processes of their own, for measurements that need their processor time and memory.

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
/// Clock ticks a second in /proc; 100 on every Linux that this runs on.
const TICKS_PER_SECOND: f64 = 100.0;

/// A daemon that runs for a measurement; it is ended with it.
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
        std::fs::write(&path, settings.to_string()).expect("settings are written");
        let program = std::env::current_exe()
            .expect("the program knows itself")
            .with_file_name("marigoldhatchd");
        let child = Command::new(&program)
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| {
                panic!("{}: {error}; build the daemon first", program.display())
            });
        Self {
            traffic: address(7100),
            local: address(7101),
            control: address(7103),
            child,
            settings: path,
        }
    }

    /// Waits until it takes traffic.
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

    /// Where its endpoint calls and announces itself.
    pub fn addresses(&self) -> DaemonAddresses {
        DaemonAddresses {
            local: self.local,
            control: self.control,
        }
    }

    /// Seconds of processor time used so far.
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

    /// Resident memory in MB.
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
        // It may have ended by itself, and its settings are of no more use either way.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Bytes that crossed the loopback device so far, heads of TCP and IP included.
pub fn loopback_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"));
    let received = line.and_then(|line| line.split_whitespace().nth(1));
    received.and_then(|text| text.parse().ok()).unwrap_or(0.0)
}
