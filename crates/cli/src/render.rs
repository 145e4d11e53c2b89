//! Rendering of results and errors as text.

use dw_api::admin::Column;
use dw_api::admin::Result as StatementResult;
use dw_api::admin::StatementError;
use dw_api::admin::StatementResponse;
use serde_json::Value;

/// Renders the results as tables.
pub fn render_response(response: &StatementResponse) -> String {
    let mut text = String::new();
    for result in &response.results {
        text.push_str(&render_result(result));
    }
    if !response.unconfirmed.is_empty() {
        text.push_str(&format!(
            "not confirmed in time by {}; these nodes apply the change when they are reachable \
             again\n",
            response.unconfirmed.join(", ")
        ));
    }
    text
}

fn render_result(result: &StatementResult) -> String {
    let mut text = String::new();
    if !result.columns.is_empty() {
        text.push_str(&render_table(&result.columns, &result.rows));
    }
    for message in &result.messages {
        text.push_str(message);
        text.push('\n');
    }
    text
}

pub(crate) fn render_table(columns: &[Column], rows: &[Vec<Value>]) -> String {
    let header = columns.iter().map(|column| match column.unit.as_str() {
        "" => column.name.clone(),
        unit => format!("{} ({unit})", column.name),
    });
    let mut lines: Vec<Vec<String>> = vec![header.collect()];
    lines.extend(rows.iter().map(|row| row.iter().map(cell).collect()));
    let width = |index: usize| {
        let widths = lines.iter().filter_map(|line| line.get(index));
        widths.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let right_aligned: Vec<bool> = (0..columns.len()).map(|i| is_numeric(rows, i)).collect();
    lines
        .iter()
        .map(|line| render_line(line, &widths, &right_aligned))
        .collect()
}

/// Returns whether a column contains only numbers. Such columns are right-aligned, all others
/// left-aligned.
fn is_numeric(rows: &[Vec<Value>], index: usize) -> bool {
    let mut values = rows.iter().filter_map(|row| row.get(index)).peekable();
    values.peek().is_some() && values.all(|value| value.is_number())
}

fn render_line(cells: &[String], widths: &[usize], right_aligned: &[bool]) -> String {
    let columns = cells.iter().zip(widths).zip(right_aligned);
    let padded = columns.map(|((cell, width), right_aligned)| match right_aligned {
        true => format!("{cell:>width$}"),
        false => format!("{cell:<width$}"),
    });
    let line = padded.collect::<Vec<_>>().join("  ");
    format!("{}\n", line.trim_end())
}

/// Renders a value with control characters escaped, so that a value cannot inject terminal escape
/// sequences.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.chars().map(escape_control).collect(),
        Value::Array(values) => {
            let cells: Vec<String> = values.iter().map(cell).collect();
            format!("[{}]", cells.join(", "))
        }
        other => other.to_string(),
    }
}

fn escape_control(c: char) -> String {
    match c.is_control() {
        true => c.escape_default().to_string(),
        false => c.to_string(),
    }
}

/// Renders an error with carets under the unexpected token of `text`.
pub fn render_error(text: &str, error: &StatementError) -> String {
    let mut rendered = String::new();
    let offset = error.offset.and_then(|offset| usize::try_from(offset).ok());
    if let Some(offset) = offset.filter(|offset| text.is_char_boundary(*offset)) {
        rendered.push_str(&marked_line(text, offset));
    }
    rendered.push_str(&format!("error: {}\n", error.message));
    rendered.push_str(&format!("help: {}\n", error.remedy));
    rendered
}

fn marked_line(text: &str, offset: usize) -> String {
    let start = text[..offset].rfind('\n').map_or(0, |at| at + 1);
    let end = text[offset..]
        .find('\n')
        .map_or(text.len(), |at| offset + at);
    let line = &text[start..end];
    // Tabs are kept in the indent, so that the carets are aligned at any tab width.
    let before = text[start..offset].chars();
    let indent: String = before.map(|c| if c == '\t' { '\t' } else { ' ' }).collect();
    let token = text[offset..end].split([' ', '\t', ';', ',', ']']).next();
    let width = token.unwrap_or_default().chars().count().max(1);
    format!("{line}\n{indent}{}\n", "^".repeat(width))
}
