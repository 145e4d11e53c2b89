//! Queries of death: prompt parts that end each upstream which begins an answer on them.
//!
//! Load pattern: callers ask again and again for something that crashes the process which serves it.
//! Each request and each retry takes one more upstream, with all other requests that it holds, while
//! upstreams also end for reasons of their own and take the same parts with them by chance.
//!
//! | type | decides |
//! | --- | --- |
//! | [`Suspects`] | which parts are suspects or quarantined, from ends of upstreams and from answers |
//! | [`decide_probe`] | when one request with a quarantined part may be sent to see whether it is sound |
//!
//! Evidence against a part is the end of an upstream that held a request with it and had not begun to
//! answer. Any answer that begins on the part afterwards, anywhere, discards the evidence: a part that
//! ends each upstream never has one, and a sound part soon does.

mod evidence;
mod probe;
mod suspects;

pub use probe::decide_probe;
pub use probe::missing_records;
pub use probe::ProbeDecision;
pub use probe::QuarantineRecord;
pub use suspects::Merged;
pub use suspects::Suspects;
pub use suspects::Verdict;
