//! Pre-emption of a running generation.

mod common;

use common::generate_request;
use common::run;
use common::text_of;
use common::Setup;
use dw_admit::Action;
use dw_admit::Fifo;
use dw_admit::Finished;
use dw_admit::Gate;
use dw_admit::Load;
use dw_admit::Ticket;
use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::TimeMs;
use dw_base::TokensPerS;
use dw_wire::Frame;

/// Runs one request at a time; an urgent one pre-empts the one that runs.
struct Preemptive {
    fifo: Fifo,
    running: Option<u64>,
}

impl Gate for Preemptive {
    fn offer(&mut self, ticket: Ticket, now: TimeMs) -> Vec<Action> {
        let urgent = ticket.priority == Priority::Urgent;
        let mut actions = self.fifo.offer(ticket, now);
        if let (true, Some(id)) = (urgent, self.running) {
            actions.push(Action::Preempt { id });
        }
        actions
    }

    fn next(&mut self, now: TimeMs) -> Vec<Action> {
        let actions = self.fifo.next(now);
        for action in &actions {
            if let Action::Start(ticket) = action {
                self.running = Some(ticket.id);
            }
        }
        actions
    }

    fn finished(&mut self, finished: &Finished, now: TimeMs) {
        self.running = None;
        self.fifo.finished(finished, now);
    }

    fn withdraw(&mut self, id: u64) -> bool {
        self.fifo.withdraw(id)
    }

    fn expected_wait_ms(&self, priority: Priority, now: TimeMs) -> DurationMs {
        self.fifo.expected_wait_ms(priority, now)
    }

    fn load(&self) -> Load {
        self.fifo.load()
    }
}

/// Guards against chunks that are lost or repeated when a generation is cancelled and continued.
#[tokio::test]
async fn preempted_generation_continues() {
    let setup = Setup::new().await;
    setup.upstream.set(|fake| fake.allowed = 1);
    let speed = |value| TokensPerS::new(value).expect("valid speed");
    let fifo = Fifo::new(1, 8, speed(10_000.0), speed(50.0));
    let gate = Preemptive {
        fifo,
        running: None,
    };
    let agent = setup.agent_with("e", Box::new(gate)).await;
    while !agent.status().accepting {
        tokio::task::yield_now().await;
    }
    let mut slow = run(&agent, &generate_request("slow", "hello", 3)).await;
    let mut frames = Vec::new();
    for _ in 0..2 {
        frames.push(slow.next().await.expect("start and one chunk"));
    }
    let mut urgent = generate_request("fast", "hello", 0);
    urgent.priority = Priority::Urgent;
    let fast = run(&agent, &urgent).await.all().await;
    assert!(matches!(fast.last(), Some(Frame::End(_))), "{fast:?}");
    setup.upstream.set(|fake| fake.allowed = u64::MAX);
    frames.extend(slow.all().await);
    text_of(&frames, 0);
    let Some(Frame::End(end)) = frames.last() else {
        panic!("unexpected {frames:?}");
    };
    assert_eq!(end.chunks, 3);
    let fake = setup.upstream.state.lock().expect("lives");
    assert_eq!(fake.cancelled, ["slow.1.0"]);
    assert_eq!(fake.generations["slow.1.1"], ("hellot0 ".to_owned(), 2));
}
