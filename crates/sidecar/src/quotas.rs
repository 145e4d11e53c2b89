//! Counts what organisations use of their quotas.

use std::net::SocketAddr;

use dw_base::TimeMs;
use dw_wire::Datagram;
use dw_wire::QuotaAnswer;
use dw_wire::QuotaQuestion;
use dw_wire::QuotaReturn;

use crate::permits::send_answer;
use crate::sidecar::Shared;

/// Tells the counter which sidecars are live.
pub(crate) fn tick(shared: &Shared, now: TimeMs) {
    let state = shared.state.borrow();
    let mut live = state.members.engines();
    live.insert(shared.engine);
    let is_live =
        |engine: &SocketAddr| *engine == shared.engine || state.view.engine(*engine, now).is_some();
    let mut live: Vec<SocketAddr> = live.into_iter().filter(is_live).collect();
    live.sort_unstable();
    let mut counter = shared.counter.borrow_mut();
    let dropped = counter.tick(live, now);
    if dropped > 0 {
        log::info!(dropped; "other sidecars count the quotas of organisations");
    }
    shared.metrics.set_quota_accounts(counter.accounts());
}

/// Answers whether a request is within the quota of its organisation.
pub(crate) fn answer(shared: &Shared, from: SocketAddr, question: &QuotaQuestion, now: TimeMs) {
    let (result, change) = shared.counter.borrow_mut().ask(from, question, now);
    if let Some(change) = change {
        let limit = change.after;
        log::info!(
            org:% = question.org, rate:% = limit.rate, burst:% = limit.burst,
            config_version = limit.version.0,
            rate_before = change.before.map_or(0.0, |before| before.rate.per_s());
            "counting the quota of an organisation"
        );
    }
    shared.metrics.record_quota(result.label());
    let answer = QuotaAnswer {
        number: question.number,
        result,
    };
    send_answer(shared, from, &Datagram::QuotaAnswer(answer));
}

/// Takes back what was granted to a request that did not run or got no answer.
pub(crate) fn give_back(shared: &Shared, from: SocketAddr, returned: &QuotaReturn, now: TimeMs) {
    shared.counter.borrow_mut().give_back(from, returned, now);
    shared.metrics.record_quota("returned");
}
