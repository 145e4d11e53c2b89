//! Limits that several routers share.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use common::closed_port;
use common::good;
use common::settings;
use common::Agent;
use common::Ask;
use common::CHAT;
use dw_api::vms::Vm;
use dw_api::vms::VmList;
use dw_api::vms::VmRole;
use dw_api::vms::VmState;
use dw_base::DurationMs;
use dw_base::ManualClock;
use dw_base::TimeMs;
use dw_place::RoundRobin;
use dw_router::SyncedParts;
use dw_router::SyncedRouter;
use dw_standin::MemoryObjects;
use dw_standin::MemoryTable;
use dw_standin::PlatformLimits;
use dw_store::StoreError;
use dw_store::VmSource;
use dw_wire::connect_control;
use dw_wire::LoanDenied;
use dw_wire::LoanRequest;
use http::StatusCode;
use sha2::Digest;
use sha2::Sha256;
use tokio::net::TcpSocket;

const LIMIT_PER_S: u64 = 20;
const ROUTERS: usize = 3;
const TICKS: u64 = 50;
const TICK_MS: u64 = 100;

/// Requests that each router gets in a tick; together six times the limit.
const BURST: usize = 4;

/// A VM list that counts how often it was read.
struct Listed(Mutex<VmList>, AtomicU64);

#[async_trait]
impl VmSource for Listed {
    async fn vms(&self) -> Result<VmList, StoreError> {
        self.1.fetch_add(1, Ordering::SeqCst);
        Ok(self.0.lock().expect("not poisoned").clone())
    }
}

impl Listed {
    fn set(&self, vms: Vec<Vm>) {
        let mut list = self.0.lock().expect("not poisoned");
        list.seq += 1;
        list.vms = vms;
    }

    /// Waits until the list has been read after this call.
    async fn read(&self) {
        let before = self.1.load(Ordering::SeqCst);
        while self.1.load(Ordering::SeqCst) < before + 2 {
            tokio::task::yield_now().await;
        }
    }
}

struct Fleet {
    clock: Arc<ManualClock>,
    routers: Vec<SyncedRouter>,
    lists: Vec<Arc<Listed>>,
    vms: Vec<Vm>,
    _agent: Agent,
}

fn vm(name: String, role: VmRole, data: SocketAddr, control: SocketAddr) -> Vm {
    Vm {
        upstream: (role == VmRole::Agent).then(|| "a".to_owned()),
        name,
        role,
        state: VmState::Live,
        data_centre: "ikeja".to_owned(),
        data_addr: data.to_string(),
        control_addr: control.to_string(),
    }
}

async fn start() -> Fleet {
    let agent = Agent::start("a", good("a")).await;
    let table = Arc::new(MemoryTable::new(PlatformLimits::unlimited()));
    let objects = Arc::new(MemoryObjects::new(PlatformLimits::unlimited()));
    let clock = Arc::new(ManualClock::new(TimeMs(1_000_000)));
    let name = "agent-a".to_owned();
    let mut vms = vec![vm(name, VmRole::Agent, agent.data_addr, agent.control_addr)];
    let (mut routers, mut lists) = (Vec::new(), Vec::new());
    for number in 1..=ROUTERS {
        let name = format!("router-{number}");
        let mut settings = settings();
        settings.node = common::id(&name);
        settings.vm_poll.0 = DurationMs(5);
        settings.bootstrap_token_sha256 = Some(hex::encode(Sha256::digest(b"secret")));
        let empty = VmList {
            as_of_ms: 0,
            seq: 0,
            vms: Vec::new(),
        };
        let list = Arc::new(Listed(Mutex::new(empty), AtomicU64::new(0)));
        let parts = SyncedParts::builder()
            .settings(settings)
            .table(table.clone())
            .objects(objects.clone())
            .vms(list.clone())
            .policy(Box::new(RoundRobin::default()))
            .clock(clock.clone())
            .build();
        let router = SyncedRouter::start(parts).await.expect("started");
        let (data, control) = (
            router.router().callers_addr(),
            router.router().control_addr(),
        );
        vms.push(vm(name, VmRole::Router, data, control));
        routers.push(router);
        lists.push(list);
    }
    let fleet = Fleet {
        clock,
        routers,
        lists,
        vms,
        _agent: agent,
    };
    fleet.declare().await;
    fleet
}

