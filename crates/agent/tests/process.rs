//! The binary on ephemeral ports, with the stand-ins of the platform.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;

use async_trait::async_trait;
use common::config;
use common::generate_request;
use common::run_at;
use common::text_of;
use common::Upstream;
use dw_api::vms::Vm;
use dw_api::vms::VmRole;
use dw_api::vms::VmState;
use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::ModelPart;
use dw_base::NodeId;
use dw_base::RequestDigest;
use dw_base::RequestId;
use dw_base::Suspect;
use dw_base::SystemClock;
use dw_config::Change;
use dw_config::Edit;
use dw_config::Object;
use dw_config::Service;
use dw_standin::ephemeral_addr;
use dw_standin::start_objects;
use dw_standin::start_table;
use dw_standin::start_vms;
use dw_standin::MemoryObjects;
use dw_standin::MemoryTable;
use dw_standin::MemoryVms;
use dw_standin::PlatformLimits;
use dw_sync::ConfigNode;
use dw_sync::PeerError;
use dw_sync::Peers;
use dw_wire::ConfigAck;
use dw_wire::ConfigUpdate;
use dw_wire::Control;
use dw_wire::Frame;
use dw_wire::Hello;
use dw_wire::Loan;
use dw_wire::LoanDenied;
use dw_wire::LoanRequest;
use dw_wire::RefusalReason;
use dw_wire::SuspectReport;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::io::Lines;
use tokio::process::Child;
use tokio::process::ChildStderr;
use tokio::process::Command;
use tokio::sync::mpsc;

/// Control port of a router that passes on the hellos it gets.
#[derive(Clone)]
struct Router(mpsc::UnboundedSender<Hello>);

impl Control for Router {
    async fn hello(self, _: Context, hello: Hello) -> Hello {
        self.0.send(hello).expect("the test listens");
        Hello {
            node: "router".parse().expect("valid id"),
            incarnation: Incarnation(1),
            config_version: ConfigVersion(0),
            leaving: false,
            status: None,
        }
    }

    async fn offer_config(self, _: Context, _: ConfigUpdate) -> ConfigAck {
        ConfigAck {
            node: "router".parse().expect("valid id"),
            in_force: ConfigVersion(0),
        }
    }

    async fn newer_config(self, _: Context, _: ConfigVersion) -> Option<ConfigUpdate> {
        None
    }

    async fn borrow(self, _: Context, _: LoanRequest) -> Result<Loan, LoanDenied> {
        Err(LoanDenied::NoLimit)
    }

    async fn explain(self, _: Context, _: RequestId) -> Option<String> {
        None
    }

    async fn node_state(self, _: Context) -> String {
        String::new()
    }

    async fn suspects(self, _: Context, _: Vec<SuspectReport>) {}

    async fn request_probe(self, _: Context, _: Vec<ModelPart>) -> DurationMs {
        DurationMs(1_000)
    }

    async fn suspect_requests(self, _: Context, _: Vec<SuspectReport<RequestDigest>>) {}

    async fn request_suspect_probe(self, _: Context, _: Vec<Suspect>) -> DurationMs {
        DurationMs::ZERO
    }
}

async fn router() -> (SocketAddr, mpsc::UnboundedReceiver<Hello>) {
    let (sender, hellos) = mpsc::unbounded_channel();
    let mut incoming = tarpc::serde_transport::tcp::listen(ephemeral_addr(), Bincode::default)
        .await
        .expect("binds");
    let addr = incoming.local_addr();
    tokio::spawn(async move {
        while let Some(Ok(transport)) = incoming.next().await {
            let answers = BaseChannel::with_defaults(transport)
                .execute(Router(sender.clone()).serve())
                .for_each_concurrent(None, |answer| answer);
            tokio::spawn(answers);
        }
    });
    (addr, hellos)
}

struct NoPeers;

#[async_trait]
impl Peers for NoPeers {
    fn live(&self) -> Vec<NodeId> {
        Vec::new()
    }

    async fn version(&self, node: &NodeId) -> Result<ConfigVersion, PeerError> {
        Err(nobody(node))
    }

    async fn offer(&self, node: &NodeId, _: ConfigUpdate) -> Result<ConfigAck, PeerError> {
        Err(nobody(node))
    }

    async fn newer(
        &self,
        node: &NodeId,
        _: ConfigVersion,
    ) -> Result<Option<ConfigUpdate>, PeerError> {
        Err(nobody(node))
    }
}

fn nobody(node: &NodeId) -> PeerError {
    PeerError {
        node: node.clone(),
        detail: "there are no peers".to_owned(),
    }
}

