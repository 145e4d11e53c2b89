//! Orders of a sidecar to an engine that serves several models.

// The metrics of other tests are not needed here.
#[allow(dead_code)]
mod common;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use common::boot;
use common::no_table;
use common::SilentCache;
use dw_base::Clock;
use dw_base::DurationMs;
use dw_base::FenceNumber;
use dw_base::ModelId;
use dw_base::SystemClock;
use dw_base::WeightsVersion;
use dw_port::Declaration;
use dw_port::DeclaredWeights;
use dw_port::Engine;
use dw_port::EngineError;
use dw_port::Feed;
use dw_port::FeedError;
use dw_port::Order;
use dw_port::OrderResult;
use dw_port::Page;
use dw_port::Report;
use dw_port::TableVersion;
use dw_sidecar::Sidecar;
use dw_sidecar::SidecarParts;
use dw_wire::send_datagram;
use dw_wire::Datagram;
use dw_wire::RouterState;
use dw_wire::WeightsUpdate;
use tokio::net::UdpSocket;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Rollout limit, within which a lone sidecar orders the load by the rank-based plan.
const WEIGHTS_MS: DurationMs = DurationMs(100);

/// Models in the order of the engine's report.
const MODELS: [&str; 3] = ["m", "n", "o"];

/// Time that the engine takes for a load.
const LOAD: Duration = Duration::from_millis(150);

fn engine_addr() -> SocketAddr {
    "127.0.0.1:1".parse().expect("address is valid")
}

fn model(name: &str) -> ModelId {
    name.parse().expect("name is valid")
}

/// An engine with one fencing number for all its models.
struct EngineState {
    models: Vec<(ModelId, WeightsVersion)>,
    loading: Option<(Order, Instant)>,
    orders: Vec<Order>,
    accepted: u64,
    fence: FenceNumber,
    refused: u32,
}

impl EngineState {
    fn new() -> Self {
        EngineState {
            models: MODELS.map(|name| (model(name), WeightsVersion(1))).to_vec(),
            loading: None,
            orders: Vec::new(),
            accepted: 0,
            fence: FenceNumber(0),
            refused: 0,
        }
    }

    fn finish_load(&mut self) {
        let is_done = |(_, until): &mut (Order, Instant)| Instant::now() >= *until;
        if let Some((order, _)) = self.loading.take_if(is_done) {
            let mut models = self.models.iter_mut();
            let held = models.find(|(name, _)| *name == order.model);
            held.expect("the engine has the model").1 = order.weights;
        }
    }

    fn held(&self, name: &str) -> u64 {
        let held = self.models.iter().find(|(held, _)| *held == model(name));
        held.expect("the engine has the model").1 .0
    }

    fn fences(&self) -> Vec<u64> {
        self.orders.iter().map(|order| order.fence.0).collect()
    }
}

type SharedEngine = Arc<Mutex<EngineState>>;

struct FencedEngine(SharedEngine);

#[async_trait]
impl Engine for FencedEngine {
    async fn report(&mut self, _: DurationMs) -> Result<Report, EngineError> {
        let mut state = self.0.lock().expect("no thread has panicked");
        state.finish_load();
        Ok(Report {
            models: state.models.clone(),
            busy: state.loading.is_some(),
            orders: state.accepted,
            started_ms: 7,
            ..Report::default()
        })
    }

    async fn order(&mut self, order: &Order, _: DurationMs) -> Result<OrderResult, EngineError> {
        let mut state = self.0.lock().expect("no thread has panicked");
        state.finish_load();
        state.orders.push(order.clone());
        if order.fence < state.fence {
            state.refused += 1;
            return Ok(OrderResult::Fenced);
        }
        if state.loading.is_some() || order.expected_orders != state.accepted {
            return Ok(OrderResult::Conflict);
        }
        state.fence = order.fence;
        state.accepted += 1;
        state.loading = Some((order.clone(), Instant::now() + LOAD));
        Ok(OrderResult::Accepted)
    }
}

/// A publication of weights, some time after the one before.
#[derive(Clone, Copy, Debug)]
struct Published {
    after: Duration,
    model: &'static str,
    weights: u64,
    position: u64,
}

fn published(after_ms: u64, model: &'static str, weights: u64, position: u64) -> Published {
    Published {
        after: Duration::from_millis(after_ms),
        model,
        weights,
        position,
    }
}

/// A table in which weights are published one after the other; the snapshot holds the first publication.
struct Table(VecDeque<Published>);

