//! Errors with their causes as one text.

use std::error::Error;

/// Returns an error and all its causes as one text, since the libraries show the outermost only.
pub fn describe(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
