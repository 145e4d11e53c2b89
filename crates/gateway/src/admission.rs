//! Rule of each try: the sidecar of a busy engine says whether the request may be sent there.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use dw_admit::retry_after_limit;
use dw_base::DurationMs;
use dw_base::MeasuredWork;
use dw_base::ServiceId;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::TokensPerS;
use dw_capacity::AnswerTimes;
use dw_capacity::Expectation;
use dw_capacity::Requester;
use dw_capacity::Target;
use dw_wire::AdmissionAnswer;
use dw_wire::AdmissionOffer;
use dw_wire::AdmissionQuestion;
use dw_wire::AdmissionResult;
use dw_wire::AdmissionReturn;
use dw_wire::Datagram;
use dw_wire::EngineEstimate;
use tokio::net::UdpSocket;

use crate::answer::GatewayAnswer;
use crate::context::RequestContext;
use crate::questions::Questions;
use crate::request::request_hash;
use crate::rules::Ruling;
use crate::selection::AttemptPlan;
use crate::shared::Shared;

/// Time that a request waits for the sidecar's answer before the gateway decides alone.
const ANSWER_TIMEOUT_MS: DurationMs = DurationMs(30);

/// Time within which an answer still arrives for which no request waits any more.
const LATE_ANSWER_MS: DurationMs = DurationMs(1_000);

/// Interval at which the speeds of all engines of a service are summed.
const SPEED_INTERVAL_MS: DurationMs = DurationMs(1_000);

/// Speed of an engine while nothing is measured in its service.
const PRIOR_TOKENS_PER_S: f64 = 90_000.0;

/// A request that was not sent as the answer about its admission did not arrive in time.
struct Unsent {
    engine: SocketAddr,
    offer: AdmissionOffer,
    at: TimeMs,
}

/// Admissions of engines as this gateway knows them.
pub(crate) struct Admissions {
    requester: RefCell<Requester>,
    questions: Questions<AdmissionResult>,
    /// Requests that were not sent as no answer arrived in time, by the number of the question.
    unsent: RefCell<HashMap<u32, Unsent>>,
    /// Speeds at which the engines of a service process their queues, and when they were summed.
    speeds: RefCell<HashMap<ServiceId, (TokensPerS, TimeMs)>>,
    answer_times: RefCell<AnswerTimes>,
}

impl Admissions {
    /// Creates the state in which nothing was asked.
    pub(crate) fn new(socket: Rc<UdpSocket>, inner_port: u16) -> Self {
        Admissions {
            requester: RefCell::default(),
            questions: Questions::new(socket, inner_port),
            unsent: RefCell::default(),
            speeds: RefCell::default(),
            answer_times: RefCell::default(),
        }
    }

    /// Records how long an answer of a model engine held its slot after its first token.
    pub(crate) fn record_answer_time(&self, service: &ServiceId, took_ms: DurationMs) {
        self.answer_times.borrow_mut().record(service, took_ms);
    }

    /// Passes the answer of a sidecar on to the request that waits for it. An admission that comes too late
    /// is given back.
    pub(crate) fn record_answer(&self, answer: AdmissionAnswer) {
        let is_awaited = self.questions.record_answer(answer.number, answer.result);
        let unsent = self.unsent.borrow_mut().remove(&answer.number);
        if let Some(unsent) = unsent.filter(|_| !is_awaited) {
            if answer.result == AdmissionResult::Granted {
                self.give_back(unsent.engine, unsent.offer);
            }
        }
    }

    /// Removes denials that concern no request any more, and requests about which no answer will arrive.
    pub(crate) fn expire(&self, now: TimeMs) {
        self.requester.borrow_mut().expire(now);
        let is_awaited = |unsent: &Unsent| now.since(unsent.at) < LATE_ANSWER_MS;
        self.unsent
            .borrow_mut()
            .retain(|_, unsent| is_awaited(unsent));
    }

    fn give_back(&self, engine: SocketAddr, offer: AdmissionOffer) {
        let returned = Datagram::AdmissionReturn(AdmissionReturn { offer });
        self.questions.tell(engine, &returned);
    }
}

/// An admission, which is given back when it is dropped unless its request was sent.
struct Admitted {
    shared: Rc<Shared>,
    engine: SocketAddr,
    offer: AdmissionOffer,
    is_sent: bool,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if !self.is_sent {
            let admissions = &self.shared.admissions;
            admissions.give_back(self.engine, self.offer.clone());
        }
    }
}

