//! Bounds that a witness has acknowledged, and epochs that it has closed.
//!
//! Any two majorities of an epoch's witnesses share a member. So the highest bound that a majority
//! reports on closing an epoch is at least as high as any bound acknowledged by a majority, and no
//! owner can run requests beyond it.

use std::collections::HashMap;

use uuid::Uuid;

use super::OwnershipLedger;
use super::ACK_LEAD_MS;
use super::ACK_SLACK_MS;

/// Returns the highest bound that a witness can have acknowledged by the time `now_ms` of its
/// clock.
pub fn max_acknowledgeable_ms(now_ms: u64) -> u64 {
    now_ms + ACK_LEAD_MS + ACK_SLACK_MS
}

#[derive(Debug, Default)]
struct WitnessRecord {
    closed: bool,
    highest_ms: u64,
}

/// State of one incarnation as a witness.
///
/// It is not persisted: a restarted daemon is a new incarnation, which is not a witness of the
/// epoch.
#[derive(Debug, Default)]
pub struct WitnessLedger {
    records: HashMap<String, (u64, WitnessRecord)>,
}

impl WitnessLedger {
    /// Acknowledges birth times before `bound_ms` in an epoch.
    ///
    /// Returns false if the epoch is closed, unknown or not the newest, or if the bound is too far
    /// ahead of this witness's clock.
    pub fn acknowledge(
        &mut self,
        own: Uuid,
        ledger: &OwnershipLedger,
        scope: &str,
        number: u64,
        bound_ms: u64,
        now_ms: u64,
    ) -> bool {
        if bound_ms > max_acknowledgeable_ms(now_ms) {
            return false;
        }
        let Some(epoch_record) = self.epoch_record(own, ledger, scope, number) else {
            return false;
        };
        if epoch_record.closed {
            return false;
        }
        epoch_record.highest_ms = epoch_record.highest_ms.max(bound_ms);
        true
    }

    /// Closes an epoch to further acknowledgements and returns the highest bound acknowledged in
    /// it.
    ///
    /// Returns `None` if the epoch is not the newest or this daemon is not one of its witnesses.
    pub fn close(
        &mut self,
        own: Uuid,
        ledger: &OwnershipLedger,
        scope: &str,
        number: u64,
    ) -> Option<u64> {
        let epoch_record = self.epoch_record(own, ledger, scope, number)?;
        epoch_record.closed = true;
        Some(epoch_record.highest_ms)
    }

    fn epoch_record(
        &mut self,
        own: Uuid,
        ledger: &OwnershipLedger,
        scope: &str,
        number: u64,
    ) -> Option<&mut WitnessRecord> {
        let newest = ledger.chain(scope)?.newest();
        if newest.number != number || !newest.witnesses.contains(&own) {
            return None;
        }
        let (held_number, epoch_record) = self.records.entry(scope.to_string()).or_default();
        if *held_number != number {
            *held_number = number;
            *epoch_record = WitnessRecord::default();
        }
        Some(epoch_record)
    }
}
