//! What a daemon takes its fleet to be before its links are up.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use tokio::task::LocalSet;

use super::proof::state;

#[tokio::test]
async fn a_fleet_that_starts_again_spends_its_repeats_once() {
    // Daemons that took themselves for the only one would spend 28 repeats each of a slack of 48.
    let state = state();
    assert!(
        !state.spend_retry("archive"),
        "before the fleet is looked up"
    );
    let local = LocalSet::new();
    local
        .run_until(async {
            for port in 2..74 {
                state.add_peer(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port));
            }
            state.mark_discovery_complete();
            assert!(!state.spend_retry("archive"), "before its links are up");
        })
        .await;
}
