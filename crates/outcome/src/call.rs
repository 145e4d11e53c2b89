//! The state machine of one attempt.

use dw_base::AttemptId;
use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_base::TimeMs;

use crate::record::Body;
use crate::record::Record;

/// Times that the `running` record is inserted before the call is refused.
const MAX_INSERTS: u32 = 3;

/// Times that a write after the call is tried; with [`SETTLE_DELAY_MS`] this is ten minutes.
const MAX_SETTLE_TRIES: u32 = 600;

/// Time between two tries to settle a record after the caller has its answer.
const SETTLE_DELAY_MS: DurationMs = DurationMs(1_000);

/// Time after the end of an attempt until its missing result is reported as unknown. It covers
/// the `done` write and the difference of the clocks of two VMs.
const GRACE_MS: DurationMs = DurationMs(10_000);

/// Bounds of the time after which a caller asks again about a running call.
const ASK_AGAIN_MS: (u64, u64) = (100, 1_000);

/// The agent process that makes an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// Name of the agent.
    pub agent: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The table cannot be reached.
    TableUnavailable,
    /// The deadline passed before the call was sent.
    TooLate,
    /// The upstream could not be connected to.
    NotSent,
    /// Another attempt with the key is running.
    InProgress {
        /// When to ask again.
        retry_after_ms: DurationMs,
    },
    /// Another attempt with the key may have run.
    OutcomeUnknown,
    /// The key was used with another body.
    KeyReused,
}

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The last write took effect and gave the record this version.
    Committed {
        /// Version of the record.
        version: u64,
    },
    /// The last write did not take effect, because the record has another version.
    Conflict,
    /// The answer to the last write was lost.
    Unknown,
    /// The last write certainly did not take effect.
    Unavailable,
    /// The record was read.
    Found {
        /// Record and its version, if it exists.
        record: Option<(Record, u64)>,
        /// Newest incarnation that the agent named in a `running` record has registered.
        holder: Option<Incarnation>,
    },
    /// The record could not be read.
    ReadFailed,
    /// The upstream has answered.
    Answered {
        /// HTTP status for the caller.
        http_status: u16,
        /// Body for the caller.
        body: Body,
    },
    /// The call certainly did not reach the upstream.
    NotSent,
    /// The call may have run, and its result is lost.
    Lost,
}

/// What the agent must do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the record if it has the expected version; 0 means absent.
    Write {
        /// New record.
        record: Record,
        /// Version that is replaced.
        expected: u64,
        /// How long to wait before.
        after_ms: DurationMs,
    },
    /// Read the record, and the registered incarnation of the agent that it names.
    Read {
        /// How long to wait before.
        after_ms: DurationMs,
    },
    /// Send the call to the upstream.
    Send,
    /// Answer the caller.
    Answer {
        /// HTTP status.
        http_status: u16,
        /// Body.
        body: Body,
        /// Whether an earlier attempt produced it.
        replayed: bool,
    },
    /// Refuse: this attempt was not run and will not be.
    Refuse(Refusal),
    /// Tell the caller that the call may have run.
    Fail,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    Inserting,
    Reading,
    Sending { version: u64 },
    Settling { target: Record, tries: u32 },
    Ended,
}

/// One attempt to run a call at most once.
#[derive(Clone, Debug)]
pub struct Call {
    holder: Holder,
    attempt: AttemptId,
    body_hash: String,
    until: TimeMs,
    state: State,
    inserts: u32,
    may_exist: bool,
}

impl Call {
    /// Starts an attempt that must be sent and answered before `until`.
    pub fn begin(
        holder: Holder,
        attempt: AttemptId,
        body_hash: String,
        until: TimeMs,
        now: TimeMs,
    ) -> (Self, Vec<Action>) {
        let mut call = Call {
            holder,
            attempt,
            body_hash,
            until,
            state: State::Inserting,
            inserts: 0,
            may_exist: false,
        };
        let actions = call.insert(0, now);
        (call, actions)
    }

    /// Returns whether nothing is left to do.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Takes an event.
    pub fn handle(&mut self, event: Event, now: TimeMs) -> Vec<Action> {
        match std::mem::replace(&mut self.state, State::Ended) {
            State::Inserting => self.on_insert(&event, now),
            State::Reading => self.on_read(event, now),
            State::Sending { version } => self.on_sent(event, version, now),
            State::Settling { target, tries } => self.on_settle(event, target, tries),
            State::Ended => Vec::new(),
        }
    }

    fn on_insert(&mut self, event: &Event, now: TimeMs) -> Vec<Action> {
        match event {
            Event::Committed { version } => self.send(*version, now),
            Event::Conflict => self.read(),
            Event::Unknown => {
                self.may_exist = true;
                self.read()
            }
            _ => self.refuse(Refusal::TableUnavailable, now),
        }
    }

    fn on_read(&mut self, event: Event, now: TimeMs) -> Vec<Action> {
        let Event::Found { record, holder } = event else {
            return self.refuse(Refusal::TableUnavailable, now);
        };
        match record {
            None => self.insert(0, now),
            Some((Record::NotRun { .. }, version)) => self.insert(version, now),
            Some((Record::Running { attempt, .. }, version)) if attempt == self.attempt => {
                self.send(version, now)
            }
            Some((record, _)) => self.settled_by_other(record, holder, now),
        }
    }

