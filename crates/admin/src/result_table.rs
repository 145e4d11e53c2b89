//! Tables of objects, node states and records.

use std::cmp::Ordering;

use dw_api::admin::Column;
use dw_api::admin::StatementError;
use dw_config::Entry;
use dw_config::ObjectKey;
use dw_config::ObjectKind;
use dw_lang::Comparison;
use dw_lang::Filter;
use dw_lang::Scalar;
use serde_json::json;
use serde_json::Map;
use serde_json::Value;

use crate::error::invalid;
use crate::field::fields_of;

/// Columns and rows of the result of a statement.
#[derive(Debug, Default)]
pub(crate) struct ResultTable {
    pub(crate) columns: Vec<Column>,
    pub(crate) rows: Vec<Vec<Value>>,
}

impl ResultTable {
    /// Creates a table without rows.
    pub(crate) fn new(columns: &[(&str, &str)]) -> Self {
        let columns = columns.iter().map(|(name, unit)| column(name, unit));
        ResultTable {
            columns: columns.collect(),
            rows: Vec::new(),
        }
    }

    /// Creates a table with one row per map. The columns are `first`, then all other keys.
    pub(crate) fn of_maps(first: &[&str], maps: &[Map<String, Value>]) -> Self {
        let mut names: Vec<&str> = first.to_vec();
        for name in maps.iter().flat_map(Map::keys) {
            if !names.contains(&name.as_str()) {
                names.push(name);
            }
        }
        let row = |map: &Map<String, Value>| -> Vec<Value> {
            let values = names.iter().map(|name| map.get(*name).cloned());
            values.map(Option::unwrap_or_default).collect()
        };
        ResultTable {
            columns: names
                .iter()
                .map(|name| column(name, unit_of(name)))
                .collect(),
            rows: maps.iter().map(row).collect(),
        }
    }

    /// Creates a table with one row per field.
    pub(crate) fn of_fields(map: &Map<String, Value>) -> Self {
        let mut table = ResultTable::new(&[("field", ""), ("value", ""), ("unit", "")]);
        for (name, value) in map {
            table
                .rows
                .push(vec![json!(name), value.clone(), json!(unit_of(name))]);
        }
        table
    }

    /// Creates a table with one row per object; all objects have the same kind.
    pub(crate) fn of_entries<'a>(
        kind: ObjectKind,
        entries: impl Iterator<Item = (&'a ObjectKey, &'a Entry)>,
    ) -> Self {
        let mut table = ResultTable::new(&[("name", "")]);
        let specs = fields_of(kind);
        table
            .columns
            .extend(specs.iter().map(|spec| column(spec.name, spec.unit)));
        table.columns.push(column("version", ""));
        for (key, entry) in entries {
            let json = serde_json::to_value(&entry.object).unwrap_or_default();
            let mut row = vec![json!(key.name)];
            row.extend(specs.iter().map(|spec| json[spec.json].clone()));
            row.push(json!(entry.version));
            table.rows.push(row);
        }
        table
    }

    /// Converts a table with a single row to one row per column.
    pub(crate) fn transposed(self) -> Self {
        let mut fields = ResultTable::new(&[("field", ""), ("value", ""), ("unit", "")]);
        for row in self.rows {
            for (column, value) in self.columns.iter().zip(row) {
                fields
                    .rows
                    .push(vec![json!(column.name), value, json!(column.unit)]);
            }
        }
        fields
    }

    /// Keeps the rows that match all filters.
    pub(crate) fn filtered(mut self, filters: &[Filter]) -> Result<Self, StatementError> {
        for filter in filters {
            let index = self.columns.iter().position(|c| c.name == filter.field);
            let index = index.ok_or_else(|| self.unknown_field(&filter.field))?;
            let mut kept = Vec::new();
            for row in self.rows {
                if matches(filter, &row[index])? {
                    kept.push(row);
                }
            }
            self.rows = kept;
        }
        Ok(self)
    }

    fn unknown_field(&self, name: &str) -> StatementError {
        let names: Vec<&str> = self.columns.iter().map(|c| c.name.as_str()).collect();
        invalid(
            format!("there is no field {name:?} to filter by"),
            format!("use one of {}", names.join(", ")),
        )
    }
}

fn column(name: &str, unit: &str) -> Column {
    Column {
        name: name.to_owned(),
        unit: unit.to_owned(),
    }
}

fn unit_of(name: &str) -> &'static str {
    let units = [
        ("_tokens_per_s", "tok/s"),
        ("_per_s", "1/s"),
        ("_ms", "ms"),
        ("_bytes", "B"),
        ("_tokens", "tok"),
    ];
    let found = units.into_iter().find(|(suffix, _)| name.ends_with(suffix));
    found.map_or("", |(_, unit)| unit)
}

fn matches(filter: &Filter, value: &Value) -> Result<bool, StatementError> {
    if filter.comparison == Comparison::Contains {
        return contains(filter, value);
    }
    if value.is_null() {
        let compares_with_none = filter.value == Scalar::Text("none".to_owned());
        return Ok(match filter.comparison {
            Comparison::Equal => compares_with_none,
            Comparison::NotEqual => !compares_with_none,
            _ => false,
        });
    }
    let order = compare(value, &filter.value).ok_or_else(|| type_mismatch(filter, value))?;
    Ok(match filter.comparison {
        Comparison::Equal => order == Ordering::Equal,
        Comparison::NotEqual => order != Ordering::Equal,
        Comparison::Less => order == Ordering::Less,
        Comparison::LessEqual => order != Ordering::Greater,
        Comparison::Greater => order == Ordering::Greater,
        Comparison::GreaterEqual => order != Ordering::Less,
        Comparison::Contains => false,
    })
}

fn contains(filter: &Filter, value: &Value) -> Result<bool, StatementError> {
    match (value, &filter.value) {
        (Value::Null, _) => Ok(false),
        (Value::Array(values), scalar) => Ok(values
            .iter()
            .any(|value| compare(value, scalar) == Some(Ordering::Equal))),
        (Value::String(text), Scalar::Text(part)) => Ok(text.contains(part.as_str())),
        _ => Err(type_mismatch(filter, value)),
    }
}

fn type_mismatch(filter: &Filter, value: &Value) -> StatementError {
    invalid(
        format!(
            "field {} has values like {value}, which cannot be compared by {} with {}",
            filter.field, filter.comparison, filter.value
        ),
        "compare with a value of the same type; use contains for lists",
    )
}

/// Compares a value with a scalar; returns `None` if their types differ.
fn compare(value: &Value, scalar: &Scalar) -> Option<Ordering> {
    match (value, scalar) {
        (Value::Bool(flag), Scalar::Text(word)) => Some(flag.cmp(&word.parse().ok()?)),
        (Value::String(text), Scalar::Text(word)) => Some(text.cmp(word)),
        (Value::Number(number), scalar) => number.as_f64()?.partial_cmp(&scalar_number(scalar)?),
        _ => None,
    }
}

fn scalar_number(scalar: &Scalar) -> Option<f64> {
    match scalar {
        Scalar::Integer(number) => Some(*number as f64),
        Scalar::Decimal(number) | Scalar::Rate(number) => Some(*number),
        Scalar::Duration(duration) => Some(duration.0 as f64),
        Scalar::Text(_) => None,
    }
}
