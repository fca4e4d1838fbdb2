//! Tracks which failure domains an operator has asked to evacuate.
//!
//! The requests have no version of their own: the operator adds and removes one record for each domain.
//! The position in the operator's topic orders them, so a set that was known up to a higher position is
//! the newer one, however it reached a daemon. See `docs/design/evacuation.md`.

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// Evacuated failure domains, as known up to a position in the operator's topic.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationSet {
    /// Position of the first record that the set doesn't include; 0 if nothing is known.
    position: u64,
    /// Hashes of the domains' names.
    domains: SmallVec<[u32; 2]>,
}

impl EvacuationSet {
    /// Creates the set that a read of the newest records shows, which began at `position`.
    ///
    /// It replaces what was known before, because the record of a removal may be deleted by now. A record
    /// that was written during the read may be included already; it is read once more from `position`.
    pub fn from_newest(position: u64, domains: impl IntoIterator<Item = u32>) -> Self {
        let mut set = Self {
            position,
            domains: SmallVec::new(),
        };
        for domain in domains {
            set.set_evacuated(domain, true);
        }
        set
    }

    /// Applies the record before `position`, unless the set includes it already.
    pub fn record(&mut self, domain: u32, evacuated: bool, position: u64) {
        if position > self.position {
            self.set_evacuated(domain, evacuated);
            self.position = position;
        }
    }

    /// Records that no further record precedes `position`.
    pub fn advance(&mut self, position: u64) {
        self.position = self.position.max(position);
    }

    /// Takes over a set that is known up to a higher position; returns false if `other` has none.
    pub fn replace_if_newer(&mut self, other: &Self) -> bool {
        let is_newer = other.position > self.position;
        if is_newer {
            self.clone_from(other);
        }
        is_newer
    }

    /// Returns true if the domain with this hash is evacuated.
    pub fn contains(&self, domain: u32) -> bool {
        self.domains.contains(&domain)
    }

    /// Returns the hashes of the evacuated domains.
    pub fn domains(&self) -> &[u32] {
        &self.domains
    }

    /// Returns the position of the first record that the set doesn't include.
    pub fn position(&self) -> u64 {
        self.position
    }

    fn set_evacuated(&mut self, domain: u32, evacuated: bool) {
        self.domains.retain(|other| *other != domain);
        if evacuated {
            self.domains.push(domain);
        }
    }
}
