//! Transport of control traffic, so that all processes use the same encoding.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dw_base::ConfigVersion;
use dw_base::RequestId;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::Framed;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::codec::MAX_FRAME_BYTES;
use crate::control::ConfigAck;
use crate::control::ConfigUpdate;
use crate::control::Control;
use crate::control::ControlClient;
use crate::control::Hello;
use crate::control::Loan;
use crate::control::LoanDenied;
use crate::control::LoanRequest;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Answers the calls of [`Control`].
///
/// The trait that tarpc generates cannot promise that its futures are `Send`, so that a generic
/// server could not spawn them.
#[async_trait]
pub trait ControlHandler: Send + Sync {
    /// Answers [`Control::hello`].
    async fn hello(&self, hello: Hello) -> Hello;
    /// Answers [`Control::offer_config`].
    async fn offer_config(&self, update: ConfigUpdate) -> ConfigAck;
    /// Answers [`Control::newer_config`].
    async fn newer_config(&self, than: ConfigVersion) -> Option<ConfigUpdate>;
    /// Answers [`Control::borrow`].
    async fn borrow(&self, request: LoanRequest) -> Result<Loan, LoanDenied>;
    /// Answers [`Control::explain`].
    async fn explain(&self, request_id: RequestId) -> Option<String>;
    /// Answers [`Control::node_state`].
    async fn node_state(&self) -> String;
}

#[derive(Clone)]
struct Server(Arc<dyn ControlHandler>);

impl Control for Server {
    async fn hello(self, _: Context, hello: Hello) -> Hello {
        self.0.hello(hello).await
    }

    async fn offer_config(self, _: Context, update: ConfigUpdate) -> ConfigAck {
        self.0.offer_config(update).await
    }

    async fn newer_config(self, _: Context, than: ConfigVersion) -> Option<ConfigUpdate> {
        self.0.newer_config(than).await
    }

    async fn borrow(self, _: Context, request: LoanRequest) -> Result<Loan, LoanDenied> {
        self.0.borrow(request).await
    }

    async fn explain(self, _: Context, request_id: RequestId) -> Option<String> {
        self.0.explain(request_id).await
    }

    async fn node_state(self, _: Context) -> String {
        self.0.node_state().await
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Connects to the control port of a node.
///
/// # Errors
///
/// Returns an error if the connection cannot be made.
pub async fn connect_control(addr: SocketAddr) -> io::Result<ControlClient> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let framed = Framed::new(stream, codec());
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    Ok(ControlClient::new(tarpc::client::Config::default(), transport).spawn())
}

/// Serves control calls until `stop` completes.
pub async fn serve_control(
    listener: TcpListener,
    handler: Arc<dyn ControlHandler>,
    stop: impl Future<Output = ()>,
) {
    let mut connections = JoinSet::new();
    let mut stop = std::pin::pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => return,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(stream, Server(handler.clone())));
                }
                // Accepting fails when descriptors run out; a pause lets others be closed.
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
        }
    }
}

async fn serve_connection(stream: TcpStream, server: Server) {
    // Without the option an answer may be delayed, which is harmless.
    let _ = stream.set_nodelay(true);
    let framed = Framed::new(stream, codec());
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let channel = BaseChannel::with_defaults(transport);
    let mut calls = std::pin::pin!(channel.execute(server.serve()));
    let mut running = JoinSet::new();
    loop {
        tokio::select! {
            call = calls.next() => match call {
                Some(call) => {
                    running.spawn(call);
                }
                None => return,
            },
            Some(_) = running.join_next() => {}
        }
    }
}
