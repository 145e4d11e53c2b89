//! Formatting of log lines.

use std::fmt;
use std::fmt::Write;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use logforth::kv::KeyView;
use logforth::kv::ValueView;
use logforth::kv::Visitor;
use logforth::record::Record;
use logforth::Error;

/// Returns one line of `key=value` pairs: time, level, target, message and the record's fields.
pub(crate) fn format_line(record: &Record<'_>) -> String {
    let level = record.level().name().to_ascii_lowercase();
    let message = record.payload().to_string();
    let mut line = line_prefix(record.time(), &level, record.target(), &message);
    let mut fields = Fields(&mut line);
    // `Fields` never fails. If a value fails, the remaining fields are omitted and the line is
    // kept.
    let _ = record.key_values().visit(&mut fields);
    line.push('\n');
    line
}

/// Returns a log line that reports how many lines were dropped.
pub(crate) fn dropped_line(lines: u64) -> String {
    let message = "log lines were dropped";
    let prefix = line_prefix(SystemTime::now(), "warn", module_path!(), message);
    format!("{prefix} lines={lines}\n")
}

fn line_prefix(time: SystemTime, level: &str, target: &str, message: &str) -> String {
    let since_epoch = time.duration_since(UNIX_EPOCH);
    let ts_ms = since_epoch.unwrap_or_default().as_millis();
    let message = quote(message);
    format!("ts_ms={ts_ms} level={level} target={target} msg={message}")
}

struct Fields<'a>(&'a mut String);

impl Visitor for Fields<'_> {
    fn visit(&mut self, key: KeyView<'_>, value: ValueView<'_>) -> Result<(), Error> {
        let text = quote(&DisplayValue(value).to_string());
        let _ = write!(self.0, " {}={text}", key.as_str());
        Ok(())
    }
}

struct DisplayValue<'a>(ValueView<'a>);

impl fmt::Display for DisplayValue<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Quotes a value that is empty or contains characters that are special in a `key=value` line.
fn quote(value: &str) -> String {
    let unambiguous = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(unambiguous) {
        return value.to_owned();
    }
    format!("{value:?}")
}
