//! Members known to one daemon and their liveness.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::Rng;
use smallvec::SmallVec;
use uuid::Uuid;

use super::RUMOURS_PER_PING;
use super::SUSPICION_TIMEOUT;
use crate::wire::MemberRecord;
use crate::wire::MemberRumour;
use crate::wire::MemberState;

/// Number of transmissions of a rumour for each doubling of the fleet.
const RETRANSMIT_FACTOR: u32 = 3;
/// Time for which a dead member is kept, so that old rumours can't revive it.
const DEAD_RETENTION: Duration = Duration::from_secs(600);

/// Record and state of one member, as known to this daemon.
#[derive(Debug, Clone)]
pub struct MemberView {
    pub record: MemberRecord,
    pub state: MemberState,
    /// Time of the last change of state.
    pub since: Duration,
    transmissions: u32,
}

impl MemberView {
    /// Returns true if the member may receive calls.
    pub fn is_live(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}

/// Member to be pinged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeTarget {
    pub incarnation: Uuid,
    pub peer_address: String,
}

/// Members known to this daemon and the order in which they are pinged.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberRecord,
    members: BTreeMap<Uuid, MemberView>,
    /// Members that have not been pinged in the current round.
    round: Vec<Uuid>,
    changes: u64,
}

impl MemberTable {
    /// Creates a table that contains only this daemon.
    pub fn from_own(own: MemberRecord) -> Self {
        Self {
            own,
            members: BTreeMap::new(),
            round: Vec::new(),
            changes: 0,
        }
    }

    /// Returns the record of this daemon.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Updates the record of this daemon and increments its revision.
    pub fn update_own(&mut self, update: impl FnOnce(&mut MemberRecord)) {
        update(&mut self.own);
        self.own.revision += 1;
        self.changes += 1;
    }

    /// Returns a counter that increases with each change of the table.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns all members except this daemon.
    pub fn members(&self) -> impl Iterator<Item = &MemberView> {
        self.members.values()
    }

    /// Returns a member by its incarnation.
    pub fn member(&self, incarnation: Uuid) -> Option<&MemberView> {
        self.members.get(&incarnation)
    }

    /// Returns the records of all live members, including this daemon.
    pub fn live(&self) -> Vec<&MemberRecord> {
        std::iter::once(&self.own)
            .chain(
                self.members
                    .values()
                    .filter(|view| view.is_live())
                    .map(|view| &view.record),
            )
            .collect()
    }

    /// Applies a member's record from the log, which proves that it started, not that it is alive.
    pub fn apply_record(&mut self, now: Duration, record: &MemberRecord) -> bool {
        self.merge(now, record, MemberState::Alive)
    }

    /// Applies a rumour; returns true if it changed the table.
    pub fn apply_rumour(&mut self, now: Duration, rumour: &MemberRumour) -> bool {
        if rumour.member.incarnation == self.own.incarnation {
            return self.refute(rumour);
        }
        self.merge(now, &rumour.member, rumour.state)
    }

    /// Applies a record received from the member itself, which proves that it is alive.
    pub fn confirm_alive(&mut self, now: Duration, record: &MemberRecord) -> bool {
        if record.incarnation == self.own.incarnation {
            return false;
        }
        let changed = self.merge(now, record, MemberState::Alive);
        let Some(view) = self.members.get_mut(&record.incarnation) else {
            return changed;
        };
        let suspected = matches!(view.state, MemberState::Suspect | MemberState::Dead);
        if suspected {
            set_state(view, MemberState::Alive, now);
            self.changes += 1;
        }
        changed || suspected
    }

    /// Marks a member as suspect after it responded neither to a direct nor to an indirect ping.
    pub fn suspect(&mut self, now: Duration, incarnation: Uuid) -> bool {
        let Some(view) = self.members.get_mut(&incarnation) else {
            return false;
        };
        if view.state != MemberState::Alive {
            return false;
        }
        set_state(view, MemberState::Suspect, now);
        self.changes += 1;
        true
    }

    /// Declares suspects dead after the suspicion timeout and removes members that have long been
    /// dead.
    ///
    /// Returns the members declared dead.
    pub fn tick(&mut self, now: Duration) -> SmallVec<[Uuid; 4]> {
        let mut dead = SmallVec::new();
        for (id, view) in &mut self.members {
            let age = now.saturating_sub(view.since);
            if view.state == MemberState::Suspect && age >= SUSPICION_TIMEOUT {
                set_state(view, MemberState::Dead, now);
                dead.push(*id);
            }
        }
        self.changes += dead.len() as u64;
        self.members
            .retain(|_, view| view.is_live() || now.saturating_sub(view.since) < DEAD_RETENTION);
        dead
    }

