//! Errors as the administration API shows them.

use dw_api::admin::StatementError;
use dw_api::admin::StatementErrorKind;
use dw_config::ChangeError;
use dw_config::CommitError;
use dw_lang::ParseError;

/// Creates an error without a position.
pub(crate) fn fault(
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
    fault(StatementErrorKind::Invalid, message, remedy)
}

pub(crate) fn unknown_object(message: impl Into<String>, remedy: &str) -> StatementError {
    fault(StatementErrorKind::UnknownObject, message, remedy)
}

pub(crate) fn unauthorized() -> StatementError {
    fault(
        StatementErrorKind::Unauthorized,
        "the token is missing or belongs to no operator",
        "send the token of a declared operator as Authorization: Bearer <token>",
    )
}

pub(crate) fn of_parse(error: ParseError) -> StatementError {
    StatementError {
        message: error.to_string(),
        offset: Some(error.offset as u64),
        expected: error.expected,
        ..fault(
            StatementErrorKind::Syntax,
            "",
            "correct the word and send the text again; nothing was changed",
        )
    }
}

pub(crate) fn of_commit(error: &CommitError) -> StatementError {
    let message = error.to_string();
    match error {
        CommitError::Conflict { lost_to, .. } => StatementError {
            lost_to_version: Some(lost_to.0),
            ..fault(
                StatementErrorKind::Conflict,
                message,
                "show the object and decide again; nothing was changed",
            )
        },
        CommitError::Refused(error) => of_change(error),
        CommitError::OutcomeUnknown(id) => fault(
            StatementErrorKind::Unavailable,
            message,
            format!("send the same text again with change id {id}; it is never made twice"),
        ),
        CommitError::Unavailable(_) | CommitError::Malformed(_) => fault(
            StatementErrorKind::Unavailable,
            message,
            "send the text again when the table answers; nothing was changed",
        ),
    }
}

pub(crate) fn of_change(error: &ChangeError) -> StatementError {
    let kind = match error {
        ChangeError::Missing(_) => StatementErrorKind::UnknownObject,
        _ => StatementErrorKind::Invalid,
    };
    fault(
        kind,
        error.to_string(),
        "correct the text and send it again; nothing was changed",
    )
}
