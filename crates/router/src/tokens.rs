//! Organisations by token.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use dw_base::OrgId;
use dw_config::Config;
use dw_config::Object;
use dw_config::ObjectKind;
use sha2::Digest;
use sha2::Sha256;

/// SHA-256 of a token.
type TokenHash = [u8; 32];

/// Organisations by token in one configuration.
#[derive(Debug, Default)]
struct Index {
    /// Configuration from which the index was made.
    of: Option<Arc<Config>>,
    orgs: HashMap<TokenHash, OrgId>,
}

impl Index {
    fn new(config: &Arc<Config>) -> Self {
        let mut orgs = HashMap::new();
        for object in config.of_kind(ObjectKind::Organisation) {
            let Object::Organisation(org) = object else {
                continue;
            };
            for digest in &org.token_sha256 {
                let mut hash = TokenHash::default();
                if hex::decode_to_slice(digest, &mut hash).is_ok() {
                    // A token of two organisations belongs to the first by name.
                    orgs.entry(hash).or_insert_with(|| org.name.clone());
                }
            }
        }
        Index {
            of: Some(config.clone()),
            orgs,
        }
    }
}

/// Organisations by token, made anew from each configuration, so that a request does not search
/// 2,000 organisations.
#[derive(Debug, Default)]
pub(crate) struct Tokens(Mutex<Arc<Index>>);

impl Tokens {
    /// Returns the organisation of a token.
    pub(crate) fn organisation(&self, config: &Arc<Config>, token: &str) -> Option<OrgId> {
        let hash: TokenHash = Sha256::digest(token.as_bytes()).into();
        self.index(config).orgs.get(&hash).cloned()
    }

    fn index(&self, config: &Arc<Config>) -> Arc<Index> {
        let mut index = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let current = |of: &Arc<Config>| Arc::ptr_eq(of, config);
        if !index.of.as_ref().is_some_and(current) {
            *index = Arc::new(Index::new(config));
        }
        index.clone()
    }
}
