//! Ownership epochs of each scope, in log order.
//!
//! Epoch `n` covers birth times from its start to the start of epoch `n + 1`. Of several proposals
//! with the same number, every reader applies the first in offset order. So each slot and birth
//! time has exactly one owner, which never changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use smallvec::SmallVec;
use uuid::Uuid;

use crate::wire::OwnershipEpoch;

/// Maximum number of epochs kept in a scope; past ones are needed for retries of old requests.
const MAX_EPOCHS: usize = 64;
/// Maximum number of proposals kept for a scope whose state is not known yet.
const MAX_PENDING: usize = 64;

/// Outcome of a proposed epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EpochOutcome {
    /// The epoch is in force.
    Applied,
    /// The epoch was applied before.
    Duplicate,
    /// An earlier proposal has the same number, or the number does not follow the newest epoch.
    Conflict,
    /// The scope's state is not known yet because the log was not read from its first record.
    Pending,
}

/// Owner of a slot at a birth time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOwner {
    /// Owner in an epoch that has ended: the start of the next one is known.
    Settled { owner: Uuid, number: u64 },
    /// Owner in the newest epoch, for birth times that its witnesses acknowledge.
    Current { owner: Uuid, number: u64 },
    /// The birth time is before the oldest epoch kept.
    Expired,
    /// The slot has no known owner.
    Unassigned,
}

/// Epochs of one scope, oldest first; never empty.
#[derive(Debug, Clone)]
pub struct EpochChain {
    epochs: Vec<OwnershipEpoch>,
    /// Time at which the newest record of the newest epoch was appended, in Unix milliseconds.
    recorded_ms: u64,
}

impl EpochChain {
    /// Returns the newest epoch.
    pub fn newest(&self) -> &OwnershipEpoch {
        &self.epochs[self.epochs.len() - 1]
    }

    /// Returns the time at which the newest epoch was last appended to the log.
    pub fn recorded_ms(&self) -> u64 {
        self.recorded_ms
    }

    /// Returns all epochs kept, oldest first.
    pub fn epochs(&self) -> &[OwnershipEpoch] {
        &self.epochs
    }

    /// Returns the owner of a slot at a birth time.
    pub fn owner(&self, slot: u32, birth_ms: u64) -> SlotOwner {
        let newest = self.newest().number;
        let Some(epoch) = self
            .epochs
            .iter()
            .rev()
            .find(|epoch| epoch.start_ms <= birth_ms)
        else {
            return SlotOwner::Expired;
        };
        let Some(owner) = owner_in(epoch, slot) else {
            return SlotOwner::Unassigned;
        };
        let number = epoch.number;
        if number == newest {
            SlotOwner::Current { owner, number }
        } else {
            SlotOwner::Settled { owner, number }
        }
    }

    fn push(&mut self, appended_ms: u64, epoch: OwnershipEpoch) {
        if epoch.number != self.newest().number + 1 {
            self.epochs.clear();
        }
        self.epochs.push(epoch);
        self.recorded_ms = appended_ms;
        if self.epochs.len() > MAX_EPOCHS {
            self.epochs.remove(0);
        }
    }
}

/// Returns the owner of a slot in one epoch.
fn owner_in(epoch: &OwnershipEpoch, slot: u32) -> Option<Uuid> {
    let index = *epoch.slots.get(slot as usize)? as usize;
    epoch.owners.get(index).copied()
}

/// Ownership state of all scopes, built from the log.
#[derive(Debug, Default, Clone)]
pub struct OwnershipLedger {
    chains: BTreeMap<String, EpochChain>,
    pending: HashMap<String, SmallVec<[OwnershipEpoch; 2]>>,
    /// True if the log was read from its first record, or an index of all scopes was read.
    complete: bool,
    /// Scopes that have an epoch that has not been read yet.
    unread_scopes: BTreeSet<String>,
}

