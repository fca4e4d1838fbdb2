//! Granted and withdrawn keys, identified by their hashes.
//!
//! A withdrawal takes precedence over a grant regardless of their order, and a withdrawn key is
//! never granted again. So withdrawals may be sent from peer to peer ahead of the log.

use std::collections::HashMap;

use crate::wire::KeyGrant;
use crate::wire::KeyWithdrawal;

/// BLAKE3 hash of a key in hexadecimal, as stored in the log.
pub type KeyHash = String;

/// Status of a key.
#[derive(Debug, PartialEq, Eq)]
pub enum KeyStatus<'a> {
    /// The key is valid for this organisation.
    Granted(&'a str),
    /// The key was withdrawn.
    Withdrawn,
    /// No grant of the key is known to this daemon.
    Unknown,
}

/// Granted and withdrawn keys of the fleet.
#[derive(Debug, Default, Clone)]
pub struct KeyRing {
    granted: HashMap<KeyHash, KeyGrant>,
    withdrawn: HashMap<KeyHash, KeyWithdrawal>,
}

impl KeyRing {
    /// Applies a grant; returns true if it was new.
    pub fn grant(&mut self, grant: &KeyGrant) -> bool {
        if self.withdrawn.contains_key(&grant.key_hash) {
            return false;
        }
        let known = self.granted.contains_key(&grant.key_hash);
        if !known {
            self.granted.insert(grant.key_hash.clone(), grant.clone());
        }
        !known
    }

    /// Applies a withdrawal; returns true if it was new.
    pub fn withdraw(&mut self, withdrawal: &KeyWithdrawal) -> bool {
        self.granted.remove(&withdrawal.key_hash);
        self.withdrawn
            .insert(withdrawal.key_hash.clone(), withdrawal.clone())
            .is_none()
    }

    /// Returns the status of a key by its hash.
    pub fn status(&self, key_hash: &str) -> KeyStatus<'_> {
        if self.withdrawn.contains_key(key_hash) {
            return KeyStatus::Withdrawn;
        }
        self.granted
            .get(key_hash)
            .map_or(KeyStatus::Unknown, |grant| {
                KeyStatus::Granted(&grant.organisation)
            })
    }

    /// Returns the grants in force.
    pub fn grants(&self) -> impl Iterator<Item = &KeyGrant> {
        self.granted.values()
    }

    /// Returns the known withdrawals.
    pub fn withdrawals(&self) -> impl Iterator<Item = &KeyWithdrawal> {
        self.withdrawn.values()
    }
}
