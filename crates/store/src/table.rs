//! HTTP client of the table service.

use async_trait::async_trait;
use bytes::Bytes;
use dw_api::table::ReadRequest;
use dw_api::table::ReadResponse;
use dw_api::table::TxnRequest;
use dw_api::table::TxnResponse;
use http::Method;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::error::StoreError;
use crate::http::Access;
use crate::http::Call;
use crate::http::Endpoint;
use crate::http::HttpClient;
use crate::traits::Table;

/// HTTP client of the table service.
#[derive(Clone, Debug)]
pub struct HttpTable {
    http: HttpClient,
}

impl HttpTable {
    /// Creates a client; it connects at the first call.
    pub fn new(endpoint: Endpoint) -> Self {
        HttpTable {
            http: HttpClient::new("table", endpoint),
        }
    }

    async fn post<T: DeserializeOwned>(
        &self,
        access: Access,
        path: &str,
        request: &(impl Serialize + Sync),
    ) -> Result<T, StoreError> {
        let body =
            serde_json::to_vec(request).map_err(|error| self.http.rejected(error.to_string()))?;
        let call = Call {
            access,
            method: Method::POST,
            path: path.to_owned(),
            headers: &[("content-type", "application/json")],
            body: Bytes::from(body),
        };
        let (status, bytes) = self.http.send(call).await?;
        if !status.is_success() {
            return Err(self.http.rejected(format!("status {status} at {path}")));
        }
        serde_json::from_slice(&bytes).map_err(|error| self.http.lost(access, error.to_string()))
    }
}

#[async_trait]
impl Table for HttpTable {
    async fn transact(&self, request: &TxnRequest) -> Result<TxnResponse, StoreError> {
        self.post(Access::Write, "/v1/transactions", request).await
    }

    async fn read(&self, request: &ReadRequest) -> Result<ReadResponse, StoreError> {
        self.post(Access::Read, "/v1/reads", request).await
    }
}
