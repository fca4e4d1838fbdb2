//! Orders configuration changes identically at every reader of the log.
//!
//! A change names the version that it replaces. Of several changes to the same version, the first
//! in offset order is applied and the others are rejected. State is ordered by version and never by
//! offset, so that no duplicate, late snapshot or peer can restore an older version.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use uuid::Uuid;

use crate::wire::ConfigChange;
use crate::wire::ConfigSnapshot;
use crate::wire::StateIndex;
use crate::wire::TeamConfig;

/// Maximum number of outcomes kept, from which the authors of changes learn the result.
const MAX_OUTCOMES: usize = 256;
/// Maximum number of changes kept for a team whose state is not known yet.
const MAX_PENDING: usize = 256;

/// Configuration in force for one team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamState {
    pub version: u64,
    pub change_id: Uuid,
    pub author: String,
    pub at_ms: u64,
    /// Offset of the newest record that carries this version.
    pub offset: u64,
    /// Time at which that record was appended, in Unix milliseconds.
    pub recorded_ms: u64,
    pub config: TeamConfig,
}

/// Outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is in force as this version.
    Applied(u64),
    /// The change was evaluated before.
    Duplicate,
    /// Another change has already replaced the version on which this one is based.
    Conflict { winner: Uuid, author: String },
    /// The team's state is not known yet because the log was not read from its first record.
    Pending,
}

#[derive(Debug)]
struct PendingChange {
    offset: u64,
    appended_ms: u64,
    change: ConfigChange,
}

/// Configurations of all teams, built from the log.
#[derive(Debug, Default)]
pub struct ConfigLedger {
    teams: BTreeMap<String, TeamState>,
    pending: HashMap<String, VecDeque<PendingChange>>,
    outcomes: VecDeque<(Uuid, ChangeOutcome)>,
    /// True if the log was read from its first record, or an index of all teams was read. A team
    /// that is in neither `teams` nor `unread_teams` then has no state.
    complete: bool,
    /// First offset that was read; earlier records are not known.
    start_offset: u64,
    /// Teams that have a state that has not been read yet.
    unread_teams: BTreeSet<String>,
}

impl ConfigLedger {
    /// Creates a ledger for a reader that starts at the given offset; 0 is the first record.
    pub fn from_first_offset(first_offset: u64) -> Self {
        Self {
            complete: first_offset == 0,
            start_offset: first_offset,
            ..Self::default()
        }
    }

    /// Applies a change at its offset.
    pub fn apply_change(
        &mut self,
        offset: u64,
        appended_ms: u64,
        change: &ConfigChange,
    ) -> ChangeOutcome {
        let outcome = self.evaluate(change);
        match &outcome {
            ChangeOutcome::Applied(version) => {
                let state = state_from_change(offset, appended_ms, *version, change);
                self.teams.insert(change.team.clone(), state);
            }
            ChangeOutcome::Pending => self.add_pending(offset, appended_ms, change),
            ChangeOutcome::Duplicate | ChangeOutcome::Conflict { .. } => {}
        }
        if outcome != ChangeOutcome::Duplicate {
            self.record_outcome(change.change_id, outcome.clone());
        }
        outcome
    }

    /// Applies a snapshot from the log or a peer; returns true if it is newer than the state here.
    ///
    /// A snapshot made before this reader's first record may miss a change between the two, so a
    /// reader without state ignores it and waits for the next one.
    pub fn apply_snapshot(
        &mut self,
        offset: u64,
        appended_ms: u64,
        snapshot: &ConfigSnapshot,
    ) -> bool {
        let current = self.teams.get_mut(&snapshot.team);
        if current.is_none() && snapshot.as_of < self.start_offset {
            return false;
        }
        if let Some(state) = current.filter(|state| state.version >= snapshot.version) {
            if state.version == snapshot.version && appended_ms > state.recorded_ms {
                state.offset = offset;
                state.recorded_ms = appended_ms;
            }
            return false;
        }
        let state = state_from_snapshot(offset, appended_ms, snapshot);
        self.record_outcome(snapshot.change_id, ChangeOutcome::Applied(snapshot.version));
        self.teams.insert(snapshot.team.clone(), state);
        self.unread_teams.remove(&snapshot.team);
        self.apply_pending(&snapshot.team, snapshot.as_of);
        true
    }

    /// Applies the list of all teams as of an offset; a team that is not listed had no state then.
    ///
    /// Returns true if the list was applied. A list made before this reader's first record is
    /// ignored, because a team may have been created between the two.
    pub fn apply_index(&mut self, index: &StateIndex) -> bool {
        if self.complete || index.as_of < self.start_offset {
            return false;
        }
        self.complete = true;
        self.unread_teams = index
            .teams
            .iter()
            .filter(|team| !self.teams.contains_key(*team))
            .cloned()
            .collect();
        let unlisted: Vec<String> = self
            .pending
            .keys()
            .filter(|team| !index.teams.contains(team))
            .cloned()
            .collect();
        for team in unlisted {
            self.apply_pending(&team, index.as_of);
        }
        true
    }

