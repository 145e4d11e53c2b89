//! Following a table through its failures.

use std::collections::VecDeque;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use dw_base::DurationMs;
use dw_base::SystemClock;
use dw_follow::follow;
use dw_follow::follow_with_schedule;
use dw_follow::Follower;
use dw_follow::NextPoll;
use dw_follow::PollSchedule;
use dw_follow::PollSettings;
use dw_port::Feed;
use dw_port::FeedError;
use dw_port::Page;
use dw_port::TableVersion;
use tokio::time::timeout;

#[derive(Clone, Debug, Eq, PartialEq)]
enum Call {
    Snapshot,
    Changes { after: u64, wait_ms: u64 },
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Heard {
    Snapshot(Vec<u64>),
    Changes(Vec<u64>),
    Lost,
    Answered,
}

type Answer = Result<Page<u64>, FeedError>;

struct Script {
    answers: VecDeque<Answer>,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Script {
    async fn next(&mut self, call: Call) -> Answer {
        self.calls.lock().expect("test data is valid").push(call);
        match self.answers.pop_front() {
            Some(answer) => answer,
            None => std::future::pending().await,
        }
    }
}

#[async_trait]
impl Feed<u64> for Script {
    async fn snapshot(&mut self, _timeout_ms: DurationMs) -> Answer {
        self.next(Call::Snapshot).await
    }

    async fn changes(
        &mut self,
        after: TableVersion,
        wait_ms: DurationMs,
        timeout_ms: DurationMs,
    ) -> Answer {
        assert!(
            timeout_ms > wait_ms,
            "a call ends before the table may answer"
        );
        let call = Call::Changes {
            after: after.0,
            wait_ms: wait_ms.0,
        };
        self.next(call).await
    }
}

struct Ears(Arc<Mutex<Vec<Heard>>>);

impl Ears {
    fn hear(&self, heard: Heard) {
        self.0.lock().expect("test data is valid").push(heard);
    }
}

impl Follower<u64> for Ears {
    fn name(&self) -> &'static str {
        "numbers"
    }

    fn snapshot(&mut self, items: Vec<u64>) {
        self.hear(Heard::Snapshot(items));
    }

    fn changes(&mut self, items: Vec<u64>) {
        self.hear(Heard::Changes(items));
    }

    fn unreachable(&mut self) {
        self.hear(Heard::Lost);
    }

