//! Reports that a daemon sends about itself to the daemons that may send it calls.

use serde::Deserialize;
use serde::Serialize;

use crate::decisions::evacuation::EvacuationSet;
use crate::decisions::outliers::FailureReport;

/// A daemon's state; see `docs/design/platform.md`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DaemonReport {
    /// True if the daemon accepts no new calls and only completes running ones.
    pub stopping: bool,
    pub config_version: u64,
    /// True if the daemon reads the store continuously and its last read succeeded.
    pub reads_store: bool,
    /// The endpoint on the daemon's VM, while it accepts new calls.
    pub endpoint: Option<EndpointReport>,
    /// Evacuated failure domains that the daemon knows of.
    pub evacuations: EvacuationSet,
}

/// State of an endpoint that accepts new calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointReport {
    pub service: String,
    pub slots: u32,
    /// True while the endpoint is slow after its start and its slots don't show that.
    pub cold: bool,
    /// True while the endpoint is cold and takes few requests a second, which its slots show.
    pub rated: bool,
    /// Share of its recent calls that the endpoint failed, in steps.
    pub failures: FailureReport,
}

impl DaemonReport {
    /// Returns true if the other daemons must be told of the difference to `old` at once. Versions
    /// of the configuration and evacuations also reach them with the replies to their pings.
    pub fn differs_from(&self, old: &Self) -> bool {
        self.stopping != old.stopping
            || self.reads_store != old.reads_store
            || self.endpoint != old.endpoint
    }
}

/// State of a daemon that changes all the time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    pub config_version: u64,
    /// Age of the proof that the daemon's configuration is the newest, or none if there is no proof.
    pub proof_age_ms: Option<u32>,
    /// Number of calls that run or wait at the endpoint.
    pub in_hand: u32,
    /// Evacuated failure domains that the daemon knows of.
    pub evacuations: EvacuationSet,
}
