//! Age of the proof that a daemon's configuration is the newest, so that no key withdrawal is
//! missed.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Bytes;
use marigoldhatch::clock::time_since_boot;
use marigoldhatch::clock::DeadlineClock;
use marigoldhatch::mesh::fleet::CallerLimits;
use marigoldhatch::mesh::fleet::MeshConfig;
use marigoldhatch::mesh::MeshState;
use marigoldhatch_standins::mesh::loopback_settings;
use marigoldhatch_standins::mesh::plain_header_names;

const PROOF_AGE_LIMIT: Duration = Duration::from_millis(4400);

/// Returns the state of a daemon that has just started.
pub fn new_state() -> Rc<MeshState> {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    let settings = loopback_settings("archive", address, address);
    let clock = Rc::new(DeadlineClock::start());
    MeshState::new(
        settings,
        plain_header_names(),
        Box::new(decode_version),
        clock,
    )
}

/// Decodes a configuration that consists of its version as text.
fn decode_version(bytes: &[u8]) -> Result<MeshConfig, String> {
    let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
    Ok(MeshConfig {
        warnings: Vec::new(),
        version: text
            .parse()
            .map_err(|_| format!("expected a version number, got {text:?}"))?,
        routes: Vec::new(),
        organisations: Vec::new(),
        status_paths: HashMap::new(),
        cold_limits: HashMap::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1024,
            idle_timeout: Duration::from_secs(15),
        },
    })
}

#[tokio::test]
async fn proof_of_the_previous_version_holds_for_a_newer_one() {
    let state = new_state();
    state.apply_config(&Bytes::from_static(b"5"), "store");
    assert!(state.proof_expired(), "there is no proof yet");
    state.record_proof(5, time_since_boot());
    assert!(!state.proof_expired());
    state.apply_config(&Bytes::from_static(b"9"), "peer");
    assert!(
        !state.proof_expired(),
        "requests with a key must still be admitted"
    );
}

#[tokio::test]
async fn proof_of_an_older_version_counts_and_one_of_a_newer_version_does_not() {
    let state = new_state();
    state.apply_config(&Bytes::from_static(b"9"), "store");
    state.record_proof(11, time_since_boot());
    assert!(state.proof_expired(), "version 11 may have withdrawn a key");
    state.record_proof(5, time_since_boot());
    assert!(!state.proof_expired(), "version 9 includes version 5");
}

#[tokio::test]
async fn expired_proof_and_older_configuration_are_ignored() {
    let state = new_state();
    state.apply_config(&Bytes::from_static(b"9"), "store");
    state.record_proof(9, time_since_boot().saturating_sub(PROOF_AGE_LIMIT * 2));
    assert!(state.proof_expired());
    state.apply_config(&Bytes::from_static(b"8"), "peer");
    state.apply_config(&Bytes::from_static(b"cut short"), "peer");
    assert_eq!(state.config_version(), 9);
}

/// Guards against the fault of review/1, by which a configuration that could not be decoded counted as a
/// proof of the one in force (CONFIG).
#[tokio::test]
async fn nothing_is_proven_while_the_newest_configuration_cannot_be_decoded() {
    let state = new_state();
    assert!(state.apply_config(&Bytes::from_static(b"5"), "store"));
    let unread_at = time_since_boot();
    assert!(!state.apply_config(&Bytes::from_static(b"cut short"), "store"));
    state.set_newest_readable(false, unread_at);
    state.record_proof(5, time_since_boot());
    assert!(state.proof_expired(), "a later read proves nothing");
    state.set_newest_readable(false, time_since_boot());
    state.record_proof(5, unread_at + Duration::from_nanos(1));
    assert!(state.proof_expired(), "the first unreadable record counts");
    let before = unread_at.saturating_sub(Duration::from_millis(1));
    state.record_proof(5, before);
    assert!(!state.proof_expired(), "a proof of the time before holds");
    assert!(state.apply_config(&Bytes::from_static(b"9"), "peer"));
    assert!(state.newest_is_readable(), "a newer version replaces it");
}
