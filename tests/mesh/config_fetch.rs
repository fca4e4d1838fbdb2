//! Fetching a new configuration from a peer.
//!
//! Pattern: a version of many kilobytes reaches a large fleet. Only a few daemons of each failure
//! domain may fetch it from another domain.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use marigoldhatch::clock::DeadlineClock;
use marigoldhatch::mesh::fleet::Peer;
use tokio::task::LocalSet;

use super::calls::connect_link;
use super::proof::new_state;

/// Time after which a daemon no longer waits for a relay of its own failure domain.
const FALLBACK: Duration = Duration::from_millis(400);

async fn peer_in(failure_domain: &str) -> Peer {
    let peer = Peer::from_address(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9));
    let now = DeadlineClock::start().now();
    peer.attach(connect_link().await, 7, failure_domain, now);
    peer
}

#[tokio::test]
async fn configuration_is_fetched_inside_the_failure_domain_first() {
    LocalSet::new()
        .run_until(async {
            let state = new_state();
            let own_domain = state.settings().failure_domain.clone();
            let distant = peer_in("another").await;
            assert!(!state.begin_config_request(&distant, Duration::ZERO));
            let near = peer_in(&own_domain).await;
            assert!(state.begin_config_request(&near, Duration::ZERO));
        })
        .await;
}

#[tokio::test]
async fn relay_fetches_the_configuration_across_at_once() {
    LocalSet::new()
        .run_until(async {
            let state = new_state();
            state.set_relay(true);
            let distant = peer_in("another").await;
            assert!(state.begin_config_request(&distant, Duration::ZERO));
        })
        .await;
}

#[tokio::test]
async fn daemon_without_a_near_source_asks_another_failure_domain_and_only_one_peer() {
    LocalSet::new()
        .run_until(async {
            let state = new_state();
            let distant = peer_in("another").await;
            assert!(state.begin_config_request(&distant, FALLBACK));
            assert!(
                !state.begin_config_request(&distant, FALLBACK),
                "one request at a time, also before there is a configuration"
            );
        })
        .await;
}
