//! Orders of a sidecar to its engine.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use common::boot;
use common::metrics;
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

/// Time within which the plan by rank has a lone sidecar load.
const WEIGHTS_MS: DurationMs = DurationMs(100);

fn engine() -> SocketAddr {
    "127.0.0.1:1".parse().expect("address is valid")
}

/// What the engine does with one order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Act {
    /// Carries it out.
    Load,
    /// Carries it out without an answer.
    LoadSilently,
    /// Gives no answer and does nothing.
    Ignore,
    /// Refuses its fencing number.
    Fence,
}

#[derive(Debug, Default)]
struct Life {
    acts: Vec<Act>,
    held: u64,
    accepted: u64,
    orders: Vec<Order>,
}

/// An engine that loads at once and restarts with what it had.
struct FakeEngine(Arc<Mutex<Life>>);

#[async_trait]
impl Engine for FakeEngine {
    async fn report(&mut self, _: DurationMs) -> Result<Report, EngineError> {
        let life = self.0.lock().expect("no thread has panicked");
        Ok(Report {
            models: vec![(
                "m".parse().expect("name is valid"),
                WeightsVersion(life.held),
            )],
            busy: false,
            orders: life.accepted,
            waiting: 0,
            running: 0,
            started_ms: 7,
        })
    }

    async fn order(&mut self, order: &Order, _: DurationMs) -> Result<OrderResult, EngineError> {
        let mut life = self.0.lock().expect("no thread has panicked");
        life.orders.push(order.clone());
        let act = match life.acts.len() {
            1 => life.acts[0],
            _ => life.acts.remove(0),
        };
        if order.expected_orders != life.accepted {
            return Ok(OrderResult::Conflict);
        }
        if matches!(act, Act::Load | Act::LoadSilently) {
            life.held = order.weights.0;
            life.accepted += 1;
        }
        match act {
            Act::Load => Ok(OrderResult::Accepted),
            Act::Fence => Ok(OrderResult::Fenced),
            Act::LoadSilently | Act::Ignore => Err(EngineError("no answer".to_owned())),
        }
    }
}

/// Names weights 2, and weights 3 a second later.
struct Names(u64);

#[async_trait]
impl Feed<Declaration> for Names {
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
    let named = DeclaredWeights {
        model: "m".parse().expect("name is valid"),
        weights: WeightsVersion(weights),
        fence: FenceNumber(fence),
    };
    Page {
        items: vec![Declaration::Weights(named)],
        version: TableVersion(fence),
    }
}

/// What four seconds of play have led to.
struct Played {
    held: u64,
    orders: Vec<Order>,
    metrics: String,
}

/// Plays four seconds.
fn play(acts: &[Act]) -> Played {
    let life = Arc::new(Mutex::new(Life {
        acts: acts.to_vec(),
        held: 1,
        ..Life::default()
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
            engine: Box::new(FakeEngine(life.clone())),
            cache: Box::new(SilentCache),
            declarations: Box::new(Names(0)),
            stores: Box::new(|_| Box::new(SilentCache)),
        });
        let sidecar = sidecar.await.expect("sidecar starts");
        tokio::time::sleep(Duration::from_secs(4)).await;
        metrics(&sidecar).await
    });
    let life = life.lock().expect("no thread has panicked");
    Played {
        held: life.held,
        orders: life.orders.clone(),
        metrics,
    }
}

/// Guards against weights that are not loaded, or loaded twice, and against an order whose fence or
/// condition does not fit.
#[test]
fn each_naming_leads_to_one_order() {
    let Played { held, orders, .. } = play(&[Act::Load]);
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

/// Guards against an order that is sent again although it was carried out, and against one that is
/// lost for good.
#[test]
fn orders_without_an_answer_are_settled_by_the_report() {
    let played = play(&[Act::LoadSilently, Act::Ignore, Act::Load]);
    let Played { held, orders, .. } = played;
    assert_eq!(held, 3);
    let expected: Vec<u64> = orders.iter().map(|order| order.expected_orders).collect();
    assert_eq!(expected, [0, 1, 1]);
}

/// Guards against a sender that goes on with a fencing number that the engine has refused.
#[test]
fn refused_fence_is_not_used_again() {
    let Played { held, orders, .. } = play(&[Act::Fence, Act::Load]);
    assert_eq!(held, 3);
    let fences: Vec<u64> = orders.iter().map(|order| order.fence.0).collect();
    assert_eq!(fences, [41, 50]);
}

/// Guards against a failed rollout that the metrics do not show.
#[test]
fn orders_and_phases_are_counted() {
    let Played { metrics, .. } = play(&[Act::Fence, Act::Load]);
    for line in [
        "dandelionwall_orders_total{kind=\"fenced\"} 1",
        "dandelionwall_orders_total{kind=\"accepted\"} 1",
        "dandelionwall_phase_seconds_count{kind=\"closing\"} 2",
    ] {
        assert!(metrics.contains(line), "{line} is not in {metrics}");
    }
}
