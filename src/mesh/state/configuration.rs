//! Configuration in force, the proof that it is the newest, and the choice of store readers.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Bytes;
use rand::Rng;
use tokio::time::Instant;

use super::super::fleet::daemon_order;
use super::super::fleet::Peer;
use super::super::fleet::RouteTable;
use super::MeshState;
use crate::clock::time_since_boot;
use crate::decisions::readers::retry_delay;
use crate::decisions::readers::should_read;
use crate::decisions::readers::stale_age;
use crate::decisions::readers::PeerReader;
use crate::observe::LogEvent;

/// Time for which a reader waits for a new configuration from the store before it asks a peer.
const STORE_DELIVERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after its start in which a daemon takes the first daemons in the order for the readers.
const READER_SETTLING_TIME: Duration = Duration::from_millis(1500);
/// Time for which a daemon waits for a new configuration from its own failure domain before it asks
/// a peer in another one.
const RELAY_DELIVERY_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after a configuration request before another peer is asked.
const CONFIG_REQUEST_INTERVAL: Duration = Duration::from_millis(250);

impl MeshState {
    /// Returns the configuration in force.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Returns the configuration version in force, or 0 if there is none.
    pub fn config_version(&self) -> u64 {
        let routes = self.routes.borrow();
        routes.as_ref().map_or(0, |table| table.config().version)
    }

    /// Returns the configuration version in force and its bytes in the platform's format.
    pub fn raw_config(&self) -> (u64, Bytes) {
        (self.config_version(), self.raw_config.borrow().clone())
    }

    /// Applies a configuration if it is newer than the one in force; returns false if it cannot be
    /// decoded, which is logged.
    pub fn apply_config(&self, raw: &Bytes, source: &'static str) -> bool {
        let config = match (self.decode_config)(raw) {
            Ok(config) => config,
            Err(error) => {
                let event = LogEvent::LogRecordBad.number();
                tracing::warn!(event, source, error, "cannot decode a configuration");
                return false;
            }
        };
        let (old, new) = (self.config_version(), config.version);
        if new <= old {
            return true;
        }
        let event = LogEvent::ConfigInForce.number();
        let (routes, organisations) = (config.routes.len(), config.organisations.len());
        tracing::warn!(
            event,
            old,
            new,
            source,
            routes,
            organisations,
            "configuration in force"
        );
        for warning in &config.warnings {
            tracing::warn!(event, new, warning, "part of the configuration is unknown");
        }
        let cold_bound = self.settings().cold_bound;
        self.executor
            .set_cold_limits(&config.cold_limits, cold_bound);
        *self.routes.borrow_mut() = Some(Rc::new(RouteTable::from_config(config)));
        // A proof for an older version remains valid, because this one includes all its changes.
        *self.raw_config.borrow_mut() = raw.clone();
        if self.reads_store.get() || self.relay_time().is_some() {
            // The other daemons learn of a new version from the readers, and those of the own
            // failure domain fetch it from its relays.
            self.broadcast_report();
        }
        self.unreadable_since.set(None);
        true
    }

    /// Records whether the newest configuration of the store, read at the time `at` since boot, could be
    /// decoded.
    ///
    /// One that could not be decoded is newer than the one in force and may have withdrawn a key, so from
    /// then on nothing proves the one in force. See `docs/design/platform.md`.
    pub fn set_newest_readable(&self, readable: bool, at: Duration) {
        let since = self.unreadable_since.get().unwrap_or(at);
        self.unreadable_since.set((!readable).then_some(since));
    }

    /// Returns true unless the newest configuration of the store could not be decoded.
    pub fn newest_is_readable(&self) -> bool {
        self.unreadable_since.get().is_none()
    }

    /// Records that `version` was the newest one at the time `at` since boot, which includes time
    /// that the VM was suspended.
    pub fn record_proof(&self, version: u64, at: Duration) {
        if self.unreadable_since.get().is_some_and(|since| at >= since) {
            return;
        }
        // The version in force includes all changes of an older one, so its proof counts too.
        if version > 0 && version <= self.config_version() {
            self.proven_at.set(self.proven_at.get().max(Some(at)));
        }
    }

