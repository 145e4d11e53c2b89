//! HTTP interface of the engine.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dw_api::engine::CacheEvents;
use dw_api::engine::CacheSnapshot;
use dw_api::engine::CancelRequest;
use dw_api::engine::CancelResponse;
use dw_api::engine::EngineRole;
use dw_api::engine::EngineState;
use dw_api::engine::ExportRequest;
use dw_api::engine::GenerateRequest;
use dw_api::engine::ImportResponse;
use dw_api::engine::KvBlock;
use dw_api::engine::KvBlocks;
use dw_api::engine::Order;
use dw_api::engine::OrderRequest;
use dw_api::engine::ResumeRequest;
use dw_base::BlockHash;
use http::Method;
use http::Request;
use http::StatusCode;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::engine::audit::BlockOrigin;
use crate::engine::core::EngineCore;
use crate::engine::runner::Engine;
use crate::engine::stream::EventStream;
use crate::server::error_reply;
use crate::server::json_reply;
use crate::server::not_found;
use crate::server::parse_json;
use crate::server::query_param;
use crate::server::ConnectionAborted;
use crate::server::Handler;
use crate::server::Reply;

/// Interval at which a waiting event request checks for new events.
const EVENT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Upper limit of `wait_ms` in an event request.
const MAX_EVENT_WAIT_MS: u64 = 30_000;

/// Status code, error code and message of an error response.
type ApiError = (StatusCode, &'static str, String);

#[async_trait]
impl Handler for Arc<Engine> {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        if request.uri().path() == "/faults" {
            return self.replace_faults(&request);
        }
        let disconnect = self.disconnect_token();
        tokio::select! {
            () = disconnect.cancelled() => Err(ConnectionAborted),
            reply = self.route(request) => reply,
        }
    }
}

fn api_error_reply((status, kind, message): ApiError) -> Reply {
    error_reply(status, kind, &message)
}

fn bad_request(message: &str) -> ApiError {
    (StatusCode::BAD_REQUEST, "bad_request", message.to_owned())
}

fn parse_hashes(texts: &[String]) -> Result<Vec<BlockHash>, ApiError> {
    texts
        .iter()
        .map(|text| {
            text.parse()
                .map_err(|_| bad_request("malformed block hash"))
        })
        .collect()
}

