//! A sidecar that counts quotas, and a router that asks it, on loopback addresses.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use common::boot;
use common::metrics;
use common::no_table;
use common::SilentCache;
use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::QuotaAmount;
use dw_base::QuotaLimit;
use dw_base::QuotaRate;
use dw_base::SystemClock;
use dw_port::Declaration;
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
use dw_wire::decode;
use dw_wire::send_datagram;
use dw_wire::Datagram;
use dw_wire::QuotaQuestion;
use dw_wire::QuotaResult;
use dw_wire::QuotaReturn;
use tokio::net::UdpSocket;
use tokio::task::LocalSet;

/// An engine without requests and a feed without declarations.
struct Idle;

#[async_trait]
impl Engine for Idle {
    async fn report(&mut self, _: DurationMs) -> Result<Report, EngineError> {
        Ok(Report::default())
    }

    async fn order(&mut self, _: &Order, _: DurationMs) -> Result<OrderResult, EngineError> {
        Ok(OrderResult::Holds)
    }
}

#[async_trait]
impl Feed<Declaration> for Idle {
    async fn snapshot(&mut self, _: DurationMs) -> Result<Page<Declaration>, FeedError> {
        std::future::pending().await
    }

    async fn changes(
        &mut self,
        _: TableVersion,
        _: DurationMs,
        _: DurationMs,
    ) -> Result<Page<Declaration>, FeedError> {
        std::future::pending().await
    }
}

/// Starts a sidecar on a port that is free.
async fn start() -> (SocketAddr, Sidecar) {
    let ip = [127, 0, 9, 1];
    loop {
        let probe = UdpSocket::bind(SocketAddr::from((ip, 0))).await;
        let addr = probe
            .and_then(|probe| probe.local_addr())
            .expect("port is free");
        let engine = SocketAddr::from((ip, 1));
        let started = Sidecar::start(SidecarParts {
            boot: boot("dc-0", engine, addr.port(), DurationMs(6_000)),
            metrics_port: Some(0),
            clock: Arc::new(SystemClock::new()),
            engine: Box::new(Idle),
            cache: Box::new(SilentCache),
            declarations: Box::new(Idle),
            table_proxy: Box::new(no_table),
            stores: Box::new(|_| Box::new(SilentCache)),
        });
        if let Ok(sidecar) = started.await {
            return (addr, sidecar);
        }
    }
}

struct Router {
    socket: UdpSocket,
    sidecar: SocketAddr,
    number: u32,
}

impl Router {
    /// Asks until an answer arrives, as datagrams may be lost.
    async fn ask(&mut self, amount: u64) -> QuotaResult {
        self.number += 1;
        let question = Datagram::QuotaQuestion(QuotaQuestion {
            number: self.number,
            org: "acme".parse().expect("name is valid"),
            limit: QuotaLimit {
                version: ConfigVersion(1),
                // Hardly anything is added during the test.
                rate: QuotaRate(1_000),
                burst: QuotaAmount(100_000),
            },
            amount: QuotaAmount(amount),
            urgency: 1,
        });
        let mut buffer = vec![0; 65_536];
        for _ in 0..200 {
            send_datagram(&self.socket, self.sidecar, &question).await;
            let received = self.socket.recv(&mut buffer);
            let length = tokio::time::timeout(Duration::from_millis(200), received).await;
            let Ok(Ok(length)) = length else { continue };
            match decode(&buffer[..length]) {
                Ok(Datagram::QuotaAnswer(answer)) if answer.number == self.number => {
                    return answer.result;
                }
                _ => {}
            }
        }
        panic!("the sidecar does not answer");
    }

    async fn give_back(&self, number: Option<u32>, amount: u64) {
        let returned = Datagram::QuotaReturn(QuotaReturn {
            org: "acme".parse().expect("name is valid"),
            amount: QuotaAmount(amount),
            number,
        });
        send_datagram(&self.socket, self.sidecar, &returned).await;
    }
}

/// Guards against a sidecar that does not answer questions about quotas, counts them wrongly, or does not take
/// back what did not run.
#[test]
fn sidecar_counts_a_quota() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let (sidecar_addr, sidecar) = start().await;
        let socket = UdpSocket::bind("127.0.9.2:0").await.expect("port is free");
        let mut router = Router {
            socket,
            sidecar: sidecar_addr,
            number: 0,
        };
        // Another process may have counted until a moment after the start.
        assert!(matches!(router.ask(1).await, QuotaResult::Denied(_)));
        let mut granted = false;
        for _ in 0..200 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            granted = router.ask(1).await == QuotaResult::Granted;
            if granted {
                break;
            }
        }
        assert!(granted, "nothing is granted");
        // A return is a single datagram, which may be lost.
        for _ in 0..200 {
            router.give_back(None, 100_000).await;
            if router.ask(90_000).await == QuotaResult::Granted {
                break;
            }
        }
        for amount in [90_000, 1_000] {
            while router.ask(amount).await == QuotaResult::Granted {}
        }
        // The number of a question that was not granted gives nothing back.
        router.give_back(Some(router.number), 100_000).await;
        assert!(matches!(router.ask(1_000).await, QuotaResult::Denied(_)));
        let text = metrics(&sidecar).await;
        for kind in ["granted", "denied", "returned"] {
            let line = format!("quota_questions_total{{kind=\"{kind}\"}}");
            assert!(text.contains(&line), "{text}");
        }
        assert!(text.contains("quota_accounts 1"), "{text}");
    });
}
