//! Checks the form of a request.

use std::str::FromStr;

use bytes::Bytes;
use dw_api::callers::ChatMessage;
use dw_api::callers::ChatRequest;
use dw_api::callers::CompletionRequest;
use dw_base::DurationMs;
use dw_base::IdempotencyKey;
use dw_base::ModelId;
use dw_base::Priority;
use dw_base::ServiceId;
use dw_spans::TraceParent;
use http::HeaderMap;
use serde::de::DeserializeOwned;

use crate::error::CallerError;

/// Tokens generated for a request that names no maximum.
const DEFAULT_MAX_TOKENS: u64 = 512;

/// Most tokens that a request may ask for.
const MOST_MAX_TOKENS: u64 = 32_768;

/// Longest deadline that a caller may set.
const LONGEST_DEADLINE_MS: u64 = 600_000;

const ROLES: [&str; 3] = ["system", "user", "assistant"];

/// What a path asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Endpoint {
    Chat,
    Completion,
    Call(String),
}

/// Form in which generated text is returned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Format {
    Chat,
    Completion,
}

/// Checked body.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Body {
    Generate {
        model: ModelId,
        prompt: String,
        max_tokens: u64,
        stream: bool,
        format: Format,
    },
    Call(Bytes),
}

/// A request whose form is right.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub(crate) service: ServiceId,
    pub(crate) priority: Option<Priority>,
    pub(crate) deadline: Option<DurationMs>,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) body: Body,
}

/// Checks headers and body.
pub(crate) fn validate(
    endpoint: &Endpoint,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Asked, CallerError> {
    let named: Option<ServiceId> = header(headers, "x-service")?;
    let service = match (endpoint, named) {
        (Endpoint::Call(path), named) => {
            let service: ServiceId = parse("service", path)?;
            if named.is_some_and(|named| named != service) {
                return Err(CallerError::bad_request(
                    "X-Service differs from the service in the path",
                    "omit X-Service on this path",
                ));
            }
            service
        }
        (_, Some(named)) => named,
        (_, None) => {
            return Err(CallerError::bad_request(
                "the header X-Service is missing",
                "name the service in X-Service",
            ));
        }
    };
    Ok(Asked {
        service,
        priority: header(headers, "x-priority")?,
        deadline: deadline(headers)?,
        key: header(headers, "idempotency-key")?,
        body: check_body(endpoint, body)?,
    })
}

/// Returns the caller's trace context, or a new one. The standard requires that a malformed one is
/// replaced, not refused.
pub(crate) fn trace_parent(headers: &HeaderMap) -> TraceParent {
    let sent = header(headers, "traceparent").ok().flatten();
    sent.unwrap_or_else(TraceParent::random)
}

fn check_body(endpoint: &Endpoint, body: Bytes) -> Result<Body, CallerError> {
    match endpoint {
        Endpoint::Chat => {
            let request: ChatRequest = json(&body)?;
            let prompt = chat_prompt(&request.messages)?;
            generate(
                Format::Chat,
                &request.model,
                prompt,
                request.max_tokens,
                request.stream,
            )
        }
        Endpoint::Completion => {
            let request: CompletionRequest = json(&body)?;
            let (prompt, stream) = (request.prompt, request.stream);
            generate(
                Format::Completion,
                &request.model,
                prompt,
                request.max_tokens,
                stream,
            )
        }
        Endpoint::Call(_) => {
            let _: serde::de::IgnoredAny = json(&body)?;
            Ok(Body::Call(body))
        }
    }
}

fn generate(
    format: Format,
    model: &str,
    prompt: String,
    max_tokens: Option<u64>,
    stream: Option<bool>,
) -> Result<Body, CallerError> {
    let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MOST_MAX_TOKENS).contains(&max_tokens) {
        return Err(CallerError::bad_request(
            format!("max_tokens is {max_tokens}"),
            format!("use 1 to {MOST_MAX_TOKENS}"),
        ));
    }
    if prompt.is_empty() {
        return Err(CallerError::bad_request(
            "the prompt is empty",
            "send some text",
        ));
    }
    Ok(Body::Generate {
        model: parse("model", model)?,
        prompt,
        max_tokens,
        stream: stream.unwrap_or(false),
        format,
    })
}

/// Joins the messages so that a longer conversation starts with the text of a shorter one.
fn chat_prompt(messages: &[ChatMessage]) -> Result<String, CallerError> {
    let mut prompt = String::new();
    for message in messages {
        if !ROLES.contains(&message.role.as_str()) {
            return Err(CallerError::bad_request(
                format!("role {:?} does not exist", message.role),
                "use system, user or assistant",
            ));
        }
        for part in [&message.role, "\n", &message.content, "\n"] {
            prompt.push_str(part);
        }
    }
    Ok(prompt)
}

fn deadline(headers: &HeaderMap) -> Result<Option<DurationMs>, CallerError> {
    let Some(ms) = header::<u64>(headers, "x-deadline-ms")? else {
        return Ok(None);
    };
    if !(1..=LONGEST_DEADLINE_MS).contains(&ms) {
        return Err(CallerError::bad_request(
            format!("X-Deadline-Ms is {ms}"),
            format!("use 1 to {LONGEST_DEADLINE_MS}"),
        ));
    }
    Ok(Some(DurationMs(ms)))
}

fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallerError> {
    serde_json::from_slice(body).map_err(|e| {
        CallerError::bad_request(
            format!("the body is not valid: {e}"),
            "send JSON as docs/api.md describes it",
        )
    })
}

fn parse<T: FromStr<Err: std::fmt::Display>>(what: &str, text: &str) -> Result<T, CallerError> {
    text.parse().map_err(|e: T::Err| {
        CallerError::bad_request(format!("{what}: {e}"), format!("correct the {what}"))
    })
}

fn header<T: FromStr<Err: std::fmt::Display>>(
    headers: &HeaderMap,
    name: &str,
) -> Result<Option<T>, CallerError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(CallerError::bad_request(
            format!("the header {name} occurs more than once"),
            "send it once",
        ));
    }
    let text = value.to_str().map_err(|_| {
        CallerError::bad_request(format!("the header {name} is not text"), "send ASCII text")
    })?;
    parse(name, text).map(Some)
}
