//! Queries of death: prompt parts and requests that end each upstream which runs them.
//!
//! Load pattern: callers ask again and again for something that crashes the process which serves it.
//! Each request and each retry takes one more upstream, with all other requests that it holds, while
//! upstreams also end for reasons of their own and take the same parts with them by chance.
//!
//! | type | decides |
//! | --- | --- |
//! | [`EvidenceSet`] | which parts and requests are suspects or quarantined, and which of both explains an end |
//! | [`Suspects`] | the same for keys of one kind, from ends of upstreams and from answers |
//! | [`decide_probe`] | when one request in quarantine may be sent to see whether it is sound |
//!
//! Evidence against a part is the end of an upstream that held a request with it, before its answer had
//! gone on for [`PROOF_MS`]. Any answer on the part that is whole, or goes on for that long, anywhere,
//! discards the evidence: a part that ends each upstream never has one, and a sound part soon does. The
//! first event alone shows nothing, as the upstream may end right after it. Parts that were answered lately
//! are not blamed for ends that a part explains which never was.
//!
//! Evidence against a whole request is the end of an upstream that held it, also amid its answer. Only a
//! whole answer to the same request discards it: its parts may be answered in sound requests all the time.

mod evidence;
mod evidence_set;
mod key;
mod probe;
mod proof;
mod proven;
mod suspects;

pub use evidence_set::DueReports;
pub use evidence_set::EvidenceSet;
pub use key::SuspectKey;
pub use probe::decide_probe;
pub use probe::missing_records;
pub use probe::ProbeDecision;
pub use probe::QuarantineRecord;
pub use proof::accuses_parts;
pub use proof::PROOF_MS;
pub use suspects::Merged;
pub use suspects::Suspects;
pub use suspects::Verdict;
