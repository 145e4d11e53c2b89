//! Guarantees 4, 5 and 6 for calls that run at most once.

use std::collections::BTreeSet;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dw_base::seeded_rng;
use dw_proof::ask;
use dw_proof::check_once;
use dw_proof::check_refusals;
use dw_proof::until;
use dw_proof::Call;
use dw_proof::RequestHead;
use dw_proof::Site;
use dw_proof::SiteSettings;
use dw_standin::Outage;
use dw_standin::PlatformFaults;
use dw_standin::ServiceFaults;
use dw_standin::ServiceSettings;
use rand::RngExt;
use serde_json::json;

/// Time budget of a call under faults.
const DEADLINE_MS: &str = "400";

/// Length of a freeze, longer than the budget of a call.
const FREEZE: Duration = Duration::from_millis(600);

/// Length of one form of outage.
const OUTAGE: Duration = Duration::from_millis(300);

/// Callers at the same time.
const CALLERS: u64 = 8;

/// Keys that the callers of one scenario share.
const KEYS: u32 = 12;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Kill,
    Freeze,
    Outage,
    SlowTable,
    LostWrites,
    LostCalls,
}

const FAULTS: [Fault; 6] = [
    Fault::Kill,
    Fault::Freeze,
    Fault::Outage,
    Fault::SlowTable,
    Fault::LostWrites,
    Fault::LostCalls,
];

type History = Arc<Mutex<Vec<Call>>>;

struct Proof {
    site: Site,
    history: History,
}

/// A call in a scenario; one in six has another body than the key's first one.
fn random_call(scenario: &str, rng: &mut impl rand::Rng) -> Call {
    let number = rng.random_range(0..KEYS);
    let service = if number.is_multiple_of(2) {
        "booking"
    } else {
        "deposit"
    };
    Call {
        org: if number.is_multiple_of(3) {
            "acme"
        } else {
            "bahia"
        }
        .to_owned(),
        service: service.to_owned(),
        // Organisations and services share key texts.
        key: format!("{scenario}-{}", number / 3),
        body: json!({ "order": number, "other": rng.random_ratio(1, 6) }),
        reply: Default::default(),
    }
}

async fn make(addr: std::net::SocketAddr, mut call: Call, history: &History) -> Call {
    let request = RequestHead::call(&call.org, &call.service, Some(&call.key), call.body.clone());
    let request = request.with("x-deadline-ms", DEADLINE_MS);
    call.reply = ask(addr, &request).await;
    history.lock().expect("not poisoned").push(call.clone());
    call
}

impl Proof {
    async fn start() -> Proof {
        let plain = ServiceSettings {
            service_ms: 40.0,
            max_running: 4,
            speedup: 1.0,
        };
        let settings = SiteSettings::builder()
            .organisations(vec!["acme".to_owned(), "bahia".to_owned()])
            .plains(vec![plain; 3])
            .build();
        Proof {
            site: Site::start(settings).await.expect("started"),
            history: History::default(),
        }
    }

