//! What an entry knows of the outliers of one service, and when it takes them back.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use smallvec::SmallVec;

use super::compare::median_failure;
use super::compare::set_aside;
use super::compare::EndpointHealth;

/// Shortest time for which an endpoint stays aside, so that entries don't change their minds with each
/// report.
const MIN_ASIDE_TIME: Duration = Duration::from_secs(1);
/// Time in which an endpoint that is taken back gets its full share of the calls again.
const RETURN_TIME: Duration = Duration::from_secs(3);
/// Share of its slots that counts for an endpoint that is just taken back.
const FIRST_SLOT_SHARE: f64 = 0.2;

/// How an entry places calls at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OutlierMark {
    pub set_aside: bool,
    /// Share of the calls that the endpoint fails.
    pub failure_share: f64,
    /// Share of the slots that counts, below 1 for some time after the endpoint was taken back.
    pub slot_share: f64,
}

impl Default for OutlierMark {
    fn default() -> Self {
        Self {
            set_aside: false,
            failure_share: 0.0,
            slot_share: 1.0,
        }
    }
}

/// Change of an endpoint's standing, with its reasons.
#[derive(Debug, Clone, Copy)]
pub struct OutlierChange {
    pub address: SocketAddrV4,
    pub set_aside: bool,
    pub failure_percent: u8,
    pub median_percent: u8,
}

/// Endpoint that is set aside, or that was until lately.
#[derive(Debug)]
struct EndpointStanding {
    set_aside: bool,
    since: Duration,
}

/// Endpoints of one service that are set aside or were until lately.
#[derive(Debug, Default)]
pub struct OutlierView {
    standings: HashMap<SocketAddrV4, EndpointStanding>,
}

impl OutlierView {
    /// Compares the endpoints of the service and returns their marks in the same order. `on_change` is
    /// called for each endpoint that is set aside or taken back.
    pub fn update(
        &mut self,
        endpoints: &[(SocketAddrV4, EndpointHealth)],
        now: Duration,
        mut on_change: impl FnMut(OutlierChange),
    ) -> SmallVec<[OutlierMark; 32]> {
        let is_known = |address: &SocketAddrV4| endpoints.iter().any(|(known, _)| known == address);
        self.standings.retain(|address, _| is_known(address));
        let healths = endpoints.iter().map(|(address, health)| EndpointHealth {
            set_aside: self.is_set_aside(*address),
            ..*health
        });
        let healths: SmallVec<[EndpointHealth; 32]> = healths.collect();
        let median_percent = median_failure(&healths);
        let mask = set_aside(&healths);
        let decided = endpoints.iter().zip(&healths).zip(mask);
        let marks = decided.map(|(((address, _), health), set_aside)| {
            let set_aside = self.apply(*address, health, set_aside, now);
            if set_aside != health.set_aside {
                on_change(OutlierChange {
                    address: *address,
                    set_aside,
                    failure_percent: health.failure_percent,
                    median_percent,
                });
            }
            OutlierMark {
                set_aside,
                failure_share: f64::from(health.failure_percent) / 100.0,
                slot_share: self.slot_share(*address, now),
            }
        });
        marks.collect()
    }

    /// Returns the number of endpoints that are set aside.
    pub fn set_aside_count(&self) -> usize {
        let standings = self.standings.values();
        standings.filter(|standing| standing.set_aside).count()
    }

    /// Returns true if no endpoint is set aside or was until lately.
    pub fn is_empty(&self) -> bool {
        self.standings.is_empty()
    }

    fn is_set_aside(&self, address: SocketAddrV4) -> bool {
        let standing = self.standings.get(&address);
        standing.is_some_and(|standing| standing.set_aside)
    }

    /// Applies a decision and returns whether the endpoint is set aside now.
    fn apply(
        &mut self,
        address: SocketAddrV4,
        health: &EndpointHealth,
        set_aside: bool,
        now: Duration,
    ) -> bool {
        let since = self
            .standings
            .get(&address)
            .map_or(now, |standing| standing.since);
        let age = now.saturating_sub(since);
        if set_aside == health.set_aside {
            if !set_aside && age >= RETURN_TIME {
                self.standings.remove(&address);
            }
            return set_aside;
        }
        if health.set_aside && age < MIN_ASIDE_TIME {
            return true;
        }
        let standing = EndpointStanding {
            set_aside,
            since: now,
        };
        self.standings.insert(address, standing);
        set_aside
    }

    fn slot_share(&self, address: SocketAddrV4, now: Duration) -> f64 {
        let returning = self.standings.get(&address);
        let Some(standing) = returning.filter(|standing| !standing.set_aside) else {
            return 1.0;
        };
        let age = now.saturating_sub(standing.since).as_secs_f64();
        let progress = (age / RETURN_TIME.as_secs_f64()).min(1.0);
        FIRST_SLOT_SHARE + (1.0 - FIRST_SLOT_SHARE) * progress
    }
}
