//! An h2 connection of the client side.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use h2::client::{ResponseFuture, SendRequest};
use h2::{Reason, RecvStream};
use hornbeam_core::{Error, Result};
use http::header::AUTHORIZATION;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::link::LinkOptions;
use crate::message::{
    CALL_URI, CONNECTION_WINDOW_BYTES, MAX_HEADER_LIST_BYTES, PING_URI, ReadError,
    STREAM_WINDOW_BYTES, read_body,
};

/// Maximum length of the text of a refusal in bytes.
pub(crate) const MAX_REFUSAL_BYTES: usize = 4 << 10;

/// `Connection` is one h2 connection. Dropping the last reference closes it, so
/// that calls in flight on a replaced connection still complete normally.
pub(crate) struct Connection {
    sender: SendRequest<Bytes>,
    authorization: Option<HeaderValue>,
    closed: Arc<AtomicBool>,
    /// Time of the last response from the peer, initially of the handshake;
    /// `None` after a call has timed out.
    last_received: Mutex<Option<Instant>>,
    driver: AbortHandle,
}

impl Connection {
    /// Connects to the peer and performs the h2 handshake.
    ///
    /// # Errors
    /// Always `NotSent`, because no request has been sent yet.
    pub(crate) async fn open(
        address: SocketAddr,
        authorization: Option<HeaderValue>,
        options: &LinkOptions,
    ) -> Result<Self> {
        let connecting = async {
            let stream = TcpStream::connect(address).await.map_err(Error::not_sent)?;
            stream.set_nodelay(true).map_err(Error::not_sent)?;
            client_builder()
                .handshake::<_, Bytes>(stream)
                .await
                .map_err(Error::not_sent)
        };
        let (sender, connection) = timeout(options.connect_timeout, connecting)
            .await
            .map_err(|_| Error::not_sent("no connection within the time limit"))??;
        let closed = Arc::new(AtomicBool::new(false));
        let closed_flag = closed.clone();
        let driver = tokio::spawn(async move {
            // The calls receive the error through their streams.
            let _ = connection.await;
            closed_flag.store(true, Ordering::Release);
        });
        Ok(Self {
            sender,
            authorization,
            closed,
            last_received: Mutex::new(Some(Instant::now())),
            driver: driver.abort_handle(),
        })
    }

    /// Whether the connection is closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Whether the peer has responded within the last `limit`.
    pub(crate) fn received_within(&self, limit: Duration) -> bool {
        let last_received = *self.lock_last_received();
        last_received.is_some_and(|received_at| received_at.elapsed() < limit)
    }

    /// Makes the next call probe the connection before it is used.
    pub(crate) fn require_probe(&self) {
        *self.lock_last_received() = None;
    }

    /// Probes the peer with a ping. Returns false if it does not respond within
    /// `limit`.
    pub(crate) async fn ping(&self, limit: Duration) -> bool {
        let pinging = async {
            let response = self.open_stream(Method::GET, PING_URI, Bytes::new())?;
            response.await.map_err(Error::outcome_unknown)
        };
        let answered = matches!(timeout(limit, pinging).await, Ok(Ok(_)));
        if answered {
            self.record_received();
        }
        answered
    }

    /// Sends one encoded request and returns the encoded response.
    ///
    /// # Errors
    /// As [`crate::Link::call`].
    pub(crate) async fn exchange(&self, request: Bytes, max_bytes: usize) -> Result<Bytes> {
        let response = self.open_stream(Method::POST, CALL_URI, request)?;
        let response = response.await.map_err(classify_stream_error)?;
        self.record_received();
        let (status, mut body) = split_response(response);
        if status != StatusCode::OK {
            return Err(read_refusal(status, &mut body).await);
        }
        let answer = read_body(&mut body, max_bytes, |_| true).await;
        answer.map_err(|cause| match cause {
            ReadError::Truncated(cause) => classify_stream_error(cause),
            ReadError::TooLarge => Error::codec("the response exceeds the size limit"),
            ReadError::BufferFull => Error::codec("no buffer space for the response"),
        })
    }

    /// Opens a stream and sends a complete request on it.
    ///
    /// # Errors
    /// `NotSent` if no stream could be opened.
    fn open_stream(
        &self,
        method: Method,
        uri: &'static str,
        body: Bytes,
    ) -> Result<ResponseFuture> {
        let mut request = Request::new(());
        *request.method_mut() = method;
        *request.uri_mut() = Uri::from_static(uri);
        if let Some(authorization) = &self.authorization {
            request
                .headers_mut()
                .insert(AUTHORIZATION, authorization.clone());
        }
        let is_empty = body.is_empty();
        let (response, mut stream) = self
            .sender
            .clone()
            .send_request(request, is_empty)
            .map_err(Error::not_sent)?;
        if !is_empty {
            // An error means that the peer has already closed the stream; the
            // response then contains its refusal or the reason.
            let _ = stream.send_data(body, true);
        }
        Ok(response)
    }

    fn record_received(&self) {
        *self.lock_last_received() = Some(Instant::now());
    }

    fn lock_last_received(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.last_received
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn client_builder() -> h2::client::Builder {
    let mut builder = h2::client::Builder::new();
    builder
        .enable_push(false)
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_header_list_size(MAX_HEADER_LIST_BYTES);
    builder
}

fn split_response(response: Response<RecvStream>) -> (StatusCode, RecvStream) {
    let status = response.status();
    (status, response.into_body())
}

/// Classifies the error of a stream that ended without a response.
fn classify_stream_error(cause: h2::Error) -> Error {
    // A server resets a stream with this reason only if it has not processed
    // the request (RFC 9113, section 8.7).
    let not_handled =
        cause.is_reset() && cause.is_remote() && cause.reason() == Some(Reason::REFUSED_STREAM);
    if not_handled {
        Error::not_sent(cause)
    } else {
        Error::outcome_unknown(cause)
    }
}

async fn read_refusal(status: StatusCode, body: &mut RecvStream) -> Error {
    let text = read_body(body, MAX_REFUSAL_BYTES, |_| true).await;
    let text = text.unwrap_or_default();
    Error::refused(format!("{status}: {}", String::from_utf8_lossy(&text)))
}
