//! Decisions of a router: when it asks, and what it does with the answer.
//!
//! Load pattern: calm, in which no request may wait for a question; and an overload, in which most
//! refusals must not cost one.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::ServiceId;
use dw_base::TimeMs;
use dw_wire::AdmissionOffer;
use dw_wire::AdmissionResult;
use dw_wire::UpstreamStart;

use crate::admission_rate::AdmissionRate;

/// Maximum number of engines whose denial a request meets before it is refused.
const MAX_DENIALS: u32 = 8;

/// Number of engines whose denial a request meets before it is refused while most engines deny.
const MIN_DENIALS: u32 = 2;

/// Chance that the next engine admits a request from which that engine is tried too.
const LEAST_CHANCE: f64 = 0.5;

/// Part of the remaining objective above which an expected wait is confirmed by the engine's sidecar.
const ASK_FROM: f64 = 0.25;

/// Time for which each engine of a service is asked about each request once a denial has run out. An engine
/// that comes back empty into an overload would otherwise get a request of every waiting caller at once.
const ASK_AFTER_DENIAL_MS: DurationMs = DurationMs(1_000);

/// Maximum number of engines whose denials are remembered.
const MAX_ENGINES: usize = 4_096;

/// An engine that a request may be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target<'a> {
    /// Start of the engine.
    pub engine: UpstreamStart,
    /// Its service.
    pub service: &'a ServiceId,
}

/// What a router expects of an engine for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Expectation {
    /// Wait for earlier prompts.
    pub wait_ms: DurationMs,
    /// Time to the first token, which includes the wait.
    pub first_token_ms: DurationMs,
}

/// The last denial of an engine.
#[derive(Clone, Copy, Debug)]
struct Denial {
    until: TimeMs,
    priority: u8,
    slack_ms: DurationMs,
}

/// Denials that a router has received.
#[derive(Clone, Debug, Default)]
pub struct Requester {
    denials: HashMap<UpstreamStart, Denial>,
    /// Until when the last denial of any engine of a service holds.
    services: HashMap<ServiceId, TimeMs>,
    /// Admissions among the answers of the sidecars of a service.
    rates: HashMap<ServiceId, AdmissionRate>,
}

fn is_recent(denied_until: TimeMs, now: TimeMs) -> bool {
    now.since(denied_until) < ASK_AFTER_DENIAL_MS
}

fn slack_ms(offer: &AdmissionOffer) -> DurationMs {
    offer.objective_ms.saturating_sub(offer.compute_ms)
}

impl Requester {
    /// Returns whether a request may be sent to an engine of a service only once its sidecar was asked.
    pub fn is_needed(
        &self,
        service: &ServiceId,
        (offer, expected): (&AdmissionOffer, &Expectation),
        now: TimeMs,
    ) -> bool {
        let noticeable_ms = offer.objective_ms.0 as f64 * ASK_FROM;
        let denied_until = self.services.get(service);
        expected.wait_ms.0 as f64 > noticeable_ms
            || denied_until.is_some_and(|until| is_recent(*until, now))
    }

    /// Returns how long an engine takes no such request: one that is neither more urgent nor has more time
    /// than the one that it denied.
    pub fn denied_for(
        &self,
        engine: UpstreamStart,
        offer: &AdmissionOffer,
        now: TimeMs,
    ) -> Option<DurationMs> {
        let denial = self.denials.get(&engine)?;
        let applies = denial.until > now
            && offer.priority >= denial.priority
            && slack_ms(offer) <= denial.slack_ms;
        applies.then(|| denial.until.since(now))
    }

    /// Records the answer of an engine's sidecar; returns how long the engine takes no such request, or
    /// nothing if it is granted.
    pub fn record(
        &mut self,
        target: Target<'_>,
        (offer, result): (&AdmissionOffer, AdmissionResult),
        now: TimeMs,
    ) -> Option<DurationMs> {
        self.record_answer(target.service, result, now);
        let wait_ms = match result {
            AdmissionResult::Granted => return None,
            AdmissionResult::Denied(wait_ms) => {
                self.record_denial(target, (offer, wait_ms), now);
                wait_ms
            }
            // It concerns one organisation, and others may be sent there.
            AdmissionResult::OverShare(wait_ms) => {
                self.record_denial(target, (offer, DurationMs::ZERO), now);
                wait_ms
            }
        };
        Some(wait_ms)
    }

    /// Returns whether a request that so many engines have denied is offered to another one.
    ///
    /// In an overload of the whole service the next engine denies it too, and the question would cost what the
    /// served requests need. Otherwise the engines that denied it are exceptions.
    pub fn may_try_next(&self, service: &ServiceId, denials: u32) -> bool {
        let chance = self.rates.get(service).map(AdmissionRate::chance);
        let is_likely = chance.is_none_or(|chance| chance >= LEAST_CHANCE);
        denials < MIN_DENIALS || (is_likely && denials < MAX_DENIALS)
    }

    /// Decides without an answer: returns how long the request would miss its objective, or nothing if it
    /// is expected to meet it.
    pub fn decide_alone(offer: &AdmissionOffer, expected: &Expectation) -> Option<DurationMs> {
        let excess_ms = expected.first_token_ms.saturating_sub(offer.objective_ms);
        (excess_ms > DurationMs::ZERO).then_some(excess_ms)
    }

    /// Removes denials that concern no request any more.
    pub fn expire(&mut self, now: TimeMs) {
        self.denials.retain(|_, denial| denial.until > now);
        self.services.retain(|_, until| is_recent(*until, now));
    }

    fn record_answer(&mut self, service: &ServiceId, result: AdmissionResult, now: TimeMs) {
        let is_granted = result == AdmissionResult::Granted;
        match self.rates.get_mut(service) {
            Some(rate) => rate.record(is_granted, now),
            None => {
                let mut rate = AdmissionRate::default();
                rate.record(is_granted, now);
                self.rates.insert(service.clone(), rate);
            }
        }
    }

    fn record_denial(
        &mut self,
        target: Target<'_>,
        (offer, wait_ms): (&AdmissionOffer, DurationMs),
        now: TimeMs,
    ) {
        if self.denials.len() >= MAX_ENGINES {
            self.denials.clear();
        }
        let denial = Denial {
            until: now + wait_ms,
            priority: offer.priority,
            slack_ms: slack_ms(offer),
        };
        self.denials.insert(target.engine, denial);
        match self.services.get_mut(target.service) {
            Some(until) => *until = denial.until.max(*until),
            None => {
                self.services.insert(target.service.clone(), denial.until);
            }
        }
    }
}
