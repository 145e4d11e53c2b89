//! Objects that operators declare.

use std::fmt;
use std::str::FromStr;

use dw_base::AdapterId;
use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::ModelId;
use dw_base::OperatorId;
use dw_base::OrgId;
use dw_base::Priority;
use dw_base::RequestsPerS;
use dw_base::ServiceId;
use dw_base::Tokens;
use dw_base::TokensPerS;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;
use dw_base::Worth;
use dw_wire::RepeatRule;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// A customer, the unit of isolation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name.
    pub name: OrgId,
    /// SHA-256 of each valid token, in hexadecimal digits.
    pub token_sha256: Vec<String>,
    /// Share of a contended upstream, relative to other organisations.
    pub share: f64,
}

/// How a service is answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// By a model engine that generates text.
    Generate,
    /// By a plain service.
    Call,
}

/// A kind of request that callers send.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// How it is answered.
    pub kind: ServiceKind,
    /// Whether a request may be run again.
    pub repeat: RepeatRule,
    /// Priority of requests that name none; also the highest that a caller may name.
    pub priority: Priority,
    /// Worth of one answered request.
    pub worth: Worth,
    /// Deadline of requests that name none.
    pub deadline_ms: DurationMs,
    /// Longest prompt accepted.
    pub max_prompt_tokens: Tokens,
}

/// What an upstream is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// It takes new work.
    Active,
    /// It finishes its work and takes no more.
    Draining,
}

/// A back end: a model engine or a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name.
    pub name: UpstreamId,
    /// What it is.
    pub kind: UpstreamKind,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Services that it answers.
    pub services: Vec<ServiceId>,
    /// Model that an engine serves.
    pub model: Option<ModelId>,
    /// Declared prefill speed, the prior of the learned one.
    pub prefill_tokens_per_s: TokensPerS,
    /// Declared decode speed of one stream.
    pub decode_tokens_per_s: TokensPerS,
    /// Most requests that run at once.
    pub max_batch: u32,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// Whether it takes new work.
    pub state: UpstreamState,
}

/// A model, the version of its weights and its adapters that are to be served.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name.
    pub name: ModelId,
    /// Weights to serve.
    pub weights: WeightsVersion,
    /// Adapters that each engine of the model loads.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<AdapterId>,
}

/// A limit on an organisation's use, over all routers together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Organisation.
    pub org: OrgId,
    /// Service; absent for all services together.
    pub service: Option<ServiceId>,
    /// Most requests per second.
    pub requests_per_s: Option<RequestsPerS>,
    /// Most tokens per second, prompt and answer.
    pub tokens_per_s: Option<TokensPerS>,
}

/// Somebody who may use the administration API.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name.
    pub name: OperatorId,
    /// SHA-256 of each valid token, in hexadecimal digits.
    pub token_sha256: Vec<String>,
}

/// A number that holds for the whole deployment, for example `weight-loads`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Setting {
    /// Name.
    pub name: String,
    /// Value.
    pub value: u64,
}

impl Setting {
    /// Most engines that load weights at the same time.
    pub const WEIGHT_LOADS: &'static str = "weight-loads";

    /// Names that have a meaning, with the smallest and greatest value.
    pub const KNOWN: [(&'static str, u64, u64); 1] = [(Self::WEIGHT_LOADS, 1, 1_000)];
}

/// Kind of a configuration object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectKind {
    /// A [`Limit`].
    Limit,
    /// A [`Model`].
    Model,
    /// An [`Operator`].
    Operator,
    /// An [`Organisation`].
    Organisation,
    /// A [`Service`].
    Service,
    /// A [`Setting`].
    Setting,
    /// An [`Upstream`].
    Upstream,
}

/// Name of a configuration object, unique over all kinds.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct ObjectKey {
    /// Kind.
    pub kind: ObjectKind,
    /// Name within the kind.
    pub name: String,
}

/// A text does not name a configuration object.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("object {0:?} cannot exist: write <kind>/<name> with kind limit, model, operator, organisation, service, setting or upstream")]
pub struct ParseObjectKeyError(String);

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ObjectKind::Limit => "limit",
            ObjectKind::Model => "model",
            ObjectKind::Operator => "operator",
            ObjectKind::Organisation => "organisation",
            ObjectKind::Service => "service",
            ObjectKind::Setting => "setting",
            ObjectKind::Upstream => "upstream",
        })
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl FromStr for ObjectKind {
    type Err = ParseObjectKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "limit" => Ok(ObjectKind::Limit),
            "model" => Ok(ObjectKind::Model),
            "operator" => Ok(ObjectKind::Operator),
            "organisation" => Ok(ObjectKind::Organisation),
            "service" => Ok(ObjectKind::Service),
            "setting" => Ok(ObjectKind::Setting),
            "upstream" => Ok(ObjectKind::Upstream),
            _ => Err(ParseObjectKeyError(text.to_owned())),
        }
    }
}

impl FromStr for ObjectKey {
    type Err = ParseObjectKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseObjectKeyError(text.to_owned());
        let (kind, name) = text.split_once('/').ok_or_else(error)?;
        let kind = kind.parse().map_err(|_| error())?;
        if name.is_empty() {
            return Err(error());
        }
        Ok(ObjectKey {
            kind,
            name: name.to_owned(),
        })
    }
}

impl TryFrom<String> for ObjectKey {
    type Error = ParseObjectKeyError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ObjectKey> for String {
    fn from(key: ObjectKey) -> String {
        key.to_string()
    }
}

/// A configuration object. Its JSON form names the kind in `object`, because upstreams and services
/// have a field `kind` of their own.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase", tag = "object")]
pub enum Object {
    /// A [`Limit`].
    Limit(Limit),
    /// A [`Model`].
    Model(Model),
    /// An [`Operator`].
    Operator(Operator),
    /// An [`Organisation`].
    Organisation(Organisation),
    /// A [`Service`].
    Service(Service),
    /// A [`Setting`].
    Setting(Setting),
    /// An [`Upstream`].
    Upstream(Upstream),
}

impl Object {
    /// Returns the key of the object.
    pub fn key(&self) -> ObjectKey {
        let (kind, name) = match self {
            Object::Limit(limit) => (ObjectKind::Limit, limit_name(limit)),
            Object::Model(model) => (ObjectKind::Model, model.name.to_string()),
            Object::Operator(operator) => (ObjectKind::Operator, operator.name.to_string()),
            Object::Organisation(org) => (ObjectKind::Organisation, org.name.to_string()),
            Object::Service(service) => (ObjectKind::Service, service.name.to_string()),
            Object::Setting(setting) => (ObjectKind::Setting, setting.name.clone()),
            Object::Upstream(upstream) => (ObjectKind::Upstream, upstream.name.to_string()),
        };
        ObjectKey { kind, name }
    }
}

/// `*` stands for all services and cannot clash, because it cannot occur in an id.
fn limit_name(limit: &Limit) -> String {
    match &limit.service {
        Some(service) => format!("{}|{}", limit.org, service),
        None => format!("{}|*", limit.org),
    }
}