impl Fleet {
    async fn declare(&self) {
        let digest = hex::encode(Sha256::digest(b"secret"));
        let text = format!(
            "declare organisation planner token_sha256=[{digest}]; \
             declare model arch-1 weights=1; \
             declare service quote kind=generate repeat=repeatable; \
             declare upstream a kind=engine data_centre=ikeja services=[quote] model=arch-1 \
             prefill=1000/s decode=50/s; \
             limit organisation planner service quote requests={LIMIT_PER_S}/s"
        );
        let body = serde_json::json!({ "text": text }).to_string();
        while !self.routers.iter().all(|router| router.node().is_current()) {
            tokio::task::yield_now().await;
        }
        let admin = self.routers[0].router().admin_addr().expect("configured");
        // The fake agent would not confirm, so that only routers are listed at first.
        let routers: Vec<Vm> = self.vms[1..].to_vec();
        self.list(&routers).await;
        let (code, _, text) = Ask::new("/v1/statements", &body).send(admin).await;
        assert_eq!(code, StatusCode::OK, "{text}");
        self.list(&self.vms).await;
    }

    async fn list(&self, vms: &[Vm]) {
        for list in &self.lists {
            list.set(vms.to_vec());
            list.read().await;
        }
    }

    /// Asks a router for nothing, which tells the owner of the limit.
    async fn owner(&self) -> usize {
        for (index, router) in self.routers.iter().enumerate() {
            let client = connect_control(router.router().control_addr()).await;
            let request = LoanRequest {
                router: common::id("router-9"),
                org: common::id("planner"),
                service: Some(common::id("quote")),
                requests: 0.0,
                tokens: 0.0,
            };
            let context = tarpc::context::current();
            let answer = client.expect("connected").borrow(context, request).await;
            match answer.expect("answered") {
                Ok(_) => return index,
                Err(LoanDenied::NotOwner { .. }) => {}
                Err(other) => panic!("{other}"),
            }
        }
        panic!("no router owns the limit");
    }

    /// Gives one router a list in which the owner's address leads nowhere.
    async fn cut_off(&self, router: usize, owner: usize) -> TcpSocket {
        let closed = closed_port();
        let addr = closed.local_addr().expect("bound");
        let mut vms = self.vms.clone();
        vms[owner + 1].control_addr = addr.to_string();
        self.lists[router].set(vms);
        self.lists[router].read().await;
        closed
    }

    /// Sends more than the limit to every router and returns what each allowed.
    async fn overload(&self) -> Vec<u64> {
        let mut allowed = vec![0; ROUTERS];
        for _ in 0..TICKS {
            self.clock.advance(DurationMs(TICK_MS));
            for (router, allowed) in self.routers.iter().zip(&mut allowed) {
                for _ in 0..BURST {
                    let addr = router.router().callers_addr();
                    let (code, headers, text) = Ask::chat(CHAT).send(addr).await;
                    match code {
                        StatusCode::OK => *allowed += 1,
                        StatusCode::TOO_MANY_REQUESTS => {
                            assert!(headers.contains_key("retry-after"), "{text}");
                        }
                        other => panic!("{other}: {text}"),
                    }
                }
            }
        }
        allowed
    }
}

/// Guards against a limit that each router grants anew, and against one that is left unused.
#[tokio::test]
async fn limit_holds_over_all_routers() {
    let fleet = start().await;
    let allowed = fleet.overload().await;
    let total: u64 = allowed.iter().sum();
    let due = LIMIT_PER_S * TICKS * TICK_MS / 1_000;
    // Each router may owe one request.
    assert!(total <= due + ROUTERS as u64, "{allowed:?} of {due}");
    assert!(total * 10 >= due * 9, "{allowed:?} of {due}");
}

/// Guards against a router that refuses everything, or allows everything, while it cannot reach
/// the owner of a limit.
#[tokio::test]
async fn router_that_is_cut_off_uses_its_part() {
    let fleet = start().await;
    let owner = fleet.owner().await;
    let cut = (owner + 1) % ROUTERS;
    let _closed = fleet.cut_off(cut, owner).await;
    let allowed = fleet.overload().await;
    let due = LIMIT_PER_S * TICKS * TICK_MS / 1_000;
    let part = due / ROUTERS as u64;
    // Beyond its part, one request may be owed and one be saved up.
    assert!(allowed[cut] <= part + 2, "{allowed:?}, cut off: {cut}");
    assert!(allowed[cut] * 10 >= part * 7, "{allowed:?}, cut off: {cut}");
    let others = allowed.iter().sum::<u64>() - allowed[cut];
    assert!(others <= due + ROUTERS as u64, "{allowed:?} of {due}");
}
