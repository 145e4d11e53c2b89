//! Prompts that crash each engine which begins an answer on them, at once or after some tokens.

use dw_base::BLOCK_BYTES;
use dw_proof::ask;
use dw_proof::until;
use dw_proof::RequestHead;
use dw_proof::Site;
use dw_proof::SiteSettings;
use dw_standin::EngineFaults;
use dw_standin::EngineSettings;

/// Crashes until the prompt must be known, and after it is known.
const MOST_CRASHES: u64 = 5 + 3;

/// Requests with the prompt.
const REQUESTS: usize = 24;

/// Text that crashes an engine.
const DEADLY: &str = "zzzz";

fn crashes(site: &Site) -> u64 {
    let engines = site.fleet.engines.values();
    engines.map(|engine| engine.state.incarnation() - 1).sum()
}

/// A prompt of a first piece that all share, one piece of its own, and a question.
fn prompt(piece: &str, question: usize) -> String {
    let first = "c".repeat(BLOCK_BYTES);
    let second = piece.repeat(BLOCK_BYTES / piece.len());
    format!("{first}{second}question {question}")
}

/// Sends deadly and sound prompts in turn, and checks how many engines crash.
async fn serve_beside_a_query_of_death(
    (routers, crash_after_tokens): (usize, u64),
    deadly: impl Fn(usize) -> String,
    sound: impl Fn(usize) -> String,
) {
    let engine = EngineSettings::builder()
        .prefill_tokens_per_s(200_000.0)
        .decode_ms_per_token(4.0)
        .max_batch(32)
        .build();
    let settings = SiteSettings::builder()
        .engines(vec![engine; 4])
        .routers(routers)
        .build();
    let site = Site::start(settings).await.expect("started");
    for engine in site.fleet.engines.values() {
        engine.state.set_faults(EngineFaults {
            crash_on: Some(DEADLY.to_owned()),
            crash_after_tokens,
            ..EngineFaults::default()
        });
    }
    let mut refused = 0;
    for number in 0..REQUESTS {
        let caller = site.callers(number);
        let request = RequestHead::stream("acme", "write", &deadly(number), 4);
        let reply = ask(caller, &request).await;
        assert!(
            !reply.done(),
            "an engine crashes before the answer is whole"
        );
        refused += u64::from(reply.kind() == "quarantined_prompt" && reply.not_run());
        let crashes = crashes(&site);
        assert!(
            crashes <= MOST_CRASHES,
            "one request or piece of the prompts crashed {crashes} engines, request {number}"
        );
        let request = RequestHead::stream("acme", "write", &sound(number), 4);
        let served = || async { ask(caller, &request).await.done() };
        until("a sound prompt with the same first piece is served", served)
            .await
            .expect("served");
    }
    assert!(
        refused >= REQUESTS as u64 - MOST_CRASHES,
        "requests that crash no engine are refused as not run: {refused} of {REQUESTS}"
    );
}

/// Guards against a prompt that is sent to one engine after the other by one router.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_prompt_crashes_engine_after_engine() {
    let deadly = |number| prompt(DEADLY, number);
    let sound = |number| prompt("abcd", number);
    serve_beside_a_query_of_death((1, 0), deadly, sound).await;
}

/// Guards against routers that each count for themselves.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn prompt_that_crashes_engines_is_known_to_all_routers() {
    let deadly = |number| prompt(DEADLY, number);
    let sound = |number| prompt("abcd", number);
    serve_beside_a_query_of_death((4, 0), deadly, sound).await;
}

/// Guards against one request that crashes engine after engine though its only whole block is answered in
/// sound requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_short_prompt_crashes_engine_after_engine() {
    let block = "c".repeat(BLOCK_BYTES);
    let deadly = |_| format!("{block}{DEADLY}");
    let sound = |number| format!("{block}{number}");
    serve_beside_a_query_of_death((4, 0), deadly, sound).await;
}

/// Guards against the first token of an answer that is taken for proof that its prompt is sound, and against
/// ends of engines amid streams that nobody counts.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn prompt_that_crashes_engines_after_the_first_token_is_stopped() {
    let deadly = |number| prompt(DEADLY, number);
    let sound = |number| prompt("abcd", number);
    serve_beside_a_query_of_death((4, 2), deadly, sound).await;
}
