//! Every role and stand-in in one process.
