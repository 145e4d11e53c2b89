//! Fields of configuration objects in the command language.

use dw_api::admin::StatementError;
use dw_config::ObjectKind;
use dw_lang::Field;
use dw_lang::Scalar;
use dw_lang::Value;
use serde_json::json;
use serde_json::Map;
use serde_json::Value as Json;

use crate::error::invalid;
use crate::field::FieldType::Boolean;
use crate::field::FieldType::Choice;
use crate::field::FieldType::Duration;
use crate::field::FieldType::Integer;
use crate::field::FieldType::Name;
use crate::field::FieldType::NameList;
use crate::field::FieldType::Number;
use crate::field::FieldType::OptionalName;
use crate::field::FieldType::Rate;

/// Type of the values of a field.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FieldType {
    /// One of the given words.
    Choice(&'static [&'static str]),
    /// A whole number.
    Integer,
    /// `true` or `false`.
    Boolean,
    /// A name.
    Name,
    /// A number.
    Number,
    /// A name, or `none`.
    OptionalName,
    /// A list of names.
    NameList,
    /// A rate per second.
    Rate,
    /// A duration.
    Duration,
}

/// A field of an object.
#[derive(Debug)]
pub(crate) struct FieldSpec {
    /// Name in the language.
    pub(crate) name: &'static str,
    /// Name in the JSON form of the object.
    pub(crate) json: &'static str,
    /// Type of the values.
    pub(crate) value_type: FieldType,
    /// Unit that tables show for the values; empty if there is none.
    pub(crate) unit: &'static str,
    /// Default value for `declare` as JSON text; `None` if the field is required.
    pub(crate) default: Option<&'static str>,
}

const fn spec(
    name: &'static str,
    json: &'static str,
    value_type: FieldType,
    unit: &'static str,
    default: Option<&'static str>,
) -> FieldSpec {
    FieldSpec {
        name,
        json,
        value_type,
        unit,
        default,
    }
}

const REPEAT_POLICIES: &[&str] = &["idempotent", "repeatable", "at-most-once"];
const PRIORITIES: &[&str] = &["urgent", "normal", "batch"];

static LIMIT: [FieldSpec; 4] = [
    spec("organisation", "org", Name, "", None),
    spec("service", "service", OptionalName, "", None),
    spec("requests", "requests_per_s", Rate, "req/s", None),
    spec("tokens", "tokens_per_s", Rate, "tok/s", None),
];

static MODEL: [FieldSpec; 2] = [
    spec("weights", "weights", Integer, "", None),
    spec("adapters", "adapters", NameList, "", Some("[]")),
];

static OPERATOR: [FieldSpec; 1] = [spec("token_sha256", "token_sha256", NameList, "", None)];

static ORGANISATION: [FieldSpec; 2] = [
    spec("token_sha256", "token_sha256", NameList, "", Some("[]")),
    spec("share", "share", Number, "", Some("1.0")),
];

static SERVICE: [FieldSpec; 6] = [
    spec("kind", "kind", Choice(&["generate", "call"]), "", None),
    spec("repeat", "repeat", Choice(REPEAT_POLICIES), "", None),
    spec(
        "priority",
        "priority",
        Choice(PRIORITIES),
        "",
        Some("\"normal\""),
    ),
    spec("worth", "worth", Number, "", Some("1.0")),
    spec("deadline", "deadline_ms", Duration, "ms", Some("30000")),
    spec(
        "max_prompt",
        "max_prompt_tokens",
        Integer,
        "tok",
        Some("131072"),
    ),
];

static SETTING: [FieldSpec; 1] = [spec("value", "value", Integer, "", None)];

static UPSTREAM: [FieldSpec; 9] = [
    spec("kind", "kind", Choice(&["engine", "plain"]), "", None),
    spec("data_centre", "data_centre", Name, "", None),
    spec("services", "services", NameList, "", Some("[]")),
    spec("model", "model", OptionalName, "", Some("null")),
    spec(
        "prefill",
        "prefill_tokens_per_s",
        Rate,
        "tok/s",
        Some("0.0"),
    ),
    spec("decode", "decode_tokens_per_s", Rate, "tok/s", Some("0.0")),
    spec("max_batch", "max_batch", Integer, "", Some("8")),
    spec("checks_fence", "checks_fence", Boolean, "", Some("false")),
    spec(
        "state",
        "state",
        Choice(&["active", "draining"]),
        "",
        Some("\"active\""),
    ),
];

