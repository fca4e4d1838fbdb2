//! Traces one request through the logs of several daemons.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use flate2::read::MultiGzDecoder;
use serde_json::json;

use super::error::OperatorError;
use crate::observe::trace_request;
use crate::observe::LogEvent;
use crate::observe::RequestTrace;
use crate::observe::TraceStep;

/// First bytes of a file that is compressed with gzip.
const GZIP_MAGIC: [u8; 2] = [0x1f, 0x8b];

/// Prints the trace of a request from log files and folders of them, or from standard input if
/// `paths` is empty.
///
/// # Errors
///
/// Fails if a file can't be read, no line is about the request, or the output can't be written.
pub fn explain(id: &str, paths: &[PathBuf], json: bool) -> Result<(), OperatorError> {
    let logs = read_logs(paths)?;
    let lines = logs
        .iter()
        .flat_map(|(name, text)| text.lines().map(move |line| (name.as_str(), line)));
    let trace = trace_request(id, lines);
    if trace.steps.is_empty() {
        return Err(OperatorError::NoTrace {
            id: id.to_owned(),
            logs: logs.len(),
            unparsed: trace.unparsed_lines,
        });
    }
    let text = if json {
        json_text(&trace)
    } else {
        plain_text(&trace)
    };
    match std::io::stdout().lock().write_all(text.as_bytes()) {
        // The reader of a pipe may want only the first lines.
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(OperatorError::Unwritable {
            path: "standard output".to_owned(),
            cause: error.to_string(),
        }),
        _ => Ok(()),
    }
}

fn read_logs(paths: &[PathBuf]) -> Result<Vec<(String, String)>, OperatorError> {
    if paths.is_empty() {
        let mut bytes = Vec::new();
        let read = std::io::stdin().read_to_end(&mut bytes);
        read.map_err(|error| unreadable("standard input", &error))?;
        return Ok(vec![("-".to_owned(), decode_text(&bytes))]);
    }
    let mut logs = Vec::new();
    for path in paths {
        for file in list_files(path).map_err(|error| unreadable(path.display(), &error))? {
            let text = read_log(&file).map_err(|error| unreadable(file.display(), &error))?;
            logs.push((file.display().to_string(), text));
        }
    }
    Ok(logs)
}

/// Returns the files in a folder in the order of their names, or the path itself if it is a file.
fn list_files(path: &Path) -> std::io::Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path)? {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            files.push(entry.path());
        }
    }
    files.sort();
    Ok(files)
}

fn read_log(path: &Path) -> std::io::Result<String> {
    let bytes = std::fs::read(path)?;
    if !bytes.starts_with(&GZIP_MAGIC) {
        return Ok(decode_text(&bytes));
    }
    let mut text = Vec::new();
    MultiGzDecoder::new(&bytes[..]).read_to_end(&mut text)?;
    Ok(decode_text(&text))
}

/// Decodes a log, which may be cut off in the middle of a UTF-8 character.
fn decode_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn unreadable(path: impl std::fmt::Display, error: &std::io::Error) -> OperatorError {
    OperatorError::Unreadable {
        path: path.to_string(),
        cause: error.to_string(),
    }
}

fn plain_text(trace: &RequestTrace) -> String {
    let mut lines: Vec<String> = Vec::new();
    let (about, around): (Vec<&TraceStep>, Vec<&TraceStep>) =
        trace.steps.iter().partition(|step| step.about_request);
    lines.extend(about.into_iter().map(|step| step_text(step, ">")));
    let cause = trace.cause.as_deref();
    lines.push(format!(
        "cause: {}",
        cause.unwrap_or("no line tells how the request ended")
    ));
    if !around.is_empty() {
        lines.push("changes of state on its path at that time:".to_owned());
        lines.extend(around.into_iter().map(|step| step_text(step, " ")));
    }
    if trace.unrelated_events > 0 {
        let count = trace.unrelated_events;
        lines.push(format!(
            "{count} changes of state at other daemons and services are left out"
        ));
    }
    if trace.unparsed_lines > 0 {
        lines.push(format!(
            "{} lines could not be parsed",
            trace.unparsed_lines
        ));
    }
    lines.push(String::new());
    lines.join("\n")
}

fn step_text(step: &TraceStep, mark: &str) -> String {
    let fields: Vec<String> = step
        .fields
        .iter()
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    let (at, event, source) = (step.at_ms, step.event, &step.source);
    format!(
        "{mark} {at:>7} ms  {source}  {event} {}: {}  {}",
        event_name(step),
        step.message,
        fields.join(" ")
    )
}

fn json_text(trace: &RequestTrace) -> String {
    let steps: Vec<serde_json::Value> = trace
        .steps
        .iter()
        .map(|step| {
            json!({"at_ms": step.at_ms, "source": step.source, "event": step.event,
                   "name": event_name(step), "message": step.message, "about_request": step.about_request,
                   "fields": step.fields})
        })
        .collect();
    let document = json!({"steps": steps, "cause": trace.cause,
                          "unrelated": trace.unrelated_events, "unread": trace.unparsed_lines});
    format!("{document}\n")
}

fn event_name(step: &TraceStep) -> String {
    let mut events = LogEvent::ALL.iter();
    let event = events.find(|event| u64::from(event.number()) == step.event);
    event.map_or(String::new(), |event| format!("{event:?}"))
}
