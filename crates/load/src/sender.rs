//! Open-loop sender.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use dw_api::callers::CompletionChunk;
use dw_api::callers::CompletionRequest;
use dw_api::callers::ErrorBody;
use dw_api::callers::Usage;
use dw_base::BYTES_PER_TOKEN;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use thiserror::Error;
use tokio::task::JoinSet;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::mix::Target;
use crate::sample::Outcome;
use crate::sample::Sample;
use crate::sse::SseParser;
use crate::workload::org_token;
use crate::workload::Arrival;

/// Engine time after its deadline at which a request is abandoned.
const TIMEOUT_AFTER_DEADLINE: Duration = Duration::from_secs(30);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Error that prevents load from being sent.
#[derive(Debug, Error)]
pub enum SendError {
    /// The set of routers is empty.
    #[error("no router address given; name at least one")]
    NoRouter,
}

/// Set of router addresses that can be replaced while load is being sent.
#[derive(Clone, Debug, Default)]
pub struct Routers(Arc<Mutex<Vec<SocketAddr>>>);

impl Routers {
    /// Creates a set from the addresses of the routers.
    pub fn new(addrs: Vec<SocketAddr>) -> Self {
        Routers(Arc::new(Mutex::new(addrs)))
    }

    /// Replaces all addresses; requests already sent are not affected.
    pub fn replace(&self, addrs: Vec<SocketAddr>) {
        *self.addrs() = addrs;
    }

    /// Returns the router for the arrival with this number, in round-robin order.
    fn router_for(&self, number: u64) -> Option<SocketAddr> {
        let addrs = self.addrs();
        let index = (number as usize).checked_rem(addrs.len())?;
        addrs.get(index).copied()
    }