/// Denials that one request has met, and its admission.
#[derive(Default)]
pub(crate) struct Denials {
    count: u32,
    shortest_ms: Option<DurationMs>,
    admitted: Option<Admitted>,
}

/// What a sidecar says about a request.
enum Admission {
    /// No sidecar was asked.
    NotAsked,
    Granted(AdmissionOffer),
    /// The engine takes no such request for this time; the label is for logs.
    Denied(&'static str, DurationMs),
}

impl Denials {
    /// Decides about a try; returns nothing if the request may be sent.
    pub(crate) async fn check(
        &mut self,
        shared: &Rc<Shared>,
        context: &RequestContext,
        plan: &AttemptPlan,
    ) -> Option<Ruling> {
        let (result, wait_ms) = match ask(shared, context, plan).await {
            Admission::NotAsked => return None,
            Admission::Granted(offer) => {
                self.admitted = Some(Admitted {
                    shared: shared.clone(),
                    engine: plan.addr,
                    offer,
                    is_sent: false,
                });
                return None;
            }
            Admission::Denied(result, wait_ms) => (result, wait_ms),
        };
        self.count += 1;
        let shortest_ms = self.shortest_ms.map_or(wait_ms, |ms| ms.min(wait_ms));
        self.shortest_ms = Some(shortest_ms);
        let now = shared.now();
        if shared.metrics.may_log_denial(now) {
            log::info!(
                request_id = context.request_head.request_id.as_str(),
                upstream:% = plan.choice.upstream, result, wait_ms = wait_ms.0,
                priority = context.priority(), missing = plan.choice.missing_tokens.0,
                backlog_ms = plan.choice.backlog_ms.0, denials = self.count;
                "engine takes no such request now"
            );
        }
        match may_try_next(shared, context, self.count) {
            true => Some(Ruling::NextUpstream),
            false => self.answer(context, now).map(Ruling::Answer),
        }
    }

    /// Records that the request is sent.
    pub(crate) fn spend(&mut self) {
        if let Some(admitted) = &mut self.admitted {
            admitted.is_sent = true;
        }
    }

    /// Gives the admission back, as the request did not run at the engine.
    pub(crate) fn give_back(&mut self) {
        if let Some(mut admitted) = self.admitted.take() {
            admitted.is_sent = false;
        }
    }

