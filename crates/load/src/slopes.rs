//! Measures how CPU time, memory and control traffic of router and agent scale.

use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use dw_admit::Fair;
use dw_admit::FairSettings;
use dw_admit::Gate;
use dw_admit::Ticket;
use dw_base::BlockHash;
use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::Priority;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::TokensPerS;
use dw_base::WeightsVersion;
use dw_base::Worth;
use dw_cache::Batch;
use dw_cache::Event;
use dw_cache::Index;
use dw_cache::Kind;
use dw_cache::Snapshot;
use dw_local::Cluster;
use dw_local::ClusterSettings;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::runtime::Runtime;
use tokio::time::sleep;
use tokio_util::io::InspectReader;

use crate::cpu::resident_bytes;
use crate::cpu::thread_cpu_time;
use crate::mix::Deployment;
use crate::sender::send;
use crate::workload::org_token;
use crate::workload::Workload;
use crate::workload::WorkloadSettings;

/// Name of the threads that run the routers.
const ROUTER_THREAD_NAME: &str = "dw-router";

/// Time over which an idle router is measured; covers several heartbeats.
const IDLE_DURATION: Duration = Duration::from_secs(10);

/// Time between the start of routers or a cluster and the measurement.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Numbers of organisations between which the slope is measured.
///
/// A configuration change with 20,000 organisations exceeds the time limit for applying it at every
/// agent.
const ORGANISATION_COUNTS: [usize; 2] = [8, 2_008];

/// Numbers of upstreams between which the slope is measured.
const UPSTREAM_COUNTS: [usize; 2] = [10, 60];

/// Request rate at which the CPU time per request is measured.
const REQUESTS_PER_S: f64 = 200.0;

/// Duration of the load, and of the idle measurement before it that is subtracted.
const REQUEST_DURATION: Duration = Duration::from_secs(10);

/// Blocks inserted into the index of an agent.
const BLOCK_COUNT: u128 = 200_000;

/// Requests queued in one gate, equal to the limit in the agent's settings.
///
/// An offer scans the whole queue, so a longer queue would overstate its cost.
const QUEUE_CAPACITY: u64 = 256;

/// Gates that are filled.
const GATE_COUNT: u64 = 100;

/// Cost of one additional unit, such as a request or an upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Slope {
    /// CPU time per request or event, in microseconds.
    pub cpu_us: Option<f64>,
    /// CPU utilisation per existing unit, as a share of one core.
    pub core_share: Option<f64>,
    /// Resident memory per existing unit, in bytes.
    pub memory_bytes: Option<f64>,
}

/// Control traffic between one router and its agents.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ControlTraffic {
    /// Number of agents.
    pub agents: usize,
    /// Bytes per second in both directions, over all agents.
    pub bytes_per_s: f64,
    /// Bytes per second in both directions, per agent.
    pub bytes_per_s_per_agent: f64,
}

/// Results of all scaling measurements.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Slopes {
    /// Router, per request of the Division service mix.
    pub router_request: Slope,
    /// Router, per organisation in the configuration.
    pub router_organisation: Slope,
    /// Router, per upstream and its agent, without requests.
    pub router_upstream: Slope,
    /// Agent, per cached block in its index.
    pub agent_block: Slope,
    /// Agent, per cache event.
    pub agent_event: Slope,
    /// Agent, per queued request; the memory excludes the prompt, which is also held.
    pub agent_queued: Slope,
    /// Control traffic for each number of agents.
    pub control: Vec<ControlTraffic>,
}

/// Runs all scaling measurements.
///
/// # Errors
///
/// Returns an error if a cluster cannot be started.
pub(crate) fn measure_slopes() -> eyre::Result<Slopes> {
    let mut slopes = Slopes::default();
    (slopes.agent_block, slopes.agent_event) = measure_cache();
    slopes.agent_queued = measure_queue()?;
    let routers = runtime(ROUTER_THREAD_NAME)?;
    let handle = routers.handle().clone();
    runtime("dw-load")?.block_on(async {
        slopes.router_organisation = measure_organisations(&handle).await?;
        slopes.router_request = measure_requests(&handle).await?;
        let mut idle = Vec::new();
        for count in UPSTREAM_COUNTS {
            idle.push(measure_idle_router(&handle, count).await?);
        }
        let added_count = (UPSTREAM_COUNTS[1] - UPSTREAM_COUNTS[0]) as f64;
        slopes.router_upstream = Slope {
            core_share: Some((idle[1].core_share - idle[0].core_share) / added_count),
            memory_bytes: Some((idle[1].memory_bytes - idle[0].memory_bytes) / added_count),
            cpu_us: None,
        };
        slopes.control = idle.iter().map(|idle| idle.traffic).collect();
        Ok(slopes)
    })
}

