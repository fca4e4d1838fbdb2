//! Renders the metrics of a daemon's state and of its view of the fleet.
//!
//! The number of series depends on services, routes and ranks, but not on the size of the fleet.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::super::fleet::EndpointReport;
use super::super::link::TrafficCause;
use super::super::state::MeshState;

/// Totals over all endpoints of a service.
#[derive(Debug, Default)]
struct EndpointTotals {
    endpoints: u32,
    slots: u32,
    in_hand: u32,
}

impl EndpointTotals {
    fn add(&mut self, endpoint: &EndpointReport, in_hand: u32) {
        self.endpoints += 1;
        self.slots += endpoint.slots;
        self.in_hand += in_hand;
    }
}

impl MeshState {
    /// Renders all metrics in the Prometheus text exposition format.
    pub fn render_metrics(&self) -> String {
        let mut text = self.metrics.render();
        self.render_daemon_state(&mut text);
        self.render_services(&mut text);
        self.render_link_traffic(&mut text);
        self.render_charges(&mut text);
        for (class, share) in self.admission.borrow().shares() {
            let (route, rank) = (class.route, class.rank);
            let labels = format!("{{route=\"{route}\",rank=\"{rank}\"}}");
            write_sample(&mut text, "class_share", &labels, share);
        }
        text
    }

    fn render_daemon_state(&self, text: &mut String) {
        // An age of -1 means that there is no proof or no report, a rate of -1 that there is no limit.
        let proof_age = self.proof_age().map_or(-1.0, |age| age.as_secs_f64());
        let peers = self.peers();
        let report_ages = peers.iter().filter_map(|peer| peer.report_age());
        let oldest_report_age = report_ages.max().map_or(-1.0, |age| age.as_secs_f64());
        let demand_age = self.demand_view.borrow().age(self.now());
        let demand_age = demand_age.map_or(-1.0, |age| age.as_secs_f64());
        let is_relay = self.relay_time().is_some();
        let executor = &self.executor;
        let evacuations = self.evacuations();
        let evacuated = self.is_evacuated(&self.settings().failure_domain);
        let waiting = executor.in_hand().saturating_sub(executor.running());
        let samples = [
            ("config_version", self.config_version() as f64),
            ("config_proof_age_seconds", proof_age),
            ("store_reader", f64::from(u8::from(self.reads_store()))),
            ("endpoint_limit", f64::from(executor.limit())),
            ("endpoint_rate", executor.rate().unwrap_or(-1.0)),
            ("endpoint_cold_rate", executor.cold_rate().unwrap_or(-1.0)),
            (
                "endpoint_cold_remaining_seconds",
                executor.cold_remaining().as_secs_f64(),
            ),
            ("endpoint_running", f64::from(executor.running())),
            ("endpoint_waiting", f64::from(waiting)),
            ("endpoint_evacuated", f64::from(u8::from(evacuated))),
            ("evacuated_domains", evacuations.domains().len() as f64),
            ("evacuation_position", evacuations.position() as f64),
            (
                "evacuation_refusals_total",
                executor.evacuation_refusals() as f64,
            ),
            ("open_requests", f64::from(self.open_requests())),
            (
                "suspended_seconds_total",
                self.clock.suspended().as_secs_f64(),
            ),
            ("known_daemons", peers.len() as f64 + 1.0),
            ("linked_daemons", self.linked_daemons() as f64),
            ("oldest_report_age_seconds", oldest_report_age),
            ("demand_age_seconds", demand_age),
            ("demand_relay", f64::from(u8::from(is_relay))),
            (
                "endpoint_failure_share",
                f64::from(executor.outcomes.report().percent) / 100.0,
            ),
            ("set_aside_calls_total", self.outliers.calls() as f64),
            ("body_bytes_held", self.body_budget.held() as f64),
            ("body_bytes_peak", self.body_budget.peak() as f64),
            ("control_seconds_total", self.control_time().as_secs_f64()),
        ];
        for (name, value) in samples {
            write_sample(text, name, "", value);
        }
    }

    /// Returns the bytes sent on links by cause, to the own and to other failure domains, for the
    /// log line of the shutdown.
    pub fn link_bytes_summary(&self) -> String {
        let causes = TrafficCause::ALL.iter().map(|cause| {
            let (own_domain, other_domains) = self.link_traffic.sent(*cause);
            format!("{}={own_domain}/{other_domains}", cause.name())
        });
        causes.collect::<Vec<_>>().join(" ")
    }

    fn render_charges(&self, text: &mut String) {
        let counts = self.admission.borrow().charge_counts();
        let samples = [
            ("quota_tokens_taken_total", counts.taken),
            ("quota_tokens_returned_total", counts.returned),
            (
                "quota_refused_within_rate_total",
                counts.refused_within_rate,
            ),
            (
                "quota_refused_in_full_class_total",
                counts.refused_in_full_class,
            ),
        ];
        for (name, count) in samples {
            write_sample(text, name, "", count as f64);
        }
    }

    fn render_link_traffic(&self, text: &mut String) {
        for cause in TrafficCause::ALL {
            let (own_domain, other_domains) = self.link_traffic.sent(cause);
            for (domain, bytes) in [("own", own_domain), ("other", other_domains)] {
                let labels = format!("{{cause=\"{}\",domain=\"{domain}\"}}", cause.name());
                write_sample(text, "link_sent_bytes_total", &labels, bytes as f64);
            }
        }
    }

    fn render_services(&self, text: &mut String) {
        let mut services: BTreeMap<String, EndpointTotals> = BTreeMap::new();
        let mut add = |endpoint: &EndpointReport, in_hand| {
            let load = services.entry(endpoint.service.clone()).or_default();
            load.add(endpoint, in_hand);
        };
        if let Some(endpoint) = self.endpoint_report() {
            add(&endpoint, self.executor.in_hand());
        }
        for peer in self.peers() {
            let in_hand = peer.load();
            peer.with_report(|report| report.endpoint.as_ref().map(|one| add(one, in_hand)));
        }
        for (service, load) in services {
            let labels = format!("{{service=\"{service}\"}}");
            let EndpointTotals {
                endpoints,
                slots,
                in_hand,
            } = load;
            write_sample(text, "service_endpoints", &labels, f64::from(endpoints));
            write_sample(text, "service_slots", &labels, f64::from(slots));
            write_sample(text, "service_in_hand", &labels, f64::from(in_hand));
            let set_aside = self.outliers.set_aside_count(&service) as f64;
            write_sample(text, "service_set_aside", &labels, set_aside);
            if let Some(capacity) = self.admission.borrow().planned_capacity(&service) {
                write_sample(text, "service_credit", &labels, capacity);
            }
        }
    }
}

fn write_sample(text: &mut String, name: &str, labels: &str, value: f64) {
    // Writing to a String cannot fail.
    let _ = writeln!(text, "marigoldhatch_{name}{labels} {value}");
}
