//! Follows a table of the platform through outages, slow responses and expired history.
//!
//! | event | effect |
//! | --- | --- |
//! | response | [`Follower::changes`], or [`Follower::snapshot`] after a start or expired history |
//! | the store was restored from a copy | [`Follower::restored`], then [`Follower::snapshot`] |
//! | failure or timeout | [`Follower::unreachable`], then another call after a growing pause |

mod contents;
mod failover;
mod proxy_list;

use std::sync::Arc;

use dw_base::Clock;
use dw_base::DurationMs;
use dw_port::Feed;
use dw_port::FeedError;
use dw_port::Page;
use dw_port::TableVersion;

pub use contents::follow_contents;
pub use contents::ContentsPollSettings;
pub use failover::ConnectProxy;
pub use failover::FailoverFeed;
pub use failover::TablePaths;
pub use failover::PROXIED_ANSWER_TIMEOUT_MS;
pub use proxy_list::ProxyList;

/// Time allowed for a response in addition to the wait for changes.
pub const RESPONSE_TIMEOUT_MS: DurationMs = DurationMs(900);

/// Pause after a failed call, if the one before was answered.
pub const RETRY_PAUSE_MS: DurationMs = DurationMs(100);

/// Longest pause after a failed call.
const MAX_RETRY_PAUSE_MS: DurationMs = DurationMs(400);

/// Result of one call to a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// All items were read.
    Snapshot,
    /// Changes were read.
    Changes,
    /// Nothing had changed.
    Nothing,
    /// The history was not kept.
    Expired,
    /// The store had come back from a copy.
    Restored,
    /// The call failed.
    Failed,
}

impl CallResult {
    /// Returns the name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            CallResult::Snapshot => "snapshot",
            CallResult::Changes => "changes",
            CallResult::Nothing => "nothing",
            CallResult::Expired => "expired",
            CallResult::Restored => "restored",
            CallResult::Failed => "failed",
        }
    }

    fn new<T>(result: &Result<Page<T>, FeedError>, is_snapshot: bool) -> Self {
        match result {
            Ok(_) if is_snapshot => CallResult::Snapshot,
            Ok(page) if page.items.is_empty() => CallResult::Nothing,
            Ok(_) => CallResult::Changes,
            Err(FeedError::Expired) => CallResult::Expired,
            Err(FeedError::Restored) => CallResult::Restored,
            Err(_) => CallResult::Failed,
        }
    }
}

/// Receives the items of a feed.
pub trait Follower<T> {
    /// Returns the name of the feed for logs.
    fn name(&self) -> &'static str;

    /// Replaces all items.
    fn snapshot(&mut self, items: Vec<T>);

    /// Applies changes.
    fn changes(&mut self, items: Vec<T>);

    /// Called with the position up to which items were received.
    fn set_position(&mut self, _version: TableVersion) {}

    /// Called after each call with its result.
    fn called(&mut self, _result: CallResult) {}

    /// Called after each failed call, unless the history has expired or the store was restored.
    fn unreachable(&mut self) {}

    /// Called when the store has come back from a copy, before a snapshot of it is read.
    fn restored(&mut self) {}

    /// Called after each successful call, before its items are passed.
    fn reachable(&mut self) {}
}

/// Settings for polling a feed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollSettings {
    /// Longest wait for changes in one call.
    pub max_wait_ms: DurationMs,
    /// Pause after changes, so that one call returns those that follow.
    pub pause_ms: DurationMs,
}

/// Next step after a response of the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextPoll {
    /// Call the table and wait up to this long for changes.
    Call(DurationMs),
    /// Ask the schedule again after this pause.
    Later(DurationMs),
}

/// Decides when a feed is polled again.
pub trait PollSchedule {
    /// Returns the next step, given the position up to which the feed was read and the time since
    /// the last response.
    fn next_poll(&self, position: TableVersion, since_response_ms: DurationMs) -> NextPoll;

    /// Returns the pause after changes, at most `pause_ms`.
    fn pause_ms(&self, pause_ms: DurationMs) -> DurationMs {
        pause_ms
    }
}

/// Calls again at once, always with the same wait.
struct FixedWait(DurationMs);

impl PollSchedule for FixedWait {
    fn next_poll(&self, _position: TableVersion, _since_response_ms: DurationMs) -> NextPoll {
        NextPoll::Call(self.0)
    }
}

