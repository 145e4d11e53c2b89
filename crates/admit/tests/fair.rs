//! Tests of the `Fair` admission policy in virtual time.

use std::collections::BTreeMap;

use dw_admit::Action;
use dw_admit::Cause;
use dw_admit::Fair;
use dw_admit::FairSettings;
use dw_admit::Finished;
use dw_admit::Gate;
use dw_admit::Ticket;
use dw_base::seeded_rng;
use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::TokensPerS;
use dw_base::Worth;
use proptest::prelude::*;
use rand::RngExt;

fn gate(max_running: u32, max_queued: usize, preempts: bool) -> Fair {
    gate_with(max_running, max_queued, preempts, 2)
}

fn gate_with(max_running: u32, max_queued: usize, preempts: bool, max_prefills: u32) -> Fair {
    let speed = |value| TokensPerS::new(value).expect("speed is valid");
    let settings = FairSettings::builder()
        .max_running(max_running)
        .max_queued(max_queued)
        .max_wait_ms(DurationMs(1_000_000_000))
        .prefill_tokens_per_s(speed(8_000.0))
        .decode_tokens_per_s(speed(50.0))
        .preempts(preempts)
        .max_prefills(max_prefills)
        .build();
    Fair::new(settings)
}

fn ticket(id: u64, org: u64, priority: Priority, tokens: u64) -> Ticket {
    Ticket {
        id,
        org: format!("org-{org}").parse().expect("id is valid"),
        share: 1.0,
        priority,
        worth: Worth::new(1.0).expect("worth is valid"),
        uncached_tokens: Tokens(tokens),
        max_tokens: Tokens(50),
        deadline: TimeMs(1_000_000_000),
        repeatable: true,
    }
}

fn finished(ticket: &Ticket, speed: f64) -> Finished {
    let prefill = ticket.uncached_tokens.0 as f64 * 1_000.0 / speed;
    Finished {
        id: ticket.id,
        computed_tokens: ticket.uncached_tokens,
        generated_tokens: ticket.max_tokens,
        prefill_ms: DurationMs(prefill as u64),
        total_ms: DurationMs(prefill as u64 + ticket.max_tokens.0 * 20),
    }
}

/// Expected state of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting,
    Running,
    Ended,
    Refused,
}

proptest! {
    /// Guards against requests that are lost, started twice, or both started and refused, and
    /// against requests that start while an urgent one is queued.
    #[test]
    fn every_request_has_one_outcome(
        steps in prop::collection::vec((0u8..5, 0u64..3, 1u64..20_000, 0u64..4_000), 1..120),
        preempts in any::<bool>(),
    ) {
        let mut gate = gate(3, 6, preempts);
        let mut states: BTreeMap<u64, (Ticket, State)> = BTreeMap::new();
        let mut now = TimeMs(1);
        for (id, (kind, pick, tokens, wait)) in steps.into_iter().enumerate() {
            now = now + DurationMs(wait / 4);
            let mut actions = Vec::new();
            match kind {
                0..=2 => {
                    let mut ticket = ticket(id as u64, pick, Priority::ALL[pick as usize], tokens);
                    ticket.deadline = now + DurationMs(wait);
                    ticket.repeatable = tokens % 2 == 0;
                    states.insert(ticket.id, (ticket.clone(), State::Waiting));
                    actions = gate.offer(ticket, now);
                }
                3 => {
                    let running = states.values_mut().find(|(_, s)| *s == State::Running);
                    if let Some((ticket, state)) = running {
                        gate.finished(&finished(ticket, 4_000.0), now);
                        *state = State::Ended;
                    }
                }
                _ => actions = gate.next(now),
            }
            let mut preempted = Vec::new();
            for action in actions {
                match action {
                    Action::Refuse { id, .. } => {
                        prop_assert_eq!(states[&id].1, State::Waiting);
                        states.get_mut(&id).expect("id is known").1 = State::Refused;
                    }
                    Action::Start(ticket) => {
                        prop_assert_eq!(states[&ticket.id].1, State::Waiting);
                        let urgent_waits = states.values().any(|(other, state)| {
                            *state == State::Waiting
                                && other.priority == Priority::Urgent
                                && ticket.priority != Priority::Urgent
                        });
                        prop_assert!(!urgent_waits);
                        states.get_mut(&ticket.id).expect("id is known").1 = State::Running;
                    }
                    Action::Preempt { id } => {
                        let (ticket, state) = states.get_mut(&id).expect("id is known");
                        prop_assert_eq!(*state, State::Running);
                        prop_assert!(ticket.repeatable && ticket.priority != Priority::Urgent);
                        *state = State::Waiting;
                        preempted.push(ticket.clone());
                    }
                }
            }
            for ticket in preempted {
                let id = ticket.id;
                for action in gate.offer(ticket, now) {
                    if let Action::Refuse { id: refused, .. } = action {
                        prop_assert_ne!(refused, id);
                        states.get_mut(&refused).expect("id is known").1 = State::Refused;
                    }
                }
            }
            let count = |wanted| states.values().filter(|(_, s)| *s == wanted).count() as u32;
            prop_assert_eq!(gate.load().queued, count(State::Waiting));
            prop_assert_eq!(gate.load().running, count(State::Running));
            prop_assert!(count(State::Running) <= 3);
        }
    }

    /// Guards against an organisation that gets more than its share while others are queued. In
    /// start-time fair queueing, the served work of two backlogged flows differs by at most one
    /// request of each.
    #[test]
    fn served_work_is_fair(
        sizes in prop::collection::vec((1u64..5_000, 1u64..5_000), 60),
        share in 1u32..5,
    ) {
        let mut gate = gate(1, 1_000, false);
        let now = TimeMs(1);
        for (i, (first, second)) in sizes.iter().enumerate() {
            let mut favoured = ticket(2 * i as u64, 0, Priority::Normal, *first);
            favoured.share = f64::from(share);
            gate.offer(favoured, now);
            gate.offer(ticket(2 * i as u64 + 1, 1, Priority::Normal, *second), now);
        }
        prop_assert_eq!(gate.load().queued, 120);
        let mut served = [0.0, 0.0];
        let mut unserved = [60, 60];
        for _ in 0..120 {
            if unserved[0] == 0 || unserved[1] == 0 {
                break;
            }
            for action in gate.next(now) {
                if let Action::Start(ticket) = action {
                    let org = (ticket.id % 2) as usize;
                    let cost = ticket.uncached_tokens.0 as f64 + 4.0 * 50.0;
                    served[org] += cost / ticket.share;
                    unserved[org] -= 1;
                    gate.finished(&finished(&ticket, 8_000.0), now);
                }
            }
            let bound = 5_200.0 / f64::from(share) + 5_200.0;
            prop_assert!((served[0] - served[1]).abs() <= bound, "{:?}", served);
        }
    }
}

