//! What an answer that has begun says about the parts of its prompt.

use dw_base::DurationMs;

/// Time for which an answer must have gone on to show that its parts are sound, unless it ends before.
///
/// A part may end upstreams after the first event of the answer. The time also bounds how long a sound part
/// waits for the end of a long answer to its probe.
pub const PROOF_MS: DurationMs = DurationMs(5_000);

/// Returns whether the end of an upstream is evidence against the parts of a request that it held, given
/// for how long its answer had gone on, if it had begun.
pub fn accuses_parts(answering_ms: Option<DurationMs>) -> bool {
    answering_ms.is_none_or(|answering_ms| answering_ms < PROOF_MS)
}