/// Writes the configuration of the other tests to the table.
async fn commit_config(table: &Arc<MemoryTable>, objects: &Arc<MemoryObjects>) {
    let node = ConfigNode::builder()
        .id("operator".parse().expect("valid id"))
        .table(table.clone())
        .objects(objects.clone())
        .peers(Arc::new(NoPeers))
        .clock(Arc::new(SystemClock::new()))
        .seed(1)
        .build();
    assert!(node.start().await);
    let service = |name, kind, repeat| {
        let service = serde_json::json!({"name": name, "kind": kind, "repeat": repeat,
            "priority": "normal", "worth": 1.0, "deadline_ms": 60_000, "max_prompt_tokens": 100_000});
        let service: Service = serde_json::from_value(service).expect("a service");
        Object::Service(service)
    };
    let mut objects = vec![
        service("quote", "generate", "repeatable"),
        service("booking", "call", "at-most-once"),
    ];
    objects.extend(config(1, 1).entries.into_values().map(|entry| entry.object));
    let change = Change {
        id: "c-1".parse().expect("valid id"),
        operator: "ngozi".parse().expect("valid id"),
        text: "declare everything".to_owned(),
        edits: objects.into_iter().map(Edit::Put).collect(),
    };
    node.commit(change, ConfigVersion(0))
        .await
        .expect("accepted");
}

struct Process {
    child: Child,
    log: Lines<BufReader<ChildStderr>>,
}

impl Process {
    fn start(name: &str, settings: &str) -> Self {
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&file, settings).expect("file is written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_dandelionwall-agent"))
            .arg("--settings")
            .arg(&file)
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("binary starts");
        let log = BufReader::new(child.stderr.take().expect("piped")).lines();
        Process { child, log }
    }

    /// Returns the value of a field in the next line of an event.
    async fn logged(&mut self, event: &str, field: &str) -> String {
        loop {
            let line = self.log.next_line().await.expect("text");
            let line = line.expect("the binary logs the event").replace('"', " ");
            if !line.contains(&format!("event={event} ")) {
                continue;
            }
            let prefix = format!("{field}=");
            let value = line.split(' ').find_map(|part| part.strip_prefix(&prefix));
            return value.expect("the line has the field").to_owned();
        }
    }

    async fn terminate(&self) {
        let id = self.child.id().expect("it runs").to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status().await;
        assert!(sent.expect("kill runs").success());
    }
}

/// Guards against a binary that does not serve on the ports it reports, that cuts off a stream or
/// takes new work on SIGTERM, that leaves without a notice to the routers, or that fails at exit.
#[tokio::test]
async fn binary_serves_and_drains() {
    let (table, objects) = (Arc::new(MemoryTable::default()), Arc::default());
    commit_config(&table, &objects).await;
    let (router_addr, mut hellos) = router().await;
    let vms = Arc::new(MemoryVms::new(PlatformLimits::default(), DurationMs(0)));
    vms.set_vms(vec![Vm {
        name: "router".to_owned(),
        role: VmRole::Router,
        state: VmState::Live,
        data_centre: "dc".to_owned(),
        data_addr: router_addr.to_string(),
        control_addr: router_addr.to_string(),
        upstream: None,
    }]);
    let table = start_table(ephemeral_addr(), table).await.expect("binds");
    let objects = start_objects(ephemeral_addr(), objects)
        .await
        .expect("binds");
    let vms = start_vms(ephemeral_addr(), vms).await.expect("binds");
    let upstream = Upstream::start().await;
    upstream.set(|fake| fake.allowed = 1);
    let settings = format!(
        "agent: {{node: agent-e, data_centre: dc, upstream: e, upstream_addr: '{}', \
         data_addr: '127.0.0.1:0', control_addr: '127.0.0.1:0', metrics_addr: '127.0.0.1:0'}}\n\
         platform: {{table_addr: '{}', objects_addr: '{}', vms_addr: '{}'}}\n",
        upstream.addr,
        table.addr(),
        objects.addr(),
        vms.addr()
    );
    let mut process = Process::start("process.yaml", &settings);
    let addr: SocketAddr = process
        .logged("started", "data_addr")
        .await
        .parse()
        .expect("an address");
    let mut number = 0;
    let (mut stream, first) = loop {
        number += 1;
        let request = generate_request(&format!("r{number}"), "hello", 3);
        let mut stream = run_at(addr, &request).await;
        match stream.next().await.expect("an answer") {
            Frame::Refused(refusal) => assert_eq!(refusal.reason, RefusalReason::NotReady),
            first => break (stream, first),
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    };
    assert!(matches!(first, Frame::Start(_)), "{first:?}");
    process.terminate().await;
    while !hellos.recv().await.expect("the router runs").leaving {}
    let late = run_at(addr, &generate_request("late", "hello", 1)).await;
    let late = late.all().await;
    assert!(
        matches!(late.as_slice(), [Frame::Refused(r)] if r.reason == RefusalReason::Leaving),
        "{late:?}"
    );
    upstream.set(|fake| fake.allowed = u64::MAX);
    let mut frames = Vec::new();
    while let Some(frame) = stream.next().await {
        frames.push(frame);
    }
    assert_eq!(text_of(&frames, 0), "t0 t1 t2 ");
    assert!(matches!(frames.last(), Some(Frame::End(_))), "{frames:?}");
    let status = process.child.wait().await.expect("it ends");
    assert_eq!(status.code(), Some(0));
}
