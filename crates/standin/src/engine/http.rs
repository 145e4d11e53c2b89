//! The engine's HTTP interface.

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

use crate::engine::audit::Stamp;
use crate::engine::core::Core;
use crate::engine::runner::Engine;
use crate::engine::stream::EventStream;
use crate::server::error_reply;
use crate::server::json_reply;
use crate::server::not_found;
use crate::server::parse;
use crate::server::query;
use crate::server::Cut;
use crate::server::Handler;
use crate::server::Reply;

/// Time between two looks for new events while a reader waits.
const EVENT_POLL: Duration = Duration::from_millis(5);

/// Longest wait of a reader of events.
const MAX_WAIT_MS: u64 = 30_000;

/// Refusal of a call: status, kind and message.
type Refusal = (StatusCode, &'static str, String);

#[async_trait]
impl Handler for Arc<Engine> {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        if request.uri().path() == "/faults" {
            return self.faults(&request);
        }
        let cut = self.cut();
        tokio::select! {
            () = cut.cancelled() => Err(Cut),
            reply = self.route(request) => reply,
        }
    }
}

fn refuse((status, kind, message): Refusal) -> Reply {
    error_reply(status, kind, &message)
}

fn bad_request(message: &str) -> Refusal {
    (StatusCode::BAD_REQUEST, "bad_request", message.to_owned())
}

fn hashes(texts: &[String]) -> Result<Vec<BlockHash>, Refusal> {
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
            (&Method::GET, "/v1/state") => json_reply(StatusCode::OK, &state(&self.core())),
            (&Method::POST, "/v1/orders") => self.order(&request),
            (&Method::GET, "/v1/audit") => json_reply(StatusCode::OK, &self.audit()),
            _ => not_found(&request),
        }
    }

    fn faults(&self, request: &Request<Bytes>) -> Reply {
        match parse(request) {
            Ok(faults) => {
                self.set_faults(faults);
                json_reply(StatusCode::OK, &serde_json::json!({}))
            }
            Err(malformed) => malformed.reply(),
        }
    }

    fn generate(&self, request: &Request<Bytes>) -> Reply {
        let wanted: GenerateRequest = match parse(request) {
            Ok(wanted) => wanted,
            Err(malformed) => return malformed.reply(),
        };
        let request_id = wanted.request_id.clone();
        let submitted = {
            let mut core = self.core();
            accept(&core, &wanted).map(|root| core.submit(wanted, root))
        };
        match submitted {
            Err(refusal) => refuse(refusal),
            Ok(progress) => {
                self.sample();
                self.wake.notify_one();
                let cut = self.cut();
                EventStream {
                    request_id,
                    sent: Arc::clone(&self.sent),
                    progress,
                    cut,
                    from_index: 0,
                }
                .reply()
            }
        }
    }

    fn resume(&self, request: &Request<Bytes>) -> Reply {
        let wanted: ResumeRequest = match parse(request) {
            Ok(wanted) => wanted,
            Err(malformed) => return malformed.reply(),
        };
        let progress = self.core().resume(&wanted.request_id);
        let Some(progress) = progress else {
            return refuse(unknown(&wanted.request_id));
        };
        self.wake.notify_one();
        EventStream {
            request_id: wanted.request_id,
            sent: Arc::clone(&self.sent),
            progress,
            cut: self.cut(),
            from_index: wanted.from_index,
        }
        .reply()
    }

    fn cancel(&self, request: &Request<Bytes>) -> Reply {
        let wanted: CancelRequest = match parse(request) {
            Ok(wanted) => wanted,
            Err(malformed) => return malformed.reply(),
        };
        let now_ms = self.now_ms();
        let cancelled = self.core().cancel(&wanted.request_id, now_ms);
        match cancelled {
            None => refuse(unknown(&wanted.request_id)),
            Some((tokens, cancelled)) => {
                self.sample();
                json_reply(StatusCode::OK, &CancelResponse { cancelled, tokens })
            }
        }
    }

    async fn events(&self, request: &Request<Bytes>) -> Reply {
        let number = |name| query(request, name).map_or(Some(0), |text| text.parse().ok());
        let (Some(after), Some(wait_ms)) = (number("after"), number("wait_ms")) else {
            return refuse(bad_request("after and wait_ms must be whole numbers"));
        };
        let until = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        loop {
            let found = self.published(after);
            if !found.events.is_empty() || Instant::now() >= until {
                return json_reply(StatusCode::OK, &found);
            }
            sleep(EVENT_POLL).await;
        }
    }

    fn published(&self, after: u64) -> CacheEvents {
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
        core.housekeep(now_ms);
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

    /// Exports the cached ones of the wanted blocks, as far as they are of one organisation.
    async fn export(&self, request: &Request<Bytes>) -> Reply {
        let wanted: ExportRequest = match parse(request) {
            Ok(wanted) => wanted,
            Err(malformed) => return malformed.reply(),
        };
        let wanted = match hashes(&wanted.hashes) {
            Ok(wanted) => wanted,
            Err(refusal) => return refuse(refusal),
        };
        let exported = export_blocks(&self.core(), &wanted);
        self.transfer(&exported.blocks).await;
        json_reply(StatusCode::OK, &exported)
    }

    async fn import(&self, request: &Request<Bytes>) -> Reply {
        let offered: KvBlocks = match parse(request) {
            Ok(offered) => offered,
            Err(malformed) => return malformed.reply(),
        };
        let texts: Vec<String> = offered.blocks.iter().map(|b| b.hash.clone()).collect();
        let hashes = match hashes(&texts) {
            Ok(hashes) => hashes,
            Err(refusal) => return refuse(refusal),
        };
        self.transfer(&offered.blocks).await;
        let now_ms = self.now_ms();
        let mut core = self.core();
        if core.settings.checks_import && offered.weights_version != core.weights_version {
            return refuse(wrong_weights(&core));
        }
        let stamp = Stamp {
            user: offered.user,
            weights_version: offered.weights_version,
            incarnation: core.incarnation,
        };
        core.store(&hashes, &stamp, now_ms);
        core.cache.touch(&hashes, now_ms);
        let imported = hashes.iter().filter(|h| core.cache.stamp(**h).is_some());
        let imported = imported.count() as u64;
        json_reply(StatusCode::OK, &ImportResponse { imported })
    }

    async fn transfer(&self, blocks: &[KvBlock]) {
        let size_bytes: f64 = blocks.iter().map(|block| block.size_bytes as f64).sum();
        let time = {
            let core = self.core();
            let speed = core.settings.transfer_bytes_per_s;
            core.settings
                .real(size_bytes / speed * 1000.0 * core.faults.slow_factor)
        };
        sleep(time).await;
    }

    fn order(self: &Arc<Self>, request: &Request<Bytes>) -> Reply {
        let wanted: OrderRequest = match parse(request) {
            Ok(wanted) => wanted,
            Err(malformed) => return malformed.reply(),
        };
        let mut core = self.core();
        if core.settings.checks_fence && wanted.fence < core.fence {
            let message = format!(
                "fencing number {} is older than {}",
                wanted.fence, core.fence
            );
            return refuse((StatusCode::CONFLICT, "stale_fence", message));
        }
        core.fence = core.fence.max(wanted.fence);
        match wanted.order {
            Order::LoadWeights { .. } if core.loading => {
                let message = "a load is in progress".to_owned();
                return refuse((StatusCode::SERVICE_UNAVAILABLE, "loading", message));
            }
            Order::LoadWeights {
                model,
                weights_version,
            } => {
                core.loading = true;
                tokio::spawn(Arc::clone(self).load(core.incarnation, model, weights_version));
            }
            Order::LoadAdapter { adapter } => {
                if !core.adapters.contains(&adapter) {
                    core.adapters.push(adapter);
                }
            }
            Order::SetRole { role } => core.role = role,
        }
        json_reply(StatusCode::OK, &state(&core))
    }

    async fn load(self: Arc<Self>, incarnation: u64, model: String, weights_version: u64) {
        let loading = self.gate.enter();
        let time = {
            let core = self.core();
            core.settings
                .real(core.settings.weight_load_ms * loading.factor())
        };
        sleep(time).await;
        let now_ms = self.now_ms();
        let mut core = self.core();
        // A crash has ended the load.
        if core.incarnation == incarnation {
            core.loaded(model, weights_version, now_ms);
        }
    }
}

