//! Traits of the platform's services.

use async_trait::async_trait;
use bytes::Bytes;
use dw_api::table::ReadRequest;
use dw_api::table::ReadResponse;
use dw_api::table::TxnRequest;
use dw_api::table::TxnResponse;
use dw_api::vms::VmList;

use crate::error::StoreError;

/// The transactional table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// Applies all writes if all checks hold.
    async fn transact(&self, request: &TxnRequest) -> Result<TxnResponse, StoreError>;

    /// Reads keys at one moment.
    async fn read(&self, request: &ReadRequest) -> Result<ReadResponse, StoreError>;
}

/// The object store.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Creates an object; returns false if it exists already.
    async fn create(&self, key: &str, value: Bytes) -> Result<bool, StoreError>;

    /// Reads an object.
    async fn get(&self, key: &str) -> Result<Option<Bytes>, StoreError>;

    /// Lists the keys with a prefix, in order.
    async fn list(&self, prefix: &str) -> Result<Vec<String>, StoreError>;
}

/// The list of live and leaving VMs, which lags.
#[async_trait]
pub trait VmSource: Send + Sync {
    /// Returns the list.
    async fn vms(&self) -> Result<VmList, StoreError>;
}
