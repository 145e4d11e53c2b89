//! Fields of the objects as the language names them.

use dw_api::admin::StatementError;
use dw_config::ObjectKind;
use dw_lang::Field;
use dw_lang::Scalar;
use dw_lang::Value;
use serde_json::json;
use serde_json::Map;
use serde_json::Value as Json;

use crate::fault::invalid;
use crate::field::FieldType::Choice;
use crate::field::FieldType::Count;
use crate::field::FieldType::Flag;
use crate::field::FieldType::Name;
use crate::field::FieldType::Names;
use crate::field::FieldType::Number;
use crate::field::FieldType::OptionalName;
use crate::field::FieldType::Rate;
use crate::field::FieldType::Time;

/// What values a field takes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FieldType {
    /// One of these words.
    Choice(&'static [&'static str]),
    /// A whole number.
    Count,
    /// `true` or `false`.
    Flag,
    /// A name.
    Name,
    /// A number.
    Number,
    /// A name, or `none`.
    OptionalName,
    /// A list of names.
    Names,
    /// A rate per second.
    Rate,
    /// A duration.
    Time,
}

/// A field of an object.
#[derive(Debug)]
pub(crate) struct FieldSpec {
    /// Name in the language.
    pub(crate) name: &'static str,
    /// Name in the JSON form of the object.
    pub(crate) json: &'static str,
    /// Values.
    pub(crate) values: FieldType,
    /// Unit of the number in tables.
    pub(crate) unit: &'static str,
    /// JSON text of the value if `declare` does not name the field; absent if it must.
    pub(crate) default: Option<&'static str>,
}

const fn spec(
    name: &'static str,
    json: &'static str,
    values: FieldType,
    unit: &'static str,
    default: Option<&'static str>,
) -> FieldSpec {
    FieldSpec {
        name,
        json,
        values,
        unit,
        default,
    }
}

const REPEAT: &[&str] = &["idempotent", "repeatable", "at-most-once"];
const PRIORITY: &[&str] = &["urgent", "normal", "batch"];

static LIMIT: [FieldSpec; 4] = [
    spec("organisation", "org", Name, "", None),
    spec("service", "service", OptionalName, "", None),
    spec("requests", "requests_per_s", Rate, "req/s", None),
    spec("tokens", "tokens_per_s", Rate, "tok/s", None),
];

static MODEL: [FieldSpec; 2] = [
    spec("weights", "weights", Count, "", None),
    spec("adapters", "adapters", Names, "", Some("[]")),
];

static OPERATOR: [FieldSpec; 1] = [spec("token_sha256", "token_sha256", Names, "", None)];

static ORGANISATION: [FieldSpec; 2] = [
    spec("token_sha256", "token_sha256", Names, "", Some("[]")),
    spec("share", "share", Number, "", Some("1.0")),
];

static SERVICE: [FieldSpec; 6] = [
    spec("kind", "kind", Choice(&["generate", "call"]), "", None),
    spec("repeat", "repeat", Choice(REPEAT), "", None),
    spec(
        "priority",
        "priority",
        Choice(PRIORITY),
        "",
        Some("\"normal\""),
    ),
    spec("worth", "worth", Number, "", Some("1.0")),
    spec("deadline", "deadline_ms", Time, "ms", Some("30000")),
    spec(
        "max_prompt",
        "max_prompt_tokens",
        Count,
        "tok",
        Some("131072"),
    ),
];

static SETTING: [FieldSpec; 1] = [spec("value", "value", Count, "", None)];

static UPSTREAM: [FieldSpec; 9] = [
    spec("kind", "kind", Choice(&["engine", "plain"]), "", None),
    spec("data_centre", "data_centre", Name, "", None),
    spec("services", "services", Names, "", Some("[]")),
    spec("model", "model", OptionalName, "", Some("null")),
    spec(
        "prefill",
        "prefill_tokens_per_s",
        Rate,
        "tok/s",
        Some("0.0"),
    ),
    spec("decode", "decode_tokens_per_s", Rate, "tok/s", Some("0.0")),
    spec("max_batch", "max_batch", Count, "", Some("8")),
    spec("checks_fence", "checks_fence", Flag, "", Some("false")),
    spec(
        "state",
        "state",
        Choice(&["active", "draining"]),
        "",
        Some("\"active\""),
    ),
];

/// Returns the fields of a kind, without the name.
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

/// Converts named fields to the JSON fields of an object.
pub(crate) fn json_fields(
    kind: ObjectKind,
    fields: &[Field],
) -> Result<Map<String, Json>, StatementError> {
    let specs = fields_of(kind);
    let mut json = Map::new();
    for field in fields {
        let spec = specs.iter().find(|spec| spec.name == field.name);
        let spec = spec.ok_or_else(|| unknown_field(kind, &field.name))?;
        let value = convert(spec.values, &field.value).ok_or_else(|| {
            invalid(
                format!("field {} cannot be {}", field.name, field.value),
                format!("write {}", expected(spec.values)),
            )
        })?;
        json.insert(spec.json.to_owned(), value);
    }
    Ok(json)
}

/// Returns the fields of a new object: those named, and the defaults of the others.
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
                format!("write {}=<value> with {}", spec.name, expected(spec.values)),
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

fn convert(values: FieldType, value: &Value) -> Option<Json> {
    match (values, value) {
        (Names, Value::List(list)) => list.iter().map(name_of).collect(),
        (Names, Value::Scalar(scalar)) => Some(json!([name_of(scalar)?])),
        (_, Value::List(_)) => None,
        (Choice(words), Value::Scalar(Scalar::Text(word))) => {
            words.contains(&word.as_str()).then(|| json!(word))
        }
        (Count, Value::Scalar(Scalar::Integer(number))) => Some(json!(number)),
        (Flag, Value::Scalar(Scalar::Text(word))) => word.parse().ok().map(Json::Bool),
        (Name, Value::Scalar(scalar)) => name_of(scalar),
        (Number, Value::Scalar(Scalar::Integer(number))) => Some(json!(*number as f64)),
        (Number, Value::Scalar(Scalar::Decimal(number))) => Some(json!(number)),
        (OptionalName, Value::Scalar(Scalar::Text(word))) if word == "none" => Some(Json::Null),
        (OptionalName, Value::Scalar(scalar)) => name_of(scalar),
        (Rate, Value::Scalar(Scalar::Rate(rate))) => Some(json!(rate)),
        (Time, Value::Scalar(Scalar::Duration(duration))) => Some(json!(duration.0)),
        _ => None,
    }
}

/// A name that reads like a number must be quoted, so that a mistake is not taken for a name.
fn name_of(scalar: &Scalar) -> Option<Json> {
    match scalar {
        Scalar::Text(text) => Some(json!(text)),
        _ => None,
    }
}

fn expected(values: FieldType) -> String {
    match values {
        Choice(words) => words.join(" or "),
        Count => "a whole number".to_owned(),
        Flag => "true or false".to_owned(),
        Name => "a name, in quotes if it reads like a number".to_owned(),
        Number => "a number".to_owned(),
        OptionalName => "a name or none".to_owned(),
        Names => "a list of names, for example [quote, classify]".to_owned(),
        Rate => "a rate, for example 50/s".to_owned(),
        Time => "a duration, for example 250ms or 30s".to_owned(),
    }
}
