//! Runs operator commands and prints their results.

use std::io::Read;
use std::path::Path;
use std::time::Duration;

use serde_json::json;
use serde_json::Value;

use super::answers::config_from_answers;
use super::answers::read_answers;
use super::arguments::AuthorArguments;
use super::arguments::DaemonArguments;
use super::arguments::KeyCommand;
use super::arguments::LogArguments;
use super::arguments::OperatorArguments;
use super::arguments::OperatorCommand;
use super::compare;
use super::error::OperatorError;
use super::explain;
use super::fleet::FleetLog;
use super::keys;
use super::publish;
use super::status;
use super::template::ANSWERS_TEMPLATE;
use crate::codes::ResultCode;
use crate::observe::LogEvent;
use crate::upstream::hash_key;

/// Time within which a change must be in force on all given daemons.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(9);

/// Runs one command.
///
/// # Errors
///
/// The error says what was not done and suggests a remedy.
pub fn run(arguments: &OperatorArguments) -> Result<(), OperatorError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| OperatorError::LogUnavailable {
            cause: error.to_string(),
        })?;
    runtime.block_on(run_command(arguments))
}

async fn run_command(arguments: &OperatorArguments) -> Result<(), OperatorError> {
    let json = arguments.json;
    match &arguments.command {
        OperatorCommand::New { path } => write_template(path, json),
        OperatorCommand::Check { answers } => check(answers, json),
        OperatorCommand::Generate { answers } => generate(answers),
        OperatorCommand::Diff { answers, log } => diff(answers, log, json).await,
        OperatorCommand::Publish {
            answers,
            based_on,
            author,
            log,
            daemons,
        } => publish_answers(answers, *based_on, author, log, daemons, json).await,
        OperatorCommand::Status { log, daemons } => show_status(log, daemons, json).await,
        OperatorCommand::Key { command } => run_key(command, json).await,
        OperatorCommand::Drain {
            vm,
            undo,
            author,
            log,
        } => drain(vm, !undo, author, log, json).await,
        OperatorCommand::Explain { id, logs } => explain::explain(id, logs, json),
        OperatorCommand::Codes => {
            print_codes();
            Ok(())
        }
        OperatorCommand::Events => {
            print_events();
            Ok(())
        }
    }
}

fn write_template(path: &Path, json: bool) -> Result<(), OperatorError> {
    let unwritable = |cause: String| OperatorError::Unwritable {
        path: path.display().to_string(),
        cause,
    };
    if path.exists() {
        return Err(unwritable(
            "the file already exists and was not overwritten".to_string(),
        ));
    }
    std::fs::write(path, ANSWERS_TEMPLATE).map_err(|error| unwritable(error.to_string()))?;
    print_result(json, json!({"written": path}), || {
        println!(
            "wrote {}; edit it, then run `marigoldhatch check`",
            path.display()
        );
    });
    Ok(())
}

fn check(paths: &[std::path::PathBuf], json: bool) -> Result<(), OperatorError> {
    for path in paths {
        let answers = read_answers(path)?;
        let summary =
            json!({"file": path, "team": answers.team, "services": answers.services.len()});
        print_result(json, summary, || println!("{}: valid", path.display()));
    }
    Ok(())
}

fn generate(path: &Path) -> Result<(), OperatorError> {
    let config = config_from_answers(&read_answers(path)?);
    println!("{}", pretty_json(&config));
    Ok(())
}

async fn diff(path: &Path, log: &LogArguments, json: bool) -> Result<(), OperatorError> {
    let config = config_from_answers(&read_answers(path)?);
    let fleet = FleetLog::open(&log.url).await?;
    let state = fleet.config.team(&config.team);
    let version = state.map_or(0, |state| state.version);
    let differences = compare::differences(state.map(|state| &state.config), &config);
    let report = json!({"team": config.team, "based_on": version, "differences": differences});
    print_result(json, report, || {
        println!("team {}, compared with version {version}:", config.team);
        for difference in &differences {
            let before = display_value(difference.before.as_ref());
            let after = display_value(difference.after.as_ref());
            println!("  {}: {before} -> {after}", difference.key);
        }
        if differences.is_empty() {
            println!("  no differences");
        }
    });
    Ok(())
}

async fn publish_answers(
    path: &Path,
    based_on: u64,
    author: &AuthorArguments,
    log: &LogArguments,
    daemons: &DaemonArguments,
    json: bool,
) -> Result<(), OperatorError> {
    let config = config_from_answers(&read_answers(path)?);
    let mut fleet = FleetLog::open(&log.url).await?;
    let published = publish::publish_config(&mut fleet, config, based_on, &author.author).await?;
    let in_force = |status: &Value| {
        status::team_version(status, &published.team)
            .is_some_and(|version| version >= published.version)
    };
    wait_until_in_force(&daemons.addresses, &published.change, in_force).await?;
    print_result(json, json!(published), || {
        println!(
            "team {}: version {} in force (change {})",
            published.team, published.version, published.change
        );
    });
    Ok(())
}

async fn wait_until_in_force(
    daemons: &[String],
    change: &str,
    condition: impl Fn(&Value) -> bool,
) -> Result<(), OperatorError> {
    let missing = status::wait_for_daemons(daemons, IN_FORCE_TIMEOUT, condition).await;
    if missing.is_empty() {
        return Ok(());
    }
    Err(OperatorError::NotInForceEverywhere {
        change: change.to_string(),
        missing,
    })
}

