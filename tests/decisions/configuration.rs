//! Tests that all readers of the log agree on the versions in force and that no version goes back.

use marigoldhatch::decisions::configuration::ConfigLedger;
use marigoldhatch::wire::ConfigChange;
use marigoldhatch::wire::ConfigSnapshot;
use marigoldhatch::wire::StateIndex;
use marigoldhatch::wire::TeamConfig;
use proptest::prelude::*;
use uuid::Uuid;

#[derive(Debug, Clone)]
enum LogEntry {
    Change(ConfigChange),
    Snapshot(ConfigSnapshot),
    Index(StateIndex),
}

#[derive(Debug, Clone)]
enum WriterStep {
    /// An author publishes a change based on a version that is `behind` versions old.
    Publish { team: u8, behind: u64 },
    /// An append is retried because its response was lost.
    Repeat,
    /// A daemon that lags behind by `lag` records restates its state.
    Restate { lag: usize },
}

fn writer() -> impl Strategy<Value = WriterStep> {
    prop_oneof![
        4 => (0_u8..3, 0_u64..3).prop_map(|(team, behind)| WriterStep::Publish { team, behind }),
        1 => Just(WriterStep::Repeat),
        2 => (0_usize..4).prop_map(|lag| WriterStep::Restate { lag }),
    ]
}

fn config(team: &str) -> TeamConfig {
    TeamConfig {
        team: team.to_string(),
        organisations: Vec::new(),
        services: Vec::new(),
    }
}

fn apply(ledger: &mut ConfigLedger, offset: u64, entry: &LogEntry) {
    match entry {
        LogEntry::Change(change) => {
            ledger.apply_change(offset, offset, change);
        }
        LogEntry::Snapshot(snapshot) => {
            ledger.apply_snapshot(offset, offset, snapshot);
        }
        LogEntry::Index(index) => {
            ledger.apply_index(index);
        }
    }
}

fn read(log: &[LogEntry], from: usize, to: usize) -> ConfigLedger {
    let mut ledger = ConfigLedger::from_first_offset(from as u64);
    for (offset, entry) in log.iter().enumerate().take(to).skip(from) {
        apply(&mut ledger, offset as u64, entry);
    }
    ledger
}

fn versions(ledger: &ConfigLedger) -> Vec<(String, u64, Uuid)> {
    ledger
        .teams()
        .map(|(team, state)| (team.clone(), state.version, state.change_id))
        .collect()
}

fn write(steps: &[WriterStep]) -> Vec<LogEntry> {
    let mut log: Vec<LogEntry> = Vec::new();
    for (number, step) in steps.iter().enumerate() {
        match step {
            WriterStep::Publish { team, behind } => {
                let team = format!("team-{team}");
                let seen = read(&log, 0, log.len());
                let version = seen.team(&team).map_or(0, |state| state.version);
                log.push(LogEntry::Change(ConfigChange {
                    change_id: Uuid::from_u128(number as u128 + 1),
                    team: team.clone(),
                    based_on: version.saturating_sub(*behind),
                    author: "author".to_string(),
                    at_ms: 0,
                    config: config(&team),
                }));
            }
            WriterStep::Repeat => {
                let last = log
                    .iter()
                    .rev()
                    .find(|entry| matches!(entry, LogEntry::Change(_)));
                log.extend(last.cloned());
            }
            WriterStep::Restate { lag } => {
                let read_to = log.len().saturating_sub(*lag);
                let holder = read(&log, 0, read_to);
                let teams: Vec<String> = holder.teams().map(|(team, _)| team.clone()).collect();
                for team in &teams {
                    log.extend(
                        holder
                            .snapshot(team, read_to as u64)
                            .map(LogEntry::Snapshot),
                    );
                }
                log.push(LogEntry::Index(StateIndex {
                    as_of: read_to as u64,
                    teams,
                    scopes: Vec::new(),
                }));
            }
        }
    }
    log
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    /// A reader that starts in the middle of the log and has read a complete restatement agrees
    /// with one that starts at the first record.
    #[test]
    fn reader_of_the_retained_log_agrees_with_reader_of_the_whole_log(
        before in prop::collection::vec(writer(), 0..20),
        after in prop::collection::vec(writer(), 0..20),
        lag in 0_usize..4,
    ) {
        let cut = write(&before).len();
        let mut steps = before;
        steps.push(WriterStep::Restate { lag });
        steps.extend(after);
        let log = write(&steps);
        // The log from `cut` on contains a restatement of the whole state as of `cut` minus `lag`.
        let from = cut.saturating_sub(lag);
        let whole = read(&log, 0, log.len());
        let retained = read(&log, from, log.len());
        prop_assert_eq!(versions(&whole), versions(&retained));
    }

    #[test]
    fn version_in_force_never_goes_back(steps in prop::collection::vec(writer(), 1..40)) {
        let log = write(&steps);
        let mut ledger = ConfigLedger::from_first_offset(0);
        let mut last: Vec<(String, u64, Uuid)> = Vec::new();
        for (offset, entry) in log.iter().enumerate() {
            apply(&mut ledger, offset as u64, entry);
            let now = versions(&ledger);
            for (team, version, change) in &last {
                let held = now.iter().find(|(name, _, _)| name == team);
                let kept = held.is_some_and(|(_, newer, id)| {
                    newer > version || (newer == version && id == change)
                });
                prop_assert!(kept, "{} went back from version {}", team, version);
            }
            last = now;
        }
    }
}