    fn addrs(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends each arrival at its scheduled time to the routers in round-robin order.
///
/// Returns the samples ordered by arrival number.
pub async fn send(
    arrivals: impl Iterator<Item = Arrival>,
    routers: &[SocketAddr],
) -> Result<Vec<Sample>, SendError> {
    send_scaled(arrivals, &Routers::new(routers.to_vec()), 1.0, |_| {}).await
}

/// Sends arrivals like [`send`], with `speedup` seconds of engine time per second.
///
/// Latencies are measured from the scheduled sending time, so that they include any delay of the
/// sender itself (no coordinated omission). `on_sent` is called for each arrival when it is sent.
pub async fn send_scaled(
    arrivals: impl Iterator<Item = Arrival>,
    routers: &Routers,
    speedup: f64,
    mut on_sent: impl FnMut(&Arrival),
) -> Result<Vec<Sample>, SendError> {
    let mut connector = HttpConnector::new();
    // Nagle's algorithm would delay the last segment of a request until the earlier segments are
    // acknowledged.
    connector.set_nodelay(true);
    let client: Arc<HttpClient> = Arc::new(Client::builder(TokioExecutor::new()).build(connector));
    let start = Instant::now();
    let mut running = JoinSet::new();
    for arrival in arrivals {
        let body = encode_body(&arrival);
        let scheduled_at = start + arrival.at.div_f64(speedup);
        sleep_until(scheduled_at).await;
        let router = routers
            .router_for(arrival.number)
            .ok_or(SendError::NoRouter)?;
        on_sent(&arrival);
        let request = PendingRequest {
            client: Arc::clone(&client),
            router,
            arrival,
            scheduled_at,
            speedup,
        };
        running.spawn(request.run(body));
    }
    let mut samples = Vec::new();
    while let Some(ended) = running.join_next().await {
        samples.extend(ended.ok());
    }
    samples.sort_by_key(|sample| sample.number);
    Ok(samples)
}

fn encode_body(arrival: &Arrival) -> Vec<u8> {
    let encoded = match arrival.load.target {
        Target::Generate {
            model, max_tokens, ..
        } => serde_json::to_vec(&CompletionRequest {
            max_tokens: Some(max_tokens),
            model: model.to_owned(),
            prompt: arrival.prompt_text(),
            stream: Some(true),
        }),
        Target::Call { .. } => serde_json::to_vec(&serde_json::json!({
            "venue": arrival.prompt.venue,
            "client": arrival.prompt.client,
            "number": arrival.number,
        })),
    };
    encoded.unwrap_or_default()
}

fn build_request(
    router: SocketAddr,
    arrival: &Arrival,
    body: Vec<u8>,
    speedup: f64,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let load = &arrival.load;
    let deadline_ms = (load.deadline.0 as f64 / speedup).ceil() as u64;
    let path = match load.target {
        Target::Generate { .. } => "/v1/completions".to_owned(),
        Target::Call { .. } => format!("/v1/services/{}/calls", load.service),
    };
    let mut builder = Request::post(format!("http://{router}{path}"))
        .header(CONTENT_TYPE, "application/json")
        .header(AUTHORIZATION, format!("Bearer {}", org_token(&arrival.org)))
        .header("x-service", load.service)
        .header("x-priority", load.priority.to_string())
        .header("x-deadline-ms", deadline_ms);
    if let Some(key) = &arrival.idempotency_key {
        builder = builder.header("idempotency-key", key);
    }
    builder.body(Full::new(Bytes::from(body)))
}

struct PendingRequest {
    client: Arc<HttpClient>,
    router: SocketAddr,
    arrival: Arrival,
    scheduled_at: Instant,
    speedup: f64,
}

impl PendingRequest {
    async fn run(self, body: Vec<u8>) -> Sample {
        let arrival = &self.arrival;
        let mut first_token = None;
        let limit = Duration::from(arrival.load.deadline) + TIMEOUT_AFTER_DEADLINE;
        let outcome = match build_request(self.router, arrival, body, self.speedup) {
            Ok(request) => {
                let mut on_text = || {
                    first_token.get_or_insert_with(|| self.elapsed());
                };
                let answer = receive_response(&self.client, request, arrival, &mut on_text);
                timeout(limit.div_f64(self.speedup), answer)
                    .await
                    .unwrap_or_else(|_| incomplete("timed out after the deadline"))
            }
            Err(error) => Outcome::Unreachable {
                detail: error.to_string(),
            },
        };
        let total = self.elapsed();
        Sample {
            number: self.arrival.number,
            at: self.arrival.at,
            org: self.arrival.org,
            load: self.arrival.load,
            first_token,
            total,
            outcome,
        }
    }

    /// Returns the engine time since the scheduled sending time.
    fn elapsed(&self) -> Duration {
        self.scheduled_at.elapsed().mul_f64(self.speedup)
    }
}

fn incomplete(detail: impl Into<String>) -> Outcome {
    Outcome::Incomplete {
        detail: detail.into(),
    }
}

async fn receive_response(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
    arrival: &Arrival,
    on_text: &mut (impl FnMut() + Send),
) -> Outcome {
    let response = match client.request(request).await {
        Ok(response) => response,
        Err(error) => {
            return Outcome::Unreachable {
                detail: error.to_string(),
            }
        }
    };
    if !response.status().is_success() {
        return read_error(response).await;
    }
    match arrival.load.target {
        Target::Generate { .. } => read_stream(response, on_text).await,
        Target::Call { .. } => match response.into_body().collect().await {
            Ok(_) => Outcome::Answered { usage: None },
            Err(error) => incomplete(error.to_string()),
        },
    }
}

async fn read_error(response: Response<Incoming>) -> Outcome {
    let status = response.status().as_u16();
    let bytes = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return incomplete(error.to_string()),
    };
    match serde_json::from_slice::<ErrorBody>(&bytes) {
        Ok(body) => Outcome::Refused {
            status,
            kind: body.error.type_,
            not_run: body.error.not_run,
        },
        Err(error) => incomplete(format!(
            "status {status} with a malformed error body: {error}"
        )),
    }
}

#[derive(Default)]
struct StreamState {
    text_bytes: u64,
    usage: Option<Usage>,
    finished: bool,
}

async fn read_stream(response: Response<Incoming>, on_text: &mut (impl FnMut() + Send)) -> Outcome {
    let mut body = response.into_body();
    let mut parser = SseParser::default();
    let mut state = StreamState::default();
    while let Some(frame) = body.frame().await {
        let chunk = match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(chunk)) => chunk,
            Ok(Err(_)) => continue,
            Err(error) => return incomplete(error.to_string()),
        };
        for (kind, data) in parser.push(&chunk) {
            if let Some(outcome) = state.handle_event(&kind, &data, on_text) {
                return outcome;
            }
        }
    }
    incomplete("stream closed before [DONE]")
}

impl StreamState {
    /// Processes one event; returns the outcome if the event ends the stream.
    fn handle_event(
        &mut self,
        kind: &str,
        data: &str,
        on_text: &mut impl FnMut(),
    ) -> Option<Outcome> {
        if data == "[DONE]" {
            return Some(self.finish());
        }
        if kind == "error" || serde_json::from_str::<ErrorBody>(data).is_ok() {
            return Some(Outcome::Failed);
        }
        let chunk: CompletionChunk = match serde_json::from_str(data) {
            Ok(chunk) => chunk,
            Err(error) => return Some(incomplete(error.to_string())),
        };
        for choice in &chunk.choices {
            if !choice.text.is_empty() {
                on_text();
            }
            self.text_bytes += choice.text.len() as u64;
            self.finished |= choice.finish_reason.is_some();
        }
        self.usage = chunk.usage.or(self.usage.take());
        None
    }

    fn finish(&mut self) -> Outcome {
        let Some(usage) = self.usage.take() else {
            return incomplete("[DONE] received before any token usage");
        };
        let tokens = self.text_bytes.div_ceil(BYTES_PER_TOKEN);
        if !self.finished || tokens != usage.completion_tokens {
            let reported = usage.completion_tokens;
            return incomplete(format!(
                "finish_reason missing or wrong text length: {tokens} of {reported} tokens"
            ));
        }
        Outcome::Answered { usage: Some(usage) }
    }
}