/// Guards against a full queue that refuses cheap requests in favour of expensive ones, and against
/// shedding a request with a higher priority than the new one.
#[test]
fn lowest_worth_per_cost_is_shed() {
    let mut gate = gate(1, 2, false);
    let now = TimeMs(1);
    gate.offer(ticket(1, 0, Priority::Urgent, 20_000), now);
    gate.offer(ticket(2, 0, Priority::Normal, 9_000), now);
    let shed = |actions: Vec<Action>| match actions.as_slice() {
        [Action::Refuse { id, cause, .. }] => (*id, *cause),
        other => panic!("one refusal expected, got {other:?}"),
    };
    assert_eq!(
        shed(gate.offer(ticket(3, 1, Priority::Normal, 100), now)),
        (2, Cause::QueueFull)
    );
    assert_eq!(
        shed(gate.offer(ticket(4, 1, Priority::Batch, 100), now)),
        (4, Cause::QueueFull)
    );
}

/// Guards against a request that stays queued although it cannot meet its deadline.
#[test]
fn unmeetable_deadline_is_refused_at_once() {
    let mut gate = gate(1, 10, false);
    let now = TimeMs(1_000);
    gate.offer(ticket(1, 0, Priority::Normal, 80_000), now);
    gate.next(now);
    let mut late = ticket(2, 0, Priority::Normal, 100);
    late.deadline = now + DurationMs(5_000);
    match gate.offer(late, now).as_slice() {
        [Action::Refuse {
            id: 2,
            cause: Cause::DeadlineUnmeetable,
            retry_after_ms,
        }] => assert!(
            (10_000..=12_000).contains(&retry_after_ms.0),
            "{retry_after_ms}"
        ),
        other => panic!("refusal expected, got {other:?}"),
    }
}

/// Returns the worth of the requests whose first token came before their deadline, at `load` times
/// the capacity. Simulates virtual time in steps of 1 ms.
fn goodput(load: f64, seed: u64) -> f64 {
    const SLOTS: usize = 4;
    // Half the configured speed, so that the policy must measure it.
    const SPEED: f64 = 4_000.0;
    let mut gate = gate(SLOTS as u32, 64, false);
    let mut rng = seeded_rng(seed);
    let mut running: Vec<(TimeMs, TimeMs, Ticket)> = Vec::new();
    let mut answered_worth = 0.0;
    // The mean service time is 750 ms of prefill and 1,000 ms of decode.
    let arrival_probability = load * SLOTS as f64 / 1_750.0;
    for step in 1..=120_000 {
        let now = TimeMs(step);
        running.retain(|(end, started, ticket)| {
            if *end <= now {
                gate.finished(&finished(ticket, SPEED), now);
                let first_token = *started + finished(ticket, SPEED).prefill_ms;
                if first_token <= ticket.deadline && step > 20_000 {
                    answered_worth += ticket.worth.get();
                }
            }
            *end > now
        });
        if rng.random::<f64>() < arrival_probability {
            let tokens = rng.random_range(1_000..5_000);
            let mut ticket = ticket(step, step % 5, Priority::Normal, tokens);
            ticket.deadline = now + DurationMs(3_000);
            gate.offer(ticket, now);
        }
        for action in gate.next(now) {
            if let Action::Start(ticket) = action {
                let end = now + finished(&ticket, SPEED).total_ms;
                running.push((end, now, ticket));
            }
        }
    }
    answered_worth
}

