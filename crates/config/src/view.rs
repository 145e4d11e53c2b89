//! The configuration of one version.

use std::collections::BTreeMap;

use dw_base::ConfigVersion;
use dw_base::ModelId;
use dw_base::OrgId;
use dw_base::ServiceId;
use dw_base::UpstreamId;
use serde::Deserialize;
use serde::Serialize;

use crate::object::Limit;
use crate::object::Model;
use crate::object::Object;
use crate::object::ObjectKey;
use crate::object::ObjectKind;
use crate::object::Organisation;
use crate::object::Service;
use crate::object::Upstream;

/// An object and the version that wrote it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Configuration version that wrote the object.
    pub version: ConfigVersion,
    /// The object.
    pub object: Object,
}

/// The configuration of one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// Version.
    pub version: ConfigVersion,
    /// All objects.
    pub entries: BTreeMap<ObjectKey, Entry>,
}

macro_rules! getter {
    ($name:ident, $id:ty, $kind:ident, $doc:literal) => {
        #[doc = $doc]
        pub fn $name(&self, name: &$id) -> Option<&$kind> {
            match self.get(ObjectKind::$kind, name.as_str()) {
                Some(Object::$kind(object)) => Some(object),
                _ => None,
            }
        }
    };
}

impl Config {
    getter!(model, ModelId, Model, "Returns a model.");
    getter!(
        organisation,
        OrgId,
        Organisation,
        "Returns an organisation."
    );
    getter!(service, ServiceId, Service, "Returns a service.");
    getter!(upstream, UpstreamId, Upstream, "Returns an upstream.");

    /// Returns an object.
    pub fn get(&self, kind: ObjectKind, name: &str) -> Option<&Object> {
        let key = ObjectKey {
            kind,
            name: name.to_owned(),
        };
        self.entries.get(&key).map(|entry| &entry.object)
    }

    /// Returns all objects of a kind in order of their names.
    pub fn of_kind(&self, kind: ObjectKind) -> impl Iterator<Item = &Object> {
        self.entries
            .iter()
            .filter(move |(key, _)| key.kind == kind)
            .map(|(_, entry)| &entry.object)
    }

    /// Returns all upstreams in order of their names.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.of_kind(ObjectKind::Upstream)
            .filter_map(|object| match object {
                Object::Upstream(upstream) => Some(upstream),
                _ => None,
            })
    }

    /// Returns the limits that apply to a request of `org` to `service`.
    pub fn limits<'a>(
        &'a self,
        org: &'a OrgId,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a Limit> {
        self.of_kind(ObjectKind::Limit)
            .filter_map(|object| match object {
                Object::Limit(limit) => Some(limit),
                _ => None,
            })
            .filter(move |limit| limit.org == *org)
            .filter(move |limit| limit.service.as_ref().is_none_or(|s| s == service))
    }
}
