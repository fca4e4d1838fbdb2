//! Says in one sentence how a request ended and why.

use serde_json::Value;

use super::event::LogEvent;
use super::request_trace::TraceStep;
use crate::codes::ResultCode;

/// Fields that hold the inputs of a decision, in the order in which they are printed.
const INPUT_FIELDS: [&str; 16] = [
    "share",
    "bucket_level",
    "own_level",
    "asked",
    "executor",
    "endpoints",
    "linked",
    "age_ms",
    "in_hand",
    "running",
    "held_bytes",
    "error",
    "config",
    "proof_ms",
    "status",
    "took_ms",
];

/// Returns a sentence on the end of request `id`, or none if no step tells it.
///
/// If the endpoint failed the request because one of its calls failed, the sentence is about that
/// call.
pub fn describe_cause(id: &str, steps: &[TraceStep]) -> Option<String> {
    let is_request = |step: &&TraceStep| text(step, "id") == Some(id);
    let end = steps
        .iter()
        .rev()
        .filter(is_request)
        .find(|step| ends(step))?;
    let failed_call = steps.iter().rev().find(|step| {
        text(step, "id").is_some_and(|step_id| step_id != id) && step.event == refused_event()
    });
    if let (Some(status), Some(call)) = (end_status(end), failed_call) {
        if status >= 500 {
            let call_id = text(call, "id").unwrap_or("");
            let (outcome, inputs) = (outcome(call), inputs(call));
            return Some(format!(
                "the endpoint answered {status} after its call {call_id} failed at {}: {outcome} ({inputs})",
                call.source
            ));
        }
    }
    let detail = steps
        .iter()
        .rev()
        .filter(is_request)
        .find(|step| step.event == u64::from(LogEvent::CallUnknown.number()))
        .filter(|_| end.event == refused_event())
        .map(|step| format!("; {}: {} ({})", step.source, step.message, inputs(step)));
    Some(format!(
        "{} at {}: {} ({}){}",
        end.message,
        end.source,
        outcome(end),
        inputs(end),
        detail.unwrap_or_default()
    ))
}

fn refused_event() -> u64 {
    LogEvent::CallRefused.number().into()
}

/// Returns true if the step tells how a request or call ended at its entry.
fn ends(step: &TraceStep) -> bool {
    step.event == refused_event() || step.event == u64::from(LogEvent::CallPlaced.number())
}

/// Returns the status that the endpoint answered, if the step tells it.
fn end_status(step: &TraceStep) -> Option<u64> {
    step.fields.get("status").and_then(Value::as_u64)
}

/// Returns the sentence of the step's result code, or the endpoint's status.
fn outcome(step: &TraceStep) -> String {
    let code = text(step, "code").unwrap_or("");
    let mut codes = ResultCode::ALL.iter();
    match codes.find(|known| format!("{known:?}") == code) {
        Some(known) => format!("{code}, {}", known.text()),
        None => end_status(step).map_or(code.to_owned(), |status| {
            format!("the endpoint answered {status}")
        }),
    }
}

fn inputs(step: &TraceStep) -> String {
    let present = INPUT_FIELDS.iter().filter_map(|name| {
        let value = step.fields.get(*name)?;
        Some(format!("{name}={value}"))
    });
    present.collect::<Vec<_>>().join(" ")
}

fn text<'a>(step: &'a TraceStep, field: &str) -> Option<&'a str> {
    step.fields.get(field).and_then(Value::as_str)
}
