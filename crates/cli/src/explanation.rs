//! Rendering of an explanation as text.

use dw_api::admin::Column;
use dw_api::explain::Candidate;
use dw_api::explain::Explanation;
use serde_json::json;
use serde_json::Value;

use crate::render::render_table;

/// Renders an explanation: where the request would go, the rules, and what was compared.
pub fn render_explanation(explanation: &Explanation) -> String {
    let mut text = format!("{}\n", verdict(explanation));
    text.push_str(&format!(
        "route {}, service {}, organisation {}, priority {}\n",
        explanation.route,
        explanation.service,
        explanation.organisation.as_deref().unwrap_or("-"),
        explanation.priority,
    ));
    let age = explanation.tables_age_ms.map_or_else(
        || "of unknown age".to_owned(),
        |age_ms| format!("known to be complete {age_ms} ms ago"),
    );
    text.push_str(&format!(
        "gateway {}, configuration {}, registrations {age}\n\n",
        explanation.node, explanation.config_version,
    ));
    text.push_str(&rules(explanation));
    text.push('\n');
    text.push_str(&candidates(&explanation.candidates));
    if !explanation.excluded.is_empty() {
        text.push('\n');
        text.push_str(&excluded(explanation));
    }
    text
}

fn verdict(explanation: &Explanation) -> String {
    match (&explanation.upstream, &explanation.refused_by) {
        (Some(upstream), _) => format!("would be sent to {upstream}"),
        (None, Some(rule)) => format!("would be refused by the rule {rule}"),
        (None, None) => "would not be sent".to_owned(),
    }
}

fn column(name: &str, unit: &str) -> Column {
    Column {
        name: name.to_owned(),
        unit: unit.to_owned(),
    }
}

fn rules(explanation: &Explanation) -> String {
    let columns = [
        column("rule", ""),
        column("result", ""),
        column("detail", ""),
    ];
    let rows: Vec<Vec<Value>> = explanation
        .rules
        .iter()
        .map(|rule| vec![json!(rule.name), json!(rule.result), json!(rule.detail)])
        .collect();
    render_table(&columns, &rows)
}

fn candidates(candidates: &[Candidate]) -> String {
    let columns = [
        column("candidate", ""),
        column("data centre", ""),
        column("cost", "ms"),
        column("first token", "ms"),
        column("wait", "ms"),
        column("missing", "tokens"),
        column("fetched", "tokens"),
        column("weights", ""),
        column("home", ""),
        column("outdated", ""),
        column("failures", ""),
        column("heard", "ms ago"),
    ];
    let rows: Vec<Vec<Value>> = candidates.iter().map(row).collect();
    render_table(&columns, &rows)
}

fn row(candidate: &Candidate) -> Vec<Value> {
    let yes = |is: bool| if is { "yes" } else { "no" };
    vec![
        json!(candidate.upstream),
        json!(candidate.data_centre),
        json!(candidate.cost.round() as i64),
        json!(candidate.first_token_ms),
        json!(candidate.wait_ms),
        json!(candidate.missing_tokens),
        json!(candidate.fetched_tokens),
        json!(candidate.weights),
        json!(yes(candidate.is_home)),
        json!(yes(candidate.is_outdated)),
        json!((candidate.failure_rate * 100.0).round() / 100.0),
        json!(candidate.age_ms),
    ]
}

fn excluded(explanation: &Explanation) -> String {
    let columns = [column("not compared", ""), column("reason", "")];
    let rows: Vec<Vec<Value>> = explanation
        .excluded
        .iter()
        .map(|excluded| vec![json!(excluded.upstream), json!(excluded.reason)])
        .collect();
    render_table(&columns, &rows)
}
