//! Statements that declare a configuration.

use dw_config::Config;
use dw_config::Object;
use dw_config::ObjectKind;
use dw_lang::Command;
use dw_lang::Field;
use dw_lang::Kind;
use dw_lang::Scalar;
use dw_lang::Value;

/// Order in which objects of each kind are declared, for the reader.
const ORDER: [ObjectKind; 6] = [
    ObjectKind::Operator,
    ObjectKind::Organisation,
    ObjectKind::Setting,
    ObjectKind::Model,
    ObjectKind::Service,
    ObjectKind::Upstream,
];

/// Returns one `declare` statement for each object, one a line; limits are left out.
pub fn statements(config: &Config) -> String {
    let objects = ORDER.into_iter().flat_map(|kind| config.of_kind(kind));
    let commands: Vec<String> = objects
        .filter_map(command)
        .map(|command| command.to_string())
        .collect();
    commands.join(";\n") + "\n"
}

fn command(object: &Object) -> Option<Command> {
    let (kind, fields) = match object {
        Object::Operator(operator) => (
            Kind::Operator,
            vec![field("token_sha256", names(&operator.token_sha256))],
        ),
        Object::Organisation(organisation) => (
            Kind::Organisation,
            vec![
                field("token_sha256", names(&organisation.token_sha256)),
                field("share", number(organisation.share)),
            ],
        ),
        Object::Setting(setting) => (Kind::Setting, vec![field("value", count(setting.value))]),
        Object::Model(model) => (Kind::Model, vec![field("weights", count(model.weights.0))]),
        Object::Service(service) => (
            Kind::Service,
            vec![
                field("kind", word(service.kind)),
                field("repeat", text(&service.repeat)),
                field("priority", text(&service.priority)),
                field("worth", number(service.worth.get())),
                field(
                    "deadline",
                    Value::Scalar(Scalar::Duration(service.deadline_ms)),
                ),
                field("max_prompt", count(service.max_prompt_tokens.0)),
            ],
        ),
        Object::Upstream(upstream) => {
            let mut fields = vec![
                field("kind", word(upstream.kind)),
                field("data_centre", text(&upstream.data_centre)),
                field("services", names(&upstream.services)),
                field("max_batch", count(upstream.max_batch.into())),
            ];
            if let Some(model) = &upstream.model {
                fields.extend([
                    field("model", text(model)),
                    field("prefill", rate(upstream.prefill_tokens_per_s.get())),
                    field("decode", rate(upstream.decode_tokens_per_s.get())),
                    field("checks_fence", text(&upstream.checks_fence)),
                ]);
            }
            (Kind::Upstream, fields)
        }
        Object::Limit(_) => return None,
    };
    Some(Command::Declare {
        kind,
        name: object.key().name,
        fields,
    })
}

fn field(name: &str, value: Value) -> Field {
    Field {
        name: name.to_owned(),
        value,
    }
}

fn count(value: u64) -> Value {
    Value::Scalar(Scalar::Integer(value))
}

fn number(value: f64) -> Value {
    Value::Scalar(Scalar::Decimal(value))
}

fn rate(per_s: f64) -> Value {
    Value::Scalar(Scalar::Rate(per_s))
}

fn text(value: &impl ToString) -> Value {
    Value::Scalar(Scalar::Text(value.to_string()))
}

fn names(values: &[impl ToString]) -> Value {
    let names = values.iter().map(|value| Scalar::Text(value.to_string()));
    Value::List(names.collect())
}

/// Returns the word that a choice is written as, which is also its JSON form.
fn word(choice: impl serde::Serialize) -> Value {
    let json = serde_json::to_value(choice).unwrap_or_default();
    Value::Scalar(Scalar::Text(json.as_str().unwrap_or_default().to_owned()))
}
