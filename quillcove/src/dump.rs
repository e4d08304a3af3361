//! `quillcove dump`: the state of a running process.

use std::time::Duration;

use bytes::Bytes;
use eyre::{WrapErr, eyre};
use http::Method;
use serde_json::Value;

use crate::duty;
use crate::web::client::WebClient;

/// Longest time for the whole exchange.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the state from an operators' address.
///
/// # Errors
///
/// When the process does not answer.
///
/// ```
/// assert!(quillcove::dump::fetch("127.0.0.1:1").is_err());
/// ```
pub fn fetch(address: &str) -> eyre::Result<Value> {
    let uri = format!("http://{address}/state");
    let answer = duty::run_async(1, async {
        let client = WebClient::new(TIMEOUT, Duration::ZERO);
        client.fetch(Method::GET, &uri, Bytes::new(), TIMEOUT).await
    });
    let answer = answer.wrap_err_with(|| format!("no state from {address}"))?;
    match answer.status().is_success() {
        true => Ok(serde_json::from_slice(answer.body())?),
        false => Err(eyre!("{address} answered with status {}", answer.status())),
    }
}

/// Writes a state for people: plain values first, then each list as a table.
///
/// ```
/// let state = serde_json::json!({ "waiting": 2, "slots": [{ "adapter": "a@1", "pins": 0 }] });
/// let text = quillcove::dump::render(&state);
/// assert!(text.contains("waiting") && text.contains("a@1"));
/// ```
pub fn render(state: &Value) -> String {
    let Value::Object(fields) = state else {
        return format!("{state}\n");
    };
    let width = fields.keys().map(String::len).max().unwrap_or(0);
    let mut text = String::new();
    for (name, value) in fields.iter().filter(|(_, value)| !is_table(value)) {
        text.push_str(&format!("{name:width$}  {}\n", cell(value)));
    }
    for (name, value) in fields.iter().filter(|(_, value)| is_table(value)) {
        if let Value::Array(rows) = value {
            text.push_str(&format!("\n{name}\n{}", table(rows)));
        }
    }
    text
}

fn is_table(value: &Value) -> bool {
    matches!(value, Value::Array(rows) if rows.iter().any(Value::is_object))
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.3}", number.as_f64().unwrap_or_default())
        },
        other => other.to_string(),
    }
}

fn table(rows: &[Value]) -> String {
    let first = rows.iter().find_map(Value::as_object);
    let names: Vec<&String> = first.map(|row| row.keys().collect()).unwrap_or_default();
    let header: Vec<String> = names.iter().map(|name| name.to_string()).collect();
    let mut lines = vec![header];
    for row in rows {
        lines.push(names.iter().map(|name| cell(&row[name.as_str()])).collect());
    }
    let width = |column: usize| lines.iter().map(|line| line[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..names.len()).map(width).collect();
    let mut text = String::new();
    for line in &lines {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        text.push_str(&format!("  {}\n", cells.collect::<Vec<_>>().join("  ").trim_end()));
    }
    text
}
