//! Orders of a sidecar to its engine.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use common::boot;
use common::metrics;
use common::no_table;
use common::SilentCache;
use dw_base::DurationMs;
use dw_base::FenceNumber;
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
use tokio::task::LocalSet;

/// Rollout limit, within which a lone sidecar orders the load by the rank-based plan.
const WEIGHTS_MS: DurationMs = DurationMs(100);

fn engine() -> SocketAddr {
    "127.0.0.1:1".parse().expect("address is valid")
}

/// Reaction of the engine to one order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reaction {
    /// Loads the weights and answers.
    Load,
    /// Loads the weights without an answer.
    LoadSilently,
    /// Neither loads the weights nor answers.
    Ignore,
    /// Refuses the fencing number.
    Fence,
}

#[derive(Debug, Default)]
struct EngineState {
    reactions: Vec<Reaction>,
    held: u64,
    accepted: u64,
    orders: Vec<Order>,
}

/// An engine that loads weights at once.
struct FakeEngine(Arc<Mutex<EngineState>>);

#[async_trait]
impl Engine for FakeEngine {
    async fn report(&mut self, _: DurationMs) -> Result<Report, EngineError> {
        let state = self.0.lock().expect("no thread has panicked");
        Ok(Report {
            models: vec![(
                "m".parse().expect("name is valid"),
                WeightsVersion(state.held),
            )],
            busy: false,
            orders: state.accepted,
            waiting: 0,
            running: 0,
            started_ms: 7,
            ..Report::default()
        })
    }

    async fn order(&mut self, order: &Order, _: DurationMs) -> Result<OrderResult, EngineError> {
        let mut state = self.0.lock().expect("no thread has panicked");
        state.orders.push(order.clone());
        let reaction = match state.reactions.len() {
            1 => state.reactions[0],
            _ => state.reactions.remove(0),
        };
        if order.expected_orders != state.accepted {
            return Ok(OrderResult::Conflict);
        }
        if matches!(reaction, Reaction::Load | Reaction::LoadSilently) {
            state.held = order.weights.0;
            state.accepted += 1;
        }
        match reaction {
            Reaction::Load => Ok(OrderResult::Accepted),
            Reaction::Fence => Ok(OrderResult::Fenced),
            Reaction::LoadSilently | Reaction::Ignore => Err(EngineError("no answer".to_owned())),
        }
    }
}

/// Publishes weights 2, and weights 3 two seconds later; counts the calls for changes.
struct DeclarationFeed(u64);

#[async_trait]
impl Feed<Declaration> for DeclarationFeed {
    async fn snapshot(&mut self, _: DurationMs) -> Result<Page<Declaration>, FeedError> {
        Ok(page(2, 41))
    }

    async fn changes(
        &mut self,
        _: TableVersion,
        _: DurationMs,
        _: DurationMs,
    ) -> Result<Page<Declaration>, FeedError> {
        self.0 += 1;
        if self.0 > 1 {
            return std::future::pending().await;
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        Ok(page(3, 50))
    }
}

fn page(weights: u64, fence: u64) -> Page<Declaration> {
    let published = DeclaredWeights {
        model: "m".parse().expect("name is valid"),
        weights: WeightsVersion(weights),
        fence: FenceNumber(fence),
    };
    Page {
        items: vec![Declaration::Weights(published)],
        version: TableVersion(fence),
    }
}

/// What the engine and the metrics show after four seconds.
struct Outcome {
    held: u64,
    orders: Vec<Order>,
    metrics: String,
}

/// Runs a sidecar for four seconds beside an engine with these reactions to its orders.
fn run_sidecar(reactions: &[Reaction]) -> Outcome {
    let state = Arc::new(Mutex::new(EngineState {
        reactions: reactions.to_vec(),
        held: 1,
        ..EngineState::default()
    }));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime starts");
    let metrics = LocalSet::new().block_on(&runtime, async {
        let sidecar = Sidecar::start(SidecarParts {
            boot: boot("a", engine(), 0, WEIGHTS_MS),
            metrics_port: Some(0),
            clock: Arc::new(SystemClock::new()),
            engine: Box::new(FakeEngine(state.clone())),
            cache: Box::new(SilentCache),
            declarations: Box::new(DeclarationFeed(0)),
            table_proxy: Box::new(no_table),
            stores: Box::new(|_| Box::new(SilentCache)),
        });
        let sidecar = sidecar.await.expect("sidecar starts");
        tokio::time::sleep(Duration::from_secs(4)).await;
        metrics(&sidecar).await
    });
    let state = state.lock().expect("no thread has panicked");
    Outcome {
        held: state.held,
        orders: state.orders.clone(),
        metrics,
    }
}

/// Guards against published weights that are not loaded or are loaded twice, and against orders
/// with a wrong fencing number or a wrong number of expected orders.
#[test]
fn each_naming_leads_to_one_order() {
    let Outcome { held, orders, .. } = run_sidecar(&[Reaction::Load]);
    assert_eq!(held, 3);
    let sent = |order: &Order| (order.weights.0, order.fence.0, order.expected_orders);
    assert_eq!(
        orders.iter().map(sent).collect::<Vec<_>>(),
        [(2, 41, 0), (3, 50, 1)]
    );
    assert!(orders
        .iter()
        .all(|order| order.holder == "side-127.0.0.1:1"));
}

/// Guards against an unanswered order that is sent again although the engine has loaded the
/// weights, and against one that is never sent again although the engine has not.
#[test]
fn orders_without_an_answer_are_settled_by_the_report() {
    let outcome = run_sidecar(&[Reaction::LoadSilently, Reaction::Ignore, Reaction::Load]);
    let Outcome { held, orders, .. } = outcome;
    assert_eq!(held, 3);
    let expected: Vec<u64> = orders.iter().map(|order| order.expected_orders).collect();
    assert_eq!(expected, [0, 1, 1]);
}

/// Guards against further orders with a fencing number that the engine has refused.
#[test]
fn refused_fence_is_not_used_again() {
    let Outcome { held, orders, .. } = run_sidecar(&[Reaction::Fence, Reaction::Load]);
    assert_eq!(held, 3);
    let fences: Vec<u64> = orders.iter().map(|order| order.fence.0).collect();
    assert_eq!(fences, [41, 50]);
}

/// Guards against a failed rollout that does not show in the metrics.
#[test]
fn orders_and_phases_are_counted() {
    let Outcome { metrics, .. } = run_sidecar(&[Reaction::Fence, Reaction::Load]);
    for line in [
        "dandelionwall_orders_total{kind=\"fenced\"} 1",
        "dandelionwall_orders_total{kind=\"accepted\"} 1",
        "dandelionwall_phase_seconds_count{kind=\"closing\"} 2",
    ] {
        assert!(metrics.contains(line), "{line} is not in {metrics}");
    }
}