fn runtime(name: &str) -> eyre::Result<Runtime> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name(name)
        .enable_all()
        .build();
    Ok(runtime?)
}

/// Returns the memory per block and the time per event of an agent's cache index.
fn measure_cache() -> (Slope, Slope) {
    let before = resident_bytes();
    let mut index = Index::new();
    // The index ignores events until it has received a snapshot.
    index.apply_snapshot(&Snapshot {
        incarnation: Incarnation(1),
        weights: WeightsVersion(1),
        seq: 0,
        capacity_blocks: BLOCK_COUNT as usize,
        hashes: Vec::new(),
    });
    let started = Instant::now();
    for number in 1..=BLOCK_COUNT {
        // Multiplying by an odd constant spreads the numbers like real hashes over the buckets.
        let hash = BlockHash(number.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835));
        let batch = Batch {
            incarnation: Incarnation(1),
            weights: WeightsVersion(1),
            last_seq: number as u64,
            events: vec![Event {
                seq: number as u64,
                kind: Kind::Stored,
                hashes: vec![hash],
            }],
        };
        black_box(index.apply_batch(&batch, TimeMs(number as u64)));
    }
    let event_us = started.elapsed().as_secs_f64() * 1e6 / BLOCK_COUNT as f64;
    let growth_bytes = resident_bytes().saturating_sub(before) as f64;
    let blocks = index.len().max(1) as f64;
    let block = Slope {
        memory_bytes: Some(growth_bytes / blocks),
        ..Slope::default()
    };
    let event = Slope {
        cpu_us: Some(event_us),
        ..Slope::default()
    };
    (block, event)
}

/// Returns the memory per queued request and the time per offer of an agent's admission gate.
fn measure_queue() -> eyre::Result<Slope> {
    let speed = TokensPerS::new(8_000.0)?;
    let settings = FairSettings::builder()
        .max_running(1)
        .max_queued(QUEUE_CAPACITY as usize)
        .max_wait_ms(DurationMs(u64::MAX / 4))
        .prefill_tokens_per_s(speed)
        .decode_tokens_per_s(speed)
        .build();
    let before = resident_bytes();
    let started = Instant::now();
    let mut gates = Vec::new();
    for _ in 0..GATE_COUNT {
        let mut gate = Fair::new(settings.clone());
        // One request more than the queue holds: the first one is admitted at once.
        for id in 0..=QUEUE_CAPACITY {
            let ticket = Ticket {
                id,
                org: format!("org-{}", id % 8).parse()?,
                share: 1.0,
                priority: Priority::Normal,
                worth: Worth::new(1.0)?,
                uncached_tokens: Tokens(4_096),
                max_tokens: Tokens(100),
                deadline: TimeMs(u64::MAX / 2),
                repeatable: true,
            };
            black_box(gate.offer(ticket, TimeMs(id)));
        }
        gates.push(gate);
    }
    let offers = (GATE_COUNT * (QUEUE_CAPACITY + 1)) as f64;
    let offer_us = started.elapsed().as_secs_f64() * 1e6 / offers;
    let growth_bytes = resident_bytes().saturating_sub(before) as f64;
    let queued: u32 = gates.iter().map(|gate| gate.load().queued).sum();
    let queued = f64::from(queued.max(1));
    Ok(Slope {
        cpu_us: Some(offer_us),
        memory_bytes: Some(growth_bytes / queued),
        core_share: None,
    })
}

/// Returns the description of a fleet of `count` plain services, the upstreams with the least
/// overhead.
fn plain_services_fleet(count: usize) -> String {
    let mut text = "deployment: slopes\nweight_loads: 1\nservices:\n".to_owned();
    for number in 1..=count {
        text.push_str(&format!(
            "  - {{name: lookup-{number}, data_centre: local, services: [lookup]}}\n"
        ));
    }
    text
}

/// Returns the memory of a router per organisation with a single token.
async fn measure_organisations(routers: &Handle) -> eyre::Result<Slope> {
    let mut growths_bytes = Vec::new();
    for count in ORGANISATION_COUNTS {
        let organisations = (0..count).map(|n| (format!("org-{n}"), format!("token-{n}")));
        let settings = ClusterSettings::builder()
            .description(plain_services_fleet(1))
            .organisations(organisations.collect())
            .router_runtime(routers.clone())
            .build();
        let mut cluster = Cluster::start_with(settings).await?;
        let before = resident_bytes();
        let replaced = cluster.replace_routers().await?;
        sleep(SETTLING_TIME).await;
        growths_bytes.push(resident_bytes().saturating_sub(before) as f64);
        drop(replaced);
        cluster.shutdown().await;
    }
    let added_count = (ORGANISATION_COUNTS[1] - ORGANISATION_COUNTS[0]) as f64;
    Ok(Slope {
        memory_bytes: Some((growths_bytes[1] - growths_bytes[0]) / added_count),
        ..Slope::default()
    })
}

