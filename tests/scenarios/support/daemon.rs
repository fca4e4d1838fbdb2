//! Starts, signals and stops a daemon process.

use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

const START_TIMEOUT: Duration = Duration::from_secs(30);
const STOP_TIMEOUT: Duration = Duration::from_secs(90);

/// Contents of a daemon's settings file.
#[derive(Debug, Clone)]
pub struct DaemonSettings {
    pub vm: String,
    pub failure_domain: String,
    pub ip: IpAddr,
    pub log_url: String,
    pub advertised_peer: Option<SocketAddr>,
    pub advertised_traffic: Option<SocketAddr>,
    pub bootstrap_peers: Vec<SocketAddr>,
}

/// Running daemon, killed on drop.
#[derive(Debug)]
pub struct DaemonProcess {
    pub settings: DaemonSettings,
    child: Child,
}

impl DaemonSettings {
    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    pub fn traffic_address(&self) -> SocketAddr {
        self.address(7100)
    }

    pub fn local_address(&self) -> SocketAddr {
        self.address(7101)
    }

    pub fn peer_address(&self) -> SocketAddr {
        self.address(7102)
    }

    pub fn control_address(&self) -> SocketAddr {
        self.address(7103)
    }

    fn to_json(&self) -> Value {
        let mut settings = serde_json::json!({
            "vm": self.vm,
            "failure_domain": self.failure_domain,
            "region": "test",
            "traffic_address": self.traffic_address().to_string(),
            "local_address": self.local_address().to_string(),
            "peer_address": self.peer_address().to_string(),
            "control_address": self.control_address().to_string(),
            "log_url": self.log_url,
            "fleet_secret": "a secret of the scenario tests, no more",
            "bootstrap_peers": self.bootstrap_peers,
            "body_timeout_ms": 1500,
        });
        if let Some(address) = self.advertised_peer {
            settings["advertised_peer_address"] = address.to_string().into();
        }
        if let Some(address) = self.advertised_traffic {
            settings["advertised_traffic_address"] = address.to_string().into();
        }
        settings
    }
}

impl DaemonProcess {
    /// Starts a daemon and waits until it accepts connections on its traffic address.
    pub async fn start(settings: DaemonSettings, directory: &Path) -> Self {
        let settings_path = directory.join(format!("{}.jsonc", settings.vm));
        std::fs::write(&settings_path, settings.to_json().to_string()).expect("write the settings");
        let log_path = directory.join(format!("{}.log", settings.vm));
        let mut log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log_path)
            .expect("open the log file");
        writeln!(log).expect("write to the log file");
        let child = Command::new(env!("CARGO_BIN_EXE_marigoldhatchd"))
            .arg(&settings_path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("start the daemon");
        let daemon = Self { settings, child };
        daemon.wait_until_listening().await;
        daemon
    }

    async fn wait_until_listening(&self) {
        let deadline = Instant::now() + START_TIMEOUT;
        let address = self.settings.traffic_address();
        while tokio::net::TcpStream::connect(address).await.is_err() {
            assert!(
                Instant::now() < deadline,
                "{} did not accept connections within {START_TIMEOUT:?}",
                self.settings.vm
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the daemon's `/status`, or `None` if it doesn't serve it.
    pub async fn status(&self) -> Option<Value> {
        super::caller::fetch_status(self.settings.control_address()).await
    }

    /// Kills the daemon without a graceful shutdown, as the loss of its VM does.
    pub fn kill(&mut self) {
        self.child.kill().expect("kill the daemon");
        self.child.wait().expect("wait for the daemon to exit");
    }

    /// Suspends the process with SIGSTOP.
    pub fn suspend(&self) {
        self.signal("STOP");
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Requests a graceful shutdown with SIGTERM and waits until the process exits.
    pub async fn stop(&mut self) {
        self.signal("TERM");
        let deadline = Instant::now() + STOP_TIMEOUT;
        while self
            .child
            .try_wait()
            .expect("poll the daemon's exit status")
            .is_none()
        {
            assert!(
                Instant::now() < deadline,
                "{} did not exit within {STOP_TIMEOUT:?}",
                self.settings.vm
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()
            .expect("run kill");
        assert!(status.success(), "kill -{name} failed: {status}");
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // The daemon may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
