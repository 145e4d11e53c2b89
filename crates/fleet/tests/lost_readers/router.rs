//! A router that follows the platform's tables in virtual time, and the bounds of its deployment.

use std::net::SocketAddr;

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::NodeId;
use dw_base::TimeMs;
use dw_fleet::hinted_pause_ms;
use dw_fleet::FollowedTable;
use dw_fleet::HintTiming;
use dw_fleet::TablePoll;
use dw_fleet::TablePollSettings;
use dw_fleet::TableState;
use dw_fleet::WaitTiming;
use dw_fleet::ROUTER_MAX_PAUSE_MS;
use dw_fleet::ROUTER_MIN_PAUSE_MS;
use dw_wire::RouterState;

use crate::common::router;

/// Times within which changes must take effect, of deployments and of the target.
pub(crate) const BOUNDS_MS: [u64; 4] = [2_000, 3_000, 4_000, 13_000];

pub(crate) const TABLES: [FollowedTable; 2] =
    [FollowedTable::Declarations, FollowedTable::Registrations];

/// Longest time until a call fails that the store no longer reaches.
pub(crate) const SILENCE_MS: DurationMs = DurationMs(2_000);

/// Pause after a failed call.
pub(crate) const RETRY_PAUSE_MS: DurationMs = DurationMs(400);

/// Pause after a failed call, if the one before was answered.
pub(crate) const FIRST_RETRY_PAUSE_MS: DurationMs = DurationMs(100);

/// Time beyond its wait after which a call fails.
pub(crate) const ANSWER_TIMEOUT_MS: DurationMs = DurationMs(900);

/// Time without a disruption from which the bounds hold, beyond the bounds of all deployments.
pub(crate) const SETTLE_MARGIN_MS: DurationMs = DurationMs(1_000);

pub(crate) const STEP_MS: DurationMs = DurationMs(10);

pub(crate) const CALM_MS: u64 = 20_000;

/// How the routers that read the tables are lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Loss {
    /// They end, or stand still.
    Ended,
    /// The store no longer reaches them, but the relays do.
    CutFromStore,
    /// The relays no longer hear them, but they read on.
    CutFromRelays,
}

/// How a router follows one table.
#[derive(Clone, Debug, Default)]
pub(crate) struct Follow {
    pub(crate) position: u64,
    /// Until when a call that was made waits.
    pub(crate) waits_until: Option<TimeMs>,
    /// Whether that call waits for changes; otherwise it is answered at once.
    pub(crate) waits_for_changes: bool,
    /// Whether the answer to that call is lost.
    pub(crate) is_lost: bool,
    pub(crate) pause_until: TimeMs,
    pub(crate) has_failed: bool,
}

pub(crate) struct Router {
    pub(crate) from: SocketAddr,
    pub(crate) node: NodeId,
    pub(crate) state: TableState,
    pub(crate) follows: [Follow; 2],
    pub(crate) loss: Option<Loss>,
    /// Whether its answers are lost as long as it is so.
    pub(crate) is_silenced: bool,
    pub(crate) announced_at: TimeMs,
    pub(crate) is_due: bool,
}

impl Router {
    pub(crate) fn new(number: u8) -> Self {
        let (from, state) = router(number, 1, &[]);
        Router {
            from,
            node: state.router,
            state: TableState::default(),
            follows: Default::default(),
            loss: None,
            is_silenced: false,
            announced_at: TimeMs(0),
            is_due: false,
        }
    }