/// Returns the root of the request's chain, or why the engine does not accept it.
fn accept(core: &Core, wanted: &GenerateRequest) -> Result<BlockHash, Refusal> {
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
        return overloaded("refused by a fault switch");
    }
    if core.queued().count() >= core.settings.max_queue {
        return overloaded("the queue is full");
    }
    let other_weights = wanted
        .weights_version
        .is_some_and(|version| version != core.weights_version);
    if wanted.model != core.model || other_weights {
        return Err(wrong_weights(core));
    }
    if core.is_active(&wanted.request_id) {
        return Err(bad_request("the request id is in use"));
    }
    wanted
        .cache_salt
        .parse()
        .map_err(|_| bad_request("cache_salt must be 32 hexadecimal digits"))
}

fn wrong_weights(core: &Core) -> Refusal {
    let message = format!("loaded: {} version {}", core.model, core.weights_version);
    (StatusCode::CONFLICT, "wrong_weights", message)
}

fn unknown(request_id: &str) -> Refusal {
    let message = format!("generation {request_id:?} is not known");
    (StatusCode::NOT_FOUND, "unknown_request", message)
}

fn export_blocks(core: &Core, wanted: &[BlockHash]) -> KvBlocks {
    let user = wanted
        .iter()
        .find_map(|hash| core.cache.stamp(*hash))
        .map_or_else(String::new, |stamp| stamp.user.clone());
    let blocks = wanted
        .iter()
        .filter(|hash| {
            core.cache.stamp(**hash).is_some_and(|stamp| {
                stamp.user == user && stamp.weights_version == core.weights_version
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

fn state(core: &Core) -> EngineState {
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
