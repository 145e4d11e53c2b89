//! Explains where a request would go now, without sending it or taking anything for it.
//!
//! The decisions are those of a request: what they read is read here too, and what they change is changed in
//! a copy. Sidecars are not asked, as an answer takes a part of a quota, a permit or room at an engine.

use std::rc::Rc;

use bytes::Bytes;
use dw_admit::HeldClaim;
use dw_api::explain::ExplainError;
use dw_api::explain::ExplainRequest;
use dw_api::explain::Explanation;
use dw_api::explain::Rule;
use dw_api::explain::RuleResult;
use dw_quarantine::Verdict;
use http::header;
use http::request::Parts;
use http::HeaderName;
use http::HeaderValue;
use http::Request;

use crate::admission;
use crate::answer::GatewayAnswer;
use crate::candidates::Exclusions;
use crate::configuration_lag::is_stale;
use crate::context::AcceptedRequest;
use crate::context::RequestContext;
use crate::explained_upstreams::candidates;
use crate::explained_upstreams::excluded;
use crate::judged_by::JudgedBy;
use crate::limits;
use crate::memory::Reservation;
use crate::overload_rule;
use crate::quarantine;
use crate::quotas;
use crate::request;
use crate::selection::select_upstream;
use crate::selection::AttemptPlan;
use crate::shared::Shared;

/// Id of a request that names none.
const DEFAULT_ID: &str = "explain";

/// Rules that were checked.
#[derive(Default)]
struct CheckedRules {
    rules: Vec<Rule>,
    refused_by: Option<&'static str>,
}

impl CheckedRules {
    fn add(&mut self, name: &'static str, result: RuleResult, detail: impl Into<String>) {
        self.rules.push(Rule {
            name: name.to_owned(),
            result,
            detail: detail.into(),
        });
    }

    /// Adds a rule that refuses the request unless it passes.
    fn check(&mut self, name: &'static str, passes: bool, detail: impl Into<String>) {
        let result = match passes {
            true => RuleResult::Passes,
            false => RuleResult::Refuses,
        };
        self.add(name, result, detail);
        if !passes {
            self.refused_by.get_or_insert(name);
        }
    }
}

/// Explains where a request would go now.
///
/// # Errors
///
/// Returns what is wrong with the request, if no route takes it.
pub(crate) fn explain(
    shared: &Rc<Shared>,
    described: &ExplainRequest,
) -> Result<Explanation, ExplainError> {
    let context = context(shared, described)?;
    let mut checked = CheckedRules::default();
    check_arrival(shared, &context, &mut checked);
    let plan = check_attempts(shared, &context, &mut checked);
    let is_sent = checked.refused_by.is_none();
    let plan = plan.filter(|_| is_sent);
    let directory = shared.directory.borrow();
    let candidates = candidates(shared, &context, &directory);
    let now = shared.now();
    let tables_age_ms = shared.tables.borrow().registrations_age_ms(now);
    Ok(Explanation {
        node: shared.boot().node.to_string(),
        config_version: shared.routes().map_or(0, |routes| routes.version().0),
        tables_age_ms: tables_age_ms.map(|age_ms| age_ms.0),
        route: context.route.name.clone(),
        service: context.service.to_string(),
        organisation: context.organisation.as_ref().map(|org| org.org.to_string()),
        priority: u64::from(context.priority()),
        upstream: plan.map(|plan| plan.choice.upstream.to_string()),
        refused_by: checked.refused_by.map(str::to_owned),
        rules: checked.rules,
        excluded: excluded(shared, &context, (&directory, &candidates)),
        candidates,
    })
}

fn refusal(message: impl Into<String>, remedy: &str) -> ExplainError {
    ExplainError {
        message: message.into(),
        remedy: remedy.to_owned(),
    }
}

/// Returns the head of the request as a caller would send it.
fn head(described: &ExplainRequest) -> Result<Parts, http::Error> {
    let method = described.method.as_deref().unwrap_or("POST");
    let mut request = Request::builder()
        .method(method)
        .uri(described.path.as_str())
        .header(header::HOST, described.host.as_str());
    for named in &described.headers {
        let name = HeaderName::try_from(named.name.as_str())?;
        let value = HeaderValue::try_from(named.value.as_str())?;
        request = request.header(name, value);
    }
    let (head, ()) = request.body(())?.into_parts();
    Ok(head)
}

fn context(shared: &Shared, described: &ExplainRequest) -> Result<RequestContext, ExplainError> {
    let malformed = |e: &dyn std::fmt::Display| {
        refusal(e.to_string(), "correct the method, the path or the headers")
    };
    let mut head = head(described).map_err(|e| malformed(&e))?;
    shared.codec.set_default_id(&mut head.headers, DEFAULT_ID);
    let request_head = shared.codec.decode_request(&head);
    let request_head = request_head.map_err(|e| malformed(&e))?;
    let Some(routes) = shared.routes() else {
        return Err(refusal(
            "the gateway has no configuration yet",
            "ask again once its log says that a configuration is in force",
        ));
    };
    let resolved = request::resolve(&routes, &request_head, &head);
    let resolved = resolved.map_err(|answer| no_route(&answer, described))?;
    if request_head.resumes.is_some() || request_head.last_event.is_some() {
        return Err(refusal(
            "where a stream goes on is asked of sidecars and not explained",
            "leave Resumes and Last-Event-Id out",
        ));
    }
    let body_bytes = described.body_bytes.unwrap_or_default();
    let max_bytes = routes.limits().body_bytes.0;
    if body_bytes > max_bytes {
        return Err(refusal(
            format!("the body is longer than {max_bytes} bytes and would be refused"),
            "shorten the body, or raise the limit in the configuration",
        ));
    }
    let point = request::request_hash(&request_head.request_id);
    let service = resolved.route.destination(point).cloned();
    let service = service.ok_or_else(|| no_route(&GatewayAnswer::NoRoute, described))?;
    let arrived = shared.now();
    let accepted = AcceptedRequest {
        held: Reservation::new(&shared.held, resolved.organisation.as_ref()),
        deadline: request::deadline(&request_head, &resolved, arrived),
        body: Bytes::from(vec![0; body_bytes as usize]),
        request_head,
        head,
        resolved,
        judged_by: JudgedBy::now(shared, arrived),
        arrived,
    };
    Ok(accepted.into_context(service, None))
}

