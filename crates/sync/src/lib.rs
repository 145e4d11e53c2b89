//! Keeps the configuration of a node current.
