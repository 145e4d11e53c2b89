//! An object store that keeps nothing.

use async_trait::async_trait;
use bytes::Bytes;
use dw_store::Objects;
use dw_store::StoreError;

/// An object store that keeps nothing, for runs without a KV store.
pub(crate) struct NoObjects;

#[async_trait]
impl Objects for NoObjects {
    async fn create(&self, _key: &str, _value: Bytes) -> Result<bool, StoreError> {
        Err(StoreError::Unavailable {
            service: "object store",
            detail: "switched off for this run".to_owned(),
        })
    }

    async fn get(&self, _key: &str) -> Result<Option<Bytes>, StoreError> {
        Ok(None)
    }

    async fn list(&self, _prefix: &str) -> Result<Vec<String>, StoreError> {
        Ok(Vec::new())
    }
}
