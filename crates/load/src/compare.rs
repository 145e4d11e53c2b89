//! Compares the figures of two JSON reports.

use serde_json::Value;

/// Values of one figure in two reports.
#[derive(Clone, Debug, PartialEq)]
pub struct FigureComparison {
    /// Path of the figure within the report, joined with dots.
    pub path: String,
    /// Value in the first report.
    pub first: f64,
    /// Value in the second report.
    pub second: f64,
}

impl FigureComparison {
    /// Returns the second value divided by the first, or `None` if the first is 0.
    pub fn ratio(&self) -> Option<f64> {
        (self.first != 0.0).then(|| self.second / self.first)
    }
}

/// Returns the figures that both reports contain, except the points of time series.
///
/// Runs are matched by case and policy, other array elements by position.
pub fn compare(first: &Value, second: &Value) -> Vec<FigureComparison> {
    let mut results = Vec::new();
    collect_common("", first, second, &mut results);
    results
}

fn collect_common(path: &str, first: &Value, second: &Value, results: &mut Vec<FigureComparison>) {
    match (first, second) {
        (Value::Object(a), Value::Object(b)) => {
            let common = a.iter().filter(|(key, _)| *key != "series");
            for (key, value) in common {
                if let Some(other) = b.get(key) {
                    collect_common(&join_path(path, key), value, other, results);
                }
            }
        }
        (Value::Array(a), Value::Array(b)) => {
            for (index, value) in a.iter().enumerate() {
                let name = run_name(value).unwrap_or_else(|| index.to_string());
                let other = match run_name(value) {
                    Some(name) => b.iter().find(|o| run_name(o).as_ref() == Some(&name)),
                    None => b.get(index),
                };
                if let Some(other) = other {
                    collect_common(&join_path(path, &name), value, other, results);
                }
            }
        }
        _ => {
            if let (Some(first), Some(second)) = (first.as_f64(), second.as_f64()) {
                let path = path.to_owned();
                results.push(FigureComparison {
                    path,
                    first,
                    second,
                });
            }
        }
    }
}

/// Returns `case/policy` if the value is a run of an experiment.
fn run_name(value: &Value) -> Option<String> {
    let case = value["case"].as_str()?;
    Some(format!("{case}/{}", value["policy"].as_str()?))
}

fn join_path(path: &str, key: &str) -> String {
    match path {
        "" => key.to_owned(),
        _ => format!("{path}.{key}"),
    }
}
