//! Conversion of errors to the error type of the administration API.

use dw_api::admin::StatementError;
use dw_api::admin::StatementErrorKind;
use dw_config::ChangeError;
use dw_config::CommitError;
use dw_lang::ParseError;

/// Creates an error without an offset in the text.
pub(crate) fn statement_error(
    kind: StatementErrorKind,
    message: impl Into<String>,
    remedy: impl Into<String>,
) -> StatementError {
    StatementError {
        expected: Vec::new(),
        kind,
        lost_to_version: None,
        message: message.into(),
        offset: None,
        remedy: remedy.into(),
    }
}

pub(crate) fn invalid(message: impl Into<String>, remedy: impl Into<String>) -> StatementError {
    statement_error(StatementErrorKind::Invalid, message, remedy)
}

pub(crate) fn unknown_object(message: impl Into<String>, remedy: &str) -> StatementError {
    statement_error(StatementErrorKind::UnknownObject, message, remedy)
}

pub(crate) fn unauthorized() -> StatementError {
    statement_error(
        StatementErrorKind::Unauthorized,
        "the token is missing or belongs to no operator",
        "send the token of a declared operator as Authorization: Bearer <token>",
    )
}

pub(crate) fn from_parse_error(error: ParseError) -> StatementError {
    StatementError {
        message: error.to_string(),
        offset: Some(error.offset as u64),
        expected: error.expected,
        ..statement_error(
            StatementErrorKind::Syntax,
            "",
            "correct the word and send the text again; nothing was changed",
        )
    }
}

pub(crate) fn from_commit_error(error: &CommitError) -> StatementError {
    let message = error.to_string();
    match error {
        CommitError::Conflict { lost_to, .. } => StatementError {
            lost_to_version: Some(lost_to.0),
            ..statement_error(
                StatementErrorKind::Conflict,
                message,
                "show the current object before you send the change again; nothing was changed",
            )
        },
        CommitError::Refused(error) => from_change_error(error),
        CommitError::OutcomeUnknown(id) => statement_error(
            StatementErrorKind::Unavailable,
            message,
            format!(
                "send the same text again with change id {id}; a change id is never applied twice"
            ),
        ),
        CommitError::Unavailable(_) | CommitError::Malformed(_) => statement_error(
            StatementErrorKind::Unavailable,
            message,
            "send the text again when the table service is available; nothing was changed",
        ),
    }
}

pub(crate) fn from_change_error(error: &ChangeError) -> StatementError {
    let kind = match error {
        ChangeError::Missing(_) => StatementErrorKind::UnknownObject,
        _ => StatementErrorKind::Invalid,
    };
    statement_error(
        kind,
        error.to_string(),
        "correct the text and send it again; nothing was changed",
    )
}
