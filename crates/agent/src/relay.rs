//! Response bodies whose frames are sent as soon as they exist.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use dw_wire::Frame;
use hyper::body::Body;
use hyper::body::Frame as BodyFrame;
use tokio::sync::mpsc;

use crate::live::Cursor;
use crate::live::Live;
use crate::live::Next;

/// Frames that may wait for a slow receiver; the rest stays in the resume buffer.
const MAX_UNSENT: usize = 16;

/// Body that yields each frame as its own piece, so that it is written at once.
#[derive(Debug)]
pub(crate) struct RelayBody {
    frames: mpsc::Receiver<Bytes>,
}

impl RelayBody {
    /// Creates a body of one frame.
    pub(crate) fn single(bytes: Bytes) -> Self {
        let (sender, frames) = mpsc::channel(1);
        let _ = sender.try_send(bytes);
        RelayBody { frames }
    }

    /// Creates a body that follows `live`, and the task that feeds it.
    ///
    /// The connection counts as attached from now until the task ends.
    pub(crate) fn follow(
        live: Arc<Live>,
        cursor: Cursor,
        gone: impl Fn() -> Frame + Send + Sync + 'static,
    ) -> (Self, impl Future<Output = ()> + Send) {
        let (sender, frames) = mpsc::channel(MAX_UNSENT);
        (RelayBody { frames }, feed(live, cursor, sender, gone))
    }
}

async fn feed(
    live: Arc<Live>,
    mut cursor: Cursor,
    sender: mpsc::Sender<Bytes>,
    gone: impl Fn() -> Frame + Send + Sync,
) {
    let _attached = live.attach();
    let mut changes = live.changes();
    loop {
        changes.mark_unchanged();
        match live.next(&mut cursor) {
            Next::Frame(bytes, last) => {
                if sender.send(bytes).await.is_err() || last {
                    return;
                }
            }
            Next::Pending => {
                tokio::select! {
                    changed = changes.changed() => if changed.is_err() {
                        return;
                    },
                    () = sender.closed() => return,
                }
            }
            Next::Gone => {
                if let Ok(bytes) = dw_wire::encode_frame(&gone()) {
                    let _ = sender.send(bytes).await;
                }
                return;
            }
        }
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<BodyFrame<Bytes>, Self::Error>>> {
        self.frames
            .poll_recv(cx)
            .map(|bytes| bytes.map(|bytes| Ok(BodyFrame::data(bytes))))
    }
}
