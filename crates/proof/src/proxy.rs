//! A TCP relay with faults between two programs.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

/// Bytes read at once.
const BUFFER: usize = 16 << 10;

/// Start of the request line of a generation or call, the only connections that faults concern.
const WORK: [&[u8]; 3] = [b"POST /v1/generate", b"POST /v1/run", b"POST /v1/calls"];

#[derive(Debug)]
struct State {
    target: SocketAddr,
    cut: CancellationToken,
    /// Reads of the answer after which the next connections with work break, one for each.
    cut_after: Vec<u32>,
    /// Whether the answers of the next two connections with work are exchanged.
    cross: bool,
    waiting: Option<Crossed>,
    cuts: u32,
    crossings: u32,
}

#[derive(Debug)]
struct Crossed {
    answers: OwnedReadHalf,
    caller: OwnedWriteHalf,
    cut: CancellationToken,
}

/// A TCP relay; dropping it closes its connections.
#[derive(Debug)]
pub struct Proxy {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
    _stop: DropGuard,
}

fn locked(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Proxy {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            target,
            cut: CancellationToken::new(),
            cut_after: Vec::new(),
            cross: false,
            waiting: None,
            cuts: 0,
            crossings: 0,
        }));
        let stop = CancellationToken::new();
        let shared = Arc::clone(&state);
        let stopped = stop.clone();
        tokio::spawn(stopped.clone().run_until_cancelled_owned(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let relay = relay(caller, Arc::clone(&shared));
                tokio::spawn(stopped.clone().run_until_cancelled_owned(relay));
            }
        }));
        Ok(Proxy {
            addr,
            state,
            _stop: stop.drop_guard(),
        })
    }

    /// Returns the address to connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Leads new connections to another address.
    pub fn retarget(&self, target: SocketAddr) {
        locked(&self.state).target = target;
    }

    /// Breaks all connections.
    pub fn cut(&self) {
        std::mem::take(&mut locked(&self.state).cut).cancel();
    }

    /// Breaks each of the next connections with work after so many reads of its answer.
    pub fn cut_after(&self, reads: impl IntoIterator<Item = u32>) {
        locked(&self.state).cut_after.extend(reads);
    }

    /// Exchanges the answers of the next two connections with work.
    pub fn cross(&self) {
        locked(&self.state).cross = true;
    }

    /// Returns how many connections were broken by [`Proxy::cut_after`].
    pub fn cuts(&self) -> u32 {
        locked(&self.state).cuts
    }

    /// Returns how many pairs of answers were exchanged.
    pub fn crossings(&self) -> u32 {
        locked(&self.state).crossings
    }
}

async fn relay(caller: TcpStream, state: Arc<Mutex<State>>) {
    let (target, cut) = {
        let state = locked(&state);
        (state.target, state.cut.clone())
    };
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Small events must not wait for the acknowledgement of earlier ones.
    let _ = (caller.set_nodelay(true), server.set_nodelay(true));
    let (mut requests, caller) = caller.into_split();
    let (answers, mut server) = server.into_split();
    let mut buffer = vec![0; BUFFER];
    let first = cut.run_until_cancelled(requests.read(&mut buffer)).await;
    let Some(Ok(length @ 1..)) = first else {
        return;
    };
    if server.write_all(&buffer[..length]).await.is_err() {
        return;
    }
    let work = WORK.iter().any(|start| buffer.starts_with(start));
    let mut limit = None;
    let mut pair = Some((answers, caller));
    let mut partner = None;
    if work {
        let mut state = locked(&state);
        if !state.cut_after.is_empty() {
            limit = Some(state.cut_after.remove(0));
        }
        if state.cross {
            match state.waiting.take() {
                Some(waiting) => {
                    partner = Some(waiting);
                    state.cross = false;
                    state.crossings += 1;
                }
                None => {
                    state.waiting = pair.take().map(|(answers, caller)| Crossed {
                        answers,
                        caller,
                        cut: cut.clone(),
                    });
                }
            }
        }
    }
    let forward = pump(requests, server, None);
    let back = async {
        match (pair, partner) {
            (Some((answers, caller)), Some(other)) => {
                let own = pump(other.answers, caller, None);
                let others = other
                    .cut
                    .run_until_cancelled_owned(pump(answers, other.caller, None));
                tokio::join!(own, others);
            }
            (Some((answers, caller)), None) => {
                if pump(answers, caller, limit).await {
                    locked(&state).cuts += 1;
                }
            }
            // The connection that completes the pair carries both answers.
            (None, _) => std::future::pending().await,
        }
    };
    cut.run_until_cancelled(async {
        tokio::select! {
            () = back => {}
            // A caller that closes its connection ends the request, as without a relay.
            _ = forward => {}
        }
    })
    .await;
}

/// Copies until an end, or until so many reads were passed on; returns whether it was the latter.
async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, limit: Option<u32>) -> bool {
    let mut buffer = vec![0; BUFFER];
    let mut reads = 0;
    loop {
        if limit == Some(reads) {
            return true;
        }
        let length = match from.read(&mut buffer).await {
            Ok(length @ 1..) => length,
            _ => return false,
        };
        if to.write_all(&buffer[..length]).await.is_err() {
            return false;
        }
        reads += 1;
    }
}
