//! The log as an operator's command reads it.

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

/// Tries to append a change whose fate could be read back each time.
const MAX_TRIES: usize = 3;
const TRY_PAUSE: Duration = Duration::from_millis(300);

/// What the log holds, read by the same rules as every daemon reads it.
#[derive(Debug)]
pub struct FleetLog {
    client: LogClient,
    pub config: ConfigLedger,
    pub keys: KeyRing,
    next_offset: u64,
    begun: bool,
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
            begun: false,
        };
        fleet
            .catch_up()
            .await
            .map_err(|error| OperatorError::from_log(&error))?;
        Ok(fleet)
    }

    /// Appends a record and reads it back, so that a lost answer is no doubt.
    ///
    /// # Errors
    ///
    /// Says whether nothing was changed or whether that is not known.
    pub async fn append(&mut self, change: Uuid, record: &LogRecord) -> Result<u64, OperatorError> {
        let mut cause = String::new();
        let mut unclear = false;
        for _ in 0..MAX_TRIES {
            match self.client.append(record).await {
                Ok(_) => unclear = true,
                Err(LogError::NotAppended(error)) => cause = error.to_string(),
                Err(error) => {
                    unclear = true;
                    cause = error.to_string();
                }
            }
            let before = self.next_offset;
            match self.catch_up().await {
                Ok(found) => {
                    if let Some(offset) = found
                        .into_iter()
                        .find_map(|(id, at)| (id == change).then_some(at))
                    {
                        return Ok(offset);
                    }
                }
                Err(error) => {
                    self.next_offset = before;
                    cause = error.to_string();
                }
            }
            tokio::time::sleep(TRY_PAUSE).await;
        }
        Err(match unclear {
            true => OperatorError::Unclear {
                change: change.to_string(),
                cause,
            },
            false => OperatorError::LogAway { cause },
        })
    }

    /// Where the log ended when it was last read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// What became of a change that has been read back.
    pub fn verdict(&self, change: Uuid) -> Option<&ChangeOutcome> {
        self.config.outcome(change)
    }

    async fn catch_up(&mut self) -> Result<Vec<(Uuid, u64)>, LogError> {
        let page = self.client.read_to_end(self.next_offset).await?;
        if !self.begun {
            self.config = ConfigLedger::from_first_offset(page.first_offset);
            self.begun = true;
        }
        Ok(self.take(&page))
    }

    fn take(&mut self, page: &LogPage) -> Vec<(Uuid, u64)> {
        let mut changes = Vec::new();
        for stored in &page.records {
            let (offset, at) = (stored.offset, stored.appended_ms);
            match &stored.record {
                LogRecord::Change(change) => {
                    self.config.apply_change(offset, at, change);
                    changes.push((change.change_id, offset));
                }
                LogRecord::Snapshot(snapshot) => {
                    self.config.apply_snapshot(offset, at, snapshot);
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
