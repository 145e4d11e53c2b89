//! Exact index of the prefix cache of one engine.