async fn show_status(
    log: &LogArguments,
    daemons: &DaemonArguments,
    json: bool,
) -> Result<(), OperatorError> {
    let fleet = FleetLog::open(&log.url).await?;
    let teams: Vec<Value> = fleet
        .config
        .teams()
        .map(|(team, state)| {
            json!({
                "team": team, "version": state.version, "change": state.change_id,
                "author": state.author, "since_ms": state.at_ms,
            })
        })
        .collect();
    let mut statuses = Vec::new();
    for address in &daemons.addresses {
        statuses.push(json!({"address": address, "status": status::fetch_status(address).await}));
    }
    let keys = fleet.keys.grants().count();
    let report = json!({"teams": teams, "keys": keys, "daemons": statuses});
    print_result(json, report, || print_status(&teams, keys, &statuses));
    Ok(())
}

fn print_status(teams: &[Value], keys: usize, daemons: &[Value]) {
    println!("in force according to the log ({keys} keys):");
    for team in teams {
        println!(
            "  {} version {} by {} (change {})",
            display_value(team.get("team")),
            display_value(team.get("version")),
            display_value(team.get("author")),
            display_value(team.get("change"))
        );
    }
    for daemon in daemons {
        let address = display_value(daemon.get("address"));
        let Some(status) = daemon.get("status").filter(|status| !status.is_null()) else {
            println!("{address}: no answer");
            continue;
        };
        println!(
            "{address}: VM {}, {} known members, log read {} ms ago, cut off: {}",
            display_value(status.get("vm")),
            status
                .get("members")
                .and_then(Value::as_array)
                .map_or(0, Vec::len),
            display_value(status.get("log_age_ms")),
            display_value(status.get("cut_off"))
        );
        for team in status
            .get("teams")
            .and_then(Value::as_array)
            .into_iter()
            .flatten()
        {
            println!(
                "  {} version {} since {} ms",
                display_value(team.get("team")),
                display_value(team.get("version")),
                display_value(team.get("since_ms"))
            );
        }
    }
}

async fn run_key(command: &KeyCommand, json: bool) -> Result<(), OperatorError> {
    match command {
        KeyCommand::Grant {
            organisation,
            author,
            log,
        } => {
            let mut fleet = FleetLog::open(&log.url).await?;
            let granted = keys::grant_key(&mut fleet, organisation, &author.author).await?;
            print_result(json, json!(granted), || println!("{}", granted.key));
            Ok(())
        }
        KeyCommand::Withdraw {
            hash,
            author,
            log,
            daemons,
        } => withdraw_key(hash.as_deref(), author, log, daemons, json).await,
        KeyCommand::List { log } => {
            let fleet = FleetLog::open(&log.url).await?;
            let mut grants: Vec<_> = fleet.keys.grants().collect();
            grants.sort_by(|a, b| {
                (&a.organisation, &a.key_hash).cmp(&(&b.organisation, &b.key_hash))
            });
            print_result(json, json!(grants), || {
                for grant in &grants {
                    println!(
                        "{} {} by {}",
                        grant.organisation, grant.key_hash, grant.author
                    );
                }
            });
            Ok(())
        }
    }
}

async fn withdraw_key(
    hash: Option<&str>,
    author: &AuthorArguments,
    log: &LogArguments,
    daemons: &DaemonArguments,
    json: bool,
) -> Result<(), OperatorError> {
    let hash = match hash {
        Some(hash) => hash.to_string(),
        None => hash_key(&read_key_from_stdin()?),
    };
    let mut fleet = FleetLog::open(&log.url).await?;
    let change = keys::withdraw_key(&mut fleet, &hash, &author.author).await?;
    let offset = fleet.next_offset();
    let read_by_daemon = |status: &Value| status::next_offset(status) >= offset;
    wait_until_in_force(&daemons.addresses, &change.to_string(), read_by_daemon).await?;
    print_result(json, json!({"withdrawn": hash}), || {
        println!("withdrawn: {hash}")
    });
    Ok(())
}

fn read_key_from_stdin() -> Result<String, OperatorError> {
    let mut text = String::new();
    std::io::stdin()
        .read_to_string(&mut text)
        .map_err(|error| OperatorError::NotFound {
            message: format!("the key can't be read from standard input: {error}"),
        })?;
    Ok(text.trim().to_string())
}

async fn drain(
    vm: &str,
    draining: bool,
    author: &AuthorArguments,
    log: &LogArguments,
    json: bool,
) -> Result<(), OperatorError> {
    let mut fleet = FleetLog::open(&log.url).await?;
    let change = keys::drain_endpoint(&mut fleet, vm, draining, &author.author).await?;
    print_result(
        json,
        json!({"vm": vm, "draining": draining, "change": change}),
        || {
            let state = if draining {
                "receives no new work"
            } else {
                "receives work again"
            };
            println!("{vm} {state} (change {change})");
        },
    );
    Ok(())
}

fn print_codes() {
    for code in ResultCode::ALL {
        println!(
            "| {} | {} | {} | {} |",
            code.number(),
            code.class_name(),
            code.status().as_u16(),
            code.text()
        );
    }
}

fn print_events() {
    for event in LogEvent::ALL {
        println!("| {} | {event:?} | {} |", event.number(), event.text());
    }
}

fn print_result(json: bool, value: Value, print_text: impl FnOnce()) {
    if json {
        println!("{value}");
    } else {
        print_text();
    }
}

fn pretty_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

fn display_value(value: Option<&Value>) -> String {
    match value {
        None => "-".to_string(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}
