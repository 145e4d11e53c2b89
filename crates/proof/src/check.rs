//! Checkers of histories against the records of upstreams.

use std::collections::BTreeMap;

use dw_api::service::Execution;
use dw_standin::answer_text;
use serde_json::Value;

use crate::caller::Reply;

/// Attempts and rounds of one request that the checker of streams considers.
const MOST_ATTEMPTS: u32 = 16;

/// One finished call of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Organisation.
    pub org: String,
    /// Service.
    pub service: String,
    /// Idempotency key.
    pub key: String,
    /// Body.
    pub body: Value,
    /// Answer.
    pub reply: Reply,
}

type Key<'a> = (&'a str, &'a str, &'a str);

/// Checks that no key has run twice, that each acknowledged call has run, and that every answer is
/// the result of the caller's own key and body. Returns the faults found.
pub fn check_once(calls: &[Call], executions: &[Execution]) -> Vec<String> {
    let mut faults = Vec::new();
    let mut runs: BTreeMap<Key<'_>, Vec<&Execution>> = BTreeMap::new();
    for execution in executions {
        // Calls that may be repeated have no key.
        let Some(key) = execution.key.as_deref() else {
            continue;
        };
        let key = (execution.user.as_str(), execution.service.as_str(), key);
        runs.entry(key).or_default().push(execution);
    }
    for (key, runs) in &runs {
        if runs.len() > 1 {
            faults.push(format!("{key:?} ran {} times: {runs:?}", runs.len()));
        }
    }
    let mut answers: BTreeMap<Key<'_>, Value> = BTreeMap::new();
    for call in calls.iter().filter(|call| call.reply.status == 200) {
        let key = (call.org.as_str(), call.service.as_str(), call.key.as_str());
        let answer = call.reply.json();
        if answer["service"] != call.service || answer["request"] != call.body {
            faults.push(format!("{key:?} got the answer of another call: {call:?}"));
        }
        let first = answers.entry(key).or_insert_with(|| answer.clone());
        if *first != answer {
            faults.push(format!("{key:?} got two answers: {first} and {answer}"));
        }
        let ran = runs.get(&key).is_some_and(|runs| runs[0].finished);
        if !ran {
            faults.push(format!("{key:?} was acknowledged and has not run"));
        }
    }
    faults
}

/// Checks that no request whose refusal says "not run" has run. `ran` are the ids that upstreams
/// recorded, which are the request's own id or start with it and a full stop.
pub fn check_refusals<'a>(
    replies: impl IntoIterator<Item = &'a Reply>,
    ran: &[String],
) -> Vec<String> {
    let ran: std::collections::BTreeSet<&str> = ran
        .iter()
        .map(|id| id.split('.').next().unwrap_or_default())
        .collect();
    let refused = replies.into_iter().filter(|reply| reply.not_run());
    refused
        .filter(|reply| ran.contains(reply.request_id.as_str()))
        .map(|reply| format!("{reply:?} says not run, and it ran"))
        .collect()
}

/// Checks one answer to a streamed request: it is complete, or ends with an error event and without
/// `[DONE]`, and its text is that of its own request. Returns the faults found.
pub fn check_stream(reply: &Reply, max_tokens: u64) -> Vec<String> {
    let mut faults = Vec::new();
    let mut fault = |what: &str| faults.push(format!("{what}: {reply:?}"));
    if !reply.whole {
        fault("the connection broke");
    }
    if reply.status != 200 {
        if reply.error().is_none() {
            fault("a refusal has no error object");
        }
        return faults;
    }
    let text = reply.text();
    let attempts = (0..MOST_ATTEMPTS).map(|attempt| format!("{}.{attempt}.0", reply.request_id));
    let mut own = attempts.map(|id| answer_text(&id, max_tokens));
    match (reply.done(), reply.error()) {
        (true, Some(_)) => fault("an error event and [DONE]"),
        (false, None) => fault("neither an error event nor [DONE]"),
        (true, None) => {
            if !own.any(|whole| whole == text) {
                fault("the text is not that of the request");
            }
        }
        (false, Some(_)) => {
            if !own.any(|whole| whole.starts_with(&text)) {
                fault("the text is no beginning of that of the request");
            }
        }
    }
    faults
}