    /// Returns true if every team without state here is known to have none.
    pub fn is_complete(&self) -> bool {
        self.complete && self.unread_teams.is_empty()
    }

    /// Returns the state in force of one team.
    pub fn team(&self, team: &str) -> Option<&TeamState> {
        self.teams.get(team)
    }

    /// Returns the state in force of all teams, sorted by name.
    pub fn teams(&self) -> impl Iterator<Item = (&String, &TeamState)> {
        self.teams.iter()
    }

    /// Returns the outcome of a change, if it is among the most recent ones.
    pub fn outcome(&self, change_id: Uuid) -> Option<&ChangeOutcome> {
        self.outcomes
            .iter()
            .rev()
            .find(|(id, _)| *id == change_id)
            .map(|(_, outcome)| outcome)
    }

    /// Returns the team whose newest record was appended first, with its state.
    pub fn oldest_record(&self) -> Option<(&String, &TeamState)> {
        self.teams.iter().min_by_key(|(_, state)| state.recorded_ms)
    }

    /// Returns a snapshot of a team's state, which keeps the state from expiring in the log.
    pub fn snapshot(&self, team: &str, as_of: u64) -> Option<ConfigSnapshot> {
        let state = self.teams.get(team)?;
        Some(ConfigSnapshot {
            team: team.to_string(),
            version: state.version,
            change_id: state.change_id,
            author: state.author.clone(),
            at_ms: state.at_ms,
            as_of,
            config: state.config.clone(),
        })
    }

    fn evaluate(&self, change: &ConfigChange) -> ChangeOutcome {
        let known = self.outcome(change.change_id);
        if known.is_some_and(|outcome| *outcome != ChangeOutcome::Pending) {
            return ChangeOutcome::Duplicate;
        }
        let Some(state) = self.teams.get(&change.team) else {
            return self.evaluate_first(change);
        };
        if state.change_id == change.change_id {
            return ChangeOutcome::Duplicate;
        }
        if state.version == change.based_on {
            return ChangeOutcome::Applied(state.version + 1);
        }
        ChangeOutcome::Conflict {
            winner: state.change_id,
            author: state.author.clone(),
        }
    }

    fn evaluate_first(&self, change: &ConfigChange) -> ChangeOutcome {
        let known_absent = self.complete && !self.unread_teams.contains(&change.team);
        match (known_absent, change.based_on) {
            (true, 0) => ChangeOutcome::Applied(1),
            (true, _) => ChangeOutcome::Conflict {
                winner: Uuid::nil(),
                author: String::new(),
            },
            (false, _) => ChangeOutcome::Pending,
        }
    }

    fn add_pending(&mut self, offset: u64, appended_ms: u64, change: &ConfigChange) {
        let pending = self.pending.entry(change.team.clone()).or_default();
        if pending.len() >= MAX_PENDING {
            pending.pop_front();
        }
        pending.push_back(PendingChange {
            offset,
            appended_ms,
            change: change.clone(),
        });
    }

    /// Applies changes that were read before a snapshot but appended after the state in it.
    fn apply_pending(&mut self, team: &str, as_of: u64) {
        let Some(pending) = self.pending.remove(team) else {
            return;
        };
        for waiting in pending
            .into_iter()
            .filter(|waiting| waiting.offset >= as_of)
        {
            self.apply_change(waiting.offset, waiting.appended_ms, &waiting.change);
        }
    }

    fn record_outcome(&mut self, change_id: Uuid, outcome: ChangeOutcome) {
        if self.outcomes.len() >= MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((change_id, outcome));
    }
}

fn state_from_change(
    offset: u64,
    appended_ms: u64,
    version: u64,
    change: &ConfigChange,
) -> TeamState {
    TeamState {
        version,
        change_id: change.change_id,
        author: change.author.clone(),
        at_ms: change.at_ms,
        offset,
        recorded_ms: appended_ms,
        config: change.config.clone(),
    }
}

fn state_from_snapshot(offset: u64, appended_ms: u64, snapshot: &ConfigSnapshot) -> TeamState {
    TeamState {
        version: snapshot.version,
        change_id: snapshot.change_id,
        author: snapshot.author.clone(),
        at_ms: snapshot.at_ms,
        offset,
        recorded_ms: appended_ms,
        config: snapshot.config.clone(),
    }
}
