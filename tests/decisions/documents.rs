//! Tests that errors in settings and answers files name the line and key, several at once.

use marigoldhatch::daemon::DaemonOptions;
use marigoldhatch::operator::config_from_answers;
use marigoldhatch::operator::read_answers;
use marigoldhatch::settings::CheckedDocument;
use marigoldhatch::settings::TeamAnswers;
use marigoldhatch::settings::ANSWERS_SCHEMA;
use rstest::rstest;

/// Returns the error message for an invalid answers file, with its path replaced by `answers`.
fn answers_error(text: &str) -> String {
    let folder = tempfile::TempDir::new().expect("a temporary directory is created");
    let path = folder.path().join("answers.jsonc");
    std::fs::write(&path, text).expect("the answers file is written");
    let error = read_answers(&path).expect_err("the answers are invalid");
    error
        .to_string()
        .replace(&path.display().to_string(), "answers")
}

const VALID_ANSWERS: &str = r#"{
  // A comment.
  "team": "t",
  "organisations": [{"name": "a", "rate_per_s": 5, "burst": 5}],
  "services": [{"name": "s", "routes": [
    {"path": "/s", "methods": ["GET"], "may_run_twice": true, "importance": "low",
     "who_may_call": ["a"]}]}]
}"#;

#[rstest]
#[case(
    "\"rate_per_s\": 5",
    "\"rate_per_s\": 0",
    "answers:4:",
    "organisations[0].rate_per_s"
)]
#[case("\"low\"", "\"lowest\"", "answers:6:", "importance")]
#[case(
    "[\"a\"]}",
    "[\"b\"]}",
    "answers:7:",
    "\"b\" is not among the organisations; they are a"
)]
#[case("true", "false", "answers:", "")]
#[case("\"team\": \"t\",", "", "answers:1:", "team: this key is missing")]
#[case(
    "\"burst\": 5",
    "\"burst\": 5, \"brust\": 6",
    "answers:4:",
    "brust: this key is not known"
)]
#[case("\"/s\"", "\"/s/\"", "answers:6:", "write \"/s\"")]
#[case(
    "[{\"name\": \"a\"",
    "[{\"name\": 7",
    "answers:4:",
    "organisations[0].name"
)]
#[case(
    "\"team\": \"t\",",
    "\"team\": ,",
    "answers:3:",
    "not JSON with comments"
)]
fn error_names_the_line_and_key(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] location: &str,
    #[case] message: &str,
) {
    let text = VALID_ANSWERS.replace(valid, invalid);
    if valid == "true" {
        // A route that may not run twice is an error only if anyone may call it.
        let open = text.replace("[\"a\"]}", "\"anyone\"}");
        assert!(answers_error(&open).contains("can't be open to anyone"));
        return;
    }
    let error = answers_error(&text);
    assert!(
        error.contains(location) && error.contains(message),
        "{error}"
    );
}

#[test]
fn several_errors_are_reported_at_once() {
    let text = VALID_ANSWERS
        .replace("\"rate_per_s\": 5", "\"rate_per_s\": -1")
        .replace("\"low\"", "\"huge\"")
        .replace("\"GET\"", "\"FETCH\"");
    assert_eq!(answers_error(&text).lines().count(), 3);
}

#[test]
fn valid_answers_produce_a_configuration() {
    let document: CheckedDocument<TeamAnswers> =
        CheckedDocument::from_text("answers", VALID_ANSWERS, ANSWERS_SCHEMA)
            .expect("the answers are valid");
    let config = config_from_answers(&document.value);
    assert_eq!(config.services[0].routes[0].allowed, ["a"]);
    assert_eq!(config.organisations[0].weight, 1);
}

#[test]
fn examples_are_valid() {
    for name in ["starting", "lakeshore", "aterra"] {
        let path = format!("examples/{name}.jsonc");
        read_answers(path.as_ref()).unwrap_or_else(|error| panic!("{error}"));
    }
}

#[test]
fn settings_error_names_every_invalid_address() {
    let text = r#"{
        "vm": "v", "failure_domain": "d", "region": "r",
        "traffic_address": "here", "local_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:x", "control_address": "127.0.0.1:3",
        "log_url": "http://log.example:80",
        "fleet_secret": "0123456789012345678901234567890123456789"
    }"#;
    let error = DaemonOptions::from_text("settings", text)
        .expect_err("the settings are invalid")
        .to_string();
    for part in [
        "settings:3:9: traffic_address",
        "settings:4:9: peer_address",
        "settings:5:9: log_url",
    ] {
        assert!(error.contains(part), "{error}");
    }
}
