//! The client.

use std::fmt;
use std::future::Future;
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

use crate::connections::{Connections, Pool, Slot};
use crate::send_mark::{MarkedBody, SendMark};

/// Time that the library gets to take a connection back after an exchange. A
/// request that starts earlier makes it open another connection: without the
/// pause 64 callers at a limit of 8 had 16 connections open, with it 8 to 9.
const RETURN_PAUSE: Duration = Duration::from_millis(1);

/// `ClientOptions` are the settings of an [`HttpClient`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientOptions {
    /// Bearer credential sent with every request; default none.
    pub credential: Option<String>,
    /// Time to establish a connection; default 500 ms.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed; default 1 s, shorter
    /// than it takes a middlebox to forget a connection.
    pub idle_timeout: Duration,
    /// Most concurrent requests to one address, each on its own connection;
    /// default 64. When nearly all are busy, few more connections can be open
    /// until they have been idle for `idle_timeout`.
    pub max_connections_per_address: usize,
    /// Largest answer in bytes; default 64 MiB.
    pub max_answer_bytes: usize,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            credential: None,
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(1),
            max_connections_per_address: 64,
            max_answer_bytes: 64 << 20,
        }
    }
}

/// `Reply` is an answer of any HTTP status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply<A> {
    /// HTTP status.
    pub status: u16,
    /// Decoded body.
    pub body: A,
}

/// `HttpClient` sends JSON requests. Clones share the connections.
#[derive(Clone)]
pub struct HttpClient {
    shared: Arc<Shared>,
}

struct Shared {
    options: ClientOptions,
    authorization: Option<HeaderValue>,
    connections: Connections,
}

/// `Outgoing` is one request before it is sent.
struct Outgoing<'a> {
    address: SocketAddr,
    method: Method,
    path: &'a str,
    header: Option<(HeaderName, HeaderValue)>,
    body: Bytes,
    within: Duration,
}

impl HttpClient {
    /// Creates a client.
    ///
    /// # Errors
    /// `Io` if the credential cannot be sent in a header.
    pub fn new(options: ClientOptions) -> Result<Self> {
        let authorization = options.credential.as_deref().map(bearer).transpose()?;
        let connections = Connections::new(options.clone());
        let shared = Arc::new(Shared {
            options,
            authorization,
            connections,
        });
        Ok(Self { shared })
    }

