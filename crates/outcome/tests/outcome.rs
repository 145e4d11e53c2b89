//! Histories of several callers and agents with crashes, pauses and lost answers.

use std::collections::HashMap;

use dw_base::AttemptId;
use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::TimeMs;
use dw_outcome::table_key;
use dw_outcome::Action;
use dw_outcome::Batcher;
use dw_outcome::Body;
use dw_outcome::Call;
use dw_outcome::Event;
use dw_outcome::Holder;
use dw_outcome::Record;
use dw_outcome::Refusal;
use dw_outcome::MAX_BATCH_ITEMS;
use dw_outcome::MAX_BATCH_WAIT_MS;
use proptest::prelude::*;

const BUDGET_MS: u64 = 5_000;

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        agent: usize,
        key: usize,
        body: usize,
    },
    Run {
        pick: usize,
        fate: AttemptOutcome,
    },
    Crash {
        agent: usize,
    },
    Pause {
        ms: u64,
    },
    LateWrite {
        pick: usize,
    },
}

#[derive(Clone, Copy, Debug)]
enum AttemptOutcome {
    Works,
    AnswerLost,
    Dropped,
    Late,
    Down,
}

struct Attempt {
    agent: usize,
    key: usize,
    body: usize,
    call: Call,
    alive: bool,
    refused: bool,
    executed: bool,
    answer: Option<String>,
}

#[derive(Default)]
struct World {
    now: TimeMs,
    version: u64,
    table: HashMap<usize, (Record, u64)>,
    incarnations: [u64; 3],
    attempts: Vec<Attempt>,
    pending: Vec<(usize, Action)>,
    late: Vec<(usize, Record, u64)>,
    executions: HashMap<usize, u32>,
}

impl World {
    fn arrive(&mut self, agent: usize, key: usize, body: usize) {
        let holder = Holder {
            agent: format!("agent-{agent}").parse().expect("valid id"),
            incarnation: Incarnation(self.incarnations[agent]),
        };
        let attempt = AttemptId(self.attempts.len() as u64 + 1);
        let until = self.now + DurationMs(BUDGET_MS);
        let (call, actions) = Call::begin(holder, attempt, format!("{body}"), until, self.now);
        self.attempts.push(Attempt {
            agent,
            key,
            body,
            call,
            alive: true,
            refused: false,
            executed: false,
            answer: None,
        });
        self.take(self.attempts.len() - 1, actions);
    }

