//! Read positions in the platform's tables, and the schedule for polling them.

use std::rc::Rc;

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_fleet::HintedCalls;
use dw_fleet::TableHints;
use dw_follow::follow_with_schedule;
use dw_follow::Follower;
use dw_follow::NextPoll;
use dw_follow::PollSchedule;
use dw_follow::PollSettings;
use dw_port::Feed;
use dw_port::TableVersion;
use dw_wire::TableProgress;

use crate::shared::Shared;

/// Maximum wait of a call, as a multiple of the time within which a changed configuration must be
/// in force.
const MAX_WAIT_FACTOR: f64 = 1.5;

/// Interval between checks of the positions that other routers announce.
const HINT_CHECK_INTERVAL_MS: DurationMs = DurationMs(150);

/// Time after which a table is read although no other router has announced a change.
const MAX_POLL_INTERVAL_MS: DurationMs = DurationMs(60_000);

/// Divisor of the pause after a change if another router has read the change, and paused, before.
const HINTED_PAUSE_DIVISOR: u64 = 4;

/// Time beyond the maximum wait of a call within which its answer arrives.
const ANSWER_TIMEOUT_MS: DurationMs = DurationMs(1_000);

/// A table of the platform that the gateway follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FollowedTable {
    /// Declarations of operators.
    Declarations,
    /// Registrations of upstreams.
    Registrations,
}

/// Positions up to which this router and others have read the platform's tables.
#[derive(Clone, Debug)]
pub(crate) struct TableState {
    /// Whether this router reads all changes; some routers in each data centre do.
    pub(crate) is_reader: bool,
    pub(crate) hints: TableHints,
    config_version: ConfigVersion,
    registrations: u64,
    answered_at: [Option<TimeMs>; 2],
    hinted_calls: [HintedCalls; 2],
}

impl Default for TableState {
    fn default() -> Self {
        TableState {
            is_reader: true,
            hints: TableHints::default(),
            config_version: ConfigVersion(0),
            registrations: 0,
            answered_at: [None; 2],
            hinted_calls: [HintedCalls::default(); 2],
        }
    }
}

impl TableState {
    /// Records when a table has answered.
    pub(crate) fn record_answer(&mut self, table: FollowedTable, now: TimeMs) {
        self.answered_at[table as usize] = Some(now);
    }

    /// Returns whether other routers have read a newer configuration.
    pub(crate) fn is_behind(&self, now: TimeMs) -> bool {
        self.hints.is_behind(self.config_version, now)
    }

    /// Records the version of the configuration in force.
    pub(crate) fn set_config_version(&mut self, version: ConfigVersion) {
        self.config_version = version.max(self.config_version);
    }

    /// Records the position of a change of registrations that must reach all routers.
    pub(crate) fn set_registrations_position(&mut self, version: TableVersion) {
        self.registrations = version.0.max(self.registrations);
    }

    /// Returns the positions to announce, if this router reads all changes and both tables have
    /// answered.
    pub(crate) fn progress(&self, now: TimeMs) -> Option<TableProgress> {
        let [declarations, registrations] = self.answered_at;
        let oldest_answer = declarations?.min(registrations?);
        self.is_reader.then(|| TableProgress {
            config_version: self.config_version,
            registrations: self.registrations,
            age_ms: now.since(oldest_answer),
        })
    }

    fn next_poll(
        &mut self,
        table: FollowedTable,
        max_wait_ms: DurationMs,
        position: TableVersion,
        now: TimeMs,
    ) -> NextPoll {
        let fresh = self.hints.fresh(max_wait_ms + ANSWER_TIMEOUT_MS, now);
        let Some(hint) = fresh.filter(|_| !self.is_reader) else {
            return NextPoll::Call(max_wait_ms);
        };
        let (announced, known) = match table {
            FollowedTable::Declarations => (hint.config_version.0, self.config_version.0),
            FollowedTable::Registrations => (hint.registrations, position.0),
        };
        let hinted_calls = &mut self.hinted_calls[table as usize];
        let has_changed = announced > known && hinted_calls.may_call(announced, now);
        let answered_at = self.answered_at[table as usize].unwrap_or_default();
        let is_due = has_changed || now.since(answered_at) >= MAX_POLL_INTERVAL_MS;
        match is_due {
            true => NextPoll::Call(DurationMs::ZERO),
            false => NextPoll::Later(HINT_CHECK_INTERVAL_MS),
        }
    }
}

/// Follows a table until the task is aborted. It is read when this router is a reader, when others
/// announce a change, or after the maximum poll interval.
pub(crate) async fn follow_table<T>(
    shared: Rc<Shared>,
    table: FollowedTable,
    feed: Box<dyn Feed<T>>,
    follower: impl Follower<T>,
    pause_ms: DurationMs,
) {
    let clock = shared.clock.clone();
    let max_wait_ms = max_wait_ms(&shared);
    let settings = PollSettings {
        max_wait_ms,
        pause_ms,
    };
    let schedule = TablePollSchedule {
        shared,
        table,
        max_wait_ms,
    };
    follow_with_schedule(feed, follower, (settings, Box::new(schedule)), clock).await;
}

/// Returns the maximum wait of one call for changes.
///
/// A call whose answer is lost while the table is unreachable must end well before a changed
/// configuration or a leaving upstream must take effect, counted from when the table is available
/// again.
fn max_wait_ms(shared: &Shared) -> DurationMs {
    let config_ms = shared.boot().bounds.config_ms.0 as f64;
    DurationMs((config_ms * MAX_WAIT_FACTOR) as u64)
}

struct TablePollSchedule {
    shared: Rc<Shared>,
    table: FollowedTable,
    max_wait_ms: DurationMs,
}

impl PollSchedule for TablePollSchedule {
    fn next_poll(&self, position: TableVersion, _answered_ms: DurationMs) -> NextPoll {
        let mut tables = self.shared.tables.borrow_mut();
        let now = self.shared.now();
        tables.next_poll(self.table, self.max_wait_ms, position, now)
    }

    /// The router that announced a change has paused before this one does, and both pauses together
    /// must end before a leaving upstream must be taken out of use.
    fn pause_ms(&self, pause_ms: DurationMs) -> DurationMs {
        match self.shared.tables.borrow().is_reader {
            true => pause_ms,
            false => DurationMs(pause_ms.0 / HINTED_PAUSE_DIVISOR),
        }
    }
}