    /// Sends `POST path` with a JSON body and decodes the JSON answer.
    ///
    /// # Errors
    /// `NotSent` if no byte of the request left, `OutcomeUnknown` if it may have
    /// arrived, `Codec` if an answer arrived that is too large or cannot be
    /// decoded.
    pub async fn post<Q, A>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Q,
        within: Duration,
    ) -> Result<Reply<A>>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let outgoing = Outgoing::post(address, path, body, within)?;
        decode(self.exchange(outgoing).await?)
    }

    /// Sends `POST path` with a JSON body and gets the answer's body as text,
    /// for callers that want the status of answers that are not JSON.
    ///
    /// # Errors
    /// As [`HttpClient::post`].
    pub async fn post_text<Q: Serialize + Sync>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Q,
        within: Duration,
    ) -> Result<Reply<String>> {
        let outgoing = Outgoing::post(address, path, body, within)?;
        text(self.exchange(outgoing).await?)
    }

    /// Sends `POST path` with a JSON body and one more header, and gets the
    /// answer's body as it is, for callers that decode by status.
    ///
    /// # Errors
    /// As [`HttpClient::post`].
    pub async fn post_for_bytes<Q: Serialize + Sync>(
        &self,
        address: SocketAddr,
        path: &str,
        header: (&'static str, &str),
        body: &Q,
        within: Duration,
    ) -> Result<Reply<Bytes>> {
        let mut outgoing = Outgoing::post(address, path, body, within)?;
        let value = HeaderValue::from_str(header.1).map_err(Error::not_sent)?;
        outgoing.header = Some((HeaderName::from_static(header.0), value));
        self.exchange(outgoing).await
    }

    /// Sends `GET path` and decodes the JSON answer.
    ///
    /// # Errors
    /// As [`HttpClient::post`].
    pub async fn get<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        within: Duration,
    ) -> Result<Reply<A>> {
        decode(self.exchange(Outgoing::get(address, path, within)).await?)
    }

    /// Sends `GET path` and gets the answer's body as text.
    ///
    /// # Errors
    /// As [`HttpClient::post`].
    pub async fn get_text(
        &self,
        address: SocketAddr,
        path: &str,
        within: Duration,
    ) -> Result<Reply<String>> {
        text(self.exchange(Outgoing::get(address, path, within)).await?)
    }

    /// Closes the idle connections to an address and makes busy ones close
    /// when their exchange ends.
    pub fn drop_connections(&self, address: SocketAddr) {
        self.shared.connections.drop_pool(address);
    }

    /// Sends one request and reads the whole answer.
    async fn exchange(&self, outgoing: Outgoing<'_>) -> Result<Reply<Bytes>> {
        let deadline = Instant::now() + outgoing.within;
        let slot = self.shared.connections.slot(outgoing.address)?;
        let permit = timeout_at(deadline, slot.permits.acquire())
            .await
            .map_err(|_| Error::not_sent("every connection was busy until the time limit"))?
            .map_err(Error::not_sent)?;
        let response = self.send(&slot.pool, outgoing, deadline).await?;
        let reply = self.read_answer(response, deadline).await;
        self.let_connection_return(&slot).await;
        drop(permit);
        reply
    }

    /// Keeps a permit for a moment if most are in use, so that the next request
    /// finds the connection of the one that has just ended.
    async fn let_connection_return(&self, slot: &Slot) {
        let max = self.shared.options.max_connections_per_address;
        if 2 * slot.permits.available_permits() < max {
            sleep(RETURN_PAUSE).await;
        }
    }

    /// Sends a request and waits for the head of the answer.
    async fn send(
        &self,
        pool: &Pool,
        outgoing: Outgoing<'_>,
        deadline: Instant,
    ) -> Result<Response> {
        let mark = SendMark::default();
        let connect_deadline = Instant::now() + self.shared.options.connect_timeout;
        let sending = self.call(pool, outgoing, mark.clone());
        tokio::pin!(sending);
        // The library ignores its own connect timeout, so it is kept here.
        let early = timeout_at(connect_deadline.min(deadline), &mut sending).await;
        let result = match early {
            Ok(result) => result,
            Err(_) if mark.revoke() => {
                return Err(Error::not_sent("no connection within the time limit"));
            }
            Err(_) => timeout_at(deadline, &mut sending)
                .await
                .map_err(|_| Error::outcome_unknown("no answer within the time limit"))?,
        };
        result.map_err(|cause| classify(cause, &mark))
    }

    /// Builds the library's request and its future.
    fn call(
        &self,
        pool: &Pool,
        outgoing: Outgoing<'_>,
        mark: SendMark,
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
        request.body(MarkedBody::new(outgoing.body, mark)).send()
    }

    async fn read_answer(&self, response: Response, deadline: Instant) -> Result<Reply<Bytes>> {
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), self.shared.options.max_answer_bytes);
        let collected = timeout_at(deadline, collect(body)).await.map_err(|_| {
            Error::outcome_unknown("the answer was not whole within the time limit")
        })?;
        Ok(Reply {
            status,
            body: collected?,
        })
    }
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The options hold the credential, which is not to be logged.
        f.debug_struct("HttpClient").finish_non_exhaustive()
    }
}

impl<'a> Outgoing<'a> {
    fn post<Q: Serialize>(
        address: SocketAddr,
        path: &'a str,
        body: &Q,
        within: Duration,
    ) -> Result<Self> {
        let body = serde_json::to_vec(body).map_err(Error::not_sent)?;
        Ok(Self {
            address,
            method: Method::POST,
            path,
            header: None,
            body: body.into(),
            within,
        })
    }

    fn get(address: SocketAddr, path: &'a str, within: Duration) -> Self {
        Self {
            address,
            method: Method::GET,
            path,
            header: None,
            body: Bytes::new(),
            within,
        }
    }
}

fn bearer(credential: &str) -> Result<HeaderValue> {
    let mut value = HeaderValue::from_str(&format!("Bearer {credential}"))
        .map_err(|_| Error::io("the credential holds characters that a header cannot hold"))?;
    value.set_sensitive(true);
    Ok(value)
}

/// Turns an error of the library into one that says whether the request left.
fn classify(cause: ClientError, mark: &SendMark) -> Error {
    if mark.revoke() {
        Error::not_sent(cause)
    } else {
        Error::outcome_unknown(cause)
    }
}

async fn collect(body: Limited<Body>) -> Result<Bytes> {
    match body.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(cause) if cause.is::<LengthLimitError>() => {
            Err(Error::codec("the answer is too large"))
        }
        Err(cause) => Err(Error::outcome_unknown(format!(
            "the answer was cut: {cause}"
        ))),
    }
}

fn decode<A: DeserializeOwned>(reply: Reply<Bytes>) -> Result<Reply<A>> {
    let status = reply.status;
    let named = |cause| Error::codec(format!("the answer with status {status}: {cause}"));
    let body = serde_json::from_slice(&reply.body).map_err(named)?;
    Ok(Reply { status, body })
}

fn text(reply: Reply<Bytes>) -> Result<Reply<String>> {
    let status = reply.status;
    let body = String::from_utf8(reply.body.into());
    let named = |cause| Error::codec(format!("the answer with status {status}: {cause}"));
    let body = body.map_err(named)?;
    Ok(Reply { status, body })
}
