//! Tells whether a request has begun to leave.
//!
//! The library reports errors without saying whether the request had been
//! handed to the socket. It asks the body for its size right before it writes
//! the head, so a body that was never asked belongs to a request of which no
//! byte left.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

/// The request waits for a connection.
const WAITING: u8 = 0;
/// The library has begun to write the request.
const LEAVING: u8 = 1;
/// The caller gave up before the library began; the body refuses to be sent.
const REVOKED: u8 = 2;

/// `SendMark` is the caller's view of a [`MarkedBody`].
#[derive(Clone, Debug, Default)]
pub(crate) struct SendMark {
    state: Arc<AtomicU8>,
}

impl SendMark {
    /// Forbids the request to leave. Returns false if it had begun to.
    pub(crate) fn revoke(&self) -> bool {
        match self.swap_waiting(REVOKED) {
            Ok(_) => true,
            Err(state) => state == REVOKED,
        }
    }

    /// Notes that the request leaves. Returns false if it was revoked.
    fn leave(&self) -> bool {
        match self.swap_waiting(LEAVING) {
            Ok(_) => true,
            Err(state) => state == LEAVING,
        }
    }

    fn swap_waiting(&self, state: u8) -> Result<u8, u8> {
        self.state
            .compare_exchange(WAITING, state, Ordering::AcqRel, Ordering::Acquire)
    }
}

/// `Revoked` is the error of a body whose request was given up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Revoked;

impl std::fmt::Display for Revoked {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the caller gave the request up before it was sent")
    }
}

impl std::error::Error for Revoked {}

/// `MarkedBody` is a request body held in memory that notes when the library
/// begins to write its request.
#[derive(Debug)]
pub(crate) struct MarkedBody {
    data: Option<Bytes>,
    mark: SendMark,
}

impl MarkedBody {
    /// Creates a body; an empty one stands for no body.
    pub(crate) fn new(data: Bytes, mark: SendMark) -> Self {
        let data = Some(data).filter(|data| !data.is_empty());
        Self { data, mark }
    }
}

impl Body for MarkedBody {
    type Data = Bytes;
    type Error = Revoked;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Revoked>>> {
        if !self.mark.leave() {
            return Poll::Ready(Some(Err(Revoked)));
        }
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        // A revoked body never ends: the library then asks for a frame, gets
        // an error and closes the connection before the request is whole.
        self.mark.leave() && self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        if !self.mark.leave() {
            return SizeHint::default();
        }
        let bytes = self.data.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(bytes as u64)
    }
}
