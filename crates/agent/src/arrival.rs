//! A request that has been accepted.

use std::sync::Arc;

use dw_base::TimeMs;
use dw_wire::RunRequest;

use crate::live::Live;
use crate::trace::Trace;

/// A request that has been accepted, with the answer that it will get.
pub(crate) struct Arrival {
    pub(crate) request: RunRequest,
    pub(crate) live: Arc<Live>,
    pub(crate) arrived: TimeMs,
    pub(crate) trace: Trace,
}
