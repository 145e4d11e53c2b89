//! Counts what organisations use of their quotas.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dw_base::TimeMs;
use dw_wire::Datagram;
use dw_wire::QuotaAnswer;
use dw_wire::QuotaHandover;
use dw_wire::QuotaQuestion;
use dw_wire::QuotaReturn;

use crate::permits::send_answer;
use crate::sidecar::Shared;

/// Maximum number of accounts in one datagram.
const MAX_HANDED_OVER: usize = 100;

/// Tells the counter which sidecars may count, and hands over the accounts that others count now.
pub(crate) fn tick(shared: &Shared, now: TimeMs) {
    let state = shared.state.borrow();
    // Gateways ask only sidecars of registered engines. Before the first roster, none else is known.
    let mut engines = state.members.engines();
    if engines.is_empty() {
        engines.insert(shared.engine);
    }
    let is_live =
        |engine: &SocketAddr| *engine == shared.engine || state.view.engine(*engine, now).is_some();
    let registered = engines.len();
    let live: Vec<SocketAddr> = engines.into_iter().filter(is_live).collect();
    drop(state);
    let heard = live.len();
    let mut counter = shared.counter.borrow_mut();
    let part_before = counter.part();
    let moved = counter.tick(live, registered, now);
    let part = counter.part();
    shared.metrics.set_quota_accounts(counter.accounts());
    drop(counter);
    if part != part_before {
        log::info!(part, part_before, heard, registered; "part of quotas that is granted here changed");
    }
    if !moved.is_empty() {
        log::info!(accounts = moved.len(); "other sidecars count the quotas of organisations");
        hand_over(shared, moved);
    }
}

fn hand_over(shared: &Shared, moved: Vec<(SocketAddr, QuotaHandover)>) {
    let mut receivers: BTreeMap<SocketAddr, Vec<QuotaHandover>> = BTreeMap::new();
    for (engine, account) in moved {
        receivers.entry(engine).or_default().push(account);
    }
    for (engine, accounts) in receivers {
        let sidecar = shared.sidecar_addr(engine);
        for accounts in accounts.chunks(MAX_HANDED_OVER) {
            send_answer(shared, sidecar, &Datagram::QuotaHandover(accounts.to_vec()));
        }
    }
}

/// Goes on with the accounts of a sidecar that has ceased to count.
pub(crate) fn take_over(shared: &Shared, accounts: &[QuotaHandover], now: TimeMs) {
    let mut counter = shared.counter.borrow_mut();
    for account in accounts {
        let is_taken = counter.take_over(account, now);
        log::info!(
            org:% = account.org, rate:% = account.limit.rate, balance = account.balance, is_taken;
            "another sidecar handed over the quota of an organisation"
        );
    }
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
    shared.metrics.record_quota(result.label(), question.amount);
    let answer = QuotaAnswer {
        number: question.number,
        result,
    };
    send_answer(shared, from, &Datagram::QuotaAnswer(answer));
}

/// Takes back what was granted to a request that did not run or got no answer.
pub(crate) fn give_back(shared: &Shared, from: SocketAddr, returned: &QuotaReturn, now: TimeMs) {
    shared.counter.borrow_mut().give_back(from, returned, now);
    shared.metrics.record_quota("returned", returned.amount);
}
