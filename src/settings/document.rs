//! Reads JSON with comments, validates it against a schema and reports faults with line and key.

use std::path::Path;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::parse_to_ast;
use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonschema::error::ValidationErrorKind;
use jsonschema::ValidationError;
use miette::Diagnostic;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Location of a fault in a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultLocation {
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in bytes, starting at 1.
    pub column: usize,
    /// Path of keys, such as `services[0].routes[1].path`.
    pub key: String,
}

/// A fault in a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentFault {
    pub location: FaultLocation,
    /// Description of the fault and, where possible, of a valid value.
    pub message: String,
}

/// Reason why a document can't be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum DocumentError {
    /// The file could not be read.
    #[error("{path}: {cause}")]
    #[diagnostic(help("give the path of a readable file"))]
    Unreadable { path: String, cause: String },
    /// The document is invalid; the error text has one line per fault.
    #[error("{}", render_faults(.path, .faults))]
    #[diagnostic(help("correct the keys listed above; nothing has been changed"))]
    Invalid {
        path: String,
        faults: Vec<DocumentFault>,
    },
}

fn render_faults(path: &str, faults: &[DocumentFault]) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| {
            let location = &fault.location;
            format!(
                "{path}:{}:{}: {}: {}",
                location.line, location.column, location.key, fault.message
            )
        })
        .collect();
    lines.join("\n")
}

/// A document that is valid against its schema, with its text to locate further faults.
#[derive(Debug)]
pub struct CheckedDocument<T> {
    pub path: String,
    pub value: T,
    text: String,
}

impl<T: DeserializeOwned> CheckedDocument<T> {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// Lists all faults at once, each with line and key.
    pub fn from_file(path: &Path, schema: &str) -> Result<Self, DocumentError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| DocumentError::Unreadable {
            path: name.clone(),
            cause: error.to_string(),
        })?;
        Self::from_text(&name, &text, schema)
    }

    /// Validates a text; its errors refer to it as `path`.
    ///
    /// # Errors
    ///
    /// Lists all faults at once, each with line and key.
    pub fn from_text(path: &str, text: &str, schema: &str) -> Result<Self, DocumentError> {
        let invalid = |faults| DocumentError::Invalid {
            path: path.to_string(),
            faults,
        };
        let document = parse(text).map_err(|fault| invalid(vec![fault]))?;
        let faults = schema_faults(text, &document, schema);
        if !faults.is_empty() {
            return Err(invalid(faults));
        }
        let value = serde_json::from_value(document).map_err(|error| {
            invalid(vec![DocumentFault {
                location: locate(text, ""),
                message: error.to_string(),
            }])
        })?;
        Ok(Self {
            path: path.to_string(),
            value,
            text: text.to_string(),
        })
    }
}

impl<T> CheckedDocument<T> {
    /// Creates a fault at a JSON pointer such as `/services/0/name`.
    pub fn fault(&self, pointer: &str, message: String) -> DocumentFault {
        DocumentFault {
            location: locate(&self.text, pointer),
            message,
        }
    }

    /// Creates the error for faults found after the validation against the schema.
    pub fn error(&self, faults: Vec<DocumentFault>) -> DocumentError {
        DocumentError::Invalid {
            path: self.path.clone(),
            faults,
        }
    }
}

fn parse(text: &str) -> Result<Value, DocumentFault> {
    let parsed = jsonc_parser::parse_to_serde_value(text, &ParseOptions::default());
    match parsed {
        Ok(value) => Ok(value.unwrap_or(Value::Null)),
        Err(error) => {
            let (line, column) = line_and_column(text, error.range().start);
            Err(DocumentFault {
                location: FaultLocation {
                    line,
                    column,
                    key: "document".to_string(),
                },
                message: format!("not JSON with comments: {}", error.kind()),
            })
        }
    }
}

fn schema_faults(text: &str, document: &Value, schema: &str) -> Vec<DocumentFault> {
    let schema: Value = serde_json::from_str(schema).expect("committed schemas are JSON");
    let validator = jsonschema::validator_for(&schema).expect("committed schemas are valid");
    let mut faults: Vec<DocumentFault> = validator
        .iter_errors(document)
        .flat_map(|error| faults_from_error(text, &error))
        .collect();
    faults.sort_by_key(|fault| (fault.location.line, fault.location.column));
    faults
}

fn faults_from_error(text: &str, error: &ValidationError<'_>) -> Vec<DocumentFault> {
    let pointer = error.instance_path().to_string();
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => unexpected
            .iter()
            .map(|name| DocumentFault {
                location: locate(text, &format!("{pointer}/{name}")),
                message: "this key is not known here".to_string(),
            })
            .collect(),
        ValidationErrorKind::Required { property } => {
            let mut location = locate(text, &pointer);
            let name = property.as_str().unwrap_or_default();
            location.key = join_key(&location.key, name);
            vec![DocumentFault {
                location,
                message: "this key is missing".to_string(),
            }]
        }
        _ => vec![DocumentFault {
            location: locate(text, &pointer),
            message: error.to_string(),
        }],
    }
}

/// Returns the location of a JSON pointer, or of its nearest ancestor that is in the text.
fn locate(text: &str, pointer: &str) -> FaultLocation {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    let root = parsed.ok().and_then(|result| result.value);
    let mut start = root.as_ref().map_or(0, |value| value.range().start);
    let mut value = root.as_ref();
    let mut key = String::new();
    for segment in pointer.split('/').skip(1) {
        let child = value.and_then(|value| child_of(value, segment));
        if let Some((child_start, inner)) = child {
            start = child_start;
            value = Some(inner);
        } else {
            value = None;
        }
        key = match segment.parse::<usize>() {
            Ok(index) => format!("{key}[{index}]"),
            Err(_) => join_key(&key, segment),
        };
    }
    let (line, column) = line_and_column(text, start);
    let key = if key.is_empty() {
        "document".to_string()
    } else {
        key
    };
    FaultLocation { line, column, key }
}

fn child_of<'a, 'b>(
    value: &'b ast::Value<'a>,
    segment: &str,
) -> Option<(usize, &'b ast::Value<'a>)> {
    match value {
        ast::Value::Object(object) => {
            let property = object
                .properties
                .iter()
                .find(|property| property.name.as_str() == segment)?;
            Some((property.range.start, &property.value))
        }
        ast::Value::Array(array) => {
            let element = array.elements.get(segment.parse::<usize>().ok()?)?;
            Some((element.range().start, element))
        }
        _ => None,
    }
}

fn join_key(outer: &str, inner: &str) -> String {
    match outer {
        "" | "document" => inner.to_string(),
        _ => format!("{outer}.{inner}"),
    }
}

fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.len() - before.rfind('\n').map_or(0, |newline| newline + 1) + 1;
    (line, column)
}
