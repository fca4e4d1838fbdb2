//! Metrics of a daemon's state, whose number must not grow with the fleet.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use tokio::task::LocalSet;

use super::proof::new_state;

#[tokio::test]
async fn daemon_state_metrics_are_rendered() {
    let text = new_state().render_metrics();
    for name in [
        "config_version",
        "config_proof_age_seconds",
        "store_reader",
        "endpoint_limit",
        "endpoint_rate",
        "endpoint_failure_share",
        "set_aside_calls_total",
        "endpoint_running",
        "endpoint_waiting",
        "endpoint_evacuated",
        "evacuated_domains",
        "evacuation_position",
        "evacuation_refusals_total",
        "open_requests",
        "suspended_seconds_total",
        "known_daemons",
        "linked_daemons",
        "oldest_report_age_seconds",
        "control_seconds_total",
    ] {
        let line = format!("marigoldhatch_{name} ");
        assert!(text.contains(&line), "{name} is missing in:\n{text}");
    }
}

#[tokio::test]
async fn number_of_series_does_not_grow_with_the_fleet() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let state = new_state();
            let before = state.render_metrics().lines().count();
            for port in 2..200 {
                state.add_peer(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port));
            }
            let text = state.render_metrics();
            assert!(text.contains("marigoldhatch_known_daemons 199"), "{text}");
            assert_eq!(text.lines().count(), before);
        })
        .await;
}
