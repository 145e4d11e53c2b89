//! Sidecars of two data centres on loopback addresses, with routers that send them their state.

mod common;

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use common::boot;
use common::metrics;
use common::no_table;
use common::SilentCache;
use dw_base::Clock;
use dw_base::DurationMs;
use dw_base::ModelPart;
use dw_base::RequestDigest;
use dw_base::StreamKey;
use dw_base::SystemClock;
use dw_base::Tokens;
use dw_base::WeightsVersion;
use dw_fleet::Members;
use dw_origin::keepers;
use dw_origin::KEEPERS;
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
use dw_quarantine::Suspects;
use dw_sidecar::Sidecar;
use dw_sidecar::SidecarParts;
use dw_wire::decode;
use dw_wire::send_datagram;
use dw_wire::Datagram;
use dw_wire::OriginQuery;
use dw_wire::OriginRecord;
use dw_wire::Roster;
use dw_wire::RosterEntry;
use dw_wire::RouterState;
use dw_wire::StreamOrigin;
use dw_wire::SuspectReport;
use dw_wire::UpstreamStart;
use tokio::net::UdpSocket;
use tokio::task::LocalSet;

const DATA_CENTRES: u8 = 2;
const ENGINES: u8 = 5;

/// An engine without requests and a feed without declarations.
struct Idle;