    /// Returns the next member to ping; each is pinged once in a round of random order.
    ///
    /// Dead members are pinged occasionally, so that the sides of a healed partition rejoin.
    pub fn next_probe(&mut self, rng: &mut impl Rng) -> Option<ProbeTarget> {
        if self.round.is_empty() {
            self.round = self.members.keys().copied().collect();
            self.round.shuffle(rng);
        }
        while let Some(id) = self.round.pop() {
            let Some(view) = self.members.get(&id) else {
                continue;
            };
            let should_probe = match view.state {
                MemberState::Alive | MemberState::Suspect => true,
                MemberState::Dead => !self.is_superseded(view) && rng.random_ratio(1, 2),
                MemberState::Left => false,
            };
            if should_probe {
                return Some(probe_target(view));
            }
        }
        None
    }

    /// Returns up to `count` members to ask for an indirect ping of `target`.
    pub fn indirect_probers(
        &self,
        target: Uuid,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<ProbeTarget> {
        let mut live: Vec<&MemberView> = self
            .members
            .values()
            .filter(|view| view.state == MemberState::Alive)
            .filter(|view| view.record.incarnation != target)
            .collect();
        live.shuffle(rng);
        live.into_iter().take(count).map(probe_target).collect()
    }

    /// Returns the rumours for the next ping: those with the fewest transmissions.
    pub fn rumours(&mut self) -> Vec<MemberRumour> {
        let doublings = usize::BITS - self.members.len().leading_zeros();
        let max_transmissions = RETRANSMIT_FACTOR * (doublings + 1);
        let mut fresh: Vec<&mut MemberView> = self
            .members
            .values_mut()
            .filter(|view| view.transmissions < max_transmissions)
            .collect();
        fresh.sort_by_key(|view| view.transmissions);
        fresh
            .into_iter()
            .take(RUMOURS_PER_PING)
            .map(transmit)
            .collect()
    }

    /// Returns the whole table as rumours, for a daemon that starts.
    pub fn all_rumours(&self) -> Vec<MemberRumour> {
        let own = MemberRumour {
            member: self.own.clone(),
            state: MemberState::Alive,
        };
        let others = self.members.values().map(|view| MemberRumour {
            member: view.record.clone(),
            state: view.state,
        });
        std::iter::once(own).chain(others).collect()
    }

    /// Refutes a rumour that this daemon is not alive by increasing its revision.
    fn refute(&mut self, rumour: &MemberRumour) -> bool {
        if rumour.state == MemberState::Alive || rumour.member.revision < self.own.revision {
            return false;
        }
        self.own.revision = rumour.member.revision + 1;
        true
    }

    fn merge(&mut self, now: Duration, record: &MemberRecord, state: MemberState) -> bool {
        if record.incarnation == self.own.incarnation {
            return false;
        }
        let changed = match self.members.get_mut(&record.incarnation) {
            Some(view) => update_view(view, now, record, state),
            None => {
                self.members.insert(
                    record.incarnation,
                    MemberView {
                        record: record.clone(),
                        state,
                        since: now,
                        transmissions: 0,
                    },
                );
                true
            }
        };
        if changed {
            self.changes += 1;
            self.mark_predecessors_dead(now, record);
        }
        changed
    }

    /// Marks earlier incarnations on the same VM as dead: a VM runs only one daemon.
    fn mark_predecessors_dead(&mut self, now: Duration, record: &MemberRecord) {
        for view in self.members.values_mut() {
            let earlier =
                view.record.vm == record.vm && view.record.incarnation < record.incarnation;
            if earlier && view.is_live() {
                set_state(view, MemberState::Dead, now);
            }
        }
    }

    /// Returns true if a later incarnation on the same VM is known.
    fn is_superseded(&self, view: &MemberView) -> bool {
        let later = |record: &MemberRecord| {
            record.vm == view.record.vm && record.incarnation > view.record.incarnation
        };
        later(&self.own) || self.members.values().any(|other| later(&other.record))
    }
}

fn update_view(
    view: &mut MemberView,
    now: Duration,
    record: &MemberRecord,
    state: MemberState,
) -> bool {
    let newer = record.revision > view.record.revision;
    let takes_precedence = record.revision == view.record.revision && state > view.state;
    if !newer && !takes_precedence {
        return false;
    }
    if newer {
        view.record = record.clone();
        view.transmissions = 0;
    }
    if state != view.state {
        set_state(view, state, now);
    }
    true
}

fn set_state(view: &mut MemberView, state: MemberState, now: Duration) {
    view.state = state;
    view.since = now;
    view.transmissions = 0;
}

fn transmit(view: &mut MemberView) -> MemberRumour {
    view.transmissions += 1;
    MemberRumour {
        member: view.record.clone(),
        state: view.state,
    }
}

fn probe_target(view: &MemberView) -> ProbeTarget {
    ProbeTarget {
        incarnation: view.record.incarnation,
        peer_address: view.record.peer_address.clone(),
    }
}
