//! Which of the platform's tables a router reads itself, when, and what it announces of them.

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_wire::TableProgress;

use crate::hint_timing::HINT_CHECK_INTERVAL_MS;
use crate::hinted_calls::HintedCalls;
use crate::table_hints::TableHints;

/// Time after which a table is read although no other router has announced a change.
const MAX_POLL_INTERVAL_MS: DurationMs = DurationMs(60_000);

/// Divisor of the pause after a change if another router has read the change, and paused, before.
const HINTED_PAUSE_DIVISOR: u64 = 8;

/// A table of the platform that routers follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowedTable {
    /// Declarations of operators.
    Declarations,
    /// Registrations of upstreams.
    Registrations,
}

/// Next step in following a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TablePoll {
    /// Call the table and wait up to this long for changes.
    Call(DurationMs),
    /// Ask again after this pause.
    Later(DurationMs),
}

/// Settings for following a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TablePollSettings {
    /// Longest wait of a call for changes.
    pub max_wait_ms: DurationMs,
    /// Time beyond its wait within which a call is answered or fails.
    pub answer_timeout_ms: DurationMs,
    /// Age of what others announce from which the table is read without them; none if it always is
    /// ([`HintTiming::max_age_ms`](crate::HintTiming::max_age_ms)).
    pub max_hint_age_ms: Option<DurationMs>,
}

/// How this router follows one table.
#[derive(Clone, Copy, Debug, Default)]
struct Followed {
    answered_at: Option<TimeMs>,
    /// Until when a call that waits for changes must have been answered, if one waits.
    waits_until: Option<TimeMs>,
    /// Whether others read the table for this router, as far as the last decision took it.
    relies_on_others: bool,
    /// First failed call since the last answer.
    failing_since: Option<TimeMs>,
}

impl Followed {
    /// Returns the time since the table was last followed: zero while a call waits for changes, otherwise
    /// the time since the last answer.
    fn age_ms(&self, now: TimeMs) -> Option<DurationMs> {
        let is_waiting = self.waits_until.is_some_and(|until| now < until);
        self.answered_at.map(|at| match is_waiting {
            true => DurationMs::ZERO,
            false => now.since(at),
        })
    }
}

/// A configuration that other routers have read and this one has not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnreadConfiguration {
    /// Newest version that others have announced.
    pub announced: ConfigVersion,
    /// Time since others were known to follow the table.
    pub announced_age_ms: DurationMs,
    /// Time since the first failed call of this router to the table that no answer followed; absent if its
    /// calls do not fail.
    pub failing_ms: Option<DurationMs>,
}

/// Positions up to which this router and others have read the platform's tables.
#[derive(Clone, Debug)]
pub struct TableState {
    /// Whether this router announces what it reads; some routers in each data centre do.
    pub is_reader: bool,
    /// What other routers have announced.
    pub hints: TableHints,
    config_version: ConfigVersion,
    registrations: u64,
    followed: [Followed; 2],
    hinted_calls: [HintedCalls; 2],
}

impl Default for TableState {
    fn default() -> Self {
        TableState {
            is_reader: true,
            hints: TableHints::default(),
            config_version: ConfigVersion(0),
            registrations: 0,
            followed: [Followed::default(); 2],
            hinted_calls: [HintedCalls::default(); 2],
        }
    }
}

impl TableState {
    /// Records that a table has answered.
    pub fn record_answer(&mut self, table: FollowedTable, now: TimeMs) {
        let followed = &mut self.followed[table as usize];
        followed.answered_at = Some(now);
        followed.waits_until = None;
        followed.failing_since = None;
    }

    /// Records that a call to a table has failed.
    pub fn record_failure(&mut self, table: FollowedTable, now: TimeMs) {
        let followed = &mut self.followed[table as usize];
        followed.waits_until = None;
        followed.failing_since.get_or_insert(now);
    }

    /// Returns whether other routers have read a newer configuration.
    pub fn is_behind(&self, now: TimeMs) -> bool {
        self.hints.is_behind(self.config_version, now)
    }

