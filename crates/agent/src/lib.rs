//! The agent beside each upstream.
