//! Parser errors.

use thiserror::Error;
use winnow::error::ParserError;
use winnow::stream::Location;
use winnow::stream::Stream;

/// Syntax error in a text of statements.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{} is not expected here: write {}", quoted_token(.found), alternatives(.expected))]
pub struct ParseError {
    /// Byte offset of the unexpected token.
    pub offset: usize,
    /// The unexpected token; empty at the end of the text.
    pub found: String,
    /// Descriptions of the tokens that are valid at this position.
    pub expected: Vec<String>,
}

fn quoted_token(found: &str) -> String {
    if found.is_empty() {
        return "the end of the text".to_owned();
    }
    format!("{found:?}")
}

fn alternatives(expected: &[String]) -> String {
    match expected {
        [first @ .., last] if !first.is_empty() => format!("{} or {last}", first.join(", ")),
        _ => expected.join(", "),
    }
}

/// Error of a grammar rule: an offset and the tokens that were expected there.
#[derive(Clone, Debug)]
pub(crate) struct RuleError {
    pub(crate) offset: usize,
    pub(crate) expected: Vec<String>,
}

impl<I: Location + Stream> ParserError<I> for RuleError {
    type Inner = Self;

    fn from_input(input: &I) -> Self {
        RuleError {
            offset: input.current_token_start(),
            expected: Vec::new(),
        }
    }

    /// Keeps the error with the larger offset; at equal offsets, merges the expected tokens.
    fn or(mut self, other: Self) -> Self {
        if self.offset != other.offset {
            return if self.offset > other.offset {
                self
            } else {
                other
            };
        }
        self.expected.extend(other.expected);
        self
    }

    fn into_inner(self) -> Result<Self, Self> {
        Ok(self)
    }
}
