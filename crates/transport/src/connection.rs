//! One connection of the calling side.

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

/// Longest text of a refusal in bytes.
pub(crate) const MAX_REFUSAL_BYTES: usize = 4 << 10;

/// `Connection` is one h2 connection. Dropping the last reference closes it,
/// so calls that run on a retired connection still end as usual.
pub(crate) struct Connection {
    sender: SendRequest<Bytes>,
    authorization: Option<HeaderValue>,
    ended: Arc<AtomicBool>,
    /// Last time that something was heard from the other process; `None` after
    /// a call got no answer in time.
    heard_at: Mutex<Option<Instant>>,
    driver: AbortHandle,
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    /// `NotSent` always, since no request is involved yet.
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
        let ended = Arc::new(AtomicBool::new(false));
        let ending = ended.clone();
        let driver = tokio::spawn(async move {
            // The calls get the error from their streams.
            let _ = connection.await;
            ending.store(true, Ordering::Release);
        });
        Ok(Self {
            sender,
            authorization,
            ended,
            heard_at: Mutex::new(Some(Instant::now())),
            driver: driver.abort_handle(),
        })
    }

    /// Says whether the connection has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    /// Says whether something was heard from the other process within `limit`.
    pub(crate) fn heard_within(&self, limit: Duration) -> bool {
        let heard_at = *self.heard_at();
        heard_at.is_some_and(|heard_at| heard_at.elapsed() < limit)
    }

    /// Makes the next call probe the connection first.
    pub(crate) fn suspect(&self) {
        *self.heard_at() = None;
    }

    /// Asks the other process for a sign of life. Returns false if there is
    /// none within `limit`.
    pub(crate) async fn ping(&self, limit: Duration) -> bool {
        let pinging = async {
            let response = self.start(Method::GET, PING_URI, Bytes::new())?;
            response.await.map_err(Error::outcome_unknown)
        };
        let answered = matches!(timeout(limit, pinging).await, Ok(Ok(_)));
        if answered {
            self.heard();
        }
        answered
    }

    /// Sends one encoded request and gets the encoded answer.
    ///
    /// # Errors
    /// As [`crate::Link::call`].
    pub(crate) async fn exchange(&self, request: Bytes, max_bytes: usize) -> Result<Bytes> {
        let response = self.start(Method::POST, CALL_URI, request)?;
        let response = response.await.map_err(lost)?;
        self.heard();
        let (status, mut body) = split(response);
        if status != StatusCode::OK {
            return Err(refusal(status, &mut body).await);
        }
        let answer = read_body(&mut body, max_bytes, |_| true).await;
        answer.map_err(|cause| match cause {
            ReadError::Cut(cause) => lost(cause),
            ReadError::TooLarge => Error::codec("the answer is too large"),
            ReadError::NoMemory => Error::codec("no memory for the answer"),
        })
    }

    /// Opens a stream with a whole request.
    ///
    /// # Errors
    /// `NotSent` if no stream could be opened.
    fn start(&self, method: Method, uri: &'static str, body: Bytes) -> Result<ResponseFuture> {
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
            // An error says that the other process has ended the stream
            // already; the response then holds its refusal or the reason.
            let _ = stream.send_data(body, true);
        }
        Ok(response)
    }

    fn heard(&self) {
        *self.heard_at() = Some(Instant::now());
    }

    fn heard_at(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.heard_at.lock().unwrap_or_else(PoisonError::into_inner)
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

fn split(response: Response<RecvStream>) -> (StatusCode, RecvStream) {
    let status = response.status();
    (status, response.into_body())
}

/// Names the error of a stream that ended without an answer.
fn lost(cause: h2::Error) -> Error {
    // A server resets a stream with this reason only before it handles the
    // request (RFC 9113, section 8.7).
    let unhandled =
        cause.is_reset() && cause.is_remote() && cause.reason() == Some(Reason::REFUSED_STREAM);
    if unhandled {
        Error::not_sent(cause)
    } else {
        Error::outcome_unknown(cause)
    }
}

async fn refusal(status: StatusCode, body: &mut RecvStream) -> Error {
    let text = read_body(body, MAX_REFUSAL_BYTES, |_| true).await;
    let text = text.unwrap_or_default();
    Error::refused(format!("{status}: {}", String::from_utf8_lossy(&text)))
}