    fn settled_by_other(
        &mut self,
        record: Record,
        registered: Option<Incarnation>,
        now: TimeMs,
    ) -> Vec<Action> {
        match record {
            Record::Running { body_hash, .. } | Record::Done { body_hash, .. }
                if body_hash != self.body_hash =>
            {
                self.refuse(Refusal::KeyReused, now)
            }
            Record::Done {
                http_status, body, ..
            } => vec![Action::Answer {
                http_status,
                body,
                replayed: true,
            }],
            Record::Running {
                agent,
                incarnation,
                until,
                ..
            } => {
                let own = agent == self.holder.agent && self.holder.incarnation > incarnation;
                let gone = own || registered.is_some_and(|newest| newest > incarnation);
                if gone || now > until + GRACE_MS {
                    return self.refuse(Refusal::OutcomeUnknown, now);
                }
                let wait_ms = until.since(now).0.clamp(ASK_AGAIN_MS.0, ASK_AGAIN_MS.1);
                let retry_after_ms = DurationMs(wait_ms);
                self.refuse(Refusal::InProgress { retry_after_ms }, now)
            }
            Record::NotRun { .. } => self.refuse(Refusal::TableUnavailable, now),
        }
    }

    fn on_sent(&mut self, event: Event, version: u64, now: TimeMs) -> Vec<Action> {
        match event {
            Event::Answered { http_status, body } => {
                let record = Record::Done {
                    attempt: self.attempt,
                    body_hash: self.body_hash.clone(),
                    http_status,
                    body: body.clone(),
                    at: now,
                };
                let answer = Action::Answer {
                    http_status,
                    body,
                    replayed: false,
                };
                vec![answer, self.settle(record, version)]
            }
            Event::NotSent => {
                let record = self.not_run(now);
                vec![
                    Action::Refuse(Refusal::NotSent),
                    self.settle(record, version),
                ]
            }
            _ => vec![Action::Fail],
        }
    }

    /// Brings the record into its final state after the caller has an answer.
    fn on_settle(&mut self, event: Event, target: Record, tries: u32) -> Vec<Action> {
        let after_ms = match event {
            Event::Committed { .. } => return Vec::new(),
            Event::Found { record, .. } => match record {
                Some((Record::Running { attempt, .. }, version)) if attempt == self.attempt => {
                    let write = Action::Write {
                        record: target.clone(),
                        expected: version,
                        after_ms: DurationMs::ZERO,
                    };
                    self.state = State::Settling { target, tries };
                    return vec![write];
                }
                // An insert whose answer was lost may still take effect.
                None if tries < MAX_INSERTS => SETTLE_DELAY_MS,
                _ => return Vec::new(),
            },
            Event::Conflict => DurationMs::ZERO,
            _ => SETTLE_DELAY_MS,
        };
        if tries >= MAX_SETTLE_TRIES {
            return Vec::new();
        }
        self.state = State::Settling {
            target,
            tries: tries + 1,
        };
        vec![Action::Read { after_ms }]
    }

    fn insert(&mut self, expected: u64, now: TimeMs) -> Vec<Action> {
        if now >= self.until {
            return self.refuse(Refusal::TooLate, now);
        }
        if self.inserts >= MAX_INSERTS {
            return self.refuse(Refusal::TableUnavailable, now);
        }
        self.inserts += 1;
        self.state = State::Inserting;
        let record = Record::Running {
            attempt: self.attempt,
            agent: self.holder.agent.clone(),
            incarnation: self.holder.incarnation,
            body_hash: self.body_hash.clone(),
            since: now,
            until: self.until,
        };
        vec![Action::Write {
            record,
            expected,
            after_ms: DurationMs::ZERO,
        }]
    }

    fn read(&mut self) -> Vec<Action> {
        self.state = State::Reading;
        vec![Action::Read {
            after_ms: DurationMs::ZERO,
        }]
    }

    /// Sends, unless the process was paused past the deadline since it asked for the record.
    fn send(&mut self, version: u64, now: TimeMs) -> Vec<Action> {
        if now >= self.until {
            let record = self.not_run(now);
            return vec![
                Action::Refuse(Refusal::TooLate),
                self.settle(record, version),
            ];
        }
        self.state = State::Sending { version };
        vec![Action::Send]
    }

    fn refuse(&mut self, refusal: Refusal, now: TimeMs) -> Vec<Action> {
        let mut actions = vec![Action::Refuse(refusal)];
        if self.may_exist {
            self.state = State::Settling {
                target: self.not_run(now),
                tries: 0,
            };
            actions.push(Action::Read {
                after_ms: SETTLE_DELAY_MS,
            });
        }
        actions
    }

    fn settle(&mut self, record: Record, expected: u64) -> Action {
        self.state = State::Settling {
            target: record.clone(),
            tries: 0,
        };
        Action::Write {
            record,
            expected,
            after_ms: DurationMs::ZERO,
        }
    }

    fn not_run(&self, now: TimeMs) -> Record {
        Record::NotRun {
            attempt: self.attempt,
            at: now,
        }
    }
}