impl Table {
    async fn next(&mut self) -> Result<Page<Declaration>, FeedError> {
        let Some(next) = self.0.pop_front() else {
            return std::future::pending().await;
        };
        tokio::time::sleep(next.after).await;
        let declared = DeclaredWeights {
            model: model(next.model),
            weights: WeightsVersion(next.weights),
            fence: FenceNumber(next.position),
        };
        Ok(Page {
            items: vec![Declaration::Weights(declared)],
            version: TableVersion(next.position),
        })
    }
}

#[async_trait]
impl Feed<Declaration> for Table {
    async fn snapshot(&mut self, _: DurationMs) -> Result<Page<Declaration>, FeedError> {
        self.next().await
    }

    async fn changes(
        &mut self,
        _: TableVersion,
        _: DurationMs,
        _: DurationMs,
    ) -> Result<Page<Declaration>, FeedError> {
        self.next().await
    }
}

async fn start(engine: &SharedEngine, port: u16, publications: &[Published]) {
    let sidecar = Sidecar::start(SidecarParts {
        boot: boot("a", engine_addr(), port, WEIGHTS_MS),
        metrics_port: None,
        clock: Arc::new(SystemClock::new()),
        engine: Box::new(FencedEngine(engine.clone())),
        cache: Box::new(SilentCache),
        declarations: Box::new(Table(publications.iter().copied().collect())),
        table_proxy: Box::new(no_table),
        stores: Box::new(|_| Box::new(SilentCache)),
    });
    sidecar.await.expect("sidecar starts");
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime starts")
}

/// Waits until the engine holds weights 2 of some models, or has refused an order.
async fn until_loaded(engine: &SharedEngine, models: &[&str]) {
    loop {
        {
            let mut state = engine.lock().expect("no thread has panicked");
            state.finish_load();
            if state.refused > 0 || models.iter().all(|name| state.held(name) == 2) {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn assert_in_order(engine: &SharedEngine, case: &str) {
    let state = engine.lock().expect("no thread has panicked");
    let fences = state.fences();
    assert!(fences.is_sorted(), "{case}: {fences:?}");
    assert_eq!(state.refused, 0, "{case}");
}

/// Guards against an order for weights that were published first which carries a lower fencing number than an
/// order before it for another model: an engine that checks them refuses it for good.
#[test]
fn fencing_numbers_of_an_engine_with_several_models_do_not_fall() {
    // A load takes 150 ms, and a report is read every 40 to 120 ms.
    for gap_ms in [0, 20, 180, 600] {
        for models in [["n", "m", "o"], ["o", "n", "m"], ["m", "o", "n"]] {
            let engine = Arc::new(Mutex::new(EngineState::new()));
            LocalSet::new().block_on(&runtime(), async {
                let publications = [
                    published(0, models[0], 2, 50),
                    published(gap_ms, models[1], 2, 55),
                    published(gap_ms, models[2], 2, 61),
                ];
                start(&engine, 0, &publications).await;
                until_loaded(&engine, &models).await;
            });
            assert_in_order(&engine, &format!("{models:?} {gap_ms} ms apart"));
        }
    }
}

/// Guards against a sidecar that starts anew and orders with a lower fencing number than the process before it
/// has sent, as it has heard of one model from a router and has not read of the other one yet.
#[test]
fn restarted_sidecar_does_not_order_with_a_lower_fencing_number() {
    let engine = Arc::new(Mutex::new(EngineState::new()));
    LocalSet::new().block_on(&runtime(), async {
        start(&engine, 0, &[published(0, "m", 2, 55)]).await;
        until_loaded(&engine, &["m"]).await;
    });
    LocalSet::new().block_on(&runtime(), async {
        let router = UdpSocket::bind("127.0.0.1:0").await.expect("port is free");
        let addr = router.local_addr().expect("socket has an address");
        let probe = UdpSocket::bind("127.0.0.1:0").await.expect("port is free");
        let port = probe.local_addr().expect("socket has an address").port();
        drop(probe);
        let publications = [published(700, "m", 2, 55), published(0, "n", 2, 50)];
        start(&engine, port, &publications).await;
        let state = RouterState {
            router: "router-a".parse().expect("name is valid"),
            stamp: SystemClock::new().now(),
            subscribed: true,
            outstanding: Vec::new(),
            speeds: Vec::new(),
            weights: vec![WeightsUpdate {
                model: model("n"),
                weights: WeightsVersion(2),
                fence: FenceNumber(50),
                age_ms: WEIGHTS_MS,
                earlier: Vec::new(),
            }],
            tables: None,
        };
        let to = SocketAddr::new(addr.ip(), port);
        send_datagram(&router, to, &Datagram::Router(state)).await;
        until_loaded(&engine, &["n"]).await;
    });
    assert_in_order(&engine, "after a restart");
}
