//! Checks of a whole configuration.

use std::collections::BTreeMap;

use dw_base::DurationMs;
use dw_base::ServiceId;
use thiserror::Error;

use crate::object::Limit;
use crate::object::Object;
use crate::object::ObjectKey;
use crate::object::ObjectKind;
use crate::object::Organisation;
use crate::object::Service;
use crate::object::ServiceKind;
use crate::object::Setting;
use crate::object::Upstream;
use crate::object::UpstreamKind;
use crate::view::Config;

/// Hexadecimal digits of a SHA-256.
const SHA256_DIGITS: usize = 64;

/// Longest deadline of a service; a longer one would outlive any caller's connection.
const MAX_DEADLINE_MS: DurationMs = DurationMs(24 * 3_600_000);

/// Most requests that an upstream may run at once.
const MAX_BATCH: u32 = 65_536;

/// A rule that a configuration breaks.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum InvalidConfig {
    /// An object refers to one that does not exist.
    #[error(
        "{from} refers to {to}, which does not exist: declare it, or change the reference first"
    )]
    Reference {
        /// Object that refers.
        from: ObjectKey,
        /// Object referred to.
        to: ObjectKey,
    },
    /// A token hash has the wrong form.
    #[error("token {index} of {key} is not a SHA-256: write 64 lower-case hexadecimal digits, never the token itself")]
    TokenHash {
        /// Object.
        key: ObjectKey,
        /// Position of the token, from 0.
        index: usize,
    },
    /// Two objects accept the same token.
    #[error("{first} and {second} accept the same token: give each its own")]
    SharedToken {
        /// One object.
        first: ObjectKey,
        /// The other.
        second: ObjectKey,
    },
    /// A value is out of its range.
    #[error("{field} of {key} must be {expected}: alter the field")]
    Range {
        /// Object.
        key: ObjectKey,
        /// Field.
        field: &'static str,
        /// Values allowed.
        expected: String,
    },
    /// A setting has no meaning.
    #[error("setting {0:?} has no meaning: use one of the settings of the language page")]
    UnknownSetting(String),
    /// An upstream cannot answer a service that it names.
    #[error("{upstream} cannot answer service {service}: engines answer generate services, plain upstreams answer call services")]
    KindMismatch {
        /// Upstream.
        upstream: ObjectKey,
        /// Service.
        service: ServiceId,
    },
    /// An entry is stored under another key than its object has.
    #[error("entry {0} holds another object: take the configuration from another node")]
    WrongKey(ObjectKey),
}

/// Returns every rule that `config` breaks.
pub fn validate(config: &Config) -> Vec<InvalidConfig> {
    let mut faults = Vec::new();
    for (key, entry) in &config.entries {
        if entry.object.key() != *key {
            faults.push(InvalidConfig::WrongKey(key.clone()));
            continue;
        }
        match &entry.object {
            Object::Limit(limit) => check_limit(config, key, limit, &mut faults),
            Object::Model(_) => {}
            Object::Operator(operator) => check_tokens(key, &operator.token_sha256, &mut faults),
            Object::Organisation(org) => check_organisation(key, org, &mut faults),
            Object::Service(service) => check_service(key, service, &mut faults),
            Object::Setting(setting) => check_setting(key, setting, &mut faults),
            Object::Upstream(upstream) => check_upstream(config, key, upstream, &mut faults),
        }
    }
    check_shared_tokens(config, &mut faults);
    faults
}

fn range(key: &ObjectKey, field: &'static str, expected: impl Into<String>) -> InvalidConfig {
    InvalidConfig::Range {
        key: key.clone(),
        field,
        expected: expected.into(),
    }
}

fn refer(
    config: &Config,
    from: &ObjectKey,
    kind: ObjectKind,
    name: &str,
    faults: &mut Vec<InvalidConfig>,
) {
    if config.get(kind, name).is_none() {
        faults.push(InvalidConfig::Reference {
            from: from.clone(),
            to: ObjectKey {
                kind,
                name: name.to_owned(),
            },
        });
    }
}

fn check_limit(config: &Config, key: &ObjectKey, limit: &Limit, faults: &mut Vec<InvalidConfig>) {
    refer(
        config,
        key,
        ObjectKind::Organisation,
        limit.org.as_str(),
        faults,
    );
    if let Some(service) = &limit.service {
        refer(config, key, ObjectKind::Service, service.as_str(), faults);
    }
    if limit.requests_per_s.is_none() && limit.tokens_per_s.is_none() {
        faults.push(range(key, "requests_per_s", "set, or tokens_per_s must be"));
    }
}

