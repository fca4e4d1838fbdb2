//! Reads and appends to the platform's log for operator commands.

use std::time::Duration;

use uuid::Uuid;

use super::error::OperatorError;
use crate::decisions::configuration::ChangeOutcome;
use crate::decisions::configuration::ConfigLedger;
use crate::decisions::keys::KeyRing;
use crate::upstream::LogClient;
use crate::upstream::LogError;
use crate::wire::LogPage;
use crate::wire::LogRecord;

/// Attempts to append a change; the log is read back after each one.
const MAX_ATTEMPTS: usize = 3;
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// State of a fleet derived from its log, by the same rules that the daemons apply.
#[derive(Debug)]
pub struct FleetLog {
    client: LogClient,
    pub config: ConfigLedger,
    pub keys: KeyRing,
    next_offset: u64,
    initialised: bool,
}

impl FleetLog {
    /// Reads the whole log.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be read.
    pub async fn open(url: &str) -> Result<Self, OperatorError> {
        let client = LogClient::from_url(url).map_err(|error| OperatorError::from_log(&error))?;
        let mut fleet = Self {
            client,
            config: ConfigLedger::default(),
            keys: KeyRing::default(),
            next_offset: 0,
            initialised: false,
        };
        fleet
            .catch_up()
            .await
            .map_err(|error| OperatorError::from_log(&error))?;
        Ok(fleet)
    }

    /// Appends a record and reads the log back to confirm it, even if the answer is lost.
    ///
    /// # Errors
    ///
    /// [`OperatorError::LogUnavailable`] means that nothing was changed and
    /// [`OperatorError::OutcomeUnknown`] that the record may have been appended.
    pub async fn append(&mut self, change: Uuid, record: &LogRecord) -> Result<u64, OperatorError> {
        let mut cause = String::new();
        let mut may_be_appended = false;
        for _ in 0..MAX_ATTEMPTS {
            match self.client.append(record).await {
                Ok(_) => may_be_appended = true,
                Err(LogError::NotAppended(error)) => cause = error.to_string(),
                Err(error) => {
                    may_be_appended = true;
                    cause = error.to_string();
                }
            }
            let previous_offset = self.next_offset;
            match self.catch_up().await {
                Ok(changes) => {
                    if let Some(offset) = changes
                        .into_iter()
                        .find_map(|(id, offset)| (id == change).then_some(offset))
                    {
                        return Ok(offset);
                    }
                }
                Err(error) => {
                    self.next_offset = previous_offset;
                    cause = error.to_string();
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(match may_be_appended {
            true => OperatorError::OutcomeUnknown {
                change: change.to_string(),
                cause,
            },
            false => OperatorError::LogUnavailable { cause },
        })
    }

    /// Returns the offset at which the log ended when it was last read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the outcome of a change that has been read back.
    pub fn outcome(&self, change: Uuid) -> Option<&ChangeOutcome> {
        self.config.outcome(change)
    }

    async fn catch_up(&mut self) -> Result<Vec<(Uuid, u64)>, LogError> {
        let page = self.client.read_to_end(self.next_offset).await?;
        if !self.initialised {
            self.config = ConfigLedger::from_first_offset(page.first_offset);
            self.initialised = true;
        }
        Ok(self.apply_page(&page))
    }

    fn apply_page(&mut self, page: &LogPage) -> Vec<(Uuid, u64)> {
        let mut changes = Vec::new();
        for stored in &page.records {
            let (offset, appended_ms) = (stored.offset, stored.appended_ms);
            match &stored.record {
                LogRecord::Change(change) => {
                    self.config.apply_change(offset, appended_ms, change);
                    changes.push((change.change_id, offset));
                }
                LogRecord::Snapshot(snapshot) => {
                    self.config.apply_snapshot(offset, appended_ms, snapshot);
                }
                LogRecord::Index(index) => {
                    self.config.apply_index(index);
                }
                LogRecord::Grant(grant) => {
                    self.keys.grant(grant);
                    changes.push((grant.change_id, offset));
                }
                LogRecord::Withdrawal(withdrawal) => {
                    self.keys.withdraw(withdrawal);
                    changes.push((withdrawal.change_id, offset));
                }
                LogRecord::Drain(drain) => changes.push((drain.change_id, offset)),
                LogRecord::Member(_) | LogRecord::Epoch(_) => {}
            }
        }
        self.next_offset = page.next_offset;
        changes
    }
}
