//! Refusals while the engine is paused and the platform does not answer.

mod common;

use common::call_request;
use common::generate_request;
use common::run;
use common::run_at;
use common::Setup;
use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::Worth;
use dw_standin::Outage;
use dw_standin::PlatformFaults;
use dw_wire::Frame;
use dw_wire::RefusalReason;
use dw_wire::RepeatRule;

impl Setup {
    /// Lets neither the upstream nor the table nor the object store answer any more.
    fn silence(&self) {
        let hang = PlatformFaults {
            outage: Outage::Hang,
            ..PlatformFaults::default()
        };
        self.table.set_faults(hang.clone());
        self.objects.set_faults(hang);
        self.upstream.set(|fake| fake.paused = true);
    }
}

fn reason(frames: &[Frame]) -> RefusalReason {
    match frames {
        [Frame::Refused(refusal)] => refusal.reason,
        other => panic!("unexpected {other:?}"),
    }
}

/// Guards against a refusal that waits for the engine, the table or the object store. None of them
/// answers, so a refusal that waited would never arrive.
#[tokio::test]
async fn refusals_need_no_answer_of_others() {
    let setup = Setup::new().await;
    let agent = setup.agent("e").await;
    setup.silence();
    let mut held = Vec::new();
    for number in 0..10 {
        let mut request = generate_request(&format!("r{number}"), "hello", 1);
        request.worth = Worth::new(2.0).expect("valid worth");
        held.push(run(&agent, &request).await);
    }
    let base = generate_request("full", "hello", 1);
    let mut hurried = generate_request("hurried", "hello", 1);
    hurried.budget_ms = DurationMs(1);
    let mut wrong = generate_request("wrong", "hello", 1);
    wrong.upstream = "x".parse().expect("valid id");
    let mut bad = generate_request("bad", "hello", 1);
    bad.org = "another".parse().expect("valid id");
    for (request, expected) in [
        (base, RefusalReason::QueueFull),
        (hurried, RefusalReason::DeadlineUnmeetable),
        (wrong, RefusalReason::WrongUpstream),
        (bad, RefusalReason::BadRequest),
    ] {
        let frames = run(&agent, &request).await.all().await;
        assert_eq!(reason(&frames), expected);
    }
    // A more valuable request takes the place of one that waits, which is refused.
    let mut valuable = generate_request("valuable", "hello", 1);
    valuable.worth = Worth::new(3.0).expect("valid worth");
    let _valuable = run(&agent, &valuable).await;
    let refused = futures::future::select_all(held.into_iter().map(|h| Box::pin(h.all()))).await;
    assert_eq!(reason(&refused.0), RefusalReason::QueueFull);
    let addr = agent.data_addr();
    let leaving = tokio::spawn(agent.shutdown());
    let late = loop {
        let late = run_at(addr, &generate_request("late", "hello", 1)).await;
        let reason = reason(&late.all().await);
        if reason != RefusalReason::QueueFull {
            break reason;
        }
    };
    assert_eq!(late, RefusalReason::Leaving);
    leaving.abort();
}

/// Guards against plain calls that wait behind the record of a call that runs at most once.
#[tokio::test]
async fn calls_without_record_do_not_wait_for_the_table() {
    let setup = Setup::new().await;
    let agent = setup.agent("p").await;
    setup.table.set_faults(PlatformFaults {
        outage: Outage::Hang,
        ..PlatformFaults::default()
    });
    let _recorded = run(&agent, &call_request("a", "k", "1")).await;
    let mut plain = call_request("b", "k", "1");
    plain.repeat = RepeatRule::Idempotent;
    plain.priority = Priority::Urgent;
    let frames = run(&agent, &plain).await.all().await;
    assert!(
        matches!(frames.as_slice(), [Frame::Answer(_)]),
        "{frames:?}"
    );
}
