//! HTTP client of the object store.

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use http::StatusCode;

use crate::error::StoreError;
use crate::http::Access;
use crate::http::Call;
use crate::http::Endpoint;
use crate::http::HttpClient;
use crate::traits::Objects;

/// HTTP client of the object store.
#[derive(Clone, Debug)]
pub struct HttpObjects {
    http: HttpClient,
}

impl HttpObjects {
    /// Creates a client; it connects at the first call.
    pub fn new(endpoint: Endpoint) -> Self {
        HttpObjects {
            http: HttpClient::new("object store", endpoint),
        }
    }

    async fn read(&self, path: String) -> Result<(StatusCode, Bytes), StoreError> {
        self.http
            .send(Call {
                access: Access::Read,
                method: Method::GET,
                path,
                headers: &[],
                body: Bytes::new(),
            })
            .await
    }

    /// Refuses keys that would need escaping in a path.
    fn check_key(&self, key: &str) -> Result<(), StoreError> {
        if key
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.:/".contains(&b))
        {
            return Ok(());
        }
        Err(self
            .http
            .rejected(format!("key {key:?}: use letters, digits and -_.:/ only")))
    }
}

#[async_trait]
impl Objects for HttpObjects {
    async fn create(&self, key: &str, value: Bytes) -> Result<bool, StoreError> {
        self.check_key(key)?;
        let call = Call {
            access: Access::Write,
            method: Method::PUT,
            path: format!("/v1/objects/{key}"),
            headers: &[("if-none-match", "*")],
            body: value,
        };
        match self.http.send(call).await?.0 {
            StatusCode::PRECONDITION_FAILED => Ok(false),
            status if status.is_success() => Ok(true),
            status => Err(self.http.rejected(format!("status {status}"))),
        }
    }

    async fn get(&self, key: &str) -> Result<Option<Bytes>, StoreError> {
        self.check_key(key)?;
        match self.read(format!("/v1/objects/{key}")).await? {
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, bytes) if status.is_success() => Ok(Some(bytes)),
            (status, _) => Err(self.http.rejected(format!("status {status}"))),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, StoreError> {
        self.check_key(prefix)?;
        let (status, bytes) = self.read(format!("/v1/objects?prefix={prefix}")).await?;
        if !status.is_success() {
            return Err(self.http.rejected(format!("status {status}")));
        }
        serde_json::from_slice(&bytes)
            .map_err(|error| self.http.lost(Access::Read, error.to_string()))
    }
}
