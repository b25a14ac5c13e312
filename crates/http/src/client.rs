//! The HTTP client.

use std::error::Error as _;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hornbeam_core::{Error, Result};
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderName, HeaderValue, Method};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, timeout_at};
use volo::net::Address;
use volo_http::body::Body;
use volo_http::error::ClientError;
use volo_http::response::Response;

use crate::connection_pools::{ConnectionPools, Pool, PoolHandle};
use crate::send_tracker::{SendTracker, TrackedBody};

/// Time for `volo-http` to return a connection to its pool after an exchange. A
/// request that starts earlier opens a new connection: 64 callers at a limit of
/// 8 had 16 connections open without the delay, and 8 to 9 with it.
const POOL_RETURN_DELAY: Duration = Duration::from_millis(1);

/// `ClientOptions` are the settings of an [`HttpClient`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientOptions {
    /// Bearer credential sent with every request; default none.
    pub credential: Option<String>,
    /// Time to establish a connection; default 500 ms.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed; default 1 s, shorter than
    /// the time after which a middlebox drops the state of a connection.
    pub idle_timeout: Duration,
    /// Maximum number of concurrent requests to one address, each on its own
    /// connection; default 64. Near the limit, a few more connections can be
    /// open until they have been idle for `idle_timeout`.
    pub max_connections_per_address: usize,
    /// Maximum size of a response body in bytes; default 64 MiB.
    pub max_response_bytes: usize,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            credential: None,
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(1),
            max_connections_per_address: 64,
            max_response_bytes: 64 << 20,
        }
    }
}

/// `Reply` is a response with any HTTP status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply<A> {
    /// HTTP status.
    pub status: u16,
    /// Decoded body.
    pub body: A,
}

/// `CallError` is the failure of a request, with what it shows about the
/// receiver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallError {
    /// The failure.
    pub error: Error,
    /// Whether the receiver refused the connection: its host is reachable, and
    /// nothing listens at the address.
    pub is_connection_refused: bool,
}

impl From<Error> for CallError {
    fn from(error: Error) -> Self {
        Self {
            error,
            is_connection_refused: false,
        }
    }
}

impl From<CallError> for Error {
    fn from(failure: CallError) -> Self {
        failure.error
    }
}

/// `CallResult` is the result of a request.
pub type CallResult<T> = std::result::Result<T, CallError>;

/// `HttpClient` sends JSON requests. Clones share the connection pools.
#[derive(Clone)]
pub struct HttpClient {
    shared: Arc<Shared>,
}

struct Shared {
    options: ClientOptions,
    authorization: Option<HeaderValue>,
    pools: ConnectionPools,
}

/// `OutgoingRequest` is a request that is to be sent.
struct OutgoingRequest<'a> {
    address: SocketAddr,
    method: Method,
    path: &'a str,
    header: Option<(HeaderName, HeaderValue)>,
    body: Bytes,
    timeout: Duration,
}

impl HttpClient {
    /// Creates a client.
    ///
    /// # Errors
    /// `Io` if the credential cannot be encoded in a header.
    pub fn new(options: ClientOptions) -> Result<Self> {
        let authorization = options.credential.as_deref().map(bearer).transpose()?;
        let pools = ConnectionPools::new(options.clone());
        let shared = Arc::new(Shared {
            options,
            authorization,
            pools,
        });
        Ok(Self { shared })
    }

