//! Reads a table through other processes while the store turns this one away.
//!
//! The store may turn some VMs away while it serves the others and the operators. What it holds is then in force
//! at all other VMs, and this one must have it in time too. Only the store's own answers are passed on, so a
//! position is compared in one place, whichever way it came.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use dw_base::Clock;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_port::Feed;
use dw_port::FeedError;
use dw_port::Page;
use dw_port::TableVersion;
use futures::stream::FuturesUnordered;
use futures::StreamExt;

use crate::proxy_list::ProxyList;

/// Time between calls to the store itself while it turns this process away.
const STORE_RETRY_MS: DurationMs = DurationMs(1_000);

/// Proxies that are asked at the same time while none is in use: the store may turn one of them away too.
const ASKED_PROXIES: usize = 2;

/// Time that a proxy has for its first answer, for which the table is not made to wait.
const PROXY_TIMEOUT_MS: DurationMs = DurationMs(500);

/// Time that the table has to answer a proxy beyond the wait of a call: less than the caller of the proxy waits,
/// so that the proxy still says that the table does not answer.
pub const PROXIED_ANSWER_TIMEOUT_MS: DurationMs = DurationMs(400);

/// Connects to a table through a process that passes calls on.
pub type ConnectProxy<T> = Box<dyn Fn(SocketAddr) -> Box<dyn Feed<T>> + Send + Sync>;

/// Ways to a table: the store itself, and processes that pass calls on to it.
pub struct TablePaths<T> {
    /// The table as the store serves it.
    pub store: Box<dyn Feed<T>>,
    /// Connects to the table through another process.
    pub through: ConnectProxy<T>,
}

#[derive(Clone, Copy)]
enum Call {
    Snapshot,
    Changes {
        after: TableVersion,
        wait_ms: DurationMs,
    },
}

impl Call {
    async fn make<T>(
        self,
        feed: &mut dyn Feed<T>,
        answer_timeout_ms: DurationMs,
    ) -> Result<Page<T>, FeedError> {
        match self {
            Call::Snapshot => feed.snapshot(answer_timeout_ms).await,
            Call::Changes { after, wait_ms } => {
                let timeout_ms = wait_ms + answer_timeout_ms;
                feed.changes(after, wait_ms, timeout_ms).await
            }
        }
    }

    /// Returns the call that does not wait for changes.
    fn without_wait(self) -> Self {
        match self {
            Call::Snapshot => Call::Snapshot,
            Call::Changes { after, .. } => Call::Changes {
                after,
                wait_ms: DurationMs::ZERO,
            },
        }
    }
}

struct Proxy<T> {
    addr: SocketAddr,
    feed: Box<dyn Feed<T>>,
}

/// A table that is read through other processes while the store turns this one away.
///
/// | the store | calls |
/// | --- | --- |
/// | answers | to the store |
/// | does not answer | to the proxy in use, or without a wait to some at once, of which the first to answer is used; once a second also to the store, without a wait |
pub struct FailoverFeed<T> {
    name: &'static str,
    paths: TablePaths<T>,
    proxies: ProxyList,
    clock: Arc<dyn Clock>,
    /// First call that the store has not answered since it answered last.
    failing_since: Option<TimeMs>,
    /// When the store was last called without an answer.
    failed_at: TimeMs,
    /// Proxy that has answered last, while the store does not.
    in_use: Option<Proxy<T>>,
    /// Place in the list of the proxies to ask next.
    next_proxy: usize,
}

/// Returns whether the table has answered; the history may be gone.
fn is_answer<T>(result: &Result<Page<T>, FeedError>) -> bool {
    !matches!(
        result,
        Err(FeedError::Refused(_) | FeedError::Unreachable(_))
    )
}

impl<T: Send> FailoverFeed<T> {
    /// Creates a feed of a table that is also reached through `proxies`; `name` is for logs.
    pub fn new(
        name: &'static str,
        paths: TablePaths<T>,
        proxies: ProxyList,
        clock: Arc<dyn Clock>,
    ) -> Self {
        FailoverFeed {
            name,
            paths,
            proxies,
            clock,
            failing_since: None,
            failed_at: TimeMs(0),
            in_use: None,
            next_proxy: 0,
        }
    }

