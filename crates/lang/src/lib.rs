//! The query and command language of operators.
