//! Plans the next ownership epoch of a scope.

use std::collections::BTreeMap;

use smallvec::SmallVec;
use uuid::Uuid;

use super::SLOT_COUNT;
use super::WITNESS_COUNT;
use crate::wire::MemberRecord;
use crate::wire::OwnershipEpoch;

/// Input to the plan of an epoch.
#[derive(Debug)]
pub struct PlanInput<'a> {
    pub scope: &'a str,
    pub current: Option<&'a OwnershipEpoch>,
    /// Live members that may own slots of this scope.
    pub owners: &'a [&'a MemberRecord],
    /// Live members of the whole fleet.
    pub fleet: &'a [&'a MemberRecord],
    pub now_ms: u64,
    /// Time in milliseconds for which the epoch is valid while the log is unavailable.
    pub max_log_outage_ms: u64,
}

/// Owners, witnesses and slots of the next epoch.
#[derive(Debug, Clone, PartialEq)]
pub struct EpochPlan {
    pub number: u64,
    pub owners: Vec<Uuid>,
    pub witnesses: Vec<Uuid>,
    pub witness_vms: Vec<String>,
    pub slots: Vec<u32>,
    pub until_ms: u64,
}

/// Live member that may be a witness; the order of candidates is their order of preference.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WitnessCandidate {
    /// True if the member is not a witness of the current epoch.
    is_new: bool,
    hash: [u8; 32],
    /// Index in the list of live members.
    index: usize,
}

/// Plans the next epoch; returns `None` if no change is needed or there are no owners.
pub fn plan_epoch(input: &PlanInput<'_>) -> Option<EpochPlan> {
    if input.owners.is_empty() {
        return None;
    }
    let mut owners: Vec<Uuid> = input
        .owners
        .iter()
        .map(|member| member.incarnation)
        .collect();
    owners.sort_unstable();
    let chosen = choose_witnesses(input);
    let witnesses: Vec<Uuid> = chosen.iter().map(|member| member.incarnation).collect();
    if input
        .current
        .is_some_and(|current| is_sufficient(current, &owners, &witnesses, input))
    {
        return None;
    }
    let slots = assign_slots(input.current, &owners);
    Some(EpochPlan {
        number: input.current.map_or(1, |current| current.number + 1),
        owners,
        witnesses,
        witness_vms: chosen.iter().map(|member| member.vm.clone()).collect(),
        slots,
        until_ms: input.now_ms + input.max_log_outage_ms,
    })
}

fn is_sufficient(
    current: &OwnershipEpoch,
    owners: &[Uuid],
    witnesses: &[Uuid],
    input: &PlanInput<'_>,
) -> bool {
    let mut current_owners: Vec<Uuid> = current.owners.clone();
    current_owners.sort_unstable();
    let live = |id: &Uuid| input.fleet.iter().any(|member| member.incarnation == *id);
    let witnesses_live = current.witnesses.iter().all(live);
    let enough = current.witnesses.len() >= witnesses.len();
    let lasts = current.until_ms > input.now_ms + input.max_log_outage_ms / 2;
    current_owners == owners && witnesses_live && enough && lasts
}

/// Selects witnesses from as many failure domains as possible by rendezvous hashing.
///
/// Within a failure domain the current witnesses are preferred.
fn choose_witnesses<'a>(input: &PlanInput<'a>) -> Vec<&'a MemberRecord> {
    let mut domains: BTreeMap<&str, Vec<WitnessCandidate>> = BTreeMap::new();
    for (index, member) in input.fleet.iter().enumerate() {
        let serving = input
            .current
            .is_some_and(|current| current.witnesses.contains(&member.incarnation));
        let hash = rendezvous(input.scope, member.incarnation);
        domains
            .entry(&member.failure_domain)
            .or_default()
            .push(WitnessCandidate {
                is_new: !serving,
                hash,
                index,
            });
    }
    let mut domain_candidates: SmallVec<[Vec<WitnessCandidate>; 4]> =
        domains.into_values().collect();
    for candidates in &mut domain_candidates {
        candidates.sort_unstable();
        candidates.reverse();
    }
    domain_candidates.sort_by_key(|candidates| candidates.last().map(|candidate| candidate.hash));
    let witness_count = largest_odd(input.fleet.len().min(WITNESS_COUNT));
    let mut chosen = Vec::with_capacity(witness_count);
    while chosen.len() < witness_count {
        for candidates in &mut domain_candidates {
            if let Some(candidate) = candidates.pop().filter(|_| chosen.len() < witness_count) {
                chosen.push(input.fleet[candidate.index]);
            }
        }
    }
    chosen
}

/// Returns the largest odd number up to `count`.
///
/// An even number of witnesses tolerates no more failures than the odd number below it.
fn largest_odd(count: usize) -> usize {
    if count.is_multiple_of(2) {
        count.saturating_sub(1)
    } else {
        count
    }
}

fn rendezvous(scope: &str, member: Uuid) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(scope.as_bytes());
    hasher.update(member.as_bytes());
    *hasher.finalize().as_bytes()
}

/// Assigns slots to owners: remaining owners keep theirs up to an even share, and the other slots
/// go to the owners with the fewest.
fn assign_slots(current: Option<&OwnershipEpoch>, owners: &[Uuid]) -> Vec<u32> {
    let mut slots: Vec<Option<u32>> = (0..SLOT_COUNT)
        .map(|slot| retained_owner(current, owners, slot))
        .collect();
    let mut counts = vec![0_u32; owners.len()];
    let max_slots = SLOT_COUNT.div_ceil(owners.len() as u32);
    for slot in &mut slots {
        let Some(owner) = *slot else { continue };
        if counts[owner as usize] >= max_slots {
            *slot = None;
        } else {
            counts[owner as usize] += 1;
        }
    }
    for slot in slots.iter_mut().filter(|slot| slot.is_none()) {
        let owner = least_loaded(&counts);
        counts[owner] += 1;
        *slot = Some(owner as u32);
    }
    slots.into_iter().flatten().collect()
}

fn retained_owner(current: Option<&OwnershipEpoch>, owners: &[Uuid], slot: u32) -> Option<u32> {
    let current = current?;
    let index = *current.slots.get(slot as usize)? as usize;
    let owner = current.owners.get(index)?;
    let position = owners.iter().position(|id| id == owner)?;
    Some(position as u32)
}

fn least_loaded(counts: &[u32]) -> usize {
    counts
        .iter()
        .enumerate()
        .min_by_key(|(_, count)| **count)
        .map_or(0, |(index, _)| index)
}
