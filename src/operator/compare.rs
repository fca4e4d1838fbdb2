//! Compares two configurations key by key.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::wire::TeamConfig;

/// A key whose value differs between two configurations.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct ConfigDifference {
    pub key: String,
    pub before: Option<Value>,
    pub after: Option<Value>,
}

/// Returns every key whose value differs between two configurations, in order of keys.
pub fn differences(before: Option<&TeamConfig>, after: &TeamConfig) -> Vec<ConfigDifference> {
    let before = before.map(flatten_config).unwrap_or_default();
    let after = flatten_config(after);
    let keys: std::collections::BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    keys.into_iter()
        .filter(|key| before.get(*key) != after.get(*key))
        .map(|key| ConfigDifference {
            key: key.clone(),
            before: before.get(key).cloned(),
            after: after.get(key).cloned(),
        })
        .collect()
}

fn flatten_config(config: &TeamConfig) -> BTreeMap<String, Value> {
    let mut leaves = BTreeMap::new();
    let tree = serde_json::to_value(config).unwrap_or(Value::Null);
    collect_leaves(String::new(), &tree, &mut leaves);
    leaves
}

fn collect_leaves(key: String, value: &Value, leaves: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(fields) => {
            for (name, inner) in fields {
                let joined = match key.as_str() {
                    "" => name.clone(),
                    outer => format!("{outer}.{name}"),
                };
                collect_leaves(joined, inner, leaves);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for (index, inner) in items.iter().enumerate() {
                collect_leaves(
                    format!("{key}[{}]", item_label(inner, index)),
                    inner,
                    leaves,
                );
            }
        }
        _ => {
            leaves.insert(key, value.clone());
        }
    }
}

/// Identifies a list item by its name or path, so that a move within the list is no difference.
fn item_label(item: &Value, index: usize) -> String {
    let named = item.get("name").or_else(|| item.get("path"));
    named
        .and_then(Value::as_str)
        .map_or_else(|| index.to_string(), ToString::to_string)
}
