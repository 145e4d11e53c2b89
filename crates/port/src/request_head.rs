//! What a caller asks for.

use dw_base::DurationMs;
use dw_base::ModelId;
use dw_base::PromptPart;
use dw_base::Tokens;
use thiserror::Error;

/// Decoded head of a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    /// Unique id of this attempt of the caller; a retry of the caller has another.
    pub request_id: String,
    /// Host without a port.
    pub host: String,
    /// Time that the caller waits.
    pub deadline_ms: Option<DurationMs>,
    /// Key of an organisation.
    pub key: Option<String>,
    /// Model that is to answer.
    pub model: Option<ModelId>,
    /// Parts of the prompt in their order; the last one is the request's own.
    pub prompt: Vec<PromptPart>,
    /// Most tokens of the answer.
    pub output_tokens: Tokens,
    /// Tokens of the prompt and of the longest answer, as the caller declares them.
    pub declared_tokens: Option<Tokens>,
    /// Last event that the caller has of the stream which it takes up, if it takes one up.
    pub last_event: Option<String>,
    /// Id of the caller's attempt that brought the first event of this stream.
    pub resumes: Option<String>,
}

impl RequestHead {
    /// Returns the length of the prompt.
    pub fn prompt_tokens(&self) -> Tokens {
        Tokens(self.prompt.iter().map(|part| part.tokens.0).sum())
    }
}

/// A request cannot be forwarded as it is.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RequestHeadError {
    /// A header that every request needs is missing.
    #[error("header {0} is missing; add it")]
    Missing(&'static str),
    /// A header has a value that cannot be read.
    #[error("header {name} has the value {value:?}; write {expected}")]
    Malformed {
        /// Header.
        name: &'static str,
        /// Value, shortened.
        value: String,
        /// What is expected.
        expected: &'static str,
    },
}
