//! Finds the organisation of a token.

use std::sync::Arc;

use dw_base::OrgId;
use dw_config::Config;
use http::header::AUTHORIZATION;
use http::HeaderMap;
use http::StatusCode;

use crate::error::CallerError;
use crate::tokens::Tokens;

/// Returns the token of an `Authorization: Bearer` header.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then_some(token.trim())
}

/// Returns the organisation that the token belongs to.
pub(crate) fn authenticate(
    tokens: &Tokens,
    config: &Arc<Config>,
    headers: &HeaderMap,
) -> Result<OrgId, CallerError> {
    let unauthorized = |message: &str| {
        CallerError::not_run(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            message,
            "send Authorization: Bearer with a token of your organisation",
        )
    };
    let token = bearer(headers).ok_or_else(|| unauthorized("no bearer token was sent"))?;
    tokens
        .organisation(config, token)
        .ok_or_else(|| unauthorized("the token is not known"))
}
