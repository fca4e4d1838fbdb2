//! Publishes a configuration that replaces a given version.

use uuid::Uuid;

use super::error::OperatorError;
use super::fleet::FleetLog;
use crate::clock::wall_ms;
use crate::decisions::configuration::ChangeOutcome;
use crate::wire::ConfigChange;
use crate::wire::LogRecord;
use crate::wire::TeamConfig;

/// A change that took effect in the log; daemons may still have to apply it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct PublishedChange {
    pub change: String,
    pub team: String,
    pub version: u64,
    pub offset: u64,
}

/// Appends a configuration change and returns the version that it created.
///
/// # Errors
///
/// Fails with [`OperatorError::Conflict`] if another change based on the same version came first.
pub async fn publish_config(
    fleet: &mut FleetLog,
    config: TeamConfig,
    based_on: u64,
    author: &str,
) -> Result<PublishedChange, OperatorError> {
    let team = config.team.clone();
    check_base(fleet, &team, based_on)?;
    let change_id = Uuid::now_v7();
    let record = LogRecord::Change(ConfigChange {
        change_id,
        team: team.clone(),
        based_on,
        author: author.to_string(),
        at_ms: wall_ms(),
        config,
    });
    let offset = fleet.append(change_id, &record).await?;
    match fleet.outcome(change_id) {
        Some(ChangeOutcome::Applied(version)) => Ok(PublishedChange {
            change: change_id.to_string(),
            team,
            version: *version,
            offset,
        }),
        Some(ChangeOutcome::Conflict { winner, author }) => Err(OperatorError::Conflict {
            team,
            based_on,
            winner: winner.to_string(),
            author: author.clone(),
        }),
        Some(ChangeOutcome::Duplicate | ChangeOutcome::Pending) | None => {
            Err(OperatorError::OutcomeUnknown {
                change: change_id.to_string(),
                cause: "the start of the log has expired and it holds no state of the team"
                    .to_string(),
            })
        }
    }
}

/// Rejects a change that is not based on the version in force before it is appended.
fn check_base(fleet: &FleetLog, team: &str, based_on: u64) -> Result<(), OperatorError> {
    let Some(state) = fleet.config.team(team) else {
        if based_on == 0 {
            return Ok(());
        }
        return Err(OperatorError::NotFound {
            message: format!("team {team:?} has no version {based_on}; publish with --based-on 0"),
        });
    };
    if state.version == based_on {
        return Ok(());
    }
    Err(OperatorError::Conflict {
        team: team.to_string(),
        based_on,
        winner: state.change_id.to_string(),
        author: format!("{} (version {})", state.author, state.version),
    })
}
