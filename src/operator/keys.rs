//! Grants and withdraws keys.

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

/// A key that has just been granted; it is shown this once and kept nowhere.
#[derive(Debug, Clone, serde::Serialize)]
pub struct GrantedKey {
    pub key: String,
    pub hash: String,
    pub organisation: String,
}

/// Makes a key and puts its hash in force.
///
/// # Errors
///
/// Fails when no team names the organisation, or the log does not take the grant.
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
            message: format!("no team in force names the organisation {organisation:?}"),
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

/// Stops a key for ever.
///
/// # Errors
///
/// Fails when the key is not in force, or the log does not take the withdrawal.
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

/// Gives an endpoint no new work, or gives it work again.
///
/// # Errors
///
/// Fails when the log does not take the change.
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
