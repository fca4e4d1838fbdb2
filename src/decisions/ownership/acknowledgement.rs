//! How far an owner may run: the bounds that its witnesses acknowledged.

use std::collections::HashMap;

use smallvec::SmallVec;
use uuid::Uuid;

use super::EpochChain;
use super::SlotOwner;
use crate::wire::OwnershipEpoch;

/// What a daemon may do with a birth time in a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerClaim {
    /// It alone may run it.
    Owned,
    /// It is the owner as far as it knows, but the birth is not acknowledged yet.
    Unacknowledged,
    /// Another incarnation owns it.
    Other(Uuid),
    /// No one can say any more who owned it.
    Expired,
    /// No one owns it yet.
    Unassigned,
}

#[derive(Debug, Default, Clone)]
struct ScopeAcks {
    number: u64,
    by_witness: SmallVec<[(Uuid, u64); 5]>,
}

/// The acknowledgements that one owner holds, by scope.
#[derive(Debug, Default, Clone)]
pub struct AckBounds {
    scopes: HashMap<String, ScopeAcks>,
}

impl AckBounds {
    /// Takes a witness's acknowledgement.
    pub fn record_acknowledgement(
        &mut self,
        scope: &str,
        number: u64,
        witness: Uuid,
        bound_ms: u64,
    ) {
        let acks = self.scopes.entry(scope.to_string()).or_default();
        if number < acks.number {
            return;
        }
        if number > acks.number {
            *acks = ScopeAcks {
                number,
                by_witness: SmallVec::new(),
            };
        }
        match acks.by_witness.iter_mut().find(|(id, _)| *id == witness) {
            Some((_, held)) => *held = (*held).max(bound_ms),
            None => acks.by_witness.push((witness, bound_ms)),
        }
    }

    /// The bound that a majority of an epoch's witnesses acknowledged; births before it may run.
    pub fn bound(&self, epoch: &OwnershipEpoch) -> u64 {
        let Some(acks) = self.scopes.get(&epoch.scope) else {
            return 0;
        };
        if acks.number != epoch.number {
            return 0;
        }
        let mut bounds: SmallVec<[u64; 5]> = acks
            .by_witness
            .iter()
            .filter(|(witness, _)| epoch.witnesses.contains(witness))
            .map(|(_, bound)| *bound)
            .collect();
        bounds.sort_unstable_by(|a, b| b.cmp(a));
        let majority = epoch.witnesses.len() / 2 + 1;
        let majority_bound = bounds.get(majority - 1).copied().unwrap_or(0);
        majority_bound.min(epoch.until_ms)
    }

    /// What `own` may do with a birth time in a slot.
    pub fn claim(&self, own: Uuid, chain: &EpochChain, slot: u32, birth_ms: u64) -> OwnerClaim {
        match chain.owner(slot, birth_ms) {
            SlotOwner::Expired => OwnerClaim::Expired,
            SlotOwner::Unassigned => OwnerClaim::Unassigned,
            SlotOwner::Settled { owner, .. } if owner == own => OwnerClaim::Owned,
            SlotOwner::Current { owner, .. } if owner == own => {
                if birth_ms < self.bound(chain.newest()) {
                    OwnerClaim::Owned
                } else {
                    OwnerClaim::Unacknowledged
                }
            }
            SlotOwner::Settled { owner, .. } | SlotOwner::Current { owner, .. } => {
                OwnerClaim::Other(owner)
            }
        }
    }
}