    /// Sends `POST path` with a JSON body and decodes the JSON response.
    ///
    /// # Errors
    /// `NotSent` if no byte of the request was sent, `OutcomeUnknown` if it may
    /// have arrived, `Codec` if the response is too large or cannot be decoded.
    pub async fn post<Q, A>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Q,
        timeout: Duration,
    ) -> Result<Reply<A>>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let outgoing = OutgoingRequest::post(address, path, body, timeout)?;
        decode_json(self.exchange(outgoing).await?)
    }

    /// Sends `POST path` with a JSON body and returns the response body as text,
    /// for callers that need the status of responses that are not JSON.
    ///
    /// # Errors
    /// As [`HttpClient::post`].
    pub async fn post_text<Q: Serialize + Sync>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Q,
        timeout: Duration,
    ) -> Result<Reply<String>> {
        let outgoing = OutgoingRequest::post(address, path, body, timeout)?;
        decode_text(self.exchange(outgoing).await?)
    }

    /// Sends `POST path` with a JSON body and an additional header, and returns
    /// the undecoded response body, for callers that decode it by status.
    ///
    /// # Errors
    /// As [`HttpClient::post`], with the information whether the connection was
    /// refused.
    pub async fn post_for_bytes<Q: Serialize + Sync>(
        &self,
        address: SocketAddr,
        path: &str,
        header: (&'static str, &str),
        body: &Q,
        timeout: Duration,
    ) -> CallResult<Reply<Bytes>> {
        let mut outgoing = OutgoingRequest::post(address, path, body, timeout)?;
        let value = HeaderValue::from_str(header.1).map_err(Error::not_sent)?;
        outgoing.header = Some((HeaderName::from_static(header.0), value));
        self.exchange(outgoing).await
    }

    /// Sends `GET path` and decodes the JSON response.
    ///
    /// # Errors
    /// As [`HttpClient::post`].
    pub async fn get<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<Reply<A>> {
        decode_json(
            self.exchange(OutgoingRequest::get(address, path, timeout))
                .await?,
        )
    }

    /// Sends `GET path` and returns the response body as text.
    ///
    /// # Errors
    /// As [`HttpClient::post`].
    pub async fn get_text(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<Reply<String>> {
        decode_text(
            self.exchange(OutgoingRequest::get(address, path, timeout))
                .await?,
        )
    }

    /// Closes the idle connections to an address at once and the busy ones when
    /// their exchange ends.
    pub fn drop_connections(&self, address: SocketAddr) {
        self.shared.pools.drop_pool(address);
    }

    /// Sends one request and reads the complete response.
    async fn exchange(&self, outgoing: OutgoingRequest<'_>) -> CallResult<Reply<Bytes>> {
        let deadline = Instant::now() + outgoing.timeout;
        let handle = self.shared.pools.pool_handle(outgoing.address)?;
        let permit = timeout_at(deadline, handle.permits.acquire())
            .await
            .map_err(|_| Error::not_sent("every connection was busy until the time limit"))?
            .map_err(Error::not_sent)?;
        let response = self.send(&handle.pool, outgoing, deadline).await?;
        let reply = self.read_response(response, deadline).await;
        self.wait_for_pool_return(&handle).await;
        drop(permit);
        Ok(reply?)
    }

    /// Delays the release of a permit if most are in use, so that the next
    /// request reuses the connection of the exchange that has just ended.
    async fn wait_for_pool_return(&self, handle: &PoolHandle) {
        let max = self.shared.options.max_connections_per_address;
        if 2 * handle.permits.available_permits() < max {
            sleep(POOL_RETURN_DELAY).await;
        }
    }

    /// Sends a request and waits for the head of the response.
    async fn send(
        &self,
        pool: &Pool,
        outgoing: OutgoingRequest<'_>,
        deadline: Instant,
    ) -> CallResult<Response> {
        let tracker = SendTracker::default();
        let connect_deadline = Instant::now() + self.shared.options.connect_timeout;
        let sending = self.send_future(pool, outgoing, tracker.clone());
        tokio::pin!(sending);
        // `volo-http` ignores its own connect timeout, so it is enforced here.
        let first_result = timeout_at(connect_deadline.min(deadline), &mut sending).await;
        let result = match first_result {
            Ok(result) => result,
            Err(_) if tracker.try_cancel() => {
                return Err(Error::not_sent("no connection within the time limit").into());
            }
            Err(_) => timeout_at(deadline, &mut sending)
                .await
                .map_err(|_| Error::outcome_unknown("no answer within the time limit"))?,
        };
        result.map_err(|cause| classify_error(cause, &tracker))
    }

    /// Builds the `volo-http` request and returns the future that sends it.
    fn send_future(
        &self,
        pool: &Pool,
        outgoing: OutgoingRequest<'_>,
        tracker: SendTracker,
    ) -> impl Future<Output = std::result::Result<Response, ClientError>> + Send {
        let has_body = !outgoing.body.is_empty();
        let mut request = pool
            .request(outgoing.method, outgoing.path)
            .address(Address::from(outgoing.address));
        if has_body {
            let json = HeaderValue::from_static("application/json");
            request.headers_mut().insert(CONTENT_TYPE, json);
        }
        if let Some((name, value)) = outgoing.header {
            request.headers_mut().insert(name, value);
        }
        if let Some(value) = &self.shared.authorization {
            request.headers_mut().insert(AUTHORIZATION, value.clone());
        }
        request
            .body(TrackedBody::new(outgoing.body, tracker))
            .send()
    }

    async fn read_response(&self, response: Response, deadline: Instant) -> Result<Reply<Bytes>> {
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), self.shared.options.max_response_bytes);
        let collected = timeout_at(deadline, collect_body(body))
            .await
            .map_err(|_| {
                Error::outcome_unknown("the response was incomplete when the time limit expired")
            })?;
        Ok(Reply {
            status,
            body: collected?,
        })
    }
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The options contain the credential, which must not be logged.
        f.debug_struct("HttpClient").finish_non_exhaustive()
    }
}

