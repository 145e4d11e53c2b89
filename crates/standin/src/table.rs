//! Stand-in for the table service.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_trait::async_trait;
use bytes::Bytes;
use dw_api::table::Conflict;
use dw_api::table::Item;
use dw_api::table::ReadRequest;
use dw_api::table::ReadResponse;
use dw_api::table::TxnRequest;
use dw_api::table::TxnResponse;
use dw_store::StoreError;
use dw_store::Table;
use http::Method;
use http::Request;
use http::StatusCode;
use serde::Serialize;
use serde_json::Value;

use crate::platform::store_error_reply;
use crate::platform::Counters;
use crate::platform::FaultInjector;
use crate::platform::PlatformFaults;
use crate::platform::PlatformLimits;
use crate::server::json_reply;
use crate::server::not_found;
use crate::server::parse_json;
use crate::server::serve;
use crate::server::Handler;
use crate::server::Reply;
use crate::server::ServerHandle;

/// Copy of all rows of a [`MemoryTable`], as a backup holds them.
#[derive(Clone, Debug)]
pub struct TableCopy(Rows);

/// An in-memory table with fault injection.
#[derive(Debug)]
pub struct MemoryTable {
    injector: FaultInjector,
    rows: Mutex<Rows>,
}

#[derive(Clone, Debug, Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<String, (u64, Value)>,
}

impl Rows {
    fn version_of(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |(version, _)| *version)
    }

    fn transact(&mut self, request: &TxnRequest) -> TxnResponse {
        let conflicts: Vec<Conflict> = request
            .checks
            .iter()
            .filter(|check| self.version_of(&check.key) != check.version)
            .map(|check| Conflict {
                key: check.key.clone(),
                version: self.version_of(&check.key),
            })
            .collect();
        let committed = conflicts.is_empty();
        if committed {
            self.apply(request);
        }
        TxnResponse {
            committed,
            conflicts,
            version: self.version,
        }
    }

    fn apply(&mut self, request: &TxnRequest) {
        self.version += 1;
        for write in &request.writes {
            match &write.value {
                Some(value) => {
                    self.rows
                        .insert(write.key.clone(), (self.version, value.clone()));
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
    }

    fn read(&self, request: &ReadRequest) -> ReadResponse {
        let mut found: BTreeMap<&String, &(u64, Value)> = request
            .keys
            .iter()
            .filter_map(|key| self.rows.get_key_value(key))
            .collect();
        if let Some(prefix) = &request.prefix {
            let limit = request.limit.unwrap_or(u64::MAX);
            let after = request.after.as_deref().unwrap_or_default();
            let scan = self
                .rows
                .range(prefix.clone()..)
                .take_while(|(key, _)| key.starts_with(prefix.as_str()))
                .filter(|(key, _)| request.after.is_none() || key.as_str() > after)
                .take(usize::try_from(limit).unwrap_or(usize::MAX));
            found.extend(scan);
        }
        let items = found
            .into_iter()
            .map(|(key, (version, value))| Item {
                key: key.clone(),
                value: value.clone(),
                version: *version,
            })
            .collect();
        ReadResponse { items }
    }
}

impl Default for MemoryTable {
    fn default() -> Self {
        Self::new(PlatformLimits::default())
    }
}

impl MemoryTable {
    /// Returns a copy of all rows.
    pub fn copy(&self) -> TableCopy {
        TableCopy(self.rows().clone())
    }

    /// Restores the rows of a copy: later ones are lost, and their versions are given out again.
    pub fn restore(&self, copy: TableCopy) {
        *self.rows() = copy.0;
    }

    /// Creates an empty table.
    pub fn new(limits: PlatformLimits) -> Self {
        MemoryTable {
            injector: FaultInjector::new("table", limits),
            rows: Mutex::default(),
        }
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.injector.set_faults(faults);
    }

    /// Returns the call counters.
    pub fn counters(&self) -> Counters {
        self.injector.counters()
    }

    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl Table for MemoryTable {
    async fn transact(&self, request: &TxnRequest) -> Result<TxnResponse, StoreError> {
        self.injector.admit_write().await?;
        let response = self.rows().transact(request);
        self.injector.finish_write()?;
        Ok(response)
    }

    async fn read(&self, request: &ReadRequest) -> Result<ReadResponse, StoreError> {
        self.injector.admit_read().await?;
        Ok(self.rows().read(request))
    }
}

fn reply(result: Result<impl Serialize, StoreError>) -> Reply {
    match result {
        Ok(value) => json_reply(StatusCode::OK, &value),
        Err(error) => store_error_reply(&error),
    }
}

#[async_trait]
impl Handler for MemoryTable {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/transactions") => match parse_json(&request) {
                Ok(txn) => reply(self.transact(&txn).await),
                Err(malformed) => malformed.reply(),
            },
            (&Method::POST, "/v1/reads") => match parse_json(&request) {
                Ok(read) => reply(self.read(&read).await),
                Err(malformed) => malformed.reply(),
            },
            (&Method::GET, "/v1/counters") => json_reply(StatusCode::OK, &self.counters()),
            (&Method::POST, "/faults") => match parse_json(&request) {
                Ok(faults) => {
                    self.set_faults(faults);
                    json_reply(StatusCode::OK, &serde_json::json!({}))
                }
                Err(malformed) => malformed.reply(),
            },
            _ => not_found(&request),
        }
    }
}

/// Starts a server for `table` on `addr`.
pub async fn start_table(addr: SocketAddr, table: Arc<MemoryTable>) -> io::Result<ServerHandle> {
    serve(addr, table).await
}
