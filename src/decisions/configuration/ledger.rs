//! The order of configuration changes, decided alike by every reader of the log.
//!
//! A change names the version that it replaces. The first in offset order wins and the later one is
//! refused. State is ordered by version and never by offset, so that neither a repeat, a late
//! snapshot nor a peer can bring back an older one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use uuid::Uuid;

use crate::wire::ConfigChange;
use crate::wire::ConfigSnapshot;
use crate::wire::StateIndex;
use crate::wire::TeamConfig;

/// Refused changes remembered, so that their authors can be told.
const MAX_OUTCOMES: usize = 256;
/// Changes kept for a team whose state is not known yet.
const MAX_PENDING: usize = 256;

/// The configuration in force for one team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamState {
    pub version: u64,
    pub change_id: Uuid,
    pub author: String,
    pub at_ms: u64,
    /// Offset of the newest record that carries this version.
    pub offset: u64,
    /// When that record was appended.
    pub recorded_ms: u64,
    pub config: TeamConfig,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is in force as this version.
    Applied(u64),
    /// It was seen before.
    Duplicate,
    /// Another change had already replaced the version it was based on.
    Conflict { winner: Uuid, author: String },
    /// The log is read from the middle and the team's state is not known yet.
    Pending,
}

#[derive(Debug)]
struct PendingChange {
    offset: u64,
    appended_ms: u64,
    change: ConfigChange,
}

/// All teams' configurations as one reader knows them.
#[derive(Debug, Default)]
pub struct ConfigLedger {
    teams: BTreeMap<String, TeamState>,
    pending: HashMap<String, VecDeque<PendingChange>>,
    outcomes: VecDeque<(Uuid, ChangeOutcome)>,
    /// The log was read from its first record or an index of all teams was, so a team that is
    /// neither held nor awaited has no state.
    complete: bool,
    /// The first offset that was read; what was recorded before it is not known.
    first_offset: u64,
    /// Teams that have a state which has not been read yet.
    unread_teams: BTreeSet<String>,
}

impl ConfigLedger {
    /// A ledger for a reader that begins at the first record ever, or in the middle.
    pub fn from_first_offset(first_offset: u64) -> Self {
        Self {
            complete: first_offset == 0,
            first_offset,
            ..Self::default()
        }
    }

    /// Takes a change at its offset.
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

    /// Takes a snapshot from the log or a peer; returns whether it is newer than what is held.
    ///
    /// One that was made before this reader's first record may miss a change between the two, so a
    /// reader without state waits for the next.
    pub fn apply_snapshot(
        &mut self,
        offset: u64,
        appended_ms: u64,
        snapshot: &ConfigSnapshot,
    ) -> bool {
        let current = self.teams.get_mut(&snapshot.team);
        if current.is_none() && snapshot.as_of < self.first_offset {
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

    /// Takes the list of all teams as of an offset: a team that is not on it had no state then.
    ///
    /// Returns whether it was of use: one from before this reader's first record says nothing of what came between the two.
    pub fn apply_index(&mut self, index: &StateIndex) -> bool {
        if self.complete || index.as_of < self.first_offset {
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

    /// Whether a team without state here is known to have none.
    pub fn is_complete(&self) -> bool {
        self.complete && self.unread_teams.is_empty()
    }

    /// State in force of one team.
    pub fn team(&self, team: &str) -> Option<&TeamState> {
        self.teams.get(team)
    }

    /// State in force of all teams, in the order of their names.
    pub fn teams(&self) -> impl Iterator<Item = (&String, &TeamState)> {
        self.teams.iter()
    }

    /// What became of a change, if it was read not long ago.
    pub fn outcome(&self, change_id: Uuid) -> Option<&ChangeOutcome> {
        self.outcomes
            .iter()
            .rev()
            .find(|(id, _)| *id == change_id)
            .map(|(_, outcome)| outcome)
    }

    /// The team whose newest record is the oldest, with the record's time of appending.
    pub fn oldest_record(&self) -> Option<(&String, &TeamState)> {
        self.teams.iter().min_by_key(|(_, state)| state.recorded_ms)
    }

    /// The snapshot that keeps a team's state from expiring.
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

    /// Changes that were read before the snapshot but appended after the state that it holds.
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
