//! Parser and printer of the query and command language for operators.
//!
//! The grammar is documented in `grammar.rs`; `docs/language.md` has an example of each statement.

mod ast;
mod error;
mod grammar;
mod print;

pub use ast::Command;
pub use ast::Comparison;
pub use ast::Field;
pub use ast::Filter;
pub use ast::Kind;
pub use ast::Query;
pub use ast::Scalar;
pub use ast::Spanned;
pub use ast::Statement;
pub use ast::Value;
pub use error::ParseError;
pub use grammar::parse;
