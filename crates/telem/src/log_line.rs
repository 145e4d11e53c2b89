//! Format of log lines.

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
    let mut line = line_start(record.time(), &level, record.target(), &message);
    let mut fields = Fields(&mut line);
    // The visitor itself never fails; a failing value ends the fields but keeps the line.
    let _ = record.key_values().visit(&mut fields);
    line.push('\n');
    line
}

/// Returns the line that tells of dropped ones.
pub(crate) fn dropped_line(lines: u64) -> String {
    let message = "log lines were dropped";
    let start = line_start(SystemTime::now(), "warn", module_path!(), message);
    format!("{start} lines={lines}\n")
}

fn line_start(time: SystemTime, level: &str, target: &str, message: &str) -> String {
    let since = time.duration_since(UNIX_EPOCH);
    let ts_ms = since.unwrap_or_default().as_millis();
    let message = quote(message);
    format!("ts_ms={ts_ms} level={level} target={target} msg={message}")
}

struct Fields<'a>(&'a mut String);

impl Visitor for Fields<'_> {
    fn visit(&mut self, key: KeyView<'_>, value: ValueView<'_>) -> Result<(), Error> {
        let text = quote(&Shown(value).to_string());
        let _ = write!(self.0, " {}={text}", key.as_str());
        Ok(())
    }
}

struct Shown<'a>(ValueView<'a>);

impl fmt::Display for Shown<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Quotes a value that would be ambiguous in a `key=value` line.
fn quote(value: &str) -> String {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(plain) {
        return value.to_owned();
    }
    format!("{value:?}")
}
