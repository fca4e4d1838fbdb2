//! Reads and checks the options of a daemon.

use std::net::SocketAddr;
use std::path::Path;

use crate::settings::CheckedDocument;
use crate::settings::DaemonSettings;
use crate::settings::DocumentError;
use crate::settings::DocumentFault;
use crate::settings::SETTINGS_SCHEMA;
use crate::upstream::LogClient;
use crate::wire::seal::FleetKey;

/// Error in the settings.
pub type OptionsError = DocumentError;

/// Settings with parsed addresses and checked values.
#[derive(Debug, Clone)]
pub struct DaemonOptions {
    pub vm: String,
    pub failure_domain: String,
    pub region: String,
    pub traffic_address: SocketAddr,
    pub local_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub advertised_traffic_address: SocketAddr,
    pub advertised_peer_address: SocketAddr,
    pub control_address: SocketAddr,
    pub log_url: String,
    pub fleet_key: FleetKey,
    pub bootstrap_peers: Vec<SocketAddr>,
    pub traffic_threads: usize,
    pub max_body_bytes: usize,
    pub max_answer_bytes: usize,
    pub body_timeout: std::time::Duration,
    pub log_filter: String,
}

impl DaemonOptions {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that lists every fault with file, line and key.
    pub fn from_file(path: &Path) -> Result<Self, OptionsError> {
        Self::from_document(&CheckedDocument::from_file(path, SETTINGS_SCHEMA)?)
    }

    /// Checks settings given as text; `path` is the file name in errors.
    ///
    /// # Errors
    ///
    /// Returns an error that lists every fault with line and key.
    pub fn from_text(path: &str, text: &str) -> Result<Self, OptionsError> {
        Self::from_document(&CheckedDocument::from_text(path, text, SETTINGS_SCHEMA)?)
    }

    fn from_document(document: &CheckedDocument<DaemonSettings>) -> Result<Self, OptionsError> {
        let settings = &document.value;
        let mut faults = Vec::new();
        let mut address =
            |key: &str, text: &str| parse_address(document, &format!("/{key}"), text, &mut faults);
        let traffic_address = address("traffic_address", &settings.traffic_address);
        let local_address = address("local_address", &settings.local_address);
        let peer_address = address("peer_address", &settings.peer_address);
        let control_address = address("control_address", &settings.control_address);
        let mut advertised = |key: &str, text: &Option<String>, listens: SocketAddr| {
            text.as_ref().map_or(listens, |text| address(key, text))
        };
        let advertised_traffic_address = advertised(
            "advertised_traffic_address",
            &settings.advertised_traffic_address,
            traffic_address,
        );
        let advertised_peer_address = advertised(
            "advertised_peer_address",
            &settings.advertised_peer_address,
            peer_address,
        );
        let bootstrap_peers = settings
            .bootstrap_peers
            .iter()
            .enumerate()
            .map(|(index, text)| address(&format!("bootstrap_peers/{index}"), text))
            .collect();
        if let Err(error) = LogClient::from_url(&settings.log_url) {
            faults.push(document.fault("/log_url", error.to_string()));
        }
        if !faults.is_empty() {
            return Err(document.error(faults));
        }
        Ok(Self {
            vm: settings.vm.clone(),
            failure_domain: settings.failure_domain.clone(),
            region: settings.region.clone(),
            traffic_address,
            local_address,
            peer_address,
            advertised_traffic_address,
            advertised_peer_address,
            control_address,
            log_url: settings.log_url.clone(),
            fleet_key: FleetKey::from_secret(&settings.fleet_secret),
            bootstrap_peers,
            traffic_threads: settings.traffic_threads as usize,
            max_body_bytes: settings.max_body_bytes as usize,
            max_answer_bytes: settings.max_answer_bytes as usize,
            body_timeout: std::time::Duration::from_millis(settings.body_timeout_ms),
            log_filter: settings.log_filter.clone(),
        })
    }
}

fn parse_address(
    document: &CheckedDocument<DaemonSettings>,
    pointer: &str,
    text: &str,
    faults: &mut Vec<DocumentFault>,
) -> SocketAddr {
    text.parse().unwrap_or_else(|_| {
        let message = format!("{text:?} must be an IP address and a port, such as 10.0.0.5:7100");
        faults.push(document.fault(pointer, message));
        SocketAddr::from(([0, 0, 0, 0], 0))
    })
}
