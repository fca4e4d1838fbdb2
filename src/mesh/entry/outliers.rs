//! Compares the endpoints of each service and marks those that an entry leaves out.
//!
//! See `docs/design/outliers.md`.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use smallvec::SmallVec;

use super::super::fleet::hash_name;
use super::super::fleet::EndpointReport;
use super::super::state::MeshState;
use crate::decisions::outliers::EndpointHealth;
use crate::decisions::outliers::OutlierChange;
use crate::decisions::outliers::OutlierMark;
use crate::decisions::outliers::OutlierView;
use crate::observe::LogEvent;

/// Outliers of all services, as known to one entry.
#[derive(Debug, Default)]
pub struct OutlierTable {
    views: RefCell<HashMap<String, OutlierView>>,
    /// Mark of the endpoint on this VM.
    own_mark: Cell<OutlierMark>,
    /// Calls that were placed at endpoints that were set aside.
    calls: Cell<u64>,
}

impl OutlierTable {
    /// Returns the mark of the endpoint on this VM.
    pub fn own_mark(&self) -> OutlierMark {
        self.own_mark.get()
    }

    /// Counts a call that is placed at an endpoint that is set aside.
    pub fn count_call(&self) {
        self.calls.set(self.calls.get() + 1);
    }

    /// Returns the number of calls placed at endpoints that were set aside.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Compares the endpoints of a service and returns their marks in the same order.
    fn compare(
        &self,
        service: &str,
        endpoints: &[(SocketAddrV4, EndpointHealth)],
        now: Duration,
    ) -> SmallVec<[OutlierMark; 32]> {
        let mut views = self.views.borrow_mut();
        let is_sound = endpoints
            .iter()
            .all(|(_, health)| health.failure_percent == 0);
        if is_sound && !views.contains_key(service) {
            return endpoints.iter().map(|_| OutlierMark::default()).collect();
        }
        let view = views.entry(service.to_owned()).or_default();
        let marks = view.update(endpoints, now, |change| {
            log_change(service, endpoints.len(), change);
        });
        if is_sound && view.is_empty() {
            views.remove(service);
        }
        marks
    }

    /// Returns the number of endpoints of a service that are set aside.
    pub fn set_aside_count(&self, service: &str) -> usize {
        let views = self.views.borrow();
        views.get(service).map_or(0, OutlierView::set_aside_count)
    }
}

impl MeshState {
    /// Updates the reported share of failures of the endpoint on this VM, and the marks of all
    /// endpoints.
    pub fn update_outliers(&self) {
        self.executor.outcomes.update_report();
        let domain = hash_name(&self.settings().failure_domain);
        let own = self.endpoint_report();
        self.outliers.own_mark.set(OutlierMark::default());
        self.visit_services(|service, peers| {
            let mut endpoints: SmallVec<[(SocketAddrV4, EndpointHealth); 32]> = SmallVec::new();
            let mut marks: SmallVec<[&Cell<OutlierMark>; 32]> = SmallVec::new();
            if let Some(own) = own.as_ref().filter(|own| own.service == service) {
                endpoints.push((self.settings().link_address, endpoint_health(own, domain)));
                marks.push(&self.outliers.own_mark);
            }
            for peer in peers {
                let health = peer.with_report(|report| {
                    let endpoint = report.endpoint.as_ref();
                    endpoint.map(|endpoint| endpoint_health(endpoint, domain))
                });
                if let Some(Some(health)) = health {
                    endpoints.push((peer.address, health));
                    marks.push(&peer.outlier_mark);
                }
            }
            let compared = self.outliers.compare(service, &endpoints, self.now());
            for (mark, compared) in marks.iter().zip(compared) {
                mark.set(compared);
            }
        });
    }
}

fn endpoint_health(endpoint: &EndpointReport, domain: u32) -> EndpointHealth {
    EndpointHealth {
        failure_percent: endpoint.failures.percent_for(domain),
        slots: endpoint.slots,
        set_aside: false,
    }
}

fn log_change(service: &str, endpoints: usize, change: OutlierChange) {
    let OutlierChange {
        address,
        set_aside,
        failure_percent,
        median_percent,
    } = change;
    let event = if set_aside {
        LogEvent::EndpointSetAside.number()
    } else {
        LogEvent::EndpointTakenBack.number()
    };
    tracing::warn!(
        event,
        service,
        executor = %address,
        set_aside,
        failure_percent,
        median_percent,
        endpoints,
        "the standing of an endpoint changed"
    );
}