    fn take(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            let attempt = &mut self.attempts[index];
            match action {
                Action::Refuse(_) => attempt.refused = true,
                Action::Fail => assert!(attempt.executed, "nothing was sent"),
                Action::Answer { body, .. } => {
                    let Body::Inline(text) = body else {
                        panic!("inline")
                    };
                    attempt.answer = Some(text);
                }
                other => self.pending.push((index, other)),
            }
        }
    }

    fn write(&mut self, key: usize, record: Record, expected: u64) -> Event {
        let current = self.table.get(&key).map_or(0, |(_, version)| *version);
        if current != expected {
            return Event::Conflict;
        }
        self.version += 1;
        self.table.insert(key, (record, self.version));
        Event::Committed {
            version: self.version,
        }
    }

    fn found(&self, key: usize) -> Event {
        let record = self.table.get(&key).cloned();
        let holder = match &record {
            Some((Record::Running { agent, .. }, _)) => (0..3)
                .find(|index| agent.as_str() == format!("agent-{index}"))
                .map(|index| Incarnation(self.incarnations[index])),
            _ => None,
        };
        Event::Found { record, holder }
    }

    fn execute(&mut self, index: usize) {
        let attempt = &mut self.attempts[index];
        assert!(!attempt.refused, "sent after a refusal as not run");
        attempt.executed = true;
        *self.executions.entry(attempt.key).or_default() += 1;
    }

    fn run(&mut self, pick: usize, fate: AttemptOutcome) {
        if self.pending.is_empty() {
            return;
        }
        let (index, action) = self.pending.swap_remove(pick % self.pending.len());
        if !self.attempts[index].alive {
            return;
        }
        let key = self.attempts[index].key;
        let event = match (action, fate) {
            (Action::Write { .. }, AttemptOutcome::Down) => Event::Unavailable,
            (Action::Write { .. }, AttemptOutcome::Dropped) => Event::Unknown,
            (
                Action::Write {
                    record, expected, ..
                },
                AttemptOutcome::Late,
            ) => {
                self.late.push((key, record, expected));
                Event::Unknown
            }
            (
                Action::Write {
                    record, expected, ..
                },
                AttemptOutcome::AnswerLost,
            ) => {
                self.write(key, record, expected);
                Event::Unknown
            }
            (
                Action::Write {
                    record, expected, ..
                },
                AttemptOutcome::Works,
            ) => self.write(key, record, expected),
            (Action::Read { .. }, AttemptOutcome::Works) => self.found(key),
            (Action::Read { .. }, _) => Event::ReadFailed,
            (Action::Send, AttemptOutcome::Down) => Event::NotSent,
            (Action::Send, AttemptOutcome::Works) => {
                self.execute(index);
                Event::Answered {
                    http_status: 200,
                    body: Body::Inline(format!("{key}:{}", self.attempts[index].body)),
                }
            }
            (Action::Send, _) => {
                self.execute(index);
                Event::Lost
            }
            (other, _) => panic!("{other:?} is not pending"),
        };
        let actions = self.attempts[index].call.handle(event, self.now);
        self.take(index, actions);
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Arrive { agent, key, body } => self.arrive(*agent, *key, *body),
            Step::Run { pick, fate } => self.run(*pick, *fate),
            Step::Crash { agent } => {
                self.incarnations[*agent] += 1;
                for attempt in self.attempts.iter_mut().filter(|a| a.agent == *agent) {
                    attempt.alive = false;
                }
            }
            Step::Pause { ms } => self.now = self.now + DurationMs(*ms),
            Step::LateWrite { pick } => {
                if !self.late.is_empty() {
                    let (key, record, expected) = self.late.swap_remove(pick % self.late.len());
                    self.write(key, record, expected);
                }
            }
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (key, count) in &self.executions {
            prop_assert!(*count <= 1, "key {} ran {} times", key, count);
        }
        for attempt in &self.attempts {
            prop_assert!(!(attempt.refused && attempt.executed), "false refusal");
            if let Some(answer) = &attempt.answer {
                prop_assert_eq!(answer, &format!("{}:{}", attempt.key, attempt.body));
                prop_assert_eq!(self.executions.get(&attempt.key), Some(&1));
            }
        }
        Ok(())
    }
}

fn fate() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        6 => Just(AttemptOutcome::Works),
        2 => Just(AttemptOutcome::AnswerLost),
        1 => Just(AttemptOutcome::Dropped),
        1 => Just(AttemptOutcome::Late),
        1 => Just(AttemptOutcome::Down),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0usize..3, 0usize..2, 0usize..2)
            .prop_map(|(agent, key, body)| Step::Arrive { agent, key, body }),
        16 => (any::<usize>(), fate()).prop_map(|(pick, fate)| Step::Run { pick, fate }),
        1 => (0usize..3).prop_map(|agent| Step::Crash { agent }),
        2 => (0u64..8_000).prop_map(|ms| Step::Pause { ms }),
        2 => any::<usize>().prop_map(|pick| Step::LateWrite { pick }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Guards against a key that runs twice, a false "not run", and an answer to another body.
    #[test]
    fn no_key_runs_twice(steps in prop::collection::vec(step(), 1..150)) {
        let mut world = World::default();
        for step in steps {
            world.step(&step);
        }
        world.check()?;
        for _ in 0..2_000 {
            world.run(0, AttemptOutcome::Works);
        }
        world.check()?;
        for attempt in world.attempts.iter().filter(|attempt| attempt.alive) {
            prop_assert!(attempt.call.is_ended(), "a call never ends: {:?}", attempt.call);
        }
    }
}

