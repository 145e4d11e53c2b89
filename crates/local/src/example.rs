//! Example requests of both deployments.

use dw_base::BLOCK_BYTES;
use serde_json::json;
use serde_json::Value;

/// One example request.
#[derive(Clone, Debug, PartialEq)]
pub struct Example {
    /// What it shows.
    pub title: &'static str,
    /// Service.
    pub service: &'static str,
    /// Path.
    pub path: String,
    /// Idempotency key.
    pub key: Option<&'static str>,
    /// JSON body.
    pub body: Value,
}

/// Returns the example requests of a deployment, none for an unknown one.
pub fn examples(deployment: &str) -> Vec<Example> {
    match deployment {
        "division" => division(),
        "letargo" => letargo(),
        _ => Vec::new(),
    }
}

fn division() -> Vec<Example> {
    let catalogue = pieces("Catalogue of colours and frames. ", 2);
    let hall = pieces("Venue: harbour hall, doors 3 m wide. ", 1);
    let garden = pieces("Venue: palm garden, open to the wind. ", 1);
    let quote = |title, venue: &str, client| {
        let prompt = format!("{catalogue}{venue}");
        generate(title, "quote", "quote-writer", &prompt, client)
    };
    vec![
        quote("first quote", &hall, "Arch in coral for 80 guests."),
        quote("same venue", &hall, "Arch in teal for 40 guests."),
        quote("other venue", &garden, "Arch in white for 120 guests."),
        call(
            "deposit",
            "deposit",
            Some("order-4711"),
            json!({"order": 4711}),
        ),
        call(
            "deposit again",
            "deposit",
            Some("order-4711"),
            json!({"order": 4711}),
        ),
        call("booking", "booking", Some("crew-12"), json!({"crew": 12})),
        call("order status", "order-status", None, json!({"order": 4711})),
    ]
}

fn letargo() -> Vec<Example> {
    let guide = pieces("Care guide for hibernation. ", 2);
    let ward = pieces("Cold room 3, kept at 5 degrees. ", 1);
    let care = |title, service, animal| {
        let prompt = format!("{guide}{ward}");
        generate(title, service, "care-note", &prompt, animal)
    };
    vec![
        care("season summary", "summary", "Summary for tortoise 21."),
        care("second summary", "summary", "Summary for tortoise 22."),
        care("urgent flag", "flag", "Box 7 shows 9 degrees."),
        generate(
            "intake",
            "intake",
            "booking-app",
            &guide,
            "Arrival of tortoise 23.",
        ),
        call("booking", "booking", Some("stay-88"), json!({"box": 8})),
        call(
            "fridge move",
            "fridge-move",
            Some("move-5"),
            json!({"from": 7, "to": 9}),
        ),
        call(
            "fridge move again",
            "fridge-move",
            Some("move-5"),
            json!({"from": 7, "to": 9}),
        ),
        call("lookup", "lookup", None, json!({"tortoise": 21})),
    ]
}

/// Repeats a text to a whole number of cached pieces.
fn pieces(text: &str, count: usize) -> String {
    text.chars().cycle().take(count * BLOCK_BYTES).collect()
}

fn generate(
    title: &'static str,
    service: &'static str,
    model: &str,
    prefix: &str,
    question: &str,
) -> Example {
    Example {
        title,
        service,
        path: "/v1/chat/completions".to_owned(),
        key: None,
        body: json!({
            "model": model,
            "messages": [
                {"role": "system", "content": prefix},
                {"role": "user", "content": question},
            ],
            "max_tokens": 8,
            "stream": true,
        }),
    }
}

fn call(
    title: &'static str,
    service: &'static str,
    key: Option<&'static str>,
    body: Value,
) -> Example {
    Example {
        title,
        service,
        path: format!("/v1/services/{service}/calls"),
        key,
        body,
    }
}
