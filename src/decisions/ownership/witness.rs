//! What a witness has acknowledged, and which epochs it has closed.
//!
//! Two majorities of an epoch's witnesses share a member. So the highest bound that a majority names
//! on closing is at least every bound that a majority ever acknowledged, and no owner can pass it.

use std::collections::HashMap;

use uuid::Uuid;

use super::OwnershipLedger;
use super::ACK_LEAD_MS;
use super::ACK_SLACK_MS;

/// The highest bound that a witness can have acknowledged up to a time by its clock.
pub fn max_acknowledgeable_ms(now_ms: u64) -> u64 {
    now_ms + ACK_LEAD_MS + ACK_SLACK_MS
}

#[derive(Debug, Default)]
struct WitnessRecord {
    closed: bool,
    highest_ms: u64,
}

/// The memory of one incarnation as a witness; it dies with the incarnation, which then no longer
/// counts.
#[derive(Debug, Default)]
pub struct WitnessLedger {
    records: HashMap<String, (u64, WitnessRecord)>,
}

impl WitnessLedger {
    /// Acknowledges births before `bound_ms` in an epoch, unless it is closed, unknown or past, or
    /// the bound lies further ahead of this witness's clock than any should.
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

    /// Acknowledges nothing more in an epoch and names the highest bound acknowledged in it.
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
