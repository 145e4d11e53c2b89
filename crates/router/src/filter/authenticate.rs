//! Finds the organisation of a token.

use dw_base::OrgId;
use dw_config::Config;
use dw_config::Object;
use dw_config::ObjectKind;
use http::header::AUTHORIZATION;
use http::HeaderMap;
use http::StatusCode;
use sha2::Digest;
use sha2::Sha256;

use crate::error::CallerError;

/// Returns the token of an `Authorization: Bearer` header.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then_some(token.trim())
}

/// Returns the organisation that the token belongs to.
pub(crate) fn authenticate(config: &Config, headers: &HeaderMap) -> Result<OrgId, CallerError> {
    let unauthorized = |message: &str| {
        CallerError::not_run(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            message,
            "send Authorization: Bearer with a token of your organisation",
        )
    };
    let token = bearer(headers).ok_or_else(|| unauthorized("no bearer token was sent"))?;
    let digest = hex::encode(Sha256::digest(token.as_bytes()));
    config
        .of_kind(ObjectKind::Organisation)
        .find_map(|object| match object {
            Object::Organisation(org) => org
                .token_sha256
                .iter()
                .any(|known| known.eq_ignore_ascii_case(&digest))
                .then(|| org.name.clone()),
            _ => None,
        })
        .ok_or_else(|| unauthorized("the token is not known"))
}