/// Fraction of a latency bound that a pause may take. The rest is for a slow table and for applying
/// the change.
const PAUSE_FRACTION: f64 = 0.4;

impl PollSettings {
    /// Returns the longest pause with which a change takes effect within `bound_ms`.
    ///
    /// Load pattern: while engines load weights, their registrations change several times a second,
    /// and without a pause every router calls the table for each change.
    pub fn pause_within(bound_ms: DurationMs) -> DurationMs {
        DurationMs((bound_ms.0 as f64 * PAUSE_FRACTION) as u64)
    }
}

/// Follows a feed until the task is aborted.
///
/// A call that is pending while the table is unreachable is never answered, even once the table has
/// recovered. After a failure, calls therefore do not wait for changes until one has succeeded.
pub async fn follow<T>(
    feed: Box<dyn Feed<T>>,
    follower: impl Follower<T>,
    settings: PollSettings,
    clock: Arc<dyn Clock>,
) {
    let schedule = Box::new(FixedWait(settings.max_wait_ms));
    follow_with_schedule(feed, follower, (settings, schedule), clock).await;
}

/// Like [`follow`], but `schedule` decides on the calls and on the pauses after changes.
pub async fn follow_with_schedule<T>(
    mut feed: Box<dyn Feed<T>>,
    mut follower: impl Follower<T>,
    (settings, schedule): (PollSettings, Box<dyn PollSchedule>),
    clock: Arc<dyn Clock>,
) {
    let mut position = None;
    let mut unreachable_since = None;
    let mut retry_pause_ms = RETRY_PAUSE_MS;
    let mut responded_at = clock.now();
    loop {
        let called_at = clock.now();
        let result = match position {
            None => feed.snapshot(RESPONSE_TIMEOUT_MS).await,
            Some(after) => {
                let next_poll = match unreachable_since {
                    None => schedule.next_poll(after, clock.now().since(responded_at)),
                    Some(_) => NextPoll::Call(DurationMs::ZERO),
                };
                let wait_ms = match next_poll {
                    NextPoll::Call(wait_ms) => wait_ms,
                    NextPoll::Later(pause_ms) => {
                        tokio::time::sleep(pause_ms.into()).await;
                        continue;
                    }
                };
                feed.changes(after, wait_ms, wait_ms + RESPONSE_TIMEOUT_MS)
                    .await
            }
        };
        follower.called(CallResult::new(&result, position.is_none()));
        match result {
            Ok(Page { items, version }) => {
                if let Some(since) = unreachable_since.take() {
                    let outage_ms = clock.now().since(since).0;
                    log::info!(
                        feed = follower.name(), away_ms = outage_ms;
                        "table is reachable again"
                    );
                }
                follower.reachable();
                let is_change = position.is_some() && !items.is_empty();
                match position {
                    None => follower.snapshot(items),
                    Some(_) => follower.changes(items),
                }
                position = Some(version);
                responded_at = clock.now();
                follower.set_position(version);
                retry_pause_ms = RETRY_PAUSE_MS;
                log::debug!(feed = follower.name(), position = version.0, is_change; "read table");
                if is_change {
                    tokio::time::sleep(schedule.pause_ms(settings.pause_ms).into()).await;
                }
            }
            Err(FeedError::Restored) => {
                log::warn!(
                    feed = follower.name(), position = position.map_or(0, |position| position.0);
                    "the position is from before the store was restored; reading a snapshot"
                );
                follower.restored();
                position = None;
                // Several stores of different eras may answer at one address.
                tokio::time::sleep(RETRY_PAUSE_MS.into()).await;
            }
            Err(FeedError::Expired) => {
                log::warn!(
                    feed = follower.name();
                    "change history of the table has expired; reading a snapshot"
                );
                position = None;
            }
            Err(e) => {
                unreachable_since.get_or_insert(called_at);
                log::warn!(
                    feed = follower.name(), error:% = e,
                    waited_ms = clock.now().since(called_at).0;
                    "call to the table failed"
                );
                follower.unreachable();
                tokio::time::sleep(retry_pause_ms.into()).await;
                retry_pause_ms = (retry_pause_ms + retry_pause_ms).min(MAX_RETRY_PAUSE_MS);
            }
        }
    }
}