    /// Returns true if this daemon should read the store now, for itself or for the fleet.
    pub fn should_read_store(&self) -> bool {
        // At the start of a fleet no daemon has reported yet that it reads.
        let starting = self.now() < READER_SETTLING_TIME;
        let peers = self.peers();
        let peers = peers.iter().filter_map(|peer| {
            let order = peer.order;
            if starting {
                return Some(PeerReader { order, reads: true });
            }
            peer.with_report(|report| PeerReader {
                order,
                reads: report.reads_store,
            })
        });
        let own_order = daemon_order(self.settings().link_address);
        should_read(own_order, peers, self.proof_age(), self.stale_age())
    }

    /// Returns the age of its proof from which this daemon reads the store itself.
    fn stale_age(&self) -> Duration {
        stale_age(&self.settings().proof_limits)
    }

    /// Pings the daemons that read the store, whose replies carry their proofs.
    pub fn ping_readers(&self) {
        for peer in self.peers() {
            if peer.with_report(|report| report.reads_store) == Some(true) {
                peer.ping_due.notify_one();
            }
        }
    }

    /// Returns the time until the proof is too old to wait longer for a newer one from a peer.
    pub fn time_until_stale(&self) -> Duration {
        let age = self.proof_age().unwrap_or(Duration::MAX);
        self.stale_age().saturating_sub(age)
    }

    /// Returns the delay before the next call to the store after `failures` failed ones.
    pub fn store_retry_delay(&self, failures: u32) -> Duration {
        let peers = self.peers();
        let linked = peers.iter().filter(|peer| peer.is_linked());
        let orders = linked.map(|peer| peer.order);
        let own_order = daemon_order(self.settings().link_address);
        let jitter = self.rng.borrow_mut().random_range(0.0..1.0);
        retry_delay(own_order, orders, failures, jitter)
    }

    /// Sets whether this daemon reads the store, which it reports to its peers.
    pub fn set_reads_store(&self, reads: bool) {
        if self.reads_store.replace(reads) != reads {
            let event = LogEvent::ReaderChanged.number();
            tracing::warn!(
                event,
                reads,
                "started or stopped reading the store for the fleet"
            );
        }
    }

    /// Begins a request to a peer that has a newer configuration, `elapsed` after its report.
    ///
    /// Returns false if the request must not be sent yet, because the store or a relay of the own
    /// failure domain may still deliver the configuration, or another peer was asked just now.
    pub fn begin_config_request(&self, peer: &Peer, elapsed: Duration) -> bool {
        // A reader gets the configuration from the store itself.
        let reads_store = self.reads_store.get() && self.config_version() > 0;
        let same_domain = *peer.failure_domain() == *self.settings().failure_domain;
        let fetches_across = same_domain || self.relay_time().is_some();
        let delay = if reads_store {
            STORE_DELIVERY_TIMEOUT
        } else if fetches_across {
            Duration::ZERO
        } else {
            RELAY_DELIVERY_TIMEOUT
        };
        let requested_at = self.config_requested_at.get();
        let asked = requested_at.is_some_and(|at| at.elapsed() < CONFIG_REQUEST_INTERVAL);
        if elapsed < delay || asked {
            return false;
        }
        self.config_requested_at.set(Some(Instant::now()));
        true
    }

    /// Returns the age of the proof that the configuration in force is the newest.
    pub fn proof_age(&self) -> Option<Duration> {
        Some(time_since_boot().saturating_sub(self.proven_at.get()?))
    }

    /// Returns true if a key withdrawal may have been missed for longer than the proof's age limit.
    pub fn proof_expired(&self) -> bool {
        self.proof_age()
            .is_none_or(|age| age > self.settings().proof_limits.keys)
    }

    /// Returns true if this daemon reads the store for the fleet.
    pub fn reads_store(&self) -> bool {
        self.reads_store.get()
    }
}