#[async_trait]
impl Engine for Idle {
    async fn report(&mut self, _: DurationMs) -> Result<Report, EngineError> {
        Ok(Report {
            models: vec![("m".parse().expect("name is valid"), WeightsVersion(1))],
            started_ms: 7,
            ..Report::default()
        })
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

fn ip(data_centre: u8, number: u8) -> IpAddr {
    IpAddr::from([127, 0, data_centre + 1, number + 1])
}

fn engine(data_centre: u8, number: u8) -> SocketAddr {
    SocketAddr::new(ip(data_centre, number), 1)
}

fn roster() -> Roster {
    let all = (0..DATA_CENTRES).flat_map(|data_centre| {
        (0..ENGINES).map(move |number| RosterEntry {
            engine: engine(data_centre, number),
            data_centre,
            service: 0,
        })
    });
    let names = (0..DATA_CENTRES).map(|number| format!("dc-{number}"));
    Roster {
        version: 5,
        data_centres: names.map(|name| name.parse().expect("name")).collect(),
        services: vec!["s".parse().expect("name is valid")],
        engines: all.collect(),
    }
}

async fn start(data_centre: u8, number: u8, port: u16) -> Option<Sidecar> {
    let sidecar = Sidecar::start(SidecarParts {
        boot: boot(
            &format!("dc-{data_centre}"),
            engine(data_centre, number),
            port,
            DurationMs(6_000),
        ),
        metrics_port: Some(0),
        clock: Arc::new(SystemClock::new()),
        engine: Box::new(Idle),
        cache: Box::new(SilentCache),
        declarations: Box::new(Idle),
        table_proxy: Box::new(no_table),
        stores: Box::new(|_| Box::new(SilentCache)),
    });
    sidecar.await.ok()
}

/// Starts all sidecars on one port that is free on all addresses.
async fn start_all() -> (u16, Vec<Sidecar>) {
    loop {
        let probe = UdpSocket::bind("127.0.0.1:0").await.expect("port is free");
        let port = probe.local_addr().expect("socket has an address").port();
        let mut started = Vec::new();
        for data_centre in 0..DATA_CENTRES {
            for number in 0..ENGINES {
                started.extend(start(data_centre, number, port).await);
            }
        }
        if started.len() == usize::from(DATA_CENTRES * ENGINES) {
            return (port, started);
        }
    }
}

/// Returns how many state datagrams a sidecar has sent within its data centre.
async fn sent_states(sidecar: &Sidecar) -> u64 {
    let text = metrics(sidecar).await;
    let line = text
        .lines()
        .find(|line| line.contains("told_total{kind=\"near\"}"));
    let count = line.and_then(|line| line.rsplit(' ').next());
    count.and_then(|count| count.parse().ok()).unwrap_or(0)
}

/// A router of one data centre.
struct Router {
    socket: UdpSocket,
    data_centre: u8,
    port: u16,
}

impl Router {
    async fn start(data_centre: u8, port: u16) -> Self {
        let socket = UdpSocket::bind(SocketAddr::new(ip(data_centre, 100), 0)).await;
        Router {
            socket: socket.expect("port is free"),
            data_centre,
            port,
        }
    }

    /// Sends the roster and the router's state to the sidecars of these engines.
    async fn announce(&self, engines: &[SocketAddr]) {
        let state = RouterState {
            router: format!("router-{}", self.data_centre)
                .parse()
                .expect("name"),
            stamp: SystemClock::new().now(),
            subscribed: true,
            outstanding: vec![(engine(1, 1), Tokens(100))],
            speeds: Vec::new(),
            weights: Vec::new(),
            tables: None,
        };
        for addr in engines {
            let to = SocketAddr::new(addr.ip(), self.port);
            send_datagram(&self.socket, to, &Datagram::Roster(roster())).await;
            send_datagram(&self.socket, to, &Datagram::Router(state.clone())).await;
        }
    }

    /// Returns the prompt parts about which this router has received evidence since the last call.
    fn received_suspects(&self) -> Vec<ModelPart> {
        let mut buffer = vec![0; 65_536];
        let mut parts = Vec::new();
        while let Ok(length) = self.socket.try_recv(&mut buffer) {
            if let Ok(Datagram::Suspects(reports)) = decode(&buffer[..length]) {
                parts.extend(reports.iter().map(|report| report.key));
            }
        }
        parts
    }

    /// Returns the requests about which this router has received evidence since the last call.
    fn received_suspect_requests(&self) -> Vec<RequestDigest> {
        let mut buffer = vec![0; 65_536];
        let mut requests = Vec::new();
        while let Ok(length) = self.socket.try_recv(&mut buffer) {
            if let Ok(Datagram::SuspectRequests(reports)) = decode(&buffer[..length]) {
                requests.extend(reports.iter().map(|report| report.key));
            }
        }
        requests
    }

    /// Returns the last answer to a question for the origin of a stream since the last call.
    fn received_origin(&self, number: u32) -> Option<Option<StreamOrigin>> {
        let mut buffer = vec![0; 65_536];
        let mut received = None;
        while let Ok(length) = self.socket.try_recv(&mut buffer) {
            match decode(&buffer[..length]) {
                Ok(Datagram::OriginAnswer(answer)) if answer.number == number => {
                    received = Some(answer.origin);
                }
                _ => {}
            }
        }
        received
    }

    /// Returns the engines whose states this router has received since the last call.
    fn received_engines(&self) -> Vec<SocketAddr> {
        let mut buffer = vec![0; 65_536];
        let mut engines = Vec::new();
        while let Ok(length) = self.socket.try_recv(&mut buffer) {
            if let Ok(Datagram::DataCentre(state)) = decode(&buffer[..length]) {
                engines.extend(state.engines.iter().map(|state| state.engine));
            }
        }
        engines.sort_unstable();
        engines.dedup();
        engines
    }
}

/// Guards against evidence about prompt parts that stays in one data centre: crashes under one part are
/// counted over all routers.
#[test]
fn ends_reach_routers_of_other_data_centres() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let (port, _sidecars) = start_all().await;
        let mut members = Members::default();
        members.update(roster());
        let name = |number: u8| format!("dc-{number}").parse().expect("name is valid");
        let near = Router::start(0, port).await;
        let far = Router::start(1, port).await;
        let mut suspects = Suspects::default();
        let start = UpstreamStart::new(&"u".parse().expect("name is valid"), 1);
        for _ in 0..50 {
            let now = SystemClock::new().now();
            suspects.record_end(&[ModelPart(7)], start, now);
            far.announce(&members.relay_order(&name(1))[..2]).await;
            for relay in &members.relay_order(&name(0))[..2] {
                let reports = Datagram::Suspects(suspects.take_due(now));
                let to = SocketAddr::new(relay.ip(), port);
                near.announce(&[*relay]).await;
                send_datagram(&near.socket, to, &reports).await;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
            if far.received_suspects().contains(&ModelPart(7)) {
                return;
            }
            // Announced once only; a lost datagram is announced again with new evidence.
            suspects = Suspects::default();
        }
        panic!("the router of the other data centre received no evidence");
    });
}

/// Guards against evidence about whole requests that stays in one data centre, or that a relay mixes up with
/// evidence about prompt parts.
#[test]
fn ends_under_one_request_reach_routers_of_other_data_centres() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let (port, _sidecars) = start_all().await;
        let mut members = Members::default();
        members.update(roster());
        let name = |number: u8| format!("dc-{number}").parse().expect("name is valid");
        let near = Router::start(0, port).await;
        let far = Router::start(1, port).await;
        let request = RequestDigest::new("acme", [b"body".as_slice()]);
        let upstream = "u".parse().expect("name is valid");
        let report = SuspectReport {
            key: request,
            ends: vec![(UpstreamStart::new(&upstream, 1), DurationMs(0))],
            answered_age_ms: None,
        };
        // Datagrams may be lost; each one brings another end.
        for number in 2..50 {
            far.announce(&members.relay_order(&name(1))[..2]).await;
            for relay in &members.relay_order(&name(0))[..2] {
                let mut report = report.clone();
                report.ends[0].0 = UpstreamStart::new(&upstream, number);
                let to = SocketAddr::new(relay.ip(), port);
                near.announce(&[*relay]).await;
                let reports = Datagram::SuspectRequests(vec![report]);
                send_datagram(&near.socket, to, &reports).await;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
            if far.received_suspect_requests().contains(&request) {
                return;
            }
        }
        panic!("the router of the other data centre received no evidence");
    });
}

