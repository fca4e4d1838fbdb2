//! Traces one request through the logs of several daemons.

use std::io::Read;
use std::path::PathBuf;

use serde_json::json;

use super::error::OperatorError;
use crate::observe::trace_request;
use crate::observe::LogEvent;
use crate::observe::RequestTrace;
use crate::observe::TraceStep;

/// Prints the trace of a request from log files, or from standard input if `paths` is empty.
///
/// # Errors
///
/// Fails if a file can't be read or no line is about the request.
pub fn explain(id: &str, paths: &[PathBuf], json: bool) -> Result<(), OperatorError> {
    let logs = read_logs(paths)?;
    let lines = logs
        .iter()
        .flat_map(|(name, text)| text.lines().map(move |line| (name.as_str(), line)));
    let trace = trace_request(id, lines);
    if trace.steps.is_empty() {
        let message = format!(
            "no log line is about request {id}; {} lines could not be parsed",
            trace.unparsed_lines
        );
        return Err(OperatorError::NotFound { message });
    }
    if json {
        print_json(&trace);
    } else {
        print_text(&trace);
    }
    Ok(())
}

fn read_logs(paths: &[PathBuf]) -> Result<Vec<(String, String)>, OperatorError> {
    let unreadable = |path: String, error: std::io::Error| OperatorError::NotFound {
        message: format!("{path}: {error}"),
    };
    let mut logs = Vec::new();
    for path in paths {
        let name = path.display().to_string();
        // A log may be truncated in the middle of a UTF-8 character.
        let bytes = std::fs::read(path).map_err(|error| unreadable(name.clone(), error))?;
        logs.push((name, String::from_utf8_lossy(&bytes).into_owned()));
    }
    if paths.is_empty() {
        let mut bytes = Vec::new();
        let read = std::io::stdin().read_to_end(&mut bytes);
        read.map_err(|error| unreadable("standard input".to_owned(), error))?;
        logs.push((
            String::from("-"),
            String::from_utf8_lossy(&bytes).into_owned(),
        ));
    }
    Ok(logs)
}

fn print_text(trace: &RequestTrace) {
    for step in &trace.steps {
        let mark = if step.about_request { ">" } else { " " };
        let name = event_name(step);
        let fields: Vec<String> = step
            .fields
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        let (at, event, source) = (step.at_ms, step.event, &step.source);
        println!(
            "{mark} {at:>7} ms  {source}  {event} {name}: {}  {}",
            step.message,
            fields.join(" ")
        );
    }
    if trace.unparsed_lines > 0 {
        println!("{} lines could not be parsed", trace.unparsed_lines);
    }
}

fn print_json(trace: &RequestTrace) {
    let steps: Vec<serde_json::Value> = trace
        .steps
        .iter()
        .map(|step| {
            json!({"at_ms": step.at_ms, "source": step.source, "event": step.event,
                   "name": event_name(step), "message": step.message, "about_request": step.about_request,
                   "fields": step.fields})
        })
        .collect();
    println!(
        "{}",
        json!({"steps": steps, "unread": trace.unparsed_lines})
    );
}

fn event_name(step: &TraceStep) -> String {
    let mut events = LogEvent::ALL.iter();
    let event = events.find(|event| u64::from(event.number()) == step.event);
    event.map_or(String::new(), |event| format!("{event:?}"))
}
