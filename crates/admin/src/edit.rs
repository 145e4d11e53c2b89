//! Conversion of commands to edits of the configuration.

use dw_api::admin::StatementError;
use dw_config::Edit;
use dw_config::Object;
use dw_config::ObjectKey;
use dw_config::ObjectKind;
use dw_lang::Command;
use dw_lang::Field;
use dw_lang::Kind;
use serde_json::json;
use serde_json::Map;
use serde_json::Value as Json;

use crate::error::invalid;
use crate::field::declared_fields;
use crate::field::json_fields;

/// Returns the kind of configuration object, or `None` for nodes, which are not configured.
pub(crate) fn object_kind(kind: Kind) -> Option<ObjectKind> {
    match kind {
        Kind::Limit => Some(ObjectKind::Limit),
        Kind::Model => Some(ObjectKind::Model),
        Kind::Node => None,
        Kind::Operator => Some(ObjectKind::Operator),
        Kind::Organisation => Some(ObjectKind::Organisation),
        Kind::Service => Some(ObjectKind::Service),
        Kind::Setting => Some(ObjectKind::Setting),
        Kind::Upstream => Some(ObjectKind::Upstream),
    }
}

/// Converts a command to an edit.
pub(crate) fn edit_for(command: &Command) -> Result<Edit, StatementError> {
    match command {
        Command::Declare { kind, name, fields } => declare(configured_kind(*kind)?, name, fields),
        Command::Alter { kind, name, fields } => {
            let kind = configured_kind(*kind)?;
            Ok(patch(kind, name, json_fields(kind, fields)?))
        }
        Command::Delete { kind, name } => Ok(Edit::Delete(key(configured_kind(*kind)?, name))),
        Command::Drain { upstream } => Ok(patch_state(upstream, "draining")),
        Command::Resume { upstream } => Ok(patch_state(upstream, "active")),
        Command::Load { model, weights } => {
            let fields = [("weights".to_owned(), json!(weights))];
            Ok(patch(
                ObjectKind::Model,
                model,
                fields.into_iter().collect(),
            ))
        }
        Command::Limit {
            organisation,
            service,
            requests_per_s,
            tokens_per_s,
        } => {
            let limit = json!({
                "object": "limit", "org": organisation, "service": service,
                "requests_per_s": requests_per_s, "tokens_per_s": tokens_per_s,
            });
            object(limit).map(Edit::Put)
        }
    }
}

fn configured_kind(kind: Kind) -> Result<ObjectKind, StatementError> {
    object_kind(kind).ok_or_else(|| {
        invalid(
            "nodes cannot be declared, altered or deleted",
            "declare an upstream; nodes are discovered automatically",
        )
    })
}

fn declare(kind: ObjectKind, name: &str, fields: &[Field]) -> Result<Edit, StatementError> {
    let mut json = declared_fields(kind, fields)?;
    json.insert("object".to_owned(), json!(kind.to_string()));
    json.insert("name".to_owned(), json!(name));
    object(Json::Object(json)).map(Edit::Create)
}

fn object(json: Json) -> Result<Object, StatementError> {
    serde_json::from_value(json).map_err(|error| {
        invalid(
            error.to_string(),
            "correct the name or value; nothing was changed",
        )
    })
}

fn key(kind: ObjectKind, name: &str) -> ObjectKey {
    let name = name.to_owned();
    ObjectKey { kind, name }
}

fn patch(kind: ObjectKind, name: &str, fields: Map<String, Json>) -> Edit {
    let key = key(kind, name);
    Edit::Patch { key, fields }
}

fn patch_state(upstream: &str, state: &str) -> Edit {
    let fields = [("state".to_owned(), json!(state))];
    patch(ObjectKind::Upstream, upstream, fields.into_iter().collect())
}
