//! Collects the log lines of one request from the logs of several daemons.

use std::collections::BTreeMap;

use serde_json::Map;
use serde_json::Value;

/// State events are included from this long before the first line about the request.
const WINDOW_BEFORE_MS: i64 = 3000;
/// State events are included until this long after the last line about the request.
const WINDOW_AFTER_MS: i64 = 500;
/// Ranges of events that change the state of a daemon: its lifecycle and its endpoint, connections
/// and admission shares, and configuration, keys, members and epochs.
const STATE_EVENTS: [std::ops::Range<u64>; 3] = [1001..1103, 2201..2302, 3001..5004];

/// One log line of a request trace.
#[derive(Debug, Clone, PartialEq)]
pub struct TraceStep {
    /// Milliseconds since the first line about the request.
    pub at_ms: i64,
    /// The text before the JSON in the line, or the name of the log file if there is none.
    pub source: String,
    /// Number of the log event, 0 if the line has none.
    pub event: u64,
    pub message: String,
    /// All other fields, unchanged.
    pub fields: BTreeMap<String, Value>,
    /// True for a line about the request, false for a state event of a daemon at that time.
    pub about_request: bool,
}

/// The log lines about one request and the state events around it, in order of time.
#[derive(Debug, Default)]
pub struct RequestTrace {
    pub steps: Vec<TraceStep>,
    /// Number of lines that could not be parsed.
    pub unparsed_lines: u64,
}

struct ParsedLine {
    at_ms: i64,
    source: String,
    fields: Map<String, Value>,
}

/// Returns the lines about request `id` and the state events around them, in order of time.
///
/// `lines` are pairs of a source and a line, which may have any text before its JSON. Calls made for
/// the request are included: their id is the request's id, a dot and a suffix.
pub fn trace_request<'a>(
    id: &str,
    lines: impl Iterator<Item = (&'a str, &'a str)>,
) -> RequestTrace {
    let mut trace = RequestTrace::default();
    let mut parsed = Vec::new();
    for (source, line) in lines.filter(|(_, line)| !line.trim().is_empty()) {
        match parse_line(source, line) {
            Some(line) => parsed.push(line),
            None => trace.unparsed_lines += 1,
        }
    }
    let times: Vec<i64> = parsed
        .iter()
        .filter(|line| is_about(line, id))
        .map(|line| line.at_ms)
        .collect();
    let (Some(first), Some(last)) = (times.iter().min(), times.iter().max()) else {
        return trace;
    };
    let window = first - WINDOW_BEFORE_MS..=last + WINDOW_AFTER_MS;
    for line in parsed {
        let about_request = is_about(&line, id);
        let shown = about_request || (window.contains(&line.at_ms) && is_state_event(&line));
        if shown {
            trace.steps.push(trace_step(line, *first, about_request));
        }
    }
    trace.steps.sort_by_key(|step| step.at_ms);
    trace
}

fn parse_line(source: &str, line: &str) -> Option<ParsedLine> {
    let start = line.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(line[start..].trim_end()).ok()?;
    let prefix = line[..start].trim();
    let source = if prefix.is_empty() { source } else { prefix };
    Some(ParsedLine {
        at_ms: parse_timestamp_ms(fields.get("timestamp")?.as_str()?)?,
        source: source.to_owned(),
        fields,
    })
}

/// Returns the milliseconds since the start of the month for an RFC 3339 timestamp in UTC.
///
/// The month is ignored, since the lines of a trace are only seconds apart.
fn parse_timestamp_ms(text: &str) -> Option<i64> {
    let parse_number = |range: std::ops::Range<usize>| text.get(range)?.parse::<i64>().ok();
    let (day, hour) = (parse_number(8..10)?, parse_number(11..13)?);
    let (minute, second) = (parse_number(14..16)?, parse_number(17..19)?);
    let fraction = parse_number(20..23)?;
    Some((((day * 24 + hour) * 60 + minute) * 60 + second) * 1000 + fraction)
}

fn is_about(line: &ParsedLine, id: &str) -> bool {
    let line_id = line.fields.get("id").and_then(Value::as_str);
    line_id.is_some_and(|line_id| {
        let rest = line_id.strip_prefix(id);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    })
}

fn is_state_event(line: &ParsedLine) -> bool {
    let event = line.fields.get("event").and_then(Value::as_u64);
    event.is_some_and(|event| STATE_EVENTS.iter().any(|range| range.contains(&event)))
}

fn trace_step(line: ParsedLine, start_ms: i64, about_request: bool) -> TraceStep {
    let mut fields: BTreeMap<String, Value> = line.fields.into_iter().collect();
    fields.remove("timestamp");
    fields.remove("level");
    let event = fields.remove("event").and_then(|value| value.as_u64());
    let message = fields.remove("message");
    let message = message.as_ref().and_then(Value::as_str).unwrap_or("");
    TraceStep {
        at_ms: line.at_ms - start_ms,
        source: line.source,
        event: event.unwrap_or(0),
        message: message.to_owned(),
        fields,
        about_request,
    }
}