    /// Returns the answer to a request that no engine takes, if one has denied it.
    pub(crate) fn answer(&self, context: &RequestContext, now: TimeMs) -> Option<GatewayAnswer> {
        let wait_ms = self.shortest_ms?;
        let point = request_hash(&context.request_head.request_id);
        Some(GatewayAnswer::NotRun {
            reason: "overload",
            retry_after_ms: retry_after_limit(context.remaining(now), point, wait_ms),
        })
    }
}

/// Returns whether a request that so many engines have denied is offered to another one.
pub(crate) fn may_try_next(shared: &Shared, context: &RequestContext, denials: u32) -> bool {
    let requester = shared.admissions.requester.borrow();
    requester.may_try_next(&context.service, denials)
}

/// What is known of an admission before the engine's sidecar is asked.
pub(crate) enum Foreseen {
    /// The sidecar is not asked.
    NotAsked,
    /// The engine has said that it takes no such request for this time.
    Denied(DurationMs),
    /// The sidecar is asked.
    Asked(AdmissionOffer, Expectation),
}

/// Returns what is known of the admission of a request.
pub(crate) fn foresee(shared: &Shared, context: &RequestContext, plan: &AttemptPlan) -> Foreseen {
    if plan.choice.weights.is_none() {
        // Only model engines have weights.
        return Foreseen::NotAsked;
    }
    let now = shared.now();
    let offer = offer(context, plan, now);
    let expected = Expectation {
        wait_ms: plan.choice.backlog_ms,
        first_token_ms: plan.choice.first_token_ms,
    };
    let requester = shared.admissions.requester.borrow();
    if !requester.is_needed(&context.service, (&offer, &expected), now) {
        return Foreseen::NotAsked;
    }
    match requester.denied_for(plan.start(), &offer, now) {
        Some(wait_ms) => Foreseen::Denied(wait_ms),
        None => Foreseen::Asked(offer, expected),
    }
}

/// Asks the engine's sidecar about a request, if that is needed.
async fn ask(shared: &Shared, context: &RequestContext, plan: &AttemptPlan) -> Admission {
    let (offer, expected) = match foresee(shared, context, plan) {
        Foreseen::NotAsked => return Admission::NotAsked,
        Foreseen::Denied(wait_ms) => {
            shared.metrics.record_admission("known_denial");
            return Admission::Denied("known_denial", wait_ms);
        }
        Foreseen::Asked(offer, expected) => (offer, expected),
    };
    let admissions = &shared.admissions;
    let target = Target {
        engine: plan.start(),
        service: &context.service,
    };
    let mut question = admissions.questions.begin();
    let datagram = Datagram::AdmissionQuestion(AdmissionQuestion {
        number: question.number,
        offer: offer.clone(),
        engine: estimate(shared, context, plan),
    });
    let result = question.ask(plan.addr, ANSWER_TIMEOUT_MS, &datagram).await;
    let label = result.map_or("no_answer", AdmissionResult::label);
    shared.metrics.record_admission(label);
    let denied_ms = match result {
        Some(result) => {
            let mut requester = admissions.requester.borrow_mut();
            requester.record(target, (&offer, result), shared.now())
        }
        None => Requester::decide_alone(&offer, &expected),
    };
    match (denied_ms, result) {
        (None, Some(_)) => Admission::Granted(offer),
        (None, None) => Admission::NotAsked,
        (Some(wait_ms), Some(_)) => Admission::Denied(label, wait_ms),
        (Some(wait_ms), None) => {
            let unsent = Unsent {
                engine: plan.addr,
                offer,
                at: shared.now(),
            };
            let mut all = admissions.unsent.borrow_mut();
            all.insert(question.number, unsent);
            Admission::Denied(label, wait_ms)
        }
    }
}

fn offer(context: &RequestContext, plan: &AttemptPlan, now: TimeMs) -> AdmissionOffer {
    let head = &context.request_head;
    let choice = &plan.choice;
    let computed = choice
        .missing_tokens
        .0
        .saturating_sub(choice.fetched_tokens.0);
    let organisation = context.organisation.as_ref();
    AdmissionOffer {
        org: organisation.map(|organisation| organisation.org.clone()),
        priority: context.priority(),
        compute_tokens: Tokens(computed),
        memory_tokens: Tokens(head.prompt_tokens().0 + head.output_tokens.0),
        compute_ms: choice.first_token_ms.saturating_sub(choice.backlog_ms),
        objective_ms: (context.arrived + context.route.objective_ms).since(now),
        deadline_ms: context.remaining(now),
    }
}

/// Returns the mean speed at which the engines of a service process their queues. It stands for that of
/// an engine that has just started and was not measured.
fn typical_speed(shared: &Shared, service: &ServiceId, now: TimeMs) -> TokensPerS {
    let mut speeds = shared.admissions.speeds.borrow_mut();
    if let Some((speed, at)) = speeds.get(service) {
        if now.since(*at) < SPEED_INTERVAL_MS {
            return *speed;
        }
    }
    let directory = shared.directory.borrow();
    let mut placement = shared.placement.borrow_mut();
    let measured = directory.serving(service).map(|entry| {
        let load = placement.load_mut(&entry.registration.upstream);
        load.measured_queue()
    });
    let work: MeasuredWork = measured.sum();
    let per_s = match work.took_ms {
        DurationMs::ZERO => PRIOR_TOKENS_PER_S,
        took_ms => work.tokens.0 as f64 / took_ms.as_secs_f64(),
    };
    let speed = TokensPerS::new(per_s).unwrap_or_default();
    speeds.insert(service.clone(), (speed, now));
    speed
}

fn estimate(shared: &Shared, context: &RequestContext, plan: &AttemptPlan) -> EngineEstimate {
    let now = shared.now();
    let typical = typical_speed(shared, &context.service, now);
    let upstream = &plan.choice.upstream;
    let directory = shared.directory.borrow();
    let mut placement = shared.placement.borrow_mut();
    let load = placement.load_mut(upstream);
    let answer_times = shared.admissions.answer_times.borrow();
    EngineEstimate {
        outstanding: load.outstanding(now),
        speed: load.queue_speed(typical),
        slots: directory
            .get(upstream)
            .map_or(u32::MAX, |entry| entry.registration.slots),
        answer_ms: answer_times.mean_ms(&context.service),
    }
}
