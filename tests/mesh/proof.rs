//! How long a daemon may trust that it has missed no withdrawal of a key.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Bytes;
use marigoldhatch::clock::boot_now;
use marigoldhatch::mesh::fleet::CallerLimits;
use marigoldhatch::mesh::fleet::MeshConfig;
use marigoldhatch::mesh::MeshState;
use marigoldhatch_standins::mesh::loopback_settings;
use marigoldhatch_standins::mesh::plain_dialect;

const LIMIT: Duration = Duration::from_millis(4400);

/// The state of a daemon that knows nothing yet.
pub fn state() -> Rc<MeshState> {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    let settings = loopback_settings("archive", address, address);
    MeshState::new(settings, plain_dialect(), Box::new(decode))
}

/// The version as text is all that these configurations hold.
fn decode(bytes: &[u8]) -> Result<MeshConfig, String> {
    let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
    Ok(MeshConfig {
        version: text.parse().map_err(|_| format!("{text} is no version"))?,
        routes: Vec::new(),
        organisations: Vec::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1024,
            idle_timeout: Duration::from_secs(15),
        },
    })
}

#[tokio::test]
async fn a_newer_version_includes_all_that_the_older_one_was_proven_to_include() {
    let state = state();
    state.apply_config(&Bytes::from_static(b"5"), "store");
    assert!(state.proof_expired(), "nothing is proven yet");
    state.record_proof(5, boot_now());
    assert!(!state.proof_expired());
    state.apply_config(&Bytes::from_static(b"9"), "peer");
    assert!(!state.proof_expired(), "keyed requests go on");
}

#[tokio::test]
async fn a_proof_of_an_older_version_counts_and_one_of_a_newer_does_not() {
    let state = state();
    state.apply_config(&Bytes::from_static(b"9"), "store");
    state.record_proof(11, boot_now());
    assert!(state.proof_expired(), "version 11 may have withdrawn a key");
    state.record_proof(5, boot_now());
    assert!(!state.proof_expired(), "version 9 includes what 5 does");
}

#[tokio::test]
async fn an_old_proof_and_an_older_configuration_change_nothing() {
    let state = state();
    state.apply_config(&Bytes::from_static(b"9"), "store");
    state.record_proof(9, boot_now().saturating_sub(LIMIT * 2));
    assert!(state.proof_expired());
    state.apply_config(&Bytes::from_static(b"8"), "peer");
    state.apply_config(&Bytes::from_static(b"cut short"), "peer");
    assert_eq!(state.config_version(), 9);
}