/// Guards against a router that takes a stream up and cannot learn from sidecars which software version
/// began it.
#[test]
fn sidecar_tells_where_a_stream_began() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let (port, _sidecars) = start_all().await;
        let began = Router::start(0, port).await;
        let takes_up = Router::start(1, port).await;
        let to = SocketAddr::new(ip(0, 0), port);
        let origin = StreamOrigin {
            service: "s".parse().expect("name is valid"),
            software: "v2".parse().expect("version is valid"),
        };
        let known = StreamKey::new("acme", "a-1");
        let record = Datagram::OriginRecord(OriginRecord {
            stream: known,
            origin: origin.clone(),
            retention_ms: DurationMs(60_000),
        });
        let unknown = StreamKey::new("other", "a-1");
        for (number, stream, expected) in [(1, known, Some(origin)), (2, unknown, None)] {
            let mut answer = None;
            // Datagrams may be lost.
            for _ in 0..50 {
                send_datagram(&began.socket, to, &record).await;
                let query = Datagram::OriginQuery(OriginQuery { number, stream });
                send_datagram(&takes_up.socket, to, &query).await;
                tokio::time::sleep(Duration::from_millis(100)).await;
                answer = takes_up.received_origin(number);
                if answer.is_some() {
                    break;
                }
            }
            assert_eq!(answer, Some(expected));
        }
    });
}

/// Guards against streams that cannot go on after a rolling restart: a sidecar that stops takes what it was told
/// with it.
#[test]
fn stopping_sidecar_hands_origins_on() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let (port, mut sidecars) = start_all().await;
        let router = Router::start(0, port).await;
        let stopping = engine(0, 0);
        let origin = StreamOrigin {
            service: "s".parse().expect("name is valid"),
            software: "v2".parse().expect("version is valid"),
        };
        let stream = StreamKey::new("acme", "a-1");
        let record = Datagram::OriginRecord(OriginRecord {
            stream,
            origin: origin.clone(),
            retention_ms: DurationMs(60_000),
        });
        let to = |engine: SocketAddr| SocketAddr::new(engine.ip(), port);
        // Datagrams may be lost.
        for _ in 0..20 {
            router.announce(&[stopping]).await;
            send_datagram(&router.socket, to(stopping), &record).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        sidecars.remove(0).shutdown().await;
        let others = roster().engines.into_iter().map(|entry| entry.engine);
        let others: Vec<SocketAddr> = others.filter(|engine| *engine != stopping).collect();
        let mut answer = None;
        for number in 0..50 {
            for engine in keepers(stream, others.iter().copied(), KEEPERS) {
                let query = Datagram::OriginQuery(OriginQuery { number, stream });
                send_datagram(&router.socket, to(engine), &query).await;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
            answer = router.received_origin(number).flatten();
            if answer.is_some() {
                break;
            }
        }
        assert_eq!(answer, Some(origin));
    });
}

/// Guards against sidecars that keep each other relays. Routers use more sidecars as relays for a
/// moment, as at a start; afterwards two relays must remain in each data centre, and every router
/// must receive the states of all engines from them.
#[test]
fn two_relays_a_data_centre_remain() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let (port, sidecars) = start_all().await;
        let mut members = Members::default();
        members.update(roster());
        let mut routers = Vec::new();
        for data_centre in 0..DATA_CENTRES {
            let router = Router::start(data_centre, port).await;
            let name = format!("dc-{data_centre}").parse().expect("name");
            let order = members.relay_order(&name);
            router.announce(&order).await;
            routers.push((router, order));
        }
        let mut before = vec![0; sidecars.len()];
        for _ in 0..40 {
            for _ in 0..5 {
                for (router, order) in &routers {
                    router.announce(&order[..2]).await;
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            let mut active_relays = 0;
            for (sidecar, before) in sidecars.iter().zip(&mut before) {
                let now = sent_states(sidecar).await;
                active_relays += usize::from(now > *before);
                *before = now;
            }
            let received = routers
                .iter()
                .map(|(router, _)| router.received_engines().len());
            let is_complete = received.min() == Some(usize::from(DATA_CENTRES * ENGINES));
            if active_relays == usize::from(2 * DATA_CENTRES) && is_complete {
                return;
            }
        }
        panic!("not exactly two relays are active in each data centre, or a router misses engines");
    });
}
