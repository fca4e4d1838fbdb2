//! Table of the requests sent and their responses.

use super::caller::DemoResponse;

/// Characters shown of a response body.
const MAX_BODY_CHARACTERS: usize = 48;

/// Collects rows and prints them as a table.
#[derive(Debug, Default)]
pub struct DemoTable {
    rows: Vec<String>,
}

impl DemoTable {
    pub fn new() -> Self {
        Self::default()
    }

    pub fn add_row(&mut self, caller: &str, action: &str, response: &DemoResponse) {
        let result = response
            .code
            .map_or_else(|| "no answer".to_string(), |code| code.header_value());
        let text = match response.code {
            Some(code) if response.status >= 400 => code.text().to_string(),
            _ => response.body.chars().take(MAX_BODY_CHARACTERS).collect(),
        };
        self.rows.push(format!(
            "{caller:<6} {action:<29} {:<6} {result:<12} {text}",
            response.status
        ));
    }

    pub fn print(&self) {
        println!(
            "{:<6} {:<29} {:<6} {:<12} response",
            "caller", "action", "status", "result"
        );
        for row in &self.rows {
            println!("{row}");
        }
    }
}
