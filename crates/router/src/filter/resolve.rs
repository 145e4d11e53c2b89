//! Finds the service and the model of a request.

use dw_base::DurationMs;
use dw_base::ModelId;
use dw_base::Priority;
use dw_base::Tokens;
use dw_base::WeightsVersion;
use dw_base::BYTES_PER_TOKEN;
use dw_config::Config;
use dw_config::Service;
use dw_config::ServiceKind;
use dw_wire::RepeatRule;
use http::StatusCode;

use crate::error::CallerError;
use crate::filter::validate::Asked;
use crate::filter::validate::Body;

/// What the configuration says about a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Resolved {
    pub(crate) service: Service,
    pub(crate) priority: Priority,
    pub(crate) deadline: DurationMs,
    pub(crate) model: Option<(ModelId, WeightsVersion)>,
    pub(crate) prompt_tokens: Tokens,
}

/// Finds the service and the model.
pub(crate) fn resolve(config: &Config, asked: &Asked) -> Result<Resolved, CallerError> {
    let service = config
        .service(&asked.service)
        .ok_or_else(|| not_found("service", asked.service.as_str()))?;
    let priority = allowed_priority(service, asked.priority)?;
    let deadline = asked.deadline.unwrap_or(service.deadline_ms);
    let (kind, model, prompt_tokens) = match &asked.body {
        Body::Generate { model, prompt, .. } => {
            let found = config
                .model(model)
                .ok_or_else(|| not_found("model", model.as_str()))?;
            let tokens = Tokens((prompt.len() as u64).div_ceil(BYTES_PER_TOKEN));
            let model = Some((found.name.clone(), found.weights));
            (ServiceKind::Generate, model, tokens)
        }
        Body::Call(body) => {
            let tokens = Tokens((body.len() as u64).div_ceil(BYTES_PER_TOKEN));
            (ServiceKind::Call, None, tokens)
        }
    };
    if service.kind != kind {
        return Err(CallerError::bad_request(
            format!("service {} is not answered on this path", service.name),
            match service.kind {
                ServiceKind::Generate => "use /v1/chat/completions or /v1/completions",
                ServiceKind::Call => "use /v1/services/{service}/calls",
            },
        ));
    }
    if prompt_tokens > service.max_prompt_tokens {
        return Err(CallerError::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too_large",
            format!("the prompt has {prompt_tokens}"),
            format!("send at most {}", service.max_prompt_tokens),
        ));
    }
    if service.repeat == RepeatRule::AtMostOnce && asked.key.is_none() {
        return Err(CallerError::bad_request(
            format!("service {} runs at most once", service.name),
            "send an Idempotency-Key",
        ));
    }
    Ok(Resolved {
        service: service.clone(),
        priority,
        deadline,
        model,
        prompt_tokens,
    })
}

fn allowed_priority(service: &Service, asked: Option<Priority>) -> Result<Priority, CallerError> {
    let priority = asked.unwrap_or(service.priority);
    if priority >= service.priority {
        return Ok(priority);
    }
    Err(CallerError::not_run(
        StatusCode::FORBIDDEN,
        "forbidden",
        format!("service {} does not allow {priority}", service.name),
        format!("use {} or a lower priority", service.priority),
    ))
}

fn not_found(what: &'static str, name: &str) -> CallerError {
    CallerError::not_run(
        StatusCode::NOT_FOUND,
        "not_found",
        format!("{what} {name} does not exist"),
        format!("use a {what} that an operator has declared"),
    )
}
