//! Configuration that fits a fleet of stand-ins.

use std::collections::BTreeMap;

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::Tokens;
use dw_base::TokensPerS;
use dw_base::WeightsVersion;
use dw_base::Worth;
use dw_config::Config;
use dw_config::Entry;
use dw_config::Model;
use dw_config::Object;
use dw_config::Operator;
use dw_config::Organisation;
use dw_config::Service;
use dw_config::ServiceKind;
use dw_config::Setting;
use dw_config::Upstream;
use dw_config::UpstreamKind;
use dw_config::UpstreamState;
use dw_standin::EngineEntry;
use dw_standin::Fleet;
use dw_standin::ServiceEntry;
use dw_wire::RepeatRule;
use sha2::Digest;
use sha2::Sha256;

use crate::cluster::ClusterSettings;

/// Token of the example organisation.
pub const TOKEN: &str = "example-token";

/// Token of the example operator, who is declared first and therefore also the bootstrap token.
pub const OPERATOR_TOKEN: &str = "example-operator-token";

/// Name of the example organisation and of its operator.
pub(crate) const ORGANISATION: &str = "example";

/// Services whose calls move money, slots or animals.
const AT_MOST_ONCE: [&str; 3] = ["booking", "deposit", "fridge-move"];

/// Services that only read.
const IDEMPOTENT: [&str; 3] = ["classify", "lookup", "order-status"];

/// Services that cannot wait.
const URGENT: [&str; 1] = ["flag"];

/// Plain services have no tokens; the speeds only satisfy the declaration.
const PLAIN_TOKENS_PER_S: f64 = 1_000.0;

/// Returns the SHA-256 of a token as the configuration keeps it.
pub fn token_sha256(token: &str) -> String {
    hex::encode(Sha256::digest(token))
}

/// Declares everything that a fleet contains, one operator and the organisations of the settings.
///
/// # Errors
///
/// Returns an error if a name or number of the fleet is not valid.
pub fn declare(fleet: &Fleet, settings: &ClusterSettings) -> eyre::Result<Config> {
    let mut objects = vec![
        Object::Operator(Operator {
            name: ORGANISATION.parse()?,
            token_sha256: vec![token_sha256(OPERATOR_TOKEN)],
        }),
        Object::Setting(Setting {
            name: Setting::WEIGHT_LOADS.to_owned(),
            value: u64::try_from(fleet.weight_loads)?,
        }),
    ];
    for (name, token) in &settings.organisations {
        objects.push(Object::Organisation(Organisation {
            name: name.parse()?,
            token_sha256: vec![token_sha256(token)],
            share: 1.0,
        }));
    }
    let service = |name: &str, kind| service(name, kind, settings);
    for engine in &fleet.engines {
        objects.push(Object::Model(Model {
            name: engine.engine.model.parse()?,
            weights: WeightsVersion(engine.engine.weights_version),
            adapters: Vec::new(),
        }));
        objects.push(Object::Upstream(engine_upstream(engine)?));
        for name in &engine.services {
            objects.push(Object::Service(service(name, ServiceKind::Generate)?));
        }
    }
    for entry in &fleet.services {
        objects.push(Object::Upstream(plain_upstream(entry)?));
        for name in &entry.services {
            objects.push(Object::Service(service(name, ServiceKind::Call)?));
        }
    }
    let version = ConfigVersion(1);
    let entries: BTreeMap<_, _> = objects
        .into_iter()
        .map(|object| (object.key(), Entry { version, object }))
        .collect();
    Ok(Config { version, entries })
}

fn service(name: &str, kind: ServiceKind, settings: &ClusterSettings) -> eyre::Result<Service> {
    let worth = settings.worths.get(name).copied().unwrap_or(1.0);
    let repeat = if AT_MOST_ONCE.contains(&name) {
        RepeatRule::AtMostOnce
    } else if IDEMPOTENT.contains(&name) {
        RepeatRule::Idempotent
    } else {
        RepeatRule::Repeatable
    };
    let urgent = URGENT.contains(&name);
    Ok(Service {
        name: name.parse()?,
        kind,
        repeat,
        priority: if urgent {
            Priority::Urgent
        } else {
            Priority::Normal
        },
        worth: Worth::new(worth)?,
        deadline_ms: DurationMs(30_000),
        max_prompt_tokens: Tokens(100_000),
    })
}

fn engine_upstream(entry: &EngineEntry) -> eyre::Result<Upstream> {
    Ok(Upstream {
        name: entry.name.parse()?,
        kind: UpstreamKind::Engine,
        data_centre: entry.data_centre.parse()?,
        services: parse_all(&entry.services)?,
        model: Some(entry.engine.model.parse()?),
        prefill_tokens_per_s: TokensPerS::new(entry.engine.prefill_tokens_per_s)?,
        decode_tokens_per_s: TokensPerS::new(1_000.0 / entry.engine.decode_ms_per_token)?,
        max_batch: u32::try_from(entry.engine.max_batch)?,
        checks_fence: entry.engine.checks_fence,
        state: UpstreamState::Active,
    })
}

fn plain_upstream(entry: &ServiceEntry) -> eyre::Result<Upstream> {
    Ok(Upstream {
        name: entry.name.parse()?,
        kind: UpstreamKind::Plain,
        data_centre: entry.data_centre.parse()?,
        services: parse_all(&entry.services)?,
        model: None,
        prefill_tokens_per_s: TokensPerS::new(PLAIN_TOKENS_PER_S)?,
        decode_tokens_per_s: TokensPerS::new(PLAIN_TOKENS_PER_S)?,
        max_batch: u32::try_from(entry.service.max_running)?,
        checks_fence: false,
        state: UpstreamState::Active,
    })
}

fn parse_all(names: &[String]) -> eyre::Result<Vec<dw_base::ServiceId>> {
    let names = names.iter().map(|name| name.parse());
    Ok(names.collect::<Result<_, _>>()?)
}