impl OwnershipLedger {
    /// Creates a ledger for a reader that starts at the given offset; 0 is the first record.
    pub fn from_first_offset(first_offset: u64) -> Self {
        Self {
            complete: first_offset == 0,
            ..Self::default()
        }
    }

    /// Applies an epoch in offset order, or one restated by the log or a peer.
    pub fn apply(&mut self, appended_ms: u64, epoch: &OwnershipEpoch) -> EpochOutcome {
        let outcome = self.evaluate(epoch);
        match outcome {
            EpochOutcome::Applied => self.apply_current(appended_ms, epoch),
            EpochOutcome::Pending => self.add_pending(epoch),
            EpochOutcome::Duplicate => self.refresh_recorded_ms(appended_ms, epoch),
            EpochOutcome::Conflict => {}
        }
        outcome
    }

    /// Applies the list of all scopes as of an offset; a scope that is not listed had no epoch
    /// then.
    pub fn apply_index(&mut self, appended_ms: u64, scopes: &[String]) {
        if self.complete {
            return;
        }
        self.complete = true;
        self.unread_scopes = scopes
            .iter()
            .filter(|scope| !self.chains.contains_key(*scope))
            .cloned()
            .collect();
        let pending = std::mem::take(&mut self.pending);
        for (_, epochs) in pending {
            for epoch in &epochs {
                self.apply(appended_ms, epoch);
            }
        }
    }

    /// Returns the epochs of a scope.
    pub fn chain(&self, scope: &str) -> Option<&EpochChain> {
        self.chains.get(scope)
    }

    /// Returns all scopes with their epochs.
    pub fn chains(&self) -> impl Iterator<Item = (&String, &EpochChain)> {
        self.chains.iter()
    }

    /// Returns true if every scope without a chain is known to have no epoch.
    pub fn is_complete(&self) -> bool {
        self.complete && self.unread_scopes.is_empty()
    }

    fn evaluate(&self, epoch: &OwnershipEpoch) -> EpochOutcome {
        let Some(chain) = self.chains.get(&epoch.scope) else {
            let absent = self.complete && !self.unread_scopes.contains(&epoch.scope);
            let first = absent && epoch.number == 1;
            return match first || epoch.restated {
                true => EpochOutcome::Applied,
                false => EpochOutcome::Pending,
            };
        };
        let known = chain
            .epochs
            .iter()
            .any(|known_epoch| known_epoch.change_id == epoch.change_id);
        let newest = chain.newest().number;
        let is_next = epoch.number == newest + 1 || (epoch.restated && epoch.number > newest);
        match (known, is_next) {
            (true, _) => EpochOutcome::Duplicate,
            (false, true) => EpochOutcome::Applied,
            (false, false) => EpochOutcome::Conflict,
        }
    }

    fn apply_current(&mut self, appended_ms: u64, epoch: &OwnershipEpoch) {
        self.unread_scopes.remove(&epoch.scope);
        match self.chains.get_mut(&epoch.scope) {
            Some(chain) => chain.push(appended_ms, epoch.clone()),
            None => {
                let chain = EpochChain {
                    epochs: vec![epoch.clone()],
                    recorded_ms: appended_ms,
                };
                self.chains.insert(epoch.scope.clone(), chain);
            }
        }
        let pending = self.pending.remove(&epoch.scope).unwrap_or_default();
        for pending_epoch in &pending {
            self.apply(appended_ms, pending_epoch);
        }
    }

    fn add_pending(&mut self, epoch: &OwnershipEpoch) {
        let pending = self.pending.entry(epoch.scope.clone()).or_default();
        if pending.len() >= MAX_PENDING {
            pending.remove(0);
        }
        pending.push(epoch.clone());
    }

    fn refresh_recorded_ms(&mut self, appended_ms: u64, epoch: &OwnershipEpoch) {
        let Some(chain) = self.chains.get_mut(&epoch.scope) else {
            return;
        };
        if chain.newest().change_id == epoch.change_id {
            chain.recorded_ms = chain.recorded_ms.max(appended_ms);
        }
    }
}
