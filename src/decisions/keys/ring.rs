//! Granted and withdrawn keys, known by their hashes.
//!
//! A withdrawal beats a grant whichever comes first, and a withdrawn key is never granted again. So
//! order does not matter and withdrawals may travel from peer to peer ahead of the log.

use std::collections::HashMap;

use crate::wire::KeyGrant;
use crate::wire::KeyWithdrawal;

/// BLAKE3 of a key, in hexadecimal as the log holds it.
pub type KeyHash = String;

/// What is known of a presented key.
#[derive(Debug, PartialEq, Eq)]
pub enum KeyStatus<'a> {
    /// It works for this organisation.
    Granted(&'a str),
    /// It was withdrawn.
    Withdrawn,
    /// It was never granted, as far as this daemon knows.
    Unknown,
}

/// All keys of the fleet.
#[derive(Debug, Default, Clone)]
pub struct KeyRing {
    granted: HashMap<KeyHash, KeyGrant>,
    withdrawn: HashMap<KeyHash, KeyWithdrawal>,
}

impl KeyRing {
    /// Takes a grant; returns whether it was new.
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

    /// Takes a withdrawal; returns whether it was new.
    pub fn withdraw(&mut self, withdrawal: &KeyWithdrawal) -> bool {
        self.granted.remove(&withdrawal.key_hash);
        self.withdrawn
            .insert(withdrawal.key_hash.clone(), withdrawal.clone())
            .is_none()
    }

    /// Looks a key up by its hash.
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

    /// Grants in force.
    pub fn grants(&self) -> impl Iterator<Item = &KeyGrant> {
        self.granted.values()
    }

    /// Withdrawals known.
    pub fn withdrawals(&self) -> impl Iterator<Item = &KeyWithdrawal> {
        self.withdrawn.values()
    }
}
