//! Tests that the log lines of a request are collected from the logs of several daemons.

use marigoldhatch::observe::trace_request;

const ENTRY: &str = r#"  12.1 vm-a {"timestamp":"2026-10-18T13:49:10.000500Z","level":"WARN","message":"configuration in force","event":3101,"new":7}
not a line
{"timestamp":"2026-10-18T13:49:11.200000Z","level":"WARN","message":"refused","event":2003,"id":"ab12","code":"RefusedEarly","share":0.4}
{"timestamp":"2026-10-18T13:49:11.300000Z","level":"INFO","message":"answered","event":2001,"id":"ab123"}
{"timestamp":"2026-10-18T13:40:00.000000Z","level":"WARN","message":"endpoint","event":1101}
{"timestamp":"2026-10-18T13:49:1"#;
const EXECUTOR: &str = r#"{"timestamp":"2026-10-18T13:49:11.100000Z","level":"WARN","message":"failed","event":2003,"id":"ab12.77","code":"Overloaded"}"#;

#[test]
fn lines_of_a_request_and_state_events_around_it_are_ordered_by_time() {
    let lines = ENTRY.lines().map(|line| ("entry.log", line));
    let lines = lines.chain(EXECUTOR.lines().map(|line| ("executor.log", line)));
    let trace = trace_request("ab12", lines);
    let seen: Vec<(i64, &str, u64, bool)> = trace
        .steps
        .iter()
        .map(|step| {
            (
                step.at_ms,
                step.source.as_str(),
                step.event,
                step.about_request,
            )
        })
        .collect();
    let expected = [
        (-1100, "12.1 vm-a", 3101, false),
        (0, "executor.log", 2003, true),
        (100, "entry.log", 2003, true),
    ];
    assert_eq!(seen, expected);
    assert_eq!(trace.unparsed_lines, 2);
    assert_eq!(trace.steps[2].fields["code"], "RefusedEarly");
}

#[test]
fn request_without_log_lines_has_an_empty_trace() {
    let lines = ENTRY.lines().map(|line| ("entry.log", line));
    assert!(trace_request("ffff", lines).steps.is_empty());
}
