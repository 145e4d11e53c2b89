//! Format of log lines.

use std::fmt;
use std::fmt::Write;
use std::time::UNIX_EPOCH;

use logforth::kv::KeyView;
use logforth::kv::ValueView;
use logforth::kv::Visitor;
use logforth::record::Record;
use logforth::Error;

/// Returns one line of `key=value` pairs: time, level, target, message and the record's fields.
pub(crate) fn format_line(record: &Record<'_>) -> String {
    let since = record.time().duration_since(UNIX_EPOCH);
    let mut line = format!(
        "ts_ms={} level={} target={} msg={}",
        since.unwrap_or_default().as_millis(),
        record.level().name().to_ascii_lowercase(),
        record.target(),
        quote(&record.payload().to_string()),
    );
    let mut fields = Fields(&mut line);
    // The visitor itself never fails; a failing value ends the fields but keeps the line.
    let _ = record.key_values().visit(&mut fields);
    line.push('\n');
    line
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