impl Engine {
    async fn route(self: &Arc<Self>, request: Request<Bytes>) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/generate") => self.generate(&request),
            (&Method::POST, "/v1/resume") => self.resume(&request),
            (&Method::POST, "/v1/cancel") => self.cancel(&request),
            (&Method::GET, "/v1/cache/events") => self.events(&request).await,
            (&Method::GET, "/v1/cache") => json_reply(StatusCode::OK, &self.snapshot()),
            (&Method::POST, "/v1/cache/export") => self.export(&request).await,
            (&Method::POST, "/v1/cache/import") => self.import(&request).await,
            (&Method::GET, "/v1/load") => json_reply(StatusCode::OK, &self.load_report()),
            (&Method::GET, "/v1/state") => json_reply(StatusCode::OK, &engine_state(&self.core())),
            (&Method::POST, "/v1/orders") => self.order(&request),
            (&Method::GET, "/v1/audit") => json_reply(StatusCode::OK, &self.audit()),
            _ => not_found(&request),
        }
    }

    fn replace_faults(&self, request: &Request<Bytes>) -> Reply {
        match parse_json(request) {
            Ok(faults) => {
                self.set_faults(faults);
                json_reply(StatusCode::OK, &serde_json::json!({}))
            }
            Err(malformed) => malformed.reply(),
        }
    }

    fn generate(&self, request: &Request<Bytes>) -> Reply {
        let body: GenerateRequest = match parse_json(request) {
            Ok(body) => body,
            Err(malformed) => return malformed.reply(),
        };
        let request_id = body.request_id.clone();
        let submitted = {
            let mut core = self.core();
            check_admission(&core, &body).map(|root| core.submit(body, root))
        };
        match submitted {
            Err(error) => api_error_reply(error),
            Ok(progress) => {
                self.record_load_sample();
                self.wake.notify_one();
                let disconnect = self.disconnect_token();
                EventStream {
                    request_id,
                    first_tokens: Arc::clone(&self.first_tokens),
                    progress,
                    disconnect,
                    from_index: 0,
                }
                .reply()
            }
        }
    }

    fn resume(&self, request: &Request<Bytes>) -> Reply {
        let body: ResumeRequest = match parse_json(request) {
            Ok(body) => body,
            Err(malformed) => return malformed.reply(),
        };
        let progress = self.core().resume(&body.request_id);
        let Some(progress) = progress else {
            return api_error_reply(unknown_request(&body.request_id));
        };
        self.wake.notify_one();
        EventStream {
            request_id: body.request_id,
            first_tokens: Arc::clone(&self.first_tokens),
            progress,
            disconnect: self.disconnect_token(),
            from_index: body.from_index,
        }
        .reply()
    }

    fn cancel(&self, request: &Request<Bytes>) -> Reply {
        let body: CancelRequest = match parse_json(request) {
            Ok(body) => body,
            Err(malformed) => return malformed.reply(),
        };
        let now_ms = self.now_ms();
        let cancelled = self.core().cancel(&body.request_id, now_ms);
        match cancelled {
            None => api_error_reply(unknown_request(&body.request_id)),
            Some((tokens, cancelled)) => {
                self.record_load_sample();
                json_reply(StatusCode::OK, &CancelResponse { cancelled, tokens })
            }
        }
    }

    async fn events(&self, request: &Request<Bytes>) -> Reply {
        let number = |name| query_param(request, name).map_or(Some(0), |text| text.parse().ok());
        let (Some(after), Some(wait_ms)) = (number("after"), number("wait_ms")) else {
            return api_error_reply(bad_request(
                "after and wait_ms must be non-negative integers",
            ));
        };
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(MAX_EVENT_WAIT_MS));
        loop {
            let found = self.published_events(after);
            if !found.events.is_empty() || Instant::now() >= deadline {
                return json_reply(StatusCode::OK, &found);
            }
            sleep(EVENT_POLL_INTERVAL).await;
        }
    }

    fn published_events(&self, after: u64) -> CacheEvents {
        let now_ms = self.now_ms();
        let core = self.core();
        CacheEvents {
            events: core.events.published(after, now_ms),
            incarnation: core.incarnation,
            last_seq: core.events.last_seq(),
            weights_version: core.weights_version,
        }
    }

    fn snapshot(&self) -> CacheSnapshot {
        let now_ms = self.now_ms();
        let mut core = self.core();
        core.purge_expired(now_ms);
        CacheSnapshot {
            capacity_blocks: core.settings.cache_blocks as u64,
            hashes: core
                .cache
                .hashes()
                .iter()
                .map(ToString::to_string)
                .collect(),
            incarnation: core.incarnation,
            seq: core.events.last_seq(),
            weights_version: core.weights_version,
        }
    }

    /// Exports those of the requested blocks that are cached, have the current weights version and
    /// belong to the organisation of the first cached one.
    async fn export(&self, request: &Request<Bytes>) -> Reply {
        let body: ExportRequest = match parse_json(request) {
            Ok(body) => body,
            Err(malformed) => return malformed.reply(),
        };
        let requested = match parse_hashes(&body.hashes) {
            Ok(requested) => requested,
            Err(error) => return api_error_reply(error),
        };
        let exported = export_blocks(&self.core(), &requested);
        self.transfer(&exported.blocks).await;
        json_reply(StatusCode::OK, &exported)
    }

    async fn import(&self, request: &Request<Bytes>) -> Reply {
        let body: KvBlocks = match parse_json(request) {
            Ok(body) => body,
            Err(malformed) => return malformed.reply(),
        };
        let texts: Vec<String> = body.blocks.iter().map(|b| b.hash.clone()).collect();
        let hashes = match parse_hashes(&texts) {
            Ok(hashes) => hashes,
            Err(error) => return api_error_reply(error),
        };
        self.transfer(&body.blocks).await;
        let now_ms = self.now_ms();
        let mut core = self.core();
        if core.settings.checks_import && body.weights_version != core.weights_version {
            return api_error_reply(wrong_weights(&core));
        }
        let origin = BlockOrigin {
            user: body.user,
            weights_version: body.weights_version,
            incarnation: core.incarnation,
        };
        core.store_blocks(&hashes, &origin, now_ms);
        core.cache.touch(&hashes, now_ms);
        let imported = hashes.iter().filter(|h| core.cache.origin(**h).is_some());
        let imported = imported.count() as u64;
        json_reply(StatusCode::OK, &ImportResponse { imported })
    }

    async fn transfer(&self, blocks: &[KvBlock]) {
        let size_bytes: f64 = blocks.iter().map(|block| block.size_bytes as f64).sum();
        let duration = {
            let core = self.core();
            let bytes_per_s = core.settings.transfer_bytes_per_s;
            core.settings
                .wall_time(size_bytes / bytes_per_s * 1000.0 * core.faults.slow_factor)
        };
        sleep(duration).await;
    }

    fn order(self: &Arc<Self>, request: &Request<Bytes>) -> Reply {
        let body: OrderRequest = match parse_json(request) {
            Ok(body) => body,
            Err(malformed) => return malformed.reply(),
        };
        let mut core = self.core();
        if core.settings.checks_fence && body.fence < core.fence {
            let message = format!("fencing token {} is older than {}", body.fence, core.fence);
            return api_error_reply((StatusCode::CONFLICT, "stale_fence", message));
        }
        core.fence = core.fence.max(body.fence);
        match body.order {
            Order::LoadWeights { .. } if core.loading => {
                let message = "another weight load is in progress".to_owned();
                return api_error_reply((StatusCode::SERVICE_UNAVAILABLE, "loading", message));
            }
            Order::LoadWeights {
                model,
                weights_version,
            } => {
                core.loading = true;
                tokio::spawn(Arc::clone(self).load_weights(
                    core.incarnation,
                    model,
                    weights_version,
                ));
            }
            Order::LoadAdapter { adapter } => {
                if !core.adapters.contains(&adapter) {
                    core.adapters.push(adapter);
                }
            }
            Order::SetRole { role } => core.role = role,
        }
        json_reply(StatusCode::OK, &engine_state(&core))
    }

    async fn load_weights(self: Arc<Self>, incarnation: u64, model: String, weights_version: u64) {
        let weight_load = self.weight_loads.begin();
        let duration = {
            let core = self.core();
            core.settings
                .wall_time(core.settings.weight_load_ms * weight_load.slowdown())
        };
        sleep(duration).await;
        let now_ms = self.now_ms();
        let mut core = self.core();
        // If the engine crashed in the meantime, the load was aborted.
        if core.incarnation == incarnation {
            core.finish_weight_load(model, weights_version, now_ms);
        }
    }
}

