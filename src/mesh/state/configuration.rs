//! The configuration in force, the proof that it is the newest, and who reads the store for it.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Bytes;
use tokio::time::Instant;

use super::super::fleet::hash_name;
use super::super::fleet::RouteTable;
use super::MeshState;
use crate::clock::boot_now;
use crate::decisions::readers::is_old;
use crate::decisions::readers::should_read;
use crate::decisions::readers::PeerReader;
use crate::observe::LogEvent;

/// Time that the store's own delivery of a new configuration gets before a peer is asked.
const STORE_DELIVERY_TIMEOUT: Duration = Duration::from_millis(300);
/// A peer that was asked for its configuration has this long before another one is asked.
const CONFIG_REQUEST_INTERVAL: Duration = Duration::from_millis(250);

impl MeshState {
    /// The configuration in force.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// The version in force; 0 before there is one.
    pub fn config_version(&self) -> u64 {
        let routes = self.routes.borrow();
        routes.as_ref().map_or(0, |one| one.config().version)
    }

    /// The configuration in force as the platform keeps it.
    pub fn raw_config(&self) -> (u64, Bytes) {
        (self.config_version(), self.raw_config.borrow().clone())
    }

    /// Puts a configuration in force if it is newer; what can't be read is passed over.
    pub fn apply_config(&self, raw: &Bytes, source: &'static str) {
        let config = match (self.decode_config)(raw) {
            Ok(config) => config,
            Err(error) => {
                let event = LogEvent::LogRecordBad.number();
                tracing::warn!(event, source, error, "a configuration can't be read");
                return;
            }
        };
        let (old, new) = (self.config_version(), config.version);
        if new <= old {
            return;
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
        *self.routes.borrow_mut() = Some(Rc::new(RouteTable::from_config(config)));
        // A proof for an older version stays good: this one includes all that was in force then.
        *self.raw_config.borrow_mut() = raw.clone();
        if self.reads_store.get() {
            // The others wait for their readers' word.
            self.broadcast_report();
        }
    }

    /// Notes that `version` was the newest at `at` on the clock that suspension doesn't stop.
    pub fn record_proof(&self, version: u64, at: Duration) {
        // A newer version includes all that an older one that was the newest at `at` did.
        if version > 0 && version <= self.config_version() {
            self.proven_at.set(self.proven_at.get().max(Some(at)));
        }
    }

    /// Whether this daemon should read the store now, for itself or for the fleet.
    pub fn should_read_store(&self) -> bool {
        let peers = self.peers();
        let peers = peers.iter().filter_map(|peer| {
            let order = reader_order(peer.address);
            peer.with_report(|report| PeerReader {
                order,
                reads: report.reads_store,
            })
        });
        let settings = self.settings();
        let own = reader_order(settings.link_address);
        should_read(own, peers, self.proof_age(), settings.proof_age_limit)
    }

    /// Whether what peers prove has become too old to wait for more of it.
    pub fn proof_is_stale(&self) -> bool {
        is_old(self.proof_age(), self.settings().proof_age_limit)
    }

    /// Notes whether this daemon reads the store, for its peers to count on.
    pub fn set_reads_store(&self, reads: bool) {
        if self.reads_store.replace(reads) != reads {
            let event = LogEvent::ReaderChanged.number();
            tracing::warn!(
                event,
                reads,
                "reading the store for the fleet began or ended"
            );
        }
    }

    /// Whether a peer that has a newer configuration may be asked for it, `elapsed` after it was
    /// first heard of; a moment later another one may.
    pub fn begin_config_request(&self, elapsed: Duration) -> bool {
        let known = self.config_version() > 0;
        // A reader hears from the store itself.
        if known && self.reads_store.get() && elapsed < STORE_DELIVERY_TIMEOUT {
            return false;
        }
        let asked = self.config_requested_at.get();
        if known && asked.is_some_and(|at| at.elapsed() < CONFIG_REQUEST_INTERVAL) {
            return false;
        }
        self.config_requested_at.set(Some(Instant::now()));
        true
    }

    /// Age of the proof that the configuration in force is the newest.
    pub fn proof_age(&self) -> Option<Duration> {
        Some(boot_now().saturating_sub(self.proven_at.get()?))
    }

    /// Whether a withdrawal of a key may have been missed for longer than the bound.
    pub fn proof_expired(&self) -> bool {
        self.proof_age()
            .is_none_or(|age| age > self.settings().proof_age_limit)
    }

    /// Whether this daemon reads the store for the fleet.
    pub fn reads_store(&self) -> bool {
        self.reads_store.get()
    }
}

/// The same order at every daemon, and one in which failure domains are mixed.
fn reader_order(address: SocketAddrV4) -> u64 {
    u64::from(hash_name(&address.to_string()))
}