/// Guards against congestion collapse, in which capacity is spent on requests that miss their
/// deadlines.
#[test]
fn goodput_holds_under_overload() {
    for seed in [1, 2, 3] {
        let loads = [0.8, 0.9, 1.0, 1.5, 3.0];
        let goodputs: Vec<f64> = loads.iter().map(|load| goodput(*load, seed)).collect();
        println!("seed {seed}: goodput {goodputs:?} at loads {loads:?}");
        let peak = goodputs.iter().copied().fold(0.0, f64::max);
        assert!(
            goodputs[3] >= 0.9 * peak && goodputs[4] >= 0.9 * peak,
            "{goodputs:?}"
        );
    }
}

/// Guards against an urgent request that waits for a batch request although the upstream can resume
/// the latter, and against a request that is pre-empted more than once.
#[test]
fn urgent_work_preempts_once() {
    let mut gate = gate(1, 10, true);
    let now = TimeMs(1);
    let batch = ticket(1, 0, Priority::Batch, 50_000);
    gate.offer(batch.clone(), now);
    gate.next(now);
    assert_eq!(gate.expected_wait_ms(Priority::Urgent, now), DurationMs(0));
    let urgent = ticket(2, 1, Priority::Urgent, 100);
    gate.offer(urgent.clone(), now);
    let expected = vec![Action::Preempt { id: 1 }, Action::Start(urgent.clone())];
    assert_eq!(gate.next(now), expected);
    assert_eq!(gate.offer(batch.clone(), now), Vec::new());
    gate.finished(&finished(&urgent, 8_000.0), now);
    assert_eq!(gate.next(now), vec![Action::Start(batch)]);
    gate.offer(ticket(3, 1, Priority::Urgent, 100), now);
    assert_eq!(gate.next(now), Vec::new());
}

fn started(actions: &[Action]) -> Vec<u64> {
    let ids = actions.iter().filter_map(|action| match action {
        Action::Start(ticket) => Some(ticket.id),
        _ => None,
    });
    ids.collect()
}

/// Guards against concurrent prefills that delay each other, and against urgent prefills that wait
/// for others.
#[test]
fn prompts_are_computed_one_after_the_other() {
    let mut gate = gate_with(4, 8, false, 1);
    for id in 1..=2 {
        gate.offer(ticket(id, 1, Priority::Normal, 8_000), TimeMs(0));
    }
    assert_eq!(started(&gate.next(TimeMs(0))), [1]);
    gate.offer(ticket(3, 1, Priority::Urgent, 8_000), TimeMs(10));
    assert_eq!(started(&gate.next(TimeMs(10))), [3]);
    gate.first_token(3, TimeMs(500));
    assert_eq!(started(&gate.next(TimeMs(500))), []);
    gate.first_token(1, TimeMs(900));
    assert_eq!(started(&gate.next(TimeMs(900))), [2]);
}

/// Guards against short prefills that wait for each other although each takes only a few
/// milliseconds.
#[test]
fn short_prompts_are_computed_together() {
    let mut gate = gate_with(16, 16, false, 1);
    for id in 1..=8 {
        gate.offer(ticket(id, 1, Priority::Normal, 40), TimeMs(0));
    }
    assert_eq!(started(&gate.next(TimeMs(0))).len(), 8);
}

/// Guards against a request that is queued although the prefills before it take too long, so that
/// it is refused only shortly before its deadline.
#[test]
fn late_requests_are_refused_on_arrival() {
    let mut gate = gate_with(8, 100, false, 1);
    let mut refused = Vec::new();
    for id in 1..=20 {
        let mut ticket = ticket(id, 1, Priority::Normal, 8_000);
        ticket.deadline = TimeMs(10_000);
        for action in gate.offer(ticket, TimeMs(0)) {
            match action {
                Action::Refuse { id: other, .. } => refused.push((id, other)),
                other => panic!("unexpected {other:?}"),
            }
        }
        gate.next(TimeMs(0));
    }
    // Each prefill takes 1 s and each decode another 1 s, so nine requests fit into 10 s.
    assert!(refused.iter().all(|(at, id)| at == id), "{refused:?}");
    assert!((10..=12).contains(&refused.len()), "{refused:?}");
    let mut now = TimeMs(0);
    let mut running = vec![1];
    while let Some(id) = running.pop() {
        now = now + DurationMs(1_000);
        gate.first_token(id, now);
        let actions = gate.next(now);
        let late = |action: &Action| matches!(action, Action::Refuse { .. });
        assert!(!actions.iter().any(late), "{actions:?}");
        running.extend(started(&actions));
    }
}