/// Returns the root of the request's block chain, or an error if the engine does not accept the
/// request.
fn check_admission(core: &EngineCore, body: &GenerateRequest) -> Result<BlockHash, ApiError> {
    let overloaded = |message: &str| {
        let message = message.to_owned();
        Err((StatusCode::SERVICE_UNAVAILABLE, "overloaded", message))
    };
    if core.loading {
        let message = "weights are being loaded".to_owned();
        return Err((StatusCode::SERVICE_UNAVAILABLE, "loading", message));
    }
    if core.role == EngineRole::Standby {
        return overloaded("the engine is on standby");
    }
    if core.faults.refuse {
        return overloaded("refused by the `refuse` fault switch");
    }
    if core.queued().count() >= core.settings.max_queue {
        return overloaded("the queue is full");
    }
    let other_weights = body
        .weights_version
        .is_some_and(|version| version != core.weights_version);
    if body.model != core.model || other_weights {
        return Err(wrong_weights(core));
    }
    if core.is_active(&body.request_id) {
        return Err(bad_request(
            "the request id is used by an active generation",
        ));
    }
    body.cache_salt
        .parse()
        .map_err(|_| bad_request("cache_salt must be 32 hexadecimal digits"))
}

fn wrong_weights(core: &EngineCore) -> ApiError {
    let message = format!(
        "the engine has loaded model {}, weights version {}",
        core.model, core.weights_version
    );
    (StatusCode::CONFLICT, "wrong_weights", message)
}

fn unknown_request(request_id: &str) -> ApiError {
    let message = format!("unknown generation {request_id:?}");
    (StatusCode::NOT_FOUND, "unknown_request", message)
}

fn export_blocks(core: &EngineCore, requested: &[BlockHash]) -> KvBlocks {
    let user = requested
        .iter()
        .find_map(|hash| core.cache.origin(*hash))
        .map_or_else(String::new, |origin| origin.user.clone());
    let blocks = requested
        .iter()
        .filter(|hash| {
            core.cache.origin(**hash).is_some_and(|origin| {
                origin.user == user && origin.weights_version == core.weights_version
            })
        })
        .map(|hash| KvBlock {
            hash: hash.to_string(),
            size_bytes: core.settings.block_size_bytes,
        })
        .collect();
    KvBlocks {
        blocks,
        user,
        weights_version: core.weights_version,
    }
}

fn engine_state(core: &EngineCore) -> EngineState {
    EngineState {
        adapters: core.adapters.clone(),
        checks_fence: core.settings.checks_fence,
        fence: core.fence,
        incarnation: core.incarnation,
        loading: core.loading,
        max_batch: core.settings.max_batch as u64,
        model: core.model.clone(),
        role: core.role,
        weights_version: core.weights_version,
    }
}
