//! The story of one request, from the log lines of many daemons.

use std::collections::BTreeMap;

use serde_json::Map;
use serde_json::Value;

/// Changes of belief within this many lines' neighbourhood in time are shown beside the request.
const BEFORE_MS: i64 = 3000;
const AFTER_MS: i64 = 500;
/// Events at and above this change what a daemon believes, up to the first of requests.
const BELIEF_EVENTS: [std::ops::Range<u64>; 3] = [1001..1103, 2201..2302, 3001..5004];

/// One line of the story.
#[derive(Debug, Clone, PartialEq)]
pub struct StoryStep {
    /// Milliseconds since the first line about the request.
    pub at_ms: i64,
    /// The file, or what stood before the line.
    pub source: String,
    pub event: u64,
    pub message: String,
    /// The other fields, as they stood.
    pub fields: BTreeMap<String, Value>,
    /// The line is about the request, and not about what a daemon believed then.
    pub own: bool,
}

/// What the lines say of one request.
#[derive(Debug, Default)]
pub struct RequestStory {
    pub steps: Vec<StoryStep>,
    /// Lines that can't be read.
    pub unread: u64,
}

struct ReadLine {
    millis: i64,
    source: String,
    fields: Map<String, Value>,
}

/// Puts the lines about `id`, and about beliefs at that time, in order.
///
/// A line may have anything before its JSON. Calls of the request are found where their identity
/// extends that of the request.
pub fn tell_story<'a>(id: &str, lines: impl Iterator<Item = (&'a str, &'a str)>) -> RequestStory {
    let mut story = RequestStory::default();
    let mut read = Vec::new();
    for (source, line) in lines.filter(|(_, line)| !line.trim().is_empty()) {
        match read_line(source, line) {
            Some(line) => read.push(line),
            None => story.unread += 1,
        }
    }
    let own: Vec<i64> = read
        .iter()
        .filter(|line| is_about(line, id))
        .map(|line| line.millis)
        .collect();
    let (Some(first), Some(last)) = (own.iter().min(), own.iter().max()) else {
        return story;
    };
    let window = first - BEFORE_MS..=last + AFTER_MS;
    for line in read {
        let about = is_about(&line, id);
        let shown = about || (window.contains(&line.millis) && is_belief(&line));
        if shown {
            story.steps.push(step(line, *first, about));
        }
    }
    story.steps.sort_by_key(|step| step.at_ms);
    story
}

fn read_line(source: &str, line: &str) -> Option<ReadLine> {
    let start = line.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(line[start..].trim_end()).ok()?;
    let prefix = line[..start].trim();
    let source = if prefix.is_empty() { source } else { prefix };
    Some(ReadLine {
        millis: millis(fields.get("timestamp")?.as_str()?)?,
        source: source.to_owned(),
        fields,
    })
}

/// Milliseconds of an RFC 3339 time in UTC, within its month; lines of a story are seconds apart.
fn millis(text: &str) -> Option<i64> {
    let figure = |range: std::ops::Range<usize>| text.get(range)?.parse::<i64>().ok();
    let (day, hour) = (figure(8..10)?, figure(11..13)?);
    let (minute, second) = (figure(14..16)?, figure(17..19)?);
    let fraction = figure(20..23)?;
    Some((((day * 24 + hour) * 60 + minute) * 60 + second) * 1000 + fraction)
}

fn is_about(line: &ReadLine, id: &str) -> bool {
    let named = line.fields.get("id").and_then(Value::as_str);
    named.is_some_and(|named| {
        let rest = named.strip_prefix(id);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    })
}

fn is_belief(line: &ReadLine) -> bool {
    let event = line.fields.get("event").and_then(Value::as_u64);
    event.is_some_and(|event| BELIEF_EVENTS.iter().any(|range| range.contains(&event)))
}

fn step(line: ReadLine, first: i64, own: bool) -> StoryStep {
    let mut fields: BTreeMap<String, Value> = line.fields.into_iter().collect();
    fields.remove("timestamp");
    fields.remove("level");
    let event = fields.remove("event").and_then(|value| value.as_u64());
    let message = fields.remove("message");
    let message = message.as_ref().and_then(Value::as_str).unwrap_or("");
    StoryStep {
        at_ms: line.millis - first,
        source: line.source,
        event: event.unwrap_or(0),
        message: message.to_owned(),
        fields,
        own,
    }
}
