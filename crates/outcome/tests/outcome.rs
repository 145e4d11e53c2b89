//! Simulations of several callers and agents with crashes, pauses and lost responses.

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

const TIME_LIMIT_MS: u64 = 5_000;

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        agent: usize,
        key: usize,
        body: usize,
    },
    Run {
        pick: usize,
        delivery: Delivery,
    },
    Crash {
        agent: usize,
    },
    Advance {
        ms: u64,
    },
    DelayedWrite {
        pick: usize,
    },
}

#[derive(Clone, Copy, Debug)]
enum Delivery {
    Normal,
    ResponseLost,
    Dropped,
    Delayed,
    Unreachable,
}

struct Attempt {
    agent: usize,
    key: usize,
    body: usize,
    call: Call,
    process_alive: bool,
    refused: bool,
    executed: bool,
    answer: Option<String>,
}

#[derive(Default)]
struct Simulation {
    now: TimeMs,
    version: u64,
    table: HashMap<usize, (Record, u64)>,
    incarnations: [u64; 3],
    attempts: Vec<Attempt>,
    pending: Vec<(usize, Action)>,
    delayed: Vec<(usize, Record, u64)>,
    executions: HashMap<usize, u32>,
}

impl Simulation {
    fn arrive(&mut self, agent: usize, key: usize, body: usize) {
        let holder = Holder {
            agent: format!("agent-{agent}").parse().expect("valid id"),
            incarnation: Incarnation(self.incarnations[agent]),
        };
        let attempt = AttemptId(self.attempts.len() as u64 + 1);
        let until = self.now + DurationMs(TIME_LIMIT_MS);
        let (call, actions) = Call::begin(holder, attempt, format!("{body}"), until, self.now);
        self.attempts.push(Attempt {
            agent,
            key,
            body,
            call,
            process_alive: true,
            refused: false,
            executed: false,
            answer: None,
        });
        self.apply(self.attempts.len() - 1, actions);
    }

    fn apply(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            let attempt = &mut self.attempts[index];
            match action {
                Action::Refuse(_) => attempt.refused = true,
                Action::Fail => assert!(attempt.executed, "reported as possibly run, but not sent"),
                Action::Answer { body, .. } => {
                    let Body::Inline(text) = body else {
                        panic!("body is not inline")
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
        assert!(!attempt.refused, "sent after it was refused as not run");
        attempt.executed = true;
        *self.executions.entry(attempt.key).or_default() += 1;
    }

    fn run(&mut self, pick: usize, delivery: Delivery) {
        if self.pending.is_empty() {
            return;
        }
        let (index, action) = self.pending.swap_remove(pick % self.pending.len());
        if !self.attempts[index].process_alive {
            return;
        }
        let key = self.attempts[index].key;
        let event = match (action, delivery) {
            (Action::Write { .. }, Delivery::Unreachable) => Event::Unavailable,
            (Action::Write { .. }, Delivery::Dropped) => Event::Unknown,
            (
                Action::Write {
                    record, expected, ..
                },
                Delivery::Delayed,
            ) => {
                self.delayed.push((key, record, expected));
                Event::Unknown
            }
            (
                Action::Write {
                    record, expected, ..
                },
                Delivery::ResponseLost,
            ) => {
                self.write(key, record, expected);
                Event::Unknown
            }
            (
                Action::Write {
                    record, expected, ..
                },
                Delivery::Normal,
            ) => self.write(key, record, expected),
            (Action::Read { .. }, Delivery::Normal) => self.found(key),
            (Action::Read { .. }, _) => Event::ReadFailed,
            (Action::Send, Delivery::Unreachable) => Event::NotSent,
            (Action::Send, Delivery::Normal) => {
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
        self.apply(index, actions);
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Arrive { agent, key, body } => self.arrive(*agent, *key, *body),
            Step::Run { pick, delivery } => self.run(*pick, *delivery),
            Step::Crash { agent } => {
                self.incarnations[*agent] += 1;
                for attempt in self.attempts.iter_mut().filter(|a| a.agent == *agent) {
                    attempt.process_alive = false;
                }
            }
            Step::Advance { ms } => self.now = self.now + DurationMs(*ms),
            Step::DelayedWrite { pick } => {
                if !self.delayed.is_empty() {
                    let (key, record, expected) =
                        self.delayed.swap_remove(pick % self.delayed.len());
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
            prop_assert!(
                !(attempt.refused && attempt.executed),
                "refused as not run, but executed"
            );
            if let Some(answer) = &attempt.answer {
                prop_assert_eq!(answer, &format!("{}:{}", attempt.key, attempt.body));
                prop_assert_eq!(self.executions.get(&attempt.key), Some(&1));
            }
        }
        Ok(())
    }
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        6 => Just(Delivery::Normal),
        2 => Just(Delivery::ResponseLost),
        1 => Just(Delivery::Dropped),
        1 => Just(Delivery::Delayed),
        1 => Just(Delivery::Unreachable),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0usize..3, 0usize..2, 0usize..2)
            .prop_map(|(agent, key, body)| Step::Arrive { agent, key, body }),
        16 => (any::<usize>(), delivery()).prop_map(|(pick, delivery)| Step::Run { pick, delivery }),
        1 => (0usize..3).prop_map(|agent| Step::Crash { agent }),
        2 => (0u64..8_000).prop_map(|ms| Step::Advance { ms }),
        2 => any::<usize>().prop_map(|pick| Step::DelayedWrite { pick }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Guards against a key whose call runs twice, a wrong "not run", and a response to a different
    /// body.
    #[test]
    fn no_key_runs_twice(steps in prop::collection::vec(step(), 1..150)) {
        let mut simulation = Simulation::default();
        for step in steps {
            simulation.step(&step);
        }
        simulation.check()?;
        for _ in 0..2_000 {
            simulation.run(0, Delivery::Normal);
        }
        simulation.check()?;
        for attempt in simulation.attempts.iter().filter(|attempt| attempt.process_alive) {
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

/// Guards against a call that is sent after its deadline because the process was paused between the
/// insert and the send.
#[test]
fn pause_past_deadline_refuses() {
    let actions = begin(1).handle(Event::Committed { version: 3 }, TimeMs(100));
    assert_eq!(actions[0], Action::Refuse(Refusal::TooLate));
    assert!(!actions.contains(&Action::Send));
}

/// Guards against a call that is refused because the response to its own insert was lost.
#[test]
fn lost_insert_is_settled_by_attempt() {
    let mut call = begin(1);
    call.handle(Event::Unknown, TimeMs(1));
    assert_eq!(
        call.handle(found(running(7, "h"), 1), TimeMs(2)),
        [Action::Send]
    );
}

/// Guards against wrong refusals when there is another attempt with the same key.
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

/// Guards against two organisations that share a record because their ids contain slashes.
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

/// Guards against batches that are too large or wait too long.
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

/// Guards against a change of the stored format, which other releases could not read.
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
