//! The epochs of each scope in the order of the log.
//!
//! Epoch `n` covers births from its start until the start of epoch `n + 1`. Of two proposals for the
//! same number the first in offset order wins, for every reader alike. So each slot and birth time
//! has one owner for ever.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use smallvec::SmallVec;
use uuid::Uuid;

use crate::wire::OwnershipEpoch;

/// Past epochs kept for repeats of old requests.
const MAX_EPOCHS: usize = 64;
/// Proposals kept for a scope whose state is not known yet.
const MAX_PENDING: usize = 64;

/// What became of a proposed epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EpochOutcome {
    /// It is in force.
    Applied,
    /// It is known already.
    Duplicate,
    /// Another proposal with its number came first.
    Conflict,
    /// The log is read from the middle and the scope's state is not known yet.
    Pending,
}

/// Who owns a slot at a birth time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOwner {
    /// This incarnation, in an epoch that has ended: the next one's start is known.
    Settled { owner: Uuid, number: u64 },
    /// This incarnation, in the newest epoch, as far as witnesses acknowledge.
    Current { owner: Uuid, number: u64 },
    /// The birth is older than the epochs known here.
    Expired,
    /// No epoch is known.
    Unassigned,
}

/// The epochs of one scope, oldest first; never empty.
#[derive(Debug, Clone)]
pub struct EpochChain {
    epochs: Vec<OwnershipEpoch>,
    /// When the newest epoch's newest record was appended.
    recorded_ms: u64,
}

impl EpochChain {
    /// The newest epoch.
    pub fn newest(&self) -> &OwnershipEpoch {
        &self.epochs[self.epochs.len() - 1]
    }

    /// When the newest epoch was last appended to the log.
    pub fn recorded_ms(&self) -> u64 {
        self.recorded_ms
    }

    /// All epochs kept, oldest first.
    pub fn epochs(&self) -> &[OwnershipEpoch] {
        &self.epochs
    }

    /// The owner of a slot for a birth time.
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

/// The owner of a slot in one epoch.
fn owner_in(epoch: &OwnershipEpoch, slot: u32) -> Option<Uuid> {
    let index = *epoch.slots.get(slot as usize)? as usize;
    epoch.owners.get(index).copied()
}

/// All scopes as one reader of the log knows them.
#[derive(Debug, Default, Clone)]
pub struct OwnershipLedger {
    chains: BTreeMap<String, EpochChain>,
    pending: HashMap<String, SmallVec<[OwnershipEpoch; 2]>>,
    complete: bool,
    /// Scopes that have an epoch which has not been read yet.
    unread_scopes: BTreeSet<String>,
}

impl OwnershipLedger {
    /// A ledger for a reader that begins at the first record ever, or in the middle.
    pub fn from_first_offset(first_offset: u64) -> Self {
        Self {
            complete: first_offset == 0,
            ..Self::default()
        }
    }

    /// Takes an epoch in offset order, or one restated by the log or a peer.
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

    /// Takes the list of all scopes as of an offset: a scope that is not on it had no epoch then.
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

    /// The epochs of a scope.
    pub fn chain(&self, scope: &str) -> Option<&EpochChain> {
        self.chains.get(scope)
    }

    /// All scopes.
    pub fn chains(&self) -> impl Iterator<Item = (&String, &EpochChain)> {
        self.chains.iter()
    }

    /// Whether a scope without a chain is known never to have had one.
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
