//! State machine of one attempt.

use dw_base::AttemptId;
use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_base::TimeMs;

use crate::record::Body;
use crate::record::Record;

/// Maximum number of inserts of the `running` record before the call is refused.
const MAX_INSERTS: u32 = 3;

/// Maximum number of tries to write the final record; with [`FINAL_WRITE_DELAY_MS`] this takes ten
/// minutes.
const MAX_FINAL_WRITE_TRIES: u32 = 600;

/// Delay between two tries to write the final record after the caller has received its response.
const FINAL_WRITE_DELAY_MS: DurationMs = DurationMs(1_000);

/// Time after the end of an attempt from which its missing result is reported as unknown. It allows
/// for the duration of the `done` write and for the clock skew between two VMs.
const RESULT_GRACE_MS: DurationMs = DurationMs(10_000);

/// Minimum and maximum retry delay given to a caller whose call is already running.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (100, 1_000);

/// Agent process that makes an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// Id of the agent.
    pub agent: NodeId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
}

/// Reason for the refusal of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The table is unavailable.
    TableUnavailable,
    /// The deadline passed before the call was sent.
    TooLate,
    /// The connection to the upstream could not be established.
    NotSent,
    /// Another attempt with the same key is running.
    InProgress {
        /// Time after which the caller may retry.
        retry_after_ms: DurationMs,
    },
    /// Another attempt with the same key may have run.
    OutcomeUnknown,
    /// The key was already used with a different body.
    KeyReused,
}

/// Input of the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The last write took effect, and the record now has this version.
    Committed {
        /// Version of the record.
        version: u64,
    },
    /// The last write did not take effect, because the record has another version.
    Conflict,
    /// The response to the last write was lost.
    Unknown,
    /// The last write did not take effect.
    Unavailable,
    /// The record was read.
    Found {
        /// Record and its version, if it exists.
        record: Option<(Record, u64)>,
        /// Newest registered incarnation of the agent in a `running` record.
        holder: Option<Incarnation>,
    },
    /// The record could not be read.
    ReadFailed,
    /// The upstream has responded.
    Answered {
        /// HTTP status for the caller.
        http_status: u16,
        /// Body for the caller.
        body: Body,
    },
    /// The call did not reach the upstream.
    NotSent,
    /// The call may have run, and its result is lost.
    Lost,
}

/// Output of the state machine: an action for the agent to take.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the record if it has the expected version; 0 means absent.
    Write {
        /// New record.
        record: Record,
        /// Version that the record must have.
        expected: u64,
        /// Delay before the write.
        after_ms: DurationMs,
    },
    /// Read the record, and the registered incarnation of the agent in it.
    Read {
        /// Delay before the read.
        after_ms: DurationMs,
    },
    /// Send the call to the upstream.
    Send,
    /// Send a response to the caller.
    Answer {
        /// HTTP status.
        http_status: u16,
        /// Body of the response.
        body: Body,
        /// Whether the response is that of an earlier attempt.
        replayed: bool,
    },
    /// Refuse the call; this attempt has not run and will not run.
    Refuse(Refusal),
    /// Report to the caller that the call may have run.
    Fail,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    Inserting,
    Reading,
    Sending { version: u64 },
    WritingFinal { final_record: Record, tries: u32 },
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
    /// Whether an insert whose response was lost may have created the record.
    record_may_exist: bool,
}

impl Call {
    /// Starts an attempt that must be complete before `until`.
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
            record_may_exist: false,
        };
        let actions = call.insert(0, now);
        (call, actions)
    }

    /// Returns whether the attempt needs no further actions.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Handles an event and returns the actions to take.
    pub fn handle(&mut self, event: Event, now: TimeMs) -> Vec<Action> {
        match std::mem::replace(&mut self.state, State::Ended) {
            State::Inserting => self.on_insert(&event, now),
            State::Reading => self.on_read(event, now),
            State::Sending { version } => self.on_send_result(event, version, now),
            State::WritingFinal {
                final_record,
                tries,
            } => self.on_final_write(event, final_record, tries),
            State::Ended => Vec::new(),
        }
    }

    fn on_insert(&mut self, event: &Event, now: TimeMs) -> Vec<Action> {
        match event {
            Event::Committed { version } => self.send(*version, now),
            Event::Conflict => self.read(),
            Event::Unknown => {
                self.record_may_exist = true;
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
            Some((record, _)) => self.on_other_attempt(record, holder, now),
        }
    }

    fn on_other_attempt(
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
                let is_own_predecessor =
                    agent == self.holder.agent && self.holder.incarnation > incarnation;
                let holder_restarted =
                    is_own_predecessor || registered.is_some_and(|newest| newest > incarnation);
                if holder_restarted || now > until + RESULT_GRACE_MS {
                    return self.refuse(Refusal::OutcomeUnknown, now);
                }
                let wait_ms = until
                    .since(now)
                    .0
                    .clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1);
                let retry_after_ms = DurationMs(wait_ms);
                self.refuse(Refusal::InProgress { retry_after_ms }, now)
            }
            Record::NotRun { .. } => self.refuse(Refusal::TableUnavailable, now),
        }
    }

    fn on_send_result(&mut self, event: Event, version: u64, now: TimeMs) -> Vec<Action> {
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
                vec![answer, self.write_final(record, version)]
            }
            Event::NotSent => {
                let record = self.not_run(now);
                vec![
                    Action::Refuse(Refusal::NotSent),
                    self.write_final(record, version),
                ]
            }
            _ => vec![Action::Fail],
        }
    }

    /// Continues to write the final record after the caller has received its response.
    fn on_final_write(&mut self, event: Event, final_record: Record, tries: u32) -> Vec<Action> {
        let after_ms = match event {
            Event::Committed { .. } => return Vec::new(),
            Event::Found { record, .. } => match record {
                Some((Record::Running { attempt, .. }, version)) if attempt == self.attempt => {
                    let write = Action::Write {
                        record: final_record.clone(),
                        expected: version,
                        after_ms: DurationMs::ZERO,
                    };
                    self.state = State::WritingFinal {
                        final_record,
                        tries,
                    };
                    return vec![write];
                }
                // An insert whose response was lost may still take effect.
                None if tries < MAX_INSERTS => FINAL_WRITE_DELAY_MS,
                _ => return Vec::new(),
            },
            Event::Conflict => DurationMs::ZERO,
            _ => FINAL_WRITE_DELAY_MS,
        };
        if tries >= MAX_FINAL_WRITE_TRIES {
            return Vec::new();
        }
        self.state = State::WritingFinal {
            final_record,
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

    /// Sends the call, unless the deadline has passed, for example because the process was paused
    /// after it requested the write of the record.
    fn send(&mut self, version: u64, now: TimeMs) -> Vec<Action> {
        if now >= self.until {
            let record = self.not_run(now);
            return vec![
                Action::Refuse(Refusal::TooLate),
                self.write_final(record, version),
            ];
        }
        self.state = State::Sending { version };
        vec![Action::Send]
    }

    fn refuse(&mut self, refusal: Refusal, now: TimeMs) -> Vec<Action> {
        let mut actions = vec![Action::Refuse(refusal)];
        if self.record_may_exist {
            self.state = State::WritingFinal {
                final_record: self.not_run(now),
                tries: 0,
            };
            actions.push(Action::Read {
                after_ms: FINAL_WRITE_DELAY_MS,
            });
        }
        actions
    }

    fn write_final(&mut self, record: Record, expected: u64) -> Action {
        self.state = State::WritingFinal {
            final_record: record.clone(),
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
