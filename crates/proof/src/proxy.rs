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
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

/// Bytes read at once.
const BUFFER: usize = 16 << 10;

/// Paths of the requests that [`Proxy::cut_after`] concerns.
const WORK: [&str; 3] = ["/v1/generate", "/v1/run", "/v1/calls"];

#[derive(Debug)]
struct State {
    target: SocketAddr,
    cut: CancellationToken,
    cut_after: Vec<u32>,
    cut_next: Option<&'static str>,
    cross: Option<&'static str>,
    waiting: Option<Arc<Link>>,
    cuts: u32,
    crossings: u32,
}

/// One connection of a caller.
#[derive(Debug)]
struct Link {
    /// Where the server's bytes go.
    out: Mutex<Arc<tokio::sync::Mutex<OwnedWriteHalf>>>,
    /// Reads that are passed on before the connection breaks.
    limit: Mutex<Option<u32>>,
    /// Whether the server's bytes wait for a second connection.
    held: watch::Sender<bool>,
}

/// A TCP relay; dropping it closes its connections.
#[derive(Debug)]
pub struct Proxy {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
    _stop: DropGuard,
}

fn locked<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    /// Applies the faults to a connection on which a request begins.
    fn on_request(&mut self, request: &[u8], link: &Arc<Link>) {
        let starts = |path: &str| request.starts_with(format!("POST {path} ").as_bytes());
        if WORK.iter().any(|path| starts(path)) && !self.cut_after.is_empty() {
            *locked(&link.limit) = Some(self.cut_after.remove(0));
        }
        if self
            .cut_next
            .is_some_and(|start| request.starts_with(start.as_bytes()))
        {
            self.cut_next = None;
            *locked(&link.limit) = Some(0);
        }
        if !self.cross.is_some_and(starts) {
            return;
        }
        match self.waiting.take() {
            Some(other) if !Arc::ptr_eq(&other, link) => {
                std::mem::swap(&mut *locked(&other.out), &mut *locked(&link.out));
                other.held.send_replace(false);
                self.cross = None;
                self.crossings += 1;
            }
            _ => {
                link.held.send_replace(true);
                self.waiting = Some(Arc::clone(link));
            }
        }
    }
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
            cut_next: None,
            cross: None,
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

    /// Breaks the connection of each of the next requests with work after so many reads of its
    /// answer.
    pub fn cut_after(&self, reads: impl IntoIterator<Item = u32>) {
        locked(&self.state).cut_after = reads.into_iter().collect();
    }

    /// Breaks the connection of the next request that begins with `start` before its answer.
    pub fn cut_next(&self, start: &'static str) {
        locked(&self.state).cut_next = Some(start);
    }

    /// Exchanges the answers of the next two requests with this path.
    pub fn cross(&self, path: &'static str) {
        locked(&self.state).cross = Some(path);
    }

    /// Returns how many connections were broken by [`Proxy::cut_after`] and [`Proxy::cut_next`].
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
    let (requests, caller) = caller.into_split();
    let (answers, server) = server.into_split();
    let link = Arc::new(Link {
        out: Mutex::new(Arc::new(tokio::sync::Mutex::new(caller))),
        limit: Mutex::new(None),
        held: watch::Sender::new(false),
    });
    let both = async {
        tokio::select! {
            () = forward(requests, server, &link, &state) => {}
            broken = back(answers, &link) => locked(&state).cuts += u32::from(broken),
        }
    };
    cut.run_until_cancelled(both).await;
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    link: &Arc<Link>,
    state: &Mutex<State>,
) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        locked(state).on_request(&buffer[..length], link);
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Copies until an end; returns whether the end is the limit of the link.
async fn back(mut from: OwnedReadHalf, link: &Link) -> bool {
    let mut held = link.held.subscribe();
    let mut buffer = vec![0; BUFFER];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        if held.wait_for(|held| !held).await.is_err() {
            return false;
        }
        match &mut *locked(&link.limit) {
            Some(0) => return true,
            Some(left) => *left -= 1,
            None => {}
        }
        let out = Arc::clone(&*locked(&link.out));
        if out.lock().await.write_all(&buffer[..length]).await.is_err() {
            return false;
        }
    }
    false
}
