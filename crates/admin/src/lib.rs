//! The administration API: executes statements of the command language.
