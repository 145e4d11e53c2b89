//! Ratios of the figures of two JSON reports.

use serde_json::Value;

/// One figure of two reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Ratio {
    /// Path of the figure.
    pub path: String,
    /// Value in the first report.
    pub first: f64,
    /// Value in the second report.
    pub second: f64,
}

impl Ratio {
    /// Returns the second value divided by the first; none if the first is 0.
    pub fn ratio(&self) -> Option<f64> {
        (self.first != 0.0).then(|| self.second / self.first)
    }
}

/// Returns the figures that both reports have, without the points of series.
pub fn compare(first: &Value, second: &Value) -> Vec<Ratio> {
    let mut found = Vec::new();
    walk("", first, second, &mut found);
    found
}

fn walk(path: &str, first: &Value, second: &Value, found: &mut Vec<Ratio>) {
    match (first, second) {
        (Value::Object(a), Value::Object(b)) => {
            let common = a.iter().filter(|(key, _)| *key != "series");
            for (key, value) in common {
                if let Some(other) = b.get(key) {
                    walk(&join(path, key), value, other, found);
                }
            }
        }
        (Value::Array(a), Value::Array(b)) => {
            for (index, value) in a.iter().enumerate() {
                let name = name_of(value).unwrap_or_else(|| index.to_string());
                let other = match name_of(value) {
                    Some(name) => b.iter().find(|o| name_of(o).as_ref() == Some(&name)),
                    None => b.get(index),
                };
                if let Some(other) = other {
                    walk(&join(path, &name), value, other, found);
                }
            }
        }
        _ => {
            if let (Some(first), Some(second)) = (first.as_f64(), second.as_f64()) {
                let path = path.to_owned();
                found.push(Ratio {
                    path,
                    first,
                    second,
                });
            }
        }
    }
}

/// Returns the case and policy of a run, by which runs are matched.
fn name_of(value: &Value) -> Option<String> {
    let case = value["case"].as_str()?;
    Some(format!("{case}/{}", value["policy"].as_str()?))
}

fn join(path: &str, key: &str) -> String {
    match path {
        "" => key.to_owned(),
        _ => format!("{path}.{key}"),
    }
}