    fn reachable(&mut self) {
        self.hear(Heard::Answered);
    }
}

fn page(items: &[u64], version: u64) -> Answer {
    Ok(Page {
        items: items.to_vec(),
        version: TableVersion(version),
    })
}

async fn play(answers: Vec<Answer>) -> (Vec<Call>, Vec<Heard>) {
    let calls = Arc::new(Mutex::new(Vec::new()));
    let heard = Arc::new(Mutex::new(Vec::new()));
    let script = Script {
        answers: answers.into(),
        calls: calls.clone(),
    };
    let clock = Arc::new(SystemClock::new());
    let following = follow(
        Box::new(script),
        Ears(heard.clone()),
        PollSettings {
            max_wait_ms: DurationMs(3_000),
            pause_ms: DurationMs(400),
        },
        clock,
    );
    // The script ends in a call that is never answered.
    let _ = timeout(std::time::Duration::from_secs(30), following).await;
    let calls = calls.lock().expect("test data is valid").clone();
    let heard = heard.lock().expect("test data is valid").clone();
    (calls, heard)
}

/// Guards against a poll that waits on a table which has just come back: a call that is under way
/// while the table is silent is never answered, so a changed configuration would be late.
#[tokio::test(start_paused = true)]
async fn calls_after_a_failure_do_not_wait() {
    let lost = || Err(FeedError::Unreachable("silent".to_owned()));
    let answers = vec![page(&[1], 5), lost(), lost(), page(&[2], 6), page(&[], 6)];
    let (calls, heard) = play(answers).await;
    let changes = |after, wait_ms| Call::Changes { after, wait_ms };
    let expected = [
        Call::Snapshot,
        changes(5, 3_000),
        changes(5, 0),
        changes(5, 0),
        changes(6, 3_000),
        changes(6, 3_000),
    ];
    assert_eq!(calls, expected);
    let expected = [
        Heard::Answered,
        Heard::Snapshot(vec![1]),
        Heard::Lost,
        Heard::Lost,
        Heard::Answered,
        Heard::Changes(vec![2]),
        Heard::Answered,
        Heard::Changes(vec![]),
    ];
    assert_eq!(heard, expected);
}

/// Guards against changes that are missed when the table drops its history.
#[tokio::test(start_paused = true)]
async fn lost_history_leads_to_a_snapshot() {
    let answers = vec![page(&[1], 5), Err(FeedError::Expired), page(&[1, 2], 9)];
    let (calls, heard) = play(answers).await;
    assert_eq!(calls[2], Call::Snapshot);
    assert!(heard.contains(&Heard::Snapshot(vec![1, 2])));
}

/// Guards against one call for each of many changes that come within a second, as when all engines
/// of a large fleet load weights.
#[tokio::test(start_paused = true)]
async fn changes_that_follow_one_another_share_a_call() {
    let started = tokio::time::Instant::now();
    let answers = vec![page(&[], 1), page(&[1], 2), page(&[2], 3), page(&[], 3)];
    let (calls, _) = play(answers).await;
    assert_eq!(calls.len(), 5);
    // Two changes, each with a pause, and then the end of the play.
    assert!(started.elapsed() >= std::time::Duration::from_millis(800));
}

/// Guards against a leaving upstream that gets requests for too long because its registration is
/// read late, and against 2.5 calls a second of every router while all engines load weights: on the
/// grown sites these were more than half of all calls of the table.
#[test]
fn pause_uses_less_than_half_of_its_bound() {
    for bound_ms in [2_000, 3_000] {
        let pause_ms = PollSettings::pause_within(DurationMs(bound_ms)).0;
        assert!(pause_ms * 2 < bound_ms);
        assert!(pause_ms * 3 > bound_ms);
    }
}

/// Looks twice before each call, and pauses for a quarter of the time after changes.
#[derive(Default)]
struct Told(AtomicU64);

impl PollSchedule for Told {
    fn next_poll(&self, _position: TableVersion, _answered_ms: DurationMs) -> NextPoll {
        match self.0.fetch_add(1, Ordering::Relaxed) % 3 {
            2 => NextPoll::Call(DurationMs::ZERO),
            _ => NextPoll::Later(DurationMs(150)),
        }
    }

    fn pause_ms(&self, pause_ms: DurationMs) -> DurationMs {
        DurationMs(pause_ms.0 / 4)
    }
}

/// Guards against a router that reads a change late since it pauses as long as the one that has told
/// it, and against calls while nothing is told: three calls and two short pauses take 1.1 s, where
/// the whole pauses alone would take 3.2 s.
#[tokio::test(start_paused = true)]
async fn pacer_decides_on_calls_and_pauses() {
    let calls = Arc::new(Mutex::new(Vec::new()));
    let script = Script {
        answers: vec![page(&[1], 5), page(&[2], 6), page(&[3], 7)].into(),
        calls: calls.clone(),
    };
    let pace = PollSettings {
        max_wait_ms: DurationMs(3_000),
        pause_ms: DurationMs(1_600),
    };
    let ears = Ears(Arc::default());
    let clock = Arc::new(SystemClock::new());
    let following = follow_with_schedule(
        Box::new(script),
        ears,
        (pace, Box::new(Told::default())),
        clock,
    );
    let _ = timeout(std::time::Duration::from_millis(2_000), following).await;
    let calls = calls.lock().expect("test data is valid").clone();
    let changes = |after| Call::Changes { after, wait_ms: 0 };
    assert_eq!(calls, [Call::Snapshot, changes(5), changes(6), changes(7)]);
}