fn no_route(answer: &GatewayAnswer, described: &ExplainRequest) -> ExplainError {
    match answer {
        GatewayAnswer::NoKey => refusal(
            "the route needs a key, and that of the request is missing or unknown",
            "give the caller's Authorization header",
        ),
        _ => refusal(
            format!("no route takes {}{}", described.host, described.path),
            "compare host and path with the routes of the configuration",
        ),
    }
}

/// Checks the rules for a request that has not been read yet.
fn check_arrival(shared: &Shared, context: &RequestContext, checked: &mut CheckedRules) {
    let point = request::request_hash(&context.request_head.request_id);
    let priority = context.priority();
    checked.check(
        "configuration",
        !is_stale(shared, shared.now()),
        format!("version {} decides", context.judged_by.version),
    );
    let mut congestion = shared.congestion.borrow().clone();
    let is_congested = congestion.refuses(priority, point, shared.now());
    checked.check(
        "congestion",
        !is_congested,
        format!(
            "the gateway refuses {:.2} of all requests",
            congestion.ratio()
        ),
    );
    match quotas::foresee(shared, context) {
        quotas::Foreseen::Unlimited => {
            checked.check("quota", true, "the organisation has no quota");
        }
        quotas::Foreseen::Denied(claim, wait_ms) => checked.check(
            "quota",
            false,
            format!(
                "{} of {} is used up for {wait_ms}",
                claim.amount, claim.limit.rate
            ),
        ),
        quotas::Foreseen::Asked(claim, counter) => {
            let whom = counter.map_or_else(
                || "no sidecar is heard; the gateway takes turns".to_owned(),
                |engine| format!("the sidecar beside {engine} counts"),
            );
            let detail = format!("{} of {}; {whom}", claim.amount, claim.limit.rate);
            checked.add("quota", RuleResult::Asks, detail);
        }
    }
    let claim = HeldClaim {
        org: context.organisation.as_ref().map(|org| &org.org),
        bytes: dw_base::Bytes(context.body.len() as u64),
        priority,
    };
    let mut held = shared.held.borrow().clone();
    let total = held.total();
    let has_room = held.take(&claim).is_ok();
    checked.check("memory", has_room, format!("{total} are held for callers"));
}

/// Checks the rules for the tries of a request; returns the first try that none of them refuses.
fn check_attempts(
    shared: &Shared,
    context: &RequestContext,
    checked: &mut CheckedRules,
) -> Option<AttemptPlan> {
    let mut exclusions = Exclusions::default();
    let mut denials = 0;
    loop {
        let plan = match select_upstream(shared, context, &exclusions) {
            Ok(plan) => plan,
            Err(no_upstream) => {
                checked.check("placement", false, no_upstream.reason);
                return None;
            }
        };
        let upstream = plan.choice.upstream.clone();
        if denials == 0 {
            check_first(shared, context, &plan, checked);
        }
        match admission::foresee(shared, context, &plan) {
            admission::Foreseen::NotAsked => {
                let detail = format!("{upstream} is expected to begin it in time");
                checked.check("admission", true, detail);
            }
            admission::Foreseen::Asked(..) => {
                let detail = format!("the sidecar beside {} decides", plan.addr);
                checked.add("admission", RuleResult::Asks, detail);
            }
            admission::Foreseen::Denied(wait_ms) => {
                let detail = format!("{upstream} takes no such request for {wait_ms}");
                checked.add("admission", RuleResult::Refuses, detail);
                exclusions.add(&upstream);
                denials += 1;
                if admission::may_try_next(shared, context, denials) {
                    continue;
                }
                checked.refused_by.get_or_insert("admission");
                return None;
            }
        }
        match limits::named_limit(shared, &plan) {
            None => checked.check("permit", true, format!("{upstream} has named no limit")),
            Some(limit) => {
                let detail = format!("{upstream} takes {limit}; a sidecar issues permits");
                checked.add("permit", RuleResult::Asks, detail);
            }
        }
        return Some(plan);
    }
}

/// Checks the rules that hold for all tries, or for the first one.
fn check_first(
    shared: &Shared,
    context: &RequestContext,
    plan: &AttemptPlan,
    checked: &mut CheckedRules,
) {
    let (share, is_rejected) = overload_rule::foresee(shared, context, plan);
    let detail = format!("the service sheds {share:.2} of its prompts");
    checked.check("overload", !is_rejected, detail);
    match quarantine::verdict(shared, context) {
        Verdict::Clear => checked.check("quarantine", true, "no upstream ended under it"),
        Verdict::Suspect => {
            let detail = "an upstream ended under it; it is not sent again after another end";
            checked.check("quarantine", true, detail);
        }
        Verdict::Quarantined(suspects) => {
            let detail = format!("{} suspects; sent as a probe only", suspects.len());
            checked.check("quarantine", false, detail);
        }
    }
}