fn check_tokens(key: &ObjectKey, hashes: &[String], faults: &mut Vec<InvalidConfig>) {
    let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    for (index, hash) in hashes.iter().enumerate() {
        if hash.len() != SHA256_DIGITS || !hash.chars().all(is_digit) {
            let key = key.clone();
            faults.push(InvalidConfig::TokenHash { key, index });
        }
    }
}

fn check_organisation(key: &ObjectKey, org: &Organisation, faults: &mut Vec<InvalidConfig>) {
    check_tokens(key, &org.token_sha256, faults);
    if !(org.share.is_finite() && org.share > 0.0) {
        faults.push(range(key, "share", "a finite number above 0"));
    }
}

fn check_service(key: &ObjectKey, service: &Service, faults: &mut Vec<InvalidConfig>) {
    if service.deadline_ms == DurationMs::ZERO || service.deadline_ms > MAX_DEADLINE_MS {
        faults.push(range(key, "deadline_ms", "above 0 and at most 24h"));
    }
    if service.max_prompt_tokens.0 == 0 && service.kind == ServiceKind::Generate {
        faults.push(range(key, "max_prompt_tokens", "above 0"));
    }
}

fn check_setting(key: &ObjectKey, setting: &Setting, faults: &mut Vec<InvalidConfig>) {
    let known = Setting::KNOWN
        .iter()
        .find(|(name, ..)| *name == setting.name);
    match known {
        None => faults.push(InvalidConfig::UnknownSetting(setting.name.clone())),
        Some((_, min, max)) if !(*min..=*max).contains(&setting.value) => {
            faults.push(range(key, "value", format!("between {min} and {max}")));
        }
        Some(_) => {}
    }
}

fn check_upstream(
    config: &Config,
    key: &ObjectKey,
    upstream: &Upstream,
    faults: &mut Vec<InvalidConfig>,
) {
    if !(1..=MAX_BATCH).contains(&upstream.max_batch) {
        faults.push(range(
            key,
            "max_batch",
            format!("between 1 and {MAX_BATCH}"),
        ));
    }
    for name in &upstream.services {
        refer(config, key, ObjectKind::Service, name.as_str(), faults);
        check_service_kind(config, key, upstream, name, faults);
    }
    if let Some(model) = &upstream.model {
        refer(config, key, ObjectKind::Model, model.as_str(), faults);
    }
    match upstream.kind {
        UpstreamKind::Engine => check_engine(key, upstream, faults),
        UpstreamKind::Plain if upstream.model.is_some() => {
            faults.push(range(key, "model", "absent for a plain upstream"));
        }
        UpstreamKind::Plain => {}
    }
}

fn check_engine(key: &ObjectKey, upstream: &Upstream, faults: &mut Vec<InvalidConfig>) {
    if upstream.model.is_none() {
        faults.push(range(key, "model", "set for an engine"));
    }
    if upstream.prefill_tokens_per_s.get() <= 0.0 {
        faults.push(range(key, "prefill_tokens_per_s", "above 0 for an engine"));
    }
    if upstream.decode_tokens_per_s.get() <= 0.0 {
        faults.push(range(key, "decode_tokens_per_s", "above 0 for an engine"));
    }
}

fn check_service_kind(
    config: &Config,
    key: &ObjectKey,
    upstream: &Upstream,
    name: &ServiceId,
    faults: &mut Vec<InvalidConfig>,
) {
    let fits = match config.service(name).map(|service| service.kind) {
        Some(ServiceKind::Generate) => upstream.kind == UpstreamKind::Engine,
        Some(ServiceKind::Call) => upstream.kind == UpstreamKind::Plain,
        None => true,
    };
    if !fits {
        faults.push(InvalidConfig::KindMismatch {
            upstream: key.clone(),
            service: name.clone(),
        });
    }
}

/// A token that two objects accept would not identify its holder.
fn check_shared_tokens(config: &Config, faults: &mut Vec<InvalidConfig>) {
    let mut owners: BTreeMap<&str, &ObjectKey> = BTreeMap::new();
    for (key, entry) in &config.entries {
        let hashes = match &entry.object {
            Object::Operator(operator) => &operator.token_sha256,
            Object::Organisation(org) => &org.token_sha256,
            _ => continue,
        };
        for hash in hashes {
            match owners.insert(hash, key) {
                Some(first) if first != key => faults.push(InvalidConfig::SharedToken {
                    first: first.clone(),
                    second: key.clone(),
                }),
                _ => {}
            }
        }
    }
}
