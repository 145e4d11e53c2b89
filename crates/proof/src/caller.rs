//! A caller of a router.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::site::BOOTSTRAP_TOKEN;

/// Number of times that an operator sends statements while the table is unavailable.
const MAX_OPERATOR_TRIES: u32 = 20;

/// Pause of an operator before statements are sent again.
const OPERATOR_PAUSE: Duration = Duration::from_millis(250);

/// One request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// JSON body.
    pub body: Value,
}

impl RequestHead {
    /// Creates a call of a plain service.
    pub fn call(org: &str, service: &str, key: Option<&str>, body: Value) -> Self {
        let ask = RequestHead {
            path: format!("/v1/services/{service}/calls"),
            headers: vec![("authorization", format!("Bearer {org}"))],
            body,
        };
        match key {
            Some(key) => ask.with("idempotency-key", key),
            None => ask,
        }
    }

    /// Creates a streamed completion.
    pub fn stream(org: &str, service: &str, prompt: &str, max_tokens: u64) -> Self {
        let body = serde_json::json!({
            "model": "writer", "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        let ask = RequestHead {
            path: "/v1/completions".to_owned(),
            headers: vec![("authorization", format!("Bearer {org}"))],
            body,
        };
        ask.with("x-service", service)
    }

    /// Adds a header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// What a caller has received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// HTTP status; 0 if the connection failed before a status arrived.
    pub status: u16,
    /// Request id of the router.
    pub request_id: String,
    /// Body as far as it arrived.
    pub body: String,
    /// Whether the body ended as HTTP prescribes.
    pub whole: bool,
}

impl Reply {
    /// Returns the error object of a refusal or failure, also of one that ends a stream.
    pub fn error(&self) -> Option<Value> {
        let text = match self.body.split_once("event: error\ndata: ") {
            Some((_, rest)) => rest.lines().next().unwrap_or_default(),
            None if self.status != 200 => self.body.as_str(),
            None => return None,
        };
        let value: Value = serde_json::from_str(text).ok()?;
        value.get("error").cloned()
    }

    /// Returns the type of the error, or an empty text.
    pub fn kind(&self) -> String {
        let error = self.error();
        let kind = error.as_ref().and_then(|error| error["type"].as_str());
        kind.unwrap_or_default().to_owned()
    }

    /// Returns whether the answer says that the request was not run.
    pub fn not_run(&self) -> bool {
        self.error().is_some_and(|error| error["not_run"] == true)
    }

    /// Returns the JSON body.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the text of a stream as far as it arrived.
    pub fn text(&self) -> String {
        let data = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        data.filter_map(|data| serde_json::from_str::<Value>(data).ok())
            .filter_map(|event| Some(event["choices"][0]["text"].as_str()?.to_owned()))
            .collect()
    }

    /// Returns whether the stream ended as complete.
    pub fn done(&self) -> bool {
        self.body.ends_with("data: [DONE]\n\n")
    }

    /// Returns the prompt tokens that were taken from the cache.
    pub fn cached_tokens(&self) -> u64 {
        let events = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        events
            .filter_map(|data| serde_json::from_str::<Value>(data).ok())
            .find_map(|event| event["usage"]["cached_tokens"].as_u64())
            .unwrap_or_default()
    }
}

/// Sends statements to a router's administration port as the first operator.
pub async fn operate(admin: SocketAddr, body: Value) -> Reply {
    let request = RequestHead {
        path: "/v1/statements".to_owned(),
        headers: vec![("authorization", format!("Bearer {BOOTSTRAP_TOKEN}"))],
        body,
    };
    ask(admin, &request).await
}

/// Sends statements as the first operator, again while the answer is that the table was unavailable and
/// nothing was changed; returns the first other answer, or the last one.
pub async fn operate_until_available(admin: SocketAddr, body: Value) -> Reply {
    let mut reply = operate(admin, body.clone()).await;
    for _ in 1..MAX_OPERATOR_TRIES {
        if reply.status != 503 || !reply.body.contains("nothing was changed") {
            break;
        }
        tokio::time::sleep(OPERATOR_PAUSE).await;
        reply = operate(admin, body.clone()).await;
    }
    reply
}

/// Returns the JSON answer to a read of a stand-in, or null if there is none.
pub async fn get(addr: SocketAddr, path: &str) -> Value {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let Ok(uri) = format!("http://{addr}{path}").parse() else {
        return Value::Null;
    };
    let Ok(response) = client.get(uri).await else {
        return Value::Null;
    };
    let body = response.into_body().collect().await;
    let bytes = body.map(http_body_util::Collected::to_bytes);
    serde_json::from_slice(&bytes.unwrap_or_default()).unwrap_or_default()
}

/// Sends a request on a connection of its own and reads the answer to its end.
pub async fn ask(router: SocketAddr, ask: &RequestHead) -> Reply {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let mut request = Request::post(format!("http://{router}{}", ask.path));
    for (name, value) in &ask.headers {
        request = request.header(*name, value);
    }
    let body = Full::new(Bytes::from(ask.body.to_string()));
    let Ok(request) = request.body(body) else {
        return Reply::default();
    };
    let Ok(response) = client.request(request).await else {
        return Reply::default();
    };
    let id = response.headers().get("x-request-id");
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    let mut reply = Reply {
        status: response.status().as_u16(),
        request_id: id.to_owned(),
        ..Reply::default()
    };
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    reply.whole = loop {
        match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => bytes.extend(frame.into_data().unwrap_or_default()),
        }
    };
    reply.body = String::from_utf8_lossy(&bytes).into_owned();
    reply
}
