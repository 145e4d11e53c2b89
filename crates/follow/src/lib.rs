//! Follows a table of the platform through outages, slow answers and lost history.
//!
//! | event | effect |
//! | --- | --- |
//! | answer | [`Follower::changes`], or [`Follower::snapshot`] after a start or lost history |
//! | no answer in time | [`Follower::unreachable`], then another call after a growing pause |

mod contents;

use std::sync::Arc;
use std::time::Duration;

use dw_base::Clock;
use dw_base::DurationMs;
use dw_port::Feed;
use dw_port::FeedError;
use dw_port::Page;
use dw_port::TableVersion;

pub use contents::follow_contents;
pub use contents::ContentsPollSettings;

/// Time beyond the wait after which the table counts as lost.
const ANSWER_MS: DurationMs = DurationMs(900);

/// First and greatest pause after a failed call.
const RETRY_MS: (u64, u64) = (100, 400);

/// Takes in the items of a feed.
pub trait Follower<T> {
    /// Returns the name of the feed for logs.
    fn name(&self) -> &'static str;

    /// Takes in everything.
    fn snapshot(&mut self, items: Vec<T>);

    /// Takes in changes.
    fn changes(&mut self, items: Vec<T>);

    /// Learns the position up to which items were taken in.
    fn set_position(&mut self, _version: TableVersion) {}

    /// Learns that the table does not answer.
    fn unreachable(&mut self) {}

    /// Learns that the table answers.
    fn reachable(&mut self) {}
}

/// How often a feed is asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollSettings {
    /// Longest wait of one call for changes.
    pub max_wait_ms: DurationMs,
    /// Pause after changes, so that those which follow come with one call.
    pub pause_ms: DurationMs,
}

/// What follows an answer of the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextPoll {
    /// A call that waits for changes for so long.
    Call(DurationMs),
    /// Another look after a pause.
    Later(DurationMs),
}

/// Decides when a feed is asked again.
pub trait PollSchedule {
    /// Returns what follows, with the position up to which the feed was read and the time since the
    /// last answer.
    fn next_poll(&self, position: TableVersion, answered_ms: DurationMs) -> NextPoll;

    /// Returns the pause after changes, of which `pause_ms` is the longest.
    fn pause_ms(&self, pause_ms: DurationMs) -> DurationMs {
        pause_ms
    }
}

/// Asks again at once.
struct Steady(DurationMs);

impl PollSchedule for Steady {
    fn next_poll(&self, _position: TableVersion, _answered_ms: DurationMs) -> NextPoll {
        NextPoll::Call(self.0)
    }
}

/// Part of a bound that a pause may take; the rest is for a slow table and for what follows.
const PAUSE_PART: f64 = 0.4;

impl PollSettings {
    /// Returns the longest pause with which a change has its effect within `bound_ms`.
    ///
    /// Load pattern: while engines load weights their registrations change several times a second,
    /// and every router asks for each change at once unless it pauses.
    pub fn pause_within(bound_ms: DurationMs) -> DurationMs {
        DurationMs((bound_ms.0 as f64 * PAUSE_PART) as u64)
    }
}

/// Follows a feed until the task is aborted.
///
/// A call that is under way while the table is silent is never answered, also not after its return.
/// After a failure the calls therefore do not wait until one is answered.
pub async fn follow<T>(
    feed: Box<dyn Feed<T>>,
    follower: impl Follower<T>,
    pace: PollSettings,
    clock: Arc<dyn Clock>,
) {
    let pacer = Box::new(Steady(pace.max_wait_ms));
    follow_with_schedule(feed, follower, (pace, pacer), clock).await;
}

/// Follows a feed whose calls a pacer decides on, until the task is aborted.
pub async fn follow_with_schedule<T>(
    mut feed: Box<dyn Feed<T>>,
    mut follower: impl Follower<T>,
    (pace, pacer): (PollSettings, Box<dyn PollSchedule>),
    clock: Arc<dyn Clock>,
) {
    let mut position = None;
    let mut lost_since = None;
    let mut pause_ms = RETRY_MS.0;
    let mut answered = clock.now();
    loop {
        let called = clock.now();
        let result = match position {
            None => feed.snapshot(ANSWER_MS).await,
            Some(after) => {
                let turn = match lost_since {
                    None => pacer.next_poll(after, clock.now().since(answered)),
                    Some(_) => NextPoll::Call(DurationMs::ZERO),
                };
                let wait_ms = match turn {
                    NextPoll::Call(wait_ms) => wait_ms,
                    NextPoll::Later(pause_ms) => {
                        tokio::time::sleep(pause_ms.into()).await;
                        continue;
                    }
                };
                feed.changes(after, wait_ms, wait_ms + ANSWER_MS).await
            }
        };
        match result {
            Ok(Page { items, version }) => {
                if let Some(since) = lost_since.take() {
                    let away_ms = clock.now().since(since).0;
                    log::info!(feed = follower.name(), away_ms; "table answers again");
                }
                follower.reachable();
                let is_change = position.is_some() && !items.is_empty();
                match position {
                    None => follower.snapshot(items),
                    Some(_) => follower.changes(items),
                }
                position = Some(version);
                answered = clock.now();
                follower.set_position(version);
                pause_ms = RETRY_MS.0;
                if is_change {
                    tokio::time::sleep(pacer.pause_ms(pace.pause_ms).into()).await;
                }
            }
            Err(FeedError::Expired) => {
                log::warn!(feed = follower.name(); "history of the table has expired");
                position = None;
            }
            Err(e) => {
                lost_since.get_or_insert(called);
                log::warn!(
                    feed = follower.name(), error:% = e,
                    waited_ms = clock.now().since(called).0;
                    "table does not answer"
                );
                follower.unreachable();
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                pause_ms = (pause_ms * 2).min(RETRY_MS.1);
            }
        }
    }
}