/// Returns the CPU time of a router per request of the Division service mix, less its idle usage.
async fn measure_requests(routers: &Handle) -> eyre::Result<Slope> {
    let names = crate::mix::organisations();
    let settings = ClusterSettings::builder()
        .description(dw_local::DIVISION)
        .organisations(names.iter().map(|n| (n.clone(), org_token(n))).collect())
        // Fast engines keep requests from queueing.
        .speedup(10.0)
        .router_runtime(routers.clone())
        .build();
    let cluster = Cluster::start_with(settings).await?;
    sleep(SETTLING_TIME).await;
    let idle = thread_cpu_time(ROUTER_THREAD_NAME);
    sleep(REQUEST_DURATION).await;
    let before = thread_cpu_time(ROUTER_THREAD_NAME);
    let load = WorkloadSettings::builder()
        .deployment(Deployment::Division)
        .rate_per_s(REQUESTS_PER_S)
        .duration(REQUEST_DURATION)
        .build();
    let samples = send(Workload::new(load), &cluster.callers_addrs()).await?;
    let used = thread_cpu_time(ROUTER_THREAD_NAME).saturating_sub(before);
    let used = used.saturating_sub(before.saturating_sub(idle));
    cluster.shutdown().await;
    Ok(Slope {
        cpu_us: Some(used.as_secs_f64() * 1e6 / samples.len().max(1) as f64),
        ..Slope::default()
    })
}

/// Resource usage of a router without requests.
struct IdleRouter {
    core_share: f64,
    memory_bytes: f64,
    traffic: ControlTraffic,
}

/// Measures a router that has `count` upstreams and receives no requests.
async fn measure_idle_router(routers: &Handle, count: usize) -> eyre::Result<IdleRouter> {
    let settings = ClusterSettings::builder()
        .description(plain_services_fleet(count))
        .router_runtime(routers.clone())
        .build();
    let mut cluster = Cluster::start_with(settings).await?;
    let bytes = Arc::new(AtomicU64::new(0));
    let mut addrs = Vec::new();
    for agent in cluster.agents() {
        addrs.push(start_counting_proxy(agent.control_addr(), &bytes).await?);
    }
    cluster.list_control_addrs(&addrs);
    for router in cluster.replace_routers().await? {
        router.shutdown().await;
    }
    // The first routers were started with the agents' own addresses, these with the proxies'.
    let before = resident_bytes();
    let replaced = cluster.replace_routers().await?;
    sleep(SETTLING_TIME).await;
    let growth_bytes = resident_bytes().saturating_sub(before) as f64;
    for router in replaced {
        router.shutdown().await;
    }
    let (cpu, sent) = (
        thread_cpu_time(ROUTER_THREAD_NAME),
        bytes.load(Ordering::Relaxed),
    );
    sleep(IDLE_DURATION).await;
    let cpu = thread_cpu_time(ROUTER_THREAD_NAME).saturating_sub(cpu);
    let sent = bytes.load(Ordering::Relaxed) - sent;
    cluster.shutdown().await;
    let bytes_per_s = sent as f64 / IDLE_DURATION.as_secs_f64();
    Ok(IdleRouter {
        core_share: cpu.as_secs_f64() / IDLE_DURATION.as_secs_f64(),
        memory_bytes: growth_bytes,
        traffic: ControlTraffic {
            agents: count,
            bytes_per_s,
            bytes_per_s_per_agent: bytes_per_s / count as f64,
        },
    })
}

/// Starts a TCP proxy to `target` that adds the bytes of both directions to `bytes`.
///
/// Returns the address of the proxy.
async fn start_counting_proxy(
    target: SocketAddr,
    bytes: &Arc<AtomicU64>,
) -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let bytes = Arc::clone(bytes);
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            let bytes = Arc::clone(&bytes);
            tokio::spawn(async move { proxy_connection(caller, target, &bytes).await });
        }
    });
    Ok(addr)
}

async fn proxy_connection(mut caller: TcpStream, target: SocketAddr, bytes: &AtomicU64) {
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        return;
    };
    let mut caller = InspectReader::new(&mut caller, |data: &[u8]| {
        bytes.fetch_add(data.len() as u64, Ordering::Relaxed);
    });
    let mut upstream = InspectReader::new(&mut upstream, |data: &[u8]| {
        bytes.fetch_add(data.len() as u64, Ordering::Relaxed);
    });
    // An error only means that one side closed the connection.
    let _ended = copy_bidirectional(&mut caller, &mut upstream).await;
}
