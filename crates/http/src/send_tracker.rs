//! Tracks whether the transmission of a request has begun.
//!
//! Errors of `volo-http` do not tell whether the request was written to the
//! socket. The library calls `size_hint` on the body right before it writes
//! the head, so if no method of the body was called, no byte was sent.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

/// The request is waiting for a connection.
const WAITING: u8 = 0;
/// The HTTP library has begun to write the request.
const SENDING: u8 = 1;
/// The caller gave up before the transmission began; the body returns an
/// error instead of data.
const CANCELLED: u8 = 2;

/// `SendTracker` is the caller's handle on the state of a [`TrackedBody`].
#[derive(Clone, Debug, Default)]
pub(crate) struct SendTracker {
    state: Arc<AtomicU8>,
}

impl SendTracker {
    /// Prevents the request from being sent. Returns false if its transmission
    /// has already begun.
    pub(crate) fn try_cancel(&self) -> bool {
        match self.transition_from_waiting(CANCELLED) {
            Ok(_) => true,
            Err(state) => state == CANCELLED,
        }
    }

    /// Records that the transmission begins. Returns false if the request was
    /// cancelled.
    fn begin_sending(&self) -> bool {
        match self.transition_from_waiting(SENDING) {
            Ok(_) => true,
            Err(state) => state == SENDING,
        }
    }

    fn transition_from_waiting(&self, state: u8) -> Result<u8, u8> {
        self.state
            .compare_exchange(WAITING, state, Ordering::AcqRel, Ordering::Acquire)
    }
}

/// `RequestCancelled` is the error of a body whose request was cancelled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestCancelled;

impl std::fmt::Display for RequestCancelled {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the caller cancelled the request before it was sent")
    }
}

impl std::error::Error for RequestCancelled {}

/// `TrackedBody` is an in-memory request body that records when the HTTP
/// library begins to write its request.
#[derive(Debug)]
pub(crate) struct TrackedBody {
    data: Option<Bytes>,
    tracker: SendTracker,
}

impl TrackedBody {
    /// Creates a body; empty data means no body.
    pub(crate) fn new(data: Bytes, tracker: SendTracker) -> Self {
        let data = Some(data).filter(|data| !data.is_empty());
        Self { data, tracker }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = RequestCancelled;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RequestCancelled>>> {
        if !self.tracker.begin_sending() {
            return Poll::Ready(Some(Err(RequestCancelled)));
        }
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        // A cancelled body never ends: the library then polls for a frame, gets
        // an error and closes the connection before the request is complete.
        self.tracker.begin_sending() && self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        if !self.tracker.begin_sending() {
            return SizeHint::default();
        }
        let bytes = self.data.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(bytes as u64)
    }
}
