//! Follows the platform's tables as [`dw_fleet::TableState`] decides.

use std::rc::Rc;

use dw_base::DurationMs;
use dw_fleet::hinted_pause_ms;
use dw_fleet::FollowedTable;
use dw_fleet::HintTiming;
use dw_fleet::TablePoll;
use dw_fleet::TablePollSettings;
use dw_fleet::WaitTiming;
use dw_follow::follow_with_schedule;
use dw_follow::FailoverFeed;
use dw_follow::Follower;
use dw_follow::NextPoll;
use dw_follow::PollSchedule;
use dw_follow::PollSettings;
use dw_follow::TablePaths;
use dw_follow::RESPONSE_TIMEOUT_MS;
use dw_follow::RETRY_PAUSE_MS;
use dw_port::TableVersion;
use dw_port::FEED_SILENCE_MS;

use crate::gossip::request_announcement;
use crate::shared::Shared;

/// Follows a table until the task is aborted, through sidecars while the store turns this router away. It is read when this router is a reader, when others
/// announce a change, or after the maximum poll interval.
pub(crate) async fn follow_table<T: Send + 'static>(
    shared: Rc<Shared>,
    table: FollowedTable,
    paths: TablePaths<T>,
    follower: impl Follower<T>,
    pause_ms: DurationMs,
) {
    let clock = shared.clock.clone();
    let timing = hint_timing(&shared, table, pause_ms);
    let max_hint_age_ms = timing.max_age_ms(&shared.boot().node);
    let wait_timing = WaitTiming {
        settle_ms: shared.boot().bounds.settle_ms,
        bound_ms: timing.bound_ms,
        answer_timeout_ms: RESPONSE_TIMEOUT_MS,
        retry_pause_ms: RETRY_PAUSE_MS,
        is_relied_on: max_hint_age_ms.is_some(),
    };
    let max_wait_ms = wait_timing.max_wait_ms();
    let settings = PollSettings {
        max_wait_ms,
        pause_ms,
    };
    let feed = FailoverFeed::new(
        follower.name(),
        paths,
        shared.proxies.clone(),
        clock.clone(),
    );
    let schedule = TablePollSchedule {
        settings: TablePollSettings {
            max_wait_ms,
            answer_timeout_ms: RESPONSE_TIMEOUT_MS,
            max_hint_age_ms,
        },
        shared,
        table,
    };
    log::info!(table:?, settings:? = schedule.settings; "following table");
    let schedule = Box::new(schedule);
    follow_with_schedule(Box::new(feed), follower, (settings, schedule), clock).await;
}

fn hint_timing(shared: &Shared, table: FollowedTable, pause_ms: DurationMs) -> HintTiming {
    let bounds = shared.boot().bounds;
    HintTiming {
        bound_ms: match table {
            FollowedTable::Declarations => bounds.config_ms,
            FollowedTable::Registrations => bounds.leaving_ms,
        },
        pause_ms: hinted_pause_ms(pause_ms),
        silence_ms: FEED_SILENCE_MS,
    }
}

struct TablePollSchedule {
    shared: Rc<Shared>,
    table: FollowedTable,
    settings: TablePollSettings,
}

impl PollSchedule for TablePollSchedule {
    fn next_poll(&self, position: TableVersion, _answered_ms: DurationMs) -> NextPoll {
        let mut tables = self.shared.tables.borrow_mut();
        let now = self.shared.now();
        let relied = tables.relies_on_others(self.table);
        let next_poll = tables.next_poll(self.table, self.settings, position.0, now);
        let relies = tables.relies_on_others(self.table);
        if relies != relied {
            log::info!(
                table:? = self.table, relies_on_others = relies, is_reader = tables.is_reader,
                age_ms = tables.hints.age_ms(now).unwrap_or_default().0,
                max_age_ms = self.settings.max_hint_age_ms.unwrap_or_default().0;
                "source of changes of a table changed"
            );
        }
        match next_poll {
            TablePoll::Call(wait_ms) => {
                // The table is followed again after a pause.
                request_announcement(&self.shared);
                NextPoll::Call(wait_ms)
            }
            TablePoll::Later(pause_ms) => NextPoll::Later(pause_ms),
        }
    }

    fn pause_ms(&self, pause_ms: DurationMs) -> DurationMs {
        self.shared.tables.borrow().pause_ms(self.table, pause_ms)
    }
}