    async fn call(
        &mut self,
        call: Call,
        answer_timeout_ms: DurationMs,
    ) -> Result<Page<T>, FeedError> {
        let mut result = Err(FeedError::Unreachable(
            "the store did not answer within the last second".to_owned(),
        ));
        if self.is_store_due() {
            result = self.call_store(call, answer_timeout_ms).await;
            if is_answer(&result) {
                return result;
            }
        }
        let in_use = self.call_proxy_in_use(call, answer_timeout_ms).await;
        match in_use {
            Some(answer) => answer,
            None => self.ask_proxies(call).await.unwrap_or(result),
        }
    }

    fn is_store_due(&self) -> bool {
        let since_failure_ms = self.clock.now().since(self.failed_at);
        self.failing_since.is_none() || since_failure_ms >= STORE_RETRY_MS
    }

    async fn call_store(
        &mut self,
        call: Call,
        answer_timeout_ms: DurationMs,
    ) -> Result<Page<T>, FeedError> {
        let call = match self.failing_since {
            None => call,
            // The proxies are not asked meanwhile.
            Some(_) => call.without_wait(),
        };
        let result = call
            .make(self.paths.store.as_mut(), answer_timeout_ms)
            .await;
        let now = self.clock.now();
        if !is_answer(&result) {
            self.failed_at = now;
            if self.failing_since.is_none() {
                let detail = result.as_ref().err().map(ToString::to_string);
                log::warn!(
                    feed = self.name, error = detail.unwrap_or_default().as_str();
                    "store does not answer; asking proxies"
                );
                self.failing_since = Some(now);
            }
            return result;
        }
        if let Some(since) = self.failing_since.take() {
            if let Some(proxy) = self.in_use.take() {
                log::info!(
                    feed = self.name, proxy:% = proxy.addr, away_ms = now.since(since).0;
                    "table is read from the store again"
                );
            }
            self.next_proxy = 0;
        }
        result
    }

    /// Calls the table through the proxy in use, which is given up if it does not answer.
    async fn call_proxy_in_use(
        &mut self,
        call: Call,
        answer_timeout_ms: DurationMs,
    ) -> Option<Result<Page<T>, FeedError>> {
        let mut proxy = self.in_use.take()?;
        let result = call.make(proxy.feed.as_mut(), answer_timeout_ms).await;
        match is_answer(&result) {
            true => {
                self.in_use = Some(proxy);
                Some(result)
            }
            false => {
                let detail = result.err().map(|e| e.to_string()).unwrap_or_default();
                log::warn!(
                    feed = self.name, proxy:% = proxy.addr, error = detail.as_str();
                    "table is no longer read through a proxy"
                );
                None
            }
        }
    }

    /// Calls the table through the next proxies of the list; the first one that answers is used from now on.
    async fn ask_proxies(&mut self, call: Call) -> Option<Result<Page<T>, FeedError>> {
        let call = call.without_wait();
        let addrs = self.proxies.next(self.next_proxy, ASKED_PROXIES);
        self.next_proxy = self.next_proxy.wrapping_add(addrs.len());
        let asked = addrs.into_iter().map(|addr| {
            let mut feed = (self.paths.through)(addr);
            async move {
                let result = call.make(feed.as_mut(), PROXY_TIMEOUT_MS).await;
                (Proxy { addr, feed }, result)
            }
        });
        let mut asked: FuturesUnordered<_> = asked.collect();
        while let Some((proxy, result)) = asked.next().await {
            if is_answer(&result) {
                log::info!(
                    feed = self.name, proxy:% = proxy.addr;
                    "table is read through a proxy"
                );
                self.in_use = Some(proxy);
                return Some(result);
            }
        }
        None
    }
}

#[async_trait]
impl<T: Send> Feed<T> for FailoverFeed<T> {
    async fn snapshot(&mut self, timeout_ms: DurationMs) -> Result<Page<T>, FeedError> {
        self.call(Call::Snapshot, timeout_ms).await
    }

    async fn changes(
        &mut self,
        after: TableVersion,
        wait_ms: DurationMs,
        timeout_ms: DurationMs,
    ) -> Result<Page<T>, FeedError> {
        let answer_timeout_ms = timeout_ms.saturating_sub(wait_ms);
        self.call(Call::Changes { after, wait_ms }, answer_timeout_ms)
            .await
    }
}
