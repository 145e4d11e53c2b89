//! HTTP client of the VM list.

use async_trait::async_trait;
use bytes::Bytes;
use dw_api::vms::VmList;
use http::Method;

use crate::error::StoreError;
use crate::http::Access;
use crate::http::Call;
use crate::http::Endpoint;
use crate::http::HttpClient;
use crate::traits::VmSource;

/// HTTP client of the VM list.
#[derive(Clone, Debug)]
pub struct HttpVms {
    http: HttpClient,
}

impl HttpVms {
    /// Creates a client; it connects at the first call.
    pub fn new(endpoint: Endpoint) -> Self {
        HttpVms {
            http: HttpClient::new("VM list", endpoint),
        }
    }
}

#[async_trait]
impl VmSource for HttpVms {
    async fn vms(&self) -> Result<VmList, StoreError> {
        let call = Call {
            access: Access::Read,
            method: Method::GET,
            path: "/v1/vms".to_owned(),
            headers: &[],
            body: Bytes::new(),
        };
        let (status, bytes) = self.http.send(call).await?;
        if !status.is_success() {
            return Err(self.http.rejected(format!("status {status}")));
        }
        serde_json::from_slice(&bytes)
            .map_err(|error| self.http.lost(Access::Read, error.to_string()))
    }
}
