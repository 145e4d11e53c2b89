//! Control connections to other nodes.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use dw_wire::connect_control;
use dw_wire::ControlClient;
use tarpc::client::RpcError;
use tarpc::context::Context;

/// Longest wait for one call, connecting included.
const WAIT: Duration = Duration::from_millis(500);

/// Control connections, made when they are first needed.
#[derive(Debug, Default)]
pub(crate) struct Pool(Mutex<HashMap<SocketAddr, ControlClient>>);

impl Pool {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, ControlClient>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes one call; a failed one closes the connection.
    pub(crate) async fn call<T, F>(
        &self,
        addr: SocketAddr,
        call: impl FnOnce(ControlClient, Context) -> F,
    ) -> Result<T, String>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + WAIT;
        let known = self.lock().get(&addr).cloned();
        let talk = async {
            let client = match known {
                Some(client) => client,
                None => {
                    let client = connect_control(addr).await.map_err(|e| e.to_string())?;
                    self.lock().insert(addr, client.clone());
                    client
                }
            };
            call(client, context).await.map_err(|e| e.to_string())
        };
        let result = tokio::time::timeout(WAIT, talk).await;
        let result = result.unwrap_or_else(|_| Err("no answer in time".to_owned()));
        if result.is_err() {
            self.lock().remove(&addr);
        }
        result
    }
}
