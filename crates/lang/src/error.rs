//! Errors of the parser.

use thiserror::Error;
use winnow::error::ParserError;
use winnow::stream::Location;
use winnow::stream::Stream;

/// A text is not a sequence of statements.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{} is not expected here: write {}", shown(.found), alternatives(.expected))]
pub struct ParseError {
    /// Byte offset of the wrong word.
    pub offset: usize,
    /// The wrong word; empty at the end of the text.
    pub found: String,
    /// What could stand there.
    pub expected: Vec<String>,
}

fn shown(found: &str) -> String {
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

/// Error inside the grammar: an offset and what was expected there.
#[derive(Clone, Debug)]
pub(crate) struct Fault {
    pub(crate) offset: usize,
    pub(crate) expected: Vec<String>,
}

impl<I: Location + Stream> ParserError<I> for Fault {
    type Inner = Self;

    fn from_input(input: &I) -> Self {
        Fault {
            offset: input.current_token_start(),
            expected: Vec::new(),
        }
    }

    /// Keeps the error that lies further on, and joins the expectations at the same place.
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