/// Returns the fields of a kind of object, without its name.
pub(crate) fn fields_of(kind: ObjectKind) -> &'static [FieldSpec] {
    match kind {
        ObjectKind::Limit => &LIMIT,
        ObjectKind::Model => &MODEL,
        ObjectKind::Operator => &OPERATOR,
        ObjectKind::Organisation => &ORGANISATION,
        ObjectKind::Service => &SERVICE,
        ObjectKind::Setting => &SETTING,
        ObjectKind::Upstream => &UPSTREAM,
    }
}

/// Converts fields of a statement to JSON fields of an object.
pub(crate) fn json_fields(
    kind: ObjectKind,
    fields: &[Field],
) -> Result<Map<String, Json>, StatementError> {
    let specs = fields_of(kind);
    let mut json = Map::new();
    for field in fields {
        let spec = specs.iter().find(|spec| spec.name == field.name);
        let spec = spec.ok_or_else(|| unknown_field(kind, &field.name))?;
        let value = json_value(spec.value_type, &field.value).ok_or_else(|| {
            invalid(
                format!("field {} cannot be {}", field.name, field.value),
                format!("write {}", expected_values(spec.value_type)),
            )
        })?;
        json.insert(spec.json.to_owned(), value);
    }
    Ok(json)
}

/// Returns the JSON fields of a new object, with defaults for the fields that are not given.
pub(crate) fn declared_fields(
    kind: ObjectKind,
    fields: &[Field],
) -> Result<Map<String, Json>, StatementError> {
    let mut json = json_fields(kind, fields)?;
    for spec in fields_of(kind) {
        if json.contains_key(spec.json) {
            continue;
        }
        let default = spec
            .default
            .and_then(|text| serde_json::from_str(text).ok());
        let default = default.ok_or_else(|| {
            invalid(
                format!("field {} of a new {kind} is missing", spec.name),
                format!(
                    "write {}=<value> with {}",
                    spec.name,
                    expected_values(spec.value_type)
                ),
            )
        })?;
        json.insert(spec.json.to_owned(), default);
    }
    Ok(json)
}

pub(crate) fn unknown_field(kind: ObjectKind, name: &str) -> StatementError {
    let names: Vec<&str> = fields_of(kind).iter().map(|spec| spec.name).collect();
    invalid(
        format!("{kind} has no field {name:?}"),
        format!("use one of {}", names.join(", ")),
    )
}

fn json_value(value_type: FieldType, value: &Value) -> Option<Json> {
    match (value_type, value) {
        (NameList, Value::List(list)) => list.iter().map(json_name).collect(),
        (NameList, Value::Scalar(scalar)) => Some(json!([json_name(scalar)?])),
        (_, Value::List(_)) => None,
        (Choice(words), Value::Scalar(Scalar::Text(word))) => {
            words.contains(&word.as_str()).then(|| json!(word))
        }
        (Integer, Value::Scalar(Scalar::Integer(number))) => Some(json!(number)),
        (Boolean, Value::Scalar(Scalar::Text(word))) => word.parse().ok().map(Json::Bool),
        (Name, Value::Scalar(scalar)) => json_name(scalar),
        (Number, Value::Scalar(Scalar::Integer(number))) => Some(json!(*number as f64)),
        (Number, Value::Scalar(Scalar::Decimal(number))) => Some(json!(number)),
        (OptionalName, Value::Scalar(Scalar::Text(word))) if word == "none" => Some(Json::Null),
        (OptionalName, Value::Scalar(scalar)) => json_name(scalar),
        (Rate, Value::Scalar(Scalar::Rate(rate))) => Some(json!(rate)),
        (Duration, Value::Scalar(Scalar::Duration(duration))) => Some(json!(duration.0)),
        _ => None,
    }
}

/// Converts a value to a name. A name that looks like a number must be quoted, so that a mistyped
/// number is not accepted as a name.
fn json_name(scalar: &Scalar) -> Option<Json> {
    match scalar {
        Scalar::Text(text) => Some(json!(text)),
        _ => None,
    }
}

fn expected_values(value_type: FieldType) -> String {
    match value_type {
        Choice(words) => words.join(" or "),
        Integer => "a whole number".to_owned(),
        Boolean => "true or false".to_owned(),
        Name => "a name, in quotes if it looks like a number".to_owned(),
        Number => "a number".to_owned(),
        OptionalName => "a name or none".to_owned(),
        NameList => "a list of names, for example [quote, classify]".to_owned(),
        Rate => "a rate, for example 50/s".to_owned(),
        Duration => "a duration, for example 250ms or 30s".to_owned(),
    }
}
