//! Calls to the platform's tables through another process.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use dw_base::DurationMs;
use http::Response;

use crate::feed::Declaration;
use crate::feed::Feed;
use crate::feed::FeedError;
use crate::feed::Registration;

/// Connects to processes that pass calls on to the platform's tables.
pub trait TableProxies: Send + Sync {
    /// Returns the feed of the operators' declarations through a process.
    fn declarations(&self, proxy: SocketAddr) -> Box<dyn Feed<Declaration>>;

    /// Returns the feed of the registrations of upstreams through a process.
    fn registrations(&self, proxy: SocketAddr) -> Box<dyn Feed<Registration>>;
}

/// Passes calls of one other process on to the platform's tables.
#[async_trait]
pub trait TableProxy: Send {
    /// Passes a call on and returns the answer of the table, or one that rejects a call that is not passed on.
    /// The table has `answer_timeout_ms` beyond the wait that the call asks for.
    ///
    /// # Errors
    ///
    /// Returns an error if the table refuses the call or does not answer.
    async fn forward(
        &mut self,
        path_and_query: &str,
        answer_timeout_ms: DurationMs,
    ) -> Result<Response<Bytes>, FeedError>;
}
