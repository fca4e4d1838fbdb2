//! Grants and withdraws keys, and drains endpoints.

use uuid::Uuid;

use super::error::OperatorError;
use super::fleet::FleetLog;
use crate::clock::wall_ms;
use crate::upstream::hash_key;
use crate::upstream::new_key;
use crate::wire::EndpointDrain;
use crate::wire::KeyGrant;
use crate::wire::KeyWithdrawal;
use crate::wire::LogRecord;

/// A newly granted key; only its hash is stored.
#[derive(Debug, Clone, serde::Serialize)]
pub struct GrantedKey {
    pub key: String,
    pub hash: String,
    pub organisation: String,
}

/// Creates a key for an organisation and appends its hash to the log.
///
/// # Errors
///
/// Fails if no team in force contains the organisation or the grant can't be appended to the log.
pub async fn grant_key(
    fleet: &mut FleetLog,
    organisation: &str,
    author: &str,
) -> Result<GrantedKey, OperatorError> {
    let known = fleet
        .config
        .teams()
        .flat_map(|(_, state)| &state.config.organisations)
        .any(|terms| terms.name == organisation);
    if !known {
        return Err(OperatorError::NotFound {
            message: format!("no team in force contains the organisation {organisation:?}"),
        });
    }
    let key = new_key(&mut rand::rng());
    let hash = hash_key(&key);
    let change_id = Uuid::now_v7();
    let record = LogRecord::Grant(KeyGrant {
        change_id,
        key_hash: hash.clone(),
        organisation: organisation.to_string(),
        author: author.to_string(),
        at_ms: wall_ms(),
    });
    fleet.append(change_id, &record).await?;
    Ok(GrantedKey {
        key,
        hash,
        organisation: organisation.to_string(),
    })
}

/// Withdraws a key permanently.
///
/// # Errors
///
/// Fails if the key is not in force or the withdrawal can't be appended to the log.
pub async fn withdraw_key(
    fleet: &mut FleetLog,
    hash: &str,
    author: &str,
) -> Result<Uuid, OperatorError> {
    if !fleet.keys.grants().any(|grant| grant.key_hash == hash) {
        return Err(OperatorError::NotFound {
            message: format!("no key with the hash {hash:?} is in force"),
        });
    }
    let change_id = Uuid::now_v7();
    let record = LogRecord::Withdrawal(KeyWithdrawal {
        change_id,
        key_hash: hash.to_string(),
        author: author.to_string(),
        at_ms: wall_ms(),
    });
    fleet.append(change_id, &record).await?;
    Ok(change_id)
}

/// Stops or resumes sending new work to the endpoint on a VM.
///
/// # Errors
///
/// Fails if the change can't be appended to the log.
pub async fn drain_endpoint(
    fleet: &mut FleetLog,
    vm: &str,
    draining: bool,
    author: &str,
) -> Result<Uuid, OperatorError> {
    let change_id = Uuid::now_v7();
    let record = LogRecord::Drain(EndpointDrain {
        change_id,
        vm: vm.to_string(),
        draining,
        author: author.to_string(),
        at_ms: wall_ms(),
    });
    fleet.append(change_id, &record).await?;
    Ok(change_id)
}