    pub(crate) fn poll(
        &mut self,
        table: FollowedTable,
        fleet: &Bounds,
        lost_at: Option<TimeMs>,
        now: TimeMs,
    ) {
        let follow = &mut self.follows[table as usize];
        let position = match fleet.old_positions.filter(|_| !follow.waits_for_changes) {
            Some(old) => old[table as usize].max(follow.position),
            None => fleet.positions[table as usize],
        };
        if now < follow.pause_until {
            return;
        }
        let Some(waits_until) = follow.waits_until else {
            let settings = fleet.settings(table, &self.node);
            let poll = match follow.has_failed {
                true => TablePoll::Call(DurationMs::ZERO),
                false => self.state.next_poll(table, settings, follow.position, now),
            };
            match poll {
                TablePoll::Call(wait_ms) => {
                    follow.waits_until = Some(now + wait_ms);
                    follow.waits_for_changes = wait_ms > DurationMs::ZERO;
                    self.is_due = true;
                }
                TablePoll::Later(pause_ms) => follow.pause_until = now + pause_ms,
            }
            return;
        };
        if follow.is_lost {
            if now < waits_until + ANSWER_TIMEOUT_MS {
                return;
            }
            let retry_pause_ms = match follow.has_failed {
                true => RETRY_PAUSE_MS,
                false => FIRST_RETRY_PAUSE_MS,
            };
            follow.waits_until = None;
            follow.is_lost = false;
            follow.has_failed = true;
            follow.pause_until = now + retry_pause_ms;
            self.state.record_failure(table, now);
            self.is_due = true;
            return;
        }
        if self.loss == Some(Loss::CutFromStore) {
            if lost_at.is_some_and(|lost_at| now.since(lost_at) >= SILENCE_MS) {
                follow.waits_until = None;
                follow.has_failed = true;
                follow.pause_until = now + RETRY_PAUSE_MS;
                self.state.record_failure(table, now);
                self.is_due = true;
            }
            return;
        }
        if position == follow.position && now < waits_until {
            return;
        }
        follow.waits_until = None;
        follow.has_failed = false;
        self.state.record_answer(table, now);
        if std::mem::replace(&mut follow.position, position) != position {
            match table {
                FollowedTable::Declarations => {
                    self.state.set_config_version(ConfigVersion(position));
                }
                FollowedTable::Registrations => self.state.set_registrations_position(position),
            }
            follow.pause_until = now + self.state.pause_ms(table, fleet.pause_ms(table));
            self.is_due = true;
        }
    }

    /// Returns what the router announces now, if something is due.
    pub(crate) fn announcement(&mut self, now: TimeMs) -> Option<RouterState> {
        let pause_ms = now.since(self.announced_at);
        let is_due = pause_ms >= ROUTER_MIN_PAUSE_MS + ROUTER_MAX_PAUSE_MS
            || (self.is_due && pause_ms >= ROUTER_MIN_PAUSE_MS);
        if !is_due || matches!(self.loss, Some(Loss::CutFromRelays)) {
            return None;
        }
        self.announced_at = now;
        self.is_due = false;
        let (_, state) = router(1, now.0, &[]);
        Some(RouterState {
            router: self.node.clone(),
            tables: self.state.progress(now),
            ..state
        })
    }
}

/// Bounds of a deployment, and what its tables hold.
pub(crate) struct Bounds {
    pub(crate) bound_ms: DurationMs,
    pub(crate) positions: [u64; 2],
    /// What calls that do not wait for changes are answered, while such answers are behind.
    pub(crate) old_positions: Option<[u64; 2]>,
}

impl Bounds {
    /// Returns the pause of a reader after a change.
    pub(crate) fn pause_ms(&self, table: FollowedTable) -> DurationMs {
        match table {
            FollowedTable::Declarations => DurationMs(100),
            FollowedTable::Registrations => DurationMs(self.bound_ms.0 * 2 / 5),
        }
    }

    /// Returns the time without a disruption from which the bounds hold.
    pub(crate) fn settle_ms(&self) -> DurationMs {
        self.bound_ms + SETTLE_MARGIN_MS
    }

    pub(crate) fn settings(&self, table: FollowedTable, router: &NodeId) -> TablePollSettings {
        let timing = HintTiming {
            bound_ms: self.bound_ms,
            pause_ms: hinted_pause_ms(self.pause_ms(table)),
            silence_ms: SILENCE_MS,
        };
        let max_hint_age_ms = timing.max_age_ms(router);
        let wait_timing = WaitTiming {
            settle_ms: self.settle_ms(),
            bound_ms: self.bound_ms,
            answer_timeout_ms: ANSWER_TIMEOUT_MS,
            retry_pause_ms: FIRST_RETRY_PAUSE_MS,
            is_relied_on: max_hint_age_ms.is_some(),
        };
        TablePollSettings {
            max_wait_ms: wait_timing.max_wait_ms(),
            answer_timeout_ms: ANSWER_TIMEOUT_MS,
            max_hint_age_ms,
        }
    }
}