    /// Returns what is known of a newer configuration that other routers have read.
    pub fn unread_configuration(&self, now: TimeMs) -> Option<UnreadConfiguration> {
        if !self.is_behind(now) {
            return None;
        }
        let declarations = self.followed[FollowedTable::Declarations as usize];
        Some(UnreadConfiguration {
            announced: self.hints.config_version(),
            announced_age_ms: self.hints.age_ms(now).unwrap_or_default(),
            failing_ms: declarations.failing_since.map(|since| now.since(since)),
        })
    }

    /// Records the version of the configuration in force.
    pub fn set_config_version(&mut self, version: ConfigVersion) {
        self.config_version = version.max(self.config_version);
    }

    /// Records the position of a change of registrations that must reach all routers.
    pub fn set_registrations_position(&mut self, position: u64) {
        self.registrations = position.max(self.registrations);
    }

    /// Returns the positions to announce, if this router reads all changes and both tables have answered.
    pub fn progress(&self, now: TimeMs) -> Option<TableProgress> {
        let [declarations, registrations] = self.followed;
        let age_ms = declarations.age_ms(now)?.max(registrations.age_ms(now)?);
        // Others hear it that much later.
        let age_ms = age_ms + self.hints.lag_ms(now);
        self.is_reader.then_some(TableProgress {
            config_version: self.config_version,
            registrations: self.registrations,
            age_ms,
        })
    }

    /// Decides whether a table is called now, given the position up to which it was read. A call is taken
    /// to be made.
    pub fn next_poll(
        &mut self,
        table: FollowedTable,
        settings: TablePollSettings,
        position: u64,
        now: TimeMs,
    ) -> TablePoll {
        let max_age_ms = settings.max_hint_age_ms.filter(|_| !self.is_reader);
        let fresh = max_age_ms.and_then(|max_age_ms| self.hints.fresh(max_age_ms, now));
        let followed = &mut self.followed[table as usize];
        let Some(hint) = fresh else {
            let max_wait_ms = settings.max_wait_ms;
            followed.waits_until = Some(now + max_wait_ms + settings.answer_timeout_ms);
            followed.relies_on_others = false;
            return TablePoll::Call(max_wait_ms);
        };
        followed.relies_on_others = true;
        let (announced, known) = match table {
            FollowedTable::Declarations => (hint.config_version.0, self.config_version.0),
            FollowedTable::Registrations => (hint.registrations, position),
        };
        let hinted_calls = &mut self.hinted_calls[table as usize];
        let has_changed = announced > known && hinted_calls.may_call(announced, now);
        let since_answer_ms = now.since(followed.answered_at.unwrap_or_default());
        if !has_changed && since_answer_ms < MAX_POLL_INTERVAL_MS {
            return TablePoll::Later(HINT_CHECK_INTERVAL_MS);
        }
        TablePoll::Call(DurationMs::ZERO)
    }

    /// Returns the time since the registrations that this router has read were known to be complete.
    pub fn registrations_age_ms(&self, now: TimeMs) -> Option<DurationMs> {
        let registrations = self.followed[FollowedTable::Registrations as usize];
        match registrations.relies_on_others {
            true => self.hints.age_ms(now),
            false => registrations.age_ms(now),
        }
    }

    /// Returns whether others read a table for this router, as far as the last decision took it.
    pub fn relies_on_others(&self, table: FollowedTable) -> bool {
        self.followed[table as usize].relies_on_others
    }

    /// Returns the pause after a change of a table was read, given that of a router that reads it by
    /// itself.
    ///
    /// The router that announced a change has paused before this one does, and both pauses together must
    /// end before a leaving upstream must be taken out of use.
    pub fn pause_ms(&self, table: FollowedTable, pause_ms: DurationMs) -> DurationMs {
        match self.relies_on_others(table) {
            true => hinted_pause_ms(pause_ms),
            false => pause_ms,
        }
    }
}

/// Returns the pause after a change that another router has announced.
pub fn hinted_pause_ms(pause_ms: DurationMs) -> DurationMs {
    DurationMs(pause_ms.0 / HINTED_PAUSE_DIVISOR)
}
