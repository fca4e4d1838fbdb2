//! Applies records from the log or from a peer to the state.

use std::time::Duration;

use tracing::info;
use tracing::warn;

use super::state::ControlContext;
use super::state::ControlState;
use crate::clock::wall_ms;
use crate::decisions::configuration::ChangeOutcome;
use crate::decisions::configuration::RecordPosition;
use crate::decisions::configuration::StateItem;
use crate::decisions::ownership::EpochOutcome;
use crate::observe::LogEvent;
use crate::wire::ConfigChange;
use crate::wire::ConfigSnapshot;
use crate::wire::EndpointDrain;
use crate::wire::KeyGrant;
use crate::wire::KeyWithdrawal;
use crate::wire::LogRecord;
use crate::wire::MemberRecord;
use crate::wire::OwnershipEpoch;
use crate::wire::StateIndex;
use crate::wire::StoredRecord;

/// Age up to which a member's record in the log counts as a sign that the member is alive.
const MAX_MEMBER_RECORD_AGE_MS: u64 = 5_000;
/// Members from the log that are kept as addresses for joining the fleet.
const MAX_BOOTSTRAP_MEMBERS: usize = 64;

/// Applies records in order and marks the view as out of date.
pub fn apply_records(context: &ControlContext, records: &[StoredRecord]) {
    if records.is_empty() {
        return;
    }
    let now = context.now();
    let mut renew = false;
    {
        let mut state = context.state();
        for stored in records {
            renew |= matches!(stored.record, LogRecord::Epoch(_));
            state.apply_record(now, stored);
        }
    }
    context.mark_changed();
    if renew {
        context.renewal_requested.notify_one();
    }
}

impl ControlState {
    fn apply_record(&mut self, now: Duration, stored: &StoredRecord) {
        let position = RecordPosition {
            offset: stored.offset,
            appended_ms: stored.appended_ms,
        };
        match &stored.record {
            LogRecord::Change(change) => self.apply_change(position, change),
            LogRecord::Snapshot(snapshot) => self.apply_snapshot(position, snapshot),
            LogRecord::Index(index) => self.apply_index(position, index),
            LogRecord::Grant(grant) => self.apply_grant(position, grant),
            LogRecord::Withdrawal(withdrawal) => self.apply_withdrawal(position, withdrawal),
            LogRecord::Member(record) => self.apply_member(now, position, record),
            LogRecord::Drain(drain) => self.apply_drain(position, drain),
            LogRecord::Epoch(epoch) => self.apply_epoch(position, epoch),
        }
    }

    fn apply_change(&mut self, position: RecordPosition, change: &ConfigChange) {
        match self
            .config
            .apply_change(position.offset, position.appended_ms, change)
        {
            ChangeOutcome::Applied(version) => {
                self.retention
                    .record(StateItem::Team(change.team.clone()), position);
                info!(event = LogEvent::ConfigInForce.number(), team = %change.team, version,
                    change = %change.change_id, author = %change.author, "configuration in force");
            }
            ChangeOutcome::Conflict { winner, author } => {
                info!(event = LogEvent::ConfigLost.number(), team = %change.team,
                    change = %change.change_id, based_on = change.based_on, winner = %winner,
                    winner_author = %author, "configuration change lost to a concurrent change");
            }
            ChangeOutcome::Duplicate | ChangeOutcome::Pending => {}
        }
    }

    fn apply_snapshot(&mut self, position: RecordPosition, snapshot: &ConfigSnapshot) {
        let newer = self
            .config
            .apply_snapshot(position.offset, position.appended_ms, snapshot);
        let current = self.config.team(&snapshot.team);
        if current.is_some_and(|state| state.version == snapshot.version) {
            self.retention
                .record(StateItem::Team(snapshot.team.clone()), position);
        }
        if newer {
            info!(event = LogEvent::ConfigInForce.number(), team = %snapshot.team,
                version = snapshot.version, change = %snapshot.change_id,
                author = %snapshot.author, "configuration in force from a snapshot");
        }
    }

    fn apply_index(&mut self, position: RecordPosition, index: &StateIndex) {
        if self.config.apply_index(index) {
            self.ownership
                .apply_index(position.appended_ms, &index.scopes);
        }
        self.retention.record(StateItem::Index, position);
    }

    fn apply_grant(&mut self, position: RecordPosition, grant: &KeyGrant) {
        if self.keys.grant(grant) {
            info!(event = LogEvent::KeyGranted.number(), organisation = %grant.organisation,
                key_hash = %grant.key_hash, "key granted");
        }
        self.retention
            .record(StateItem::Grant(grant.key_hash.clone()), position);
    }

    fn apply_withdrawal(&mut self, position: RecordPosition, withdrawal: &KeyWithdrawal) {
        if self.keys.withdraw(withdrawal) {
            self.withdrawal_count += 1;
            info!(event = LogEvent::KeyWithdrawn.number(), key_hash = %withdrawal.key_hash,
                author = %withdrawal.author, "key withdrawn");
        }
        self.retention
            .remove(&StateItem::Grant(withdrawal.key_hash.clone()));
        self.retention
            .record(StateItem::Withdrawal(withdrawal.key_hash.clone()), position);
    }

    fn apply_member(&mut self, now: Duration, position: RecordPosition, record: &MemberRecord) {
        if record.incarnation == self.own_incarnation() {
            return;
        }
        if wall_ms().saturating_sub(position.appended_ms) < MAX_MEMBER_RECORD_AGE_MS {
            self.members.apply_record(now, record);
        }
        self.bootstrap_members
            .retain(|member| member.vm != record.vm);
        self.bootstrap_members.push(record.clone());
        if self.bootstrap_members.len() > MAX_BOOTSTRAP_MEMBERS {
            self.bootstrap_members.remove(0);
        }
    }

    fn apply_drain(&mut self, position: RecordPosition, drain: &EndpointDrain) {
        let newer = self.drains.get(&drain.vm).is_none_or(|current| {
            (current.at_ms, current.change_id) < (drain.at_ms, drain.change_id)
        });
        if newer {
            self.drains.insert(drain.vm.clone(), drain.clone());
        }
        self.retention
            .record(StateItem::Drain(drain.vm.clone()), position);
    }

    fn apply_epoch(&mut self, position: RecordPosition, epoch: &OwnershipEpoch) {
        let outcome = self.ownership.apply(position.appended_ms, epoch);
        if outcome == EpochOutcome::Applied {
            self.epoch_needed_since.remove(&epoch.scope);
            info!(event = LogEvent::EpochInForce.number(), scope = %epoch.scope,
                number = epoch.number, start_ms = epoch.start_ms, owners = epoch.owners.len(),
                witnesses = epoch.witnesses.len(), "ownership epoch in force");
        }
        let newest = self
            .ownership
            .chain(&epoch.scope)
            .map(|chain| chain.newest());
        if newest.is_some_and(|current| current.change_id == epoch.change_id) {
            self.retention
                .record(StateItem::Epoch(epoch.scope.clone()), position);
        }
    }

    /// Resets the ledgers to start at `first_offset`, the log's first record, before any is
    /// applied.
    pub fn reset_at_offset(&mut self, first_offset: u64) {
        if self.caught_up || self.next_offset > 0 {
            return;
        }
        if first_offset > 0 {
            warn!(
                event = LogEvent::LogReadable.number(),
                first_offset,
                "log starts after its first records; state comes from snapshots and peers"
            );
        }
        self.config =
            crate::decisions::configuration::ConfigLedger::from_first_offset(first_offset);
        self.ownership =
            crate::decisions::ownership::OwnershipLedger::from_first_offset(first_offset);
    }
}
