//! Fleet size that a daemon assumes before its links are up.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use tokio::task::LocalSet;

use super::proof::new_state;

#[tokio::test]
async fn retry_slack_is_shared_before_discovery_and_before_links_are_up() {
    // If each daemon of a restarted fleet assumed to be the only one, each would send 28 retries of
    // a slack of 48.
    let state = new_state();
    assert!(
        !state.spend_retry("archive"),
        "no retry before discovery is complete"
    );
    let local = LocalSet::new();
    local
        .run_until(async {
            for port in 2..74 {
                state.add_peer(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port));
            }
            state.mark_discovery_complete();
            assert!(
                !state.spend_retry("archive"),
                "no retry before the links are up"
            );
        })
        .await;
}
