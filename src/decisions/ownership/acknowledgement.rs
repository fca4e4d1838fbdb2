//! Birth times up to which an owner may run requests, as acknowledged by its witnesses.

use std::collections::HashMap;

use smallvec::SmallVec;
use uuid::Uuid;

use super::EpochChain;
use super::SlotOwner;
use crate::wire::OwnershipEpoch;

/// Claim of a daemon to a birth time in a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerClaim {
    /// The daemon is the owner and may run the request.
    Owned,
    /// The daemon is the owner in the newest epoch, but the birth time is not acknowledged yet.
    Unacknowledged,
    /// Another incarnation is the owner.
    Other(Uuid),
    /// The birth time is before the oldest epoch kept, so that its owner is unknown.
    Expired,
    /// The slot has no known owner.
    Unassigned,
}

#[derive(Debug, Default, Clone)]
struct ScopeAcks {
    number: u64,
    by_witness: SmallVec<[(Uuid, u64); 5]>,
}

/// Acknowledgements received by one owner, by scope.
#[derive(Debug, Default, Clone)]
pub struct AckBounds {
    scopes: HashMap<String, ScopeAcks>,
}

impl AckBounds {
    /// Records a witness's acknowledgement of birth times before `bound_ms` in epoch `number`.
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

    /// Returns the bound acknowledged by a majority of the epoch's witnesses, in Unix milliseconds.
    ///
    /// Requests with a birth time before it may run.
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

    /// Returns the claim of the incarnation `own` to a birth time in a slot.
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