impl<'a> OutgoingRequest<'a> {
    fn post<Q: Serialize>(
        address: SocketAddr,
        path: &'a str,
        body: &Q,
        timeout: Duration,
    ) -> Result<Self> {
        let body = serde_json::to_vec(body).map_err(Error::not_sent)?;
        Ok(Self {
            address,
            method: Method::POST,
            path,
            header: None,
            body: body.into(),
            timeout,
        })
    }

    fn get(address: SocketAddr, path: &'a str, timeout: Duration) -> Self {
        Self {
            address,
            method: Method::GET,
            path,
            header: None,
            body: Bytes::new(),
            timeout,
        }
    }
}

fn bearer(credential: &str) -> Result<HeaderValue> {
    let mut value = HeaderValue::from_str(&format!("Bearer {credential}")).map_err(|_| {
        Error::io("the credential contains characters that are not allowed in a header")
    })?;
    value.set_sensitive(true);
    Ok(value)
}

/// Converts an error of `volo-http` to one that tells whether transmission of
/// the request had begun.
fn classify_error(cause: ClientError, tracker: &SendTracker) -> CallError {
    if tracker.try_cancel() {
        CallError {
            is_connection_refused: is_connection_refused(&cause),
            error: Error::not_sent(cause),
        }
    } else {
        Error::outcome_unknown(cause).into()
    }
}

/// Whether an error was caused by a receiver that refused the connection.
fn is_connection_refused(error: &ClientError) -> bool {
    let mut source = error.source();
    while let Some(cause) = source {
        let io_error = cause.downcast_ref::<io::Error>();
        if io_error.is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused) {
            return true;
        }
        source = cause.source();
    }
    false
}

async fn collect_body(body: Limited<Body>) -> Result<Bytes> {
    match body.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(cause) if cause.is::<LengthLimitError>() => {
            Err(Error::codec("the response exceeds the size limit"))
        }
        Err(cause) => Err(Error::outcome_unknown(format!(
            "the response was truncated: {cause}"
        ))),
    }
}

fn decode_json<A: DeserializeOwned>(reply: Reply<Bytes>) -> Result<Reply<A>> {
    let status = reply.status;
    let with_status = |cause| {
        Error::codec(format!(
            "cannot decode the response with status {status}: {cause}"
        ))
    };
    let body = serde_json::from_slice(&reply.body).map_err(with_status)?;
    Ok(Reply { status, body })
}

fn decode_text(reply: Reply<Bytes>) -> Result<Reply<String>> {
    let status = reply.status;
    let body = String::from_utf8(reply.body.into());
    let with_status = |cause| {
        Error::codec(format!(
            "cannot decode the response with status {status}: {cause}"
        ))
    };
    let body = body.map_err(with_status)?;
    Ok(Reply { status, body })
}