    /// Runs callers while the faults happen, then lets each key be asked for again.
    async fn scenario(&mut self, faults: &[Fault]) {
        let name = faults.iter().map(|fault| format!("{fault:?}"));
        let name = name.collect::<Vec<_>>().join("-");
        let stop = Arc::new(AtomicBool::new(false));
        let routers = [self.site.callers(0), self.site.callers(1)];
        let callers = (0..CALLERS).map(|seed| {
            let (name, stop) = (name.clone(), Arc::clone(&stop));
            let history = Arc::clone(&self.history);
            tokio::spawn(async move {
                let mut rng = seeded_rng(seed);
                let mut made = 0;
                while made < 4 || !stop.load(Ordering::SeqCst) {
                    let router = routers[rng.random_range(0..routers.len())];
                    let call = random_call(&name, &mut rng);
                    make(router, call, &history).await;
                    made += 1;
                    // Refusals come at once; without a pause callers would only repeat them.
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            })
        });
        let callers: Vec<_> = callers.collect();
        let running = || async {
            let keys = self.site.executions();
            keys.iter()
                .any(|run| run.key.as_ref().is_some_and(|key| key.starts_with(&name)))
        };
        until("a call runs", running).await.expect("no hang");
        self.inject(faults).await;
        stop.store(true, Ordering::SeqCst);
        for caller in callers {
            caller.await.expect("a caller ends");
        }
        self.settle(&name).await;
    }

    async fn inject(&mut self, faults: &[Fault]) {
        let has = |fault| faults.contains(&fault);
        let before = self.site.fleet.table.state.counters();
        let mut table = PlatformFaults::default();
        if has(Fault::SlowTable) {
            table.delay_ms = 150;
        }
        if has(Fault::LostWrites) {
            table.lose_answers = 6;
        }
        self.site.fleet.table.state.set_faults(table.clone());
        if has(Fault::LostCalls) {
            for service in self.site.fleet.services.values() {
                service.state.set_faults(ServiceFaults {
                    lose_answers: 2,
                    cut_before: 1,
                    ..ServiceFaults::default()
                });
            }
        }
        if has(Fault::Kill) {
            self.site.agents["p0"].process.kill();
        }
        if has(Fault::Freeze) {
            self.site.agents["p1"].process.freeze().expect("frozen");
        }
        if has(Fault::Outage) {
            for outage in [Outage::Cut, Outage::Refuse, Outage::Hang] {
                let faults = PlatformFaults {
                    outage,
                    ..table.clone()
                };
                self.site.fleet.table.state.set_faults(faults);
                tokio::time::sleep(OUTAGE).await;
            }
            self.site.fleet.table.state.set_faults(table);
        }
        // Also without a freeze, callers have this time to meet the fault.
        tokio::time::sleep(FREEZE).await;
        if has(Fault::Freeze) {
            self.site.agents["p1"].process.thaw().expect("continued");
        }
        if has(Fault::LostWrites) {
            let lost = || async {
                self.site.fleet.table.state.counters().lost_answers > before.lost_answers
            };
            until("a write answer is lost", lost)
                .await
                .expect("no hang");
        }
        if has(Fault::Outage) {
            let met = self.site.fleet.table.state.counters().outage;
            assert!(met > before.outage, "no call met the outage");
        }
        self.site
            .fleet
            .table
            .state
            .set_faults(PlatformFaults::default());
        for service in self.site.fleet.services.values() {
            service.state.set_faults(ServiceFaults::default());
        }
        if has(Fault::Kill) {
            self.site.restart_agent("p0").await.expect("restarted");
        }
    }

    /// Asks for every key again after the faults.
    async fn settle(&mut self, name: &str) {
        for upstream in ["p0", "p1", "p2"] {
            self.site.wait_accepting(upstream).await.expect("accepting");
        }
        let mut asked = BTreeSet::new();
        let calls: Vec<Call> = self.history.lock().expect("not poisoned").clone();
        let calls = calls.into_iter().filter(|call| call.key.starts_with(name));
        let calls = calls.filter(|call| {
            let key = (call.org.clone(), call.service.clone(), call.key.clone());
            asked.insert((key, call.body.to_string()))
        });
        let again = calls
            .enumerate()
            .map(|(index, call)| make(self.site.callers(index), call, &self.history));
        futures::future::join_all(again).await;
        // The deployment works again: a new key runs at once.
        let fresh = || async {
            let call = Call {
                org: "acme".to_owned(),
                service: "booking".to_owned(),
                key: format!("{name}-after"),
                body: json!({}),
                reply: Default::default(),
            };
            make(self.site.callers(0), call, &self.history)
                .await
                .reply
                .status
                == 200
        };
        until("a new key runs after the faults", fresh)
            .await
            .expect("no hang");
        self.check();
    }

    fn check(&self) {
        let history = self.history.lock().expect("not poisoned");
        let executions = self.site.executions();
        let mut faults = check_once(&history, &executions);
        let ran: Vec<String> = executions.into_iter().map(|run| run.request_id).collect();
        let replies = history.iter().map(|call| &call.reply);
        faults.extend(check_refusals(replies, &ran));
        assert!(faults.is_empty(), "{}", faults.join("\n"));
        // The scenarios would prove nothing if no call was acknowledged or refused as not run.
        assert!(history.iter().any(|call| call.reply.status == 200));
        assert!(history.iter().any(|call| call.reply.kind() == "key_reused"));
    }
}

/// Pairs of different faults, of which every third is run, beginning with `first`.
async fn pairs(first: usize) {
    let mut proof = Proof::start().await;
    let all = FAULTS.iter().enumerate();
    let all = all.flat_map(|(index, a)| FAULTS[index + 1..].iter().map(move |b| [*a, *b]));
    for pair in all.skip(first).step_by(3) {
        proof.scenario(&pair).await;
    }
    proof.check();
}

/// Guards against a second run, a lost acknowledgement, a wrong answer or a false "not run" under
/// one fault at a time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keys_run_once_under_single_faults() {
    let mut proof = Proof::start().await;
    for fault in FAULTS {
        proof.scenario(&[fault]).await;
    }
    proof.check();
}

/// Guards against the same under the first third of the pairs of faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keys_run_once_under_pairs_of_faults_1() {
    pairs(0).await;
}

/// Guards against the same under the second third of the pairs of faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keys_run_once_under_pairs_of_faults_2() {
    pairs(1).await;
}

/// Guards against the same under the last third of the pairs of faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keys_run_once_under_pairs_of_faults_3() {
    pairs(2).await;
}
