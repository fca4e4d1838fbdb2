//! Checks that the tables in `docs/` list every result code and log event of the code.
//!
//! They fail if a code or event is added or its text changes without the page.

use marigoldhatch::codes::ResultCode;
use marigoldhatch::observe::LogEvent;

fn read_document(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{path}: {error}"))
}

#[test]
fn result_code_table_is_complete() {
    let text = read_document("docs/RESULT-CODES.md");
    for code in ResultCode::ALL {
        let row = format!(
            "| {} | {} | {} | {} |",
            code.number(),
            code.class_name(),
            code.status().as_u16(),
            code.text()
        );
        assert!(text.contains(&row), "row missing in docs: {row}");
        assert_eq!(
            ResultCode::from_header_value(&code.header_value()),
            Some(*code)
        );
    }
}

#[test]
fn log_event_table_is_complete() {
    let text = read_document("docs/LOG-EVENTS.md");
    for event in LogEvent::ALL {
        let row = format!("| {} | {event:?} | {} |", event.number(), event.text());
        assert!(text.contains(&row), "row missing in docs: {row}");
    }
}