fn begin(incarnation: u64) -> Call {
    let holder = Holder {
        agent: "a".parse().expect("valid id"),
        incarnation: Incarnation(incarnation),
    };
    Call::begin(holder, AttemptId(7), "h".to_owned(), TimeMs(100), TimeMs(0)).0
}

fn running(attempt: u64, body_hash: &str) -> Record {
    Record::Running {
        attempt: AttemptId(attempt),
        agent: "a".parse().expect("valid id"),
        incarnation: Incarnation(1),
        body_hash: body_hash.to_owned(),
        since: TimeMs(0),
        until: TimeMs(100),
    }
}

fn found(record: Record, holder: u64) -> Event {
    Event::Found {
        record: Some((record, 3)),
        holder: Some(Incarnation(holder)),
    }
}

/// Guards against a call that is sent late after a pause between the insert and the send.
#[test]
fn pause_past_deadline_refuses() {
    let actions = begin(1).handle(Event::Committed { version: 3 }, TimeMs(100));
    assert_eq!(actions[0], Action::Refuse(Refusal::TooLate));
    assert!(!actions.contains(&Action::Send));
}

/// Guards against a lost answer to the insert that blocks the call although the insert is its own.
#[test]
fn lost_insert_is_settled_by_attempt() {
    let mut call = begin(1);
    call.handle(Event::Unknown, TimeMs(1));
    assert_eq!(
        call.handle(found(running(7, "h"), 1), TimeMs(2)),
        [Action::Send]
    );
}

/// Guards against wrong reports about another attempt with the same key.
#[test]
fn other_attempts_are_reported() {
    let refusal = |event: Event, now: u64| {
        let mut call = begin(1);
        call.handle(Event::Conflict, TimeMs(1));
        match call.handle(event, TimeMs(now)).as_slice() {
            [Action::Refuse(refusal)] => *refusal,
            other => panic!("unexpected {other:?}"),
        }
    };
    assert!(matches!(
        refusal(found(running(1, "h"), 1), 2),
        Refusal::InProgress { .. }
    ));
    assert_eq!(refusal(found(running(1, "x"), 1), 2), Refusal::KeyReused);
    assert_eq!(
        refusal(found(running(1, "h"), 2), 2),
        Refusal::OutcomeUnknown
    );
    assert_eq!(
        refusal(found(running(1, "h"), 1), 20_000),
        Refusal::OutcomeUnknown
    );
}

/// Guards against two organisations that share a record, because ids may contain a slash.
#[test]
fn table_keys_are_distinct() {
    let key = |org: &str, service: &str| {
        table_key(
            &org.parse().expect("valid id"),
            &service.parse().expect("valid id"),
            &"k".parse().expect("valid id"),
        )
    };
    assert_ne!(key("a/b", "c"), key("a", "b/c"));
}

/// Guards against batches that grow too large or wait too long.
#[test]
fn batches_are_bounded() {
    let mut batcher = Batcher::new();
    for item in 1..MAX_BATCH_ITEMS {
        assert_eq!(batcher.push(item, TimeMs(0)), None);
    }
    assert_eq!(batcher.poll(TimeMs(MAX_BATCH_WAIT_MS.0 - 1)), None);
    assert_eq!(batcher.push(25, TimeMs(1)).map(|b| b.len()), Some(25));
    batcher.push(1, TimeMs(50));
    assert_eq!(batcher.poll(TimeMs(70)), Some(vec![1]));
}

/// Guards against records that other releases cannot read.
#[test]
fn record_round_trips() {
    let record = running(1, "h");
    let json = serde_json::to_value(&record).expect("record is serialisable");
    assert_eq!(json["state"], "running");
    assert_eq!(
        serde_json::from_value::<Record>(json).expect("valid"),
        record
    );
}
