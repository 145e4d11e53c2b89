//! Bodies of answers to callers.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::relay::Relay;
use crate::relay::RelayError;

/// Body of an answer to a caller.
pub(crate) enum AnswerBody {
    /// Body of an answer that the gateway itself gives.
    Gateway(Full<Bytes>),
    /// Body of an upstream's answer, relayed as it arrives.
    Relay(Rc<RefCell<Relay>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        match self.get_mut() {
            AnswerBody::Gateway(body) => match Pin::new(body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
                // The error type is `Infallible`: a body in memory cannot fail.
                Poll::Ready(_) => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            },
            AnswerBody::Relay(relay) => relay.borrow_mut().poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Gateway(body) => body.is_end_stream(),
            AnswerBody::Relay(relay) => relay.borrow().is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Gateway(body) => body.size_hint(),
            AnswerBody::Relay(_) => SizeHint::default(),
        }
    }
}
