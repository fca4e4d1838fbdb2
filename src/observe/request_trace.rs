//! Collects the log lines of one request from the logs of several daemons.

use std::collections::BTreeMap;
use std::collections::HashSet;

use serde_json::Map;
use serde_json::Value;

use super::request_cause::describe_cause;

/// State events are included from this long before the request arrived.
const WINDOW_BEFORE_MS: i64 = 3000;
/// State events are included until this long after the last line about the request.
const WINDOW_AFTER_MS: i64 = 500;
/// Ranges of events that change the state of a daemon: its lifecycle and its endpoint, connections
/// and admission shares, and configuration, keys, members and epochs.
const STATE_EVENTS: [std::ops::Range<u64>; 3] = [1001..1103, 2201..2302, 3001..5004];
/// Fields that name another daemon by its address.
const DAEMON_FIELDS: [&str; 2] = ["executor", "peer"];

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
    /// One sentence on how the request ended and why, if a line tells.
    pub cause: Option<String>,
    /// Number of state events at that time that concern other daemons and services.
    pub unrelated_events: u64,
    /// Number of lines that could not be parsed.
    pub unparsed_lines: u64,
}

struct ParsedLine {
    at_ms: i64,
    source: String,
    fields: Map<String, Value>,
}

impl ParsedLine {
    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    /// Returns the time that the logged event had taken, 0 if the line does not tell.
    fn took_ms(&self) -> i64 {
        let took_ms = self.fields.get("took_ms").and_then(Value::as_i64);
        took_ms.unwrap_or(0)
    }
}

/// The daemons and services that a request came past.
#[derive(Debug, Default)]
struct RequestPath {
    sources: HashSet<String>,
    addresses: HashSet<String>,
    services: HashSet<String>,
}

impl RequestPath {
    fn add(&mut self, line: &ParsedLine) {
        self.sources.insert(line.source.clone());
        let addresses = DAEMON_FIELDS.iter().filter_map(|field| line.text(field));
        self.addresses.extend(addresses.map(str::to_owned));
        self.services
            .extend(line.text("service").map(str::to_owned));
    }

    /// Returns true if a state event concerns the path: it names one of its daemons or services, or
    /// it is about one of its daemons itself.
    fn is_touched_by(&self, line: &ParsedLine) -> bool {
        let mut named = DAEMON_FIELDS.iter().filter_map(|field| line.text(field));
        if let Some(address) = named.next() {
            return self.addresses.contains(address);
        }
        let service = line.text("service");
        self.sources.contains(&line.source)
            || service.is_some_and(|service| self.services.contains(service))
    }
}

/// Returns the lines about request `id`, then the state events around them that concern its path,
/// each in order of time.
///
/// `lines` are pairs of a source and a line, which may have any text before its JSON. Calls made for
/// the request are included: their id is the request's id, a dot and a suffix. Only lines that can
/// matter are parsed, so that the logs of a whole fleet are searched quickly.
pub fn trace_request<'a>(
    id: &str,
    lines: impl Iterator<Item = (&'a str, &'a str)> + Clone,
) -> RequestTrace {
    let mut trace = RequestTrace::default();
    let mut about = Vec::new();
    for (source, line) in lines.clone() {
        if !is_complete(line) {
            trace.unparsed_lines += u64::from(!line.trim().is_empty());
        } else if line.contains(id) {
            about.extend(parse_line(source, line).filter(|line| is_about(line, id)));
        }
    }
    let starts = about.iter().map(|line| line.at_ms - line.took_ms());
    let times = || about.iter().map(|line| line.at_ms);
    let (Some(start), Some(first), Some(last)) = (starts.min(), times().min(), times().max())
    else {
        return trace;
    };
    let mut path = RequestPath::default();
    about.iter().for_each(|line| path.add(line));
    about.sort_by_key(|line| line.at_ms);
    let steps = about.into_iter();
    trace.steps = steps.map(|line| trace_step(line, first, true)).collect();
    trace.cause = describe_cause(id, &trace.steps);
    let window = start - WINDOW_BEFORE_MS..=last + WINDOW_AFTER_MS;
    let mut state_steps = Vec::new();
    for (source, line) in lines {
        let in_window = line_time_ms(line).is_some_and(|at_ms| window.contains(&at_ms));
        if !in_window || !is_complete(line) {
            continue;
        }
        let Some(line) = parse_line(source, line).filter(is_state_event) else {
            continue;
        };
        if is_about(&line, id) {
            continue;
        }
        if path.is_touched_by(&line) {
            state_steps.push(trace_step(line, first, false));
        } else {
            trace.unrelated_events += 1;
        }
    }
    state_steps.sort_by_key(|step| step.at_ms);
    trace.steps.extend(state_steps);
    trace
}

/// Returns true if a line holds a JSON object that was not cut off.
fn is_complete(line: &str) -> bool {
    line.contains('{') && line.trim_end().ends_with('}')
}

/// Returns the time of a line without parsing it.
fn line_time_ms(line: &str) -> Option<i64> {
    let (_, rest) = line.split_once("\"timestamp\":\"")?;
    parse_timestamp_ms(rest)
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
    line.text("id").is_some_and(|line_id| {
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
