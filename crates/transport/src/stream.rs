//! Processing of one request on the server side.

use std::future::poll_fn;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use hornbeam_core::event::Event;
use hornbeam_core::{Error, Result, log_event};
use http::header::AUTHORIZATION;
use http::{HeaderMap, Request, Response, StatusCode};
use subtle::ConstantTimeEq;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::connection::MAX_REFUSAL_BYTES;
use crate::message::{CALL_PATH, PING_PATH, ReadError, decode, encode, read_body};
use crate::server::{ServerOptions, Service};

/// Time within which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which a caller must grant flow control capacity for more of its
/// response.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Buffer space for all request bodies that are being received, as a multiple
/// of the maximum message size.
const MAX_BUFFERED_MESSAGES: usize = 8;

/// Scheme of the authorization header.
const SCHEME: &[u8] = b"Bearer ";

/// `ServerState` is the state that all requests of a server share.
pub(crate) struct ServerState<S> {
    service: Arc<S>,
    pub(crate) options: ServerOptions,
    /// One permit per byte that may still be buffered for incoming bodies.
    buffer_permits: Arc<Semaphore>,
}

impl<S> ServerState<S> {
    pub(crate) fn new(service: Arc<S>, options: ServerOptions) -> Self {
        let buffered_bytes = options
            .max_message_bytes
            .saturating_mul(MAX_BUFFERED_MESSAGES);
        Self {
            service,
            options,
            buffer_permits: Arc::new(Semaphore::new(buffered_bytes.min(Semaphore::MAX_PERMITS))),
        }
    }
}

/// `Refusal` is a response that states that the request had no effect.
struct Refusal {
    status: StatusCode,
    text: String,
}

impl Refusal {
    fn new(status: StatusCode, text: impl Into<String>) -> Self {
        let text = text.into();
        Self { status, text }
    }
}

/// `RequestOutcome` is the result of processing one request.
enum RequestOutcome {
    Response(Bytes),
    Refused(Refusal),
    Reset(Reason),
}

/// Handles one request and sends its response.
pub(crate) async fn handle<S: Service>(
    state: Arc<ServerState<S>>,
    request: Request<RecvStream>,
    mut response: SendResponse<Bytes>,
) {
    let outcome = {
        let handling = process(&state, request);
        tokio::select! {
            outcome = handling => outcome,
            // The caller has cancelled the stream or disconnected.
            _ = poll_fn(|context| response.poll_reset(context)) => return,
        }
    };
    // An error means that the caller can no longer receive a response.
    let _ = match outcome {
        RequestOutcome::Response(body) => send(&mut response, StatusCode::OK, body).await,
        RequestOutcome::Refused(refusal) => {
            let mut text = refusal.text.into_bytes();
            text.truncate(MAX_REFUSAL_BYTES);
            send(&mut response, refusal.status, text.into()).await
        }
        RequestOutcome::Reset(reason) => {
            response.send_reset(reason);
            Ok(())
        }
    };
}

async fn process<S: Service>(
    state: &ServerState<S>,
    request: Request<RecvStream>,
) -> RequestOutcome {
    if !is_authorized(request.headers(), state.options.credential.as_deref()) {
        log_event!(Event::CredentialRefused; "link request rejected: credential missing or wrong");
        let text = "the credential is missing or wrong";
        return RequestOutcome::Refused(Refusal::new(StatusCode::UNAUTHORIZED, text));
    }
    match request.uri().path() {
        PING_PATH => RequestOutcome::Response(Bytes::new()),
        CALL_PATH => call_service(state, request.into_body()).await,
        _ => RequestOutcome::Refused(Refusal::new(StatusCode::NOT_FOUND, "no such path")),
    }
}

async fn call_service<S: Service>(state: &ServerState<S>, mut body: RecvStream) -> RequestOutcome {
    let request = match read_request(state, &mut body).await {
        Ok(request) => request,
        Err(outcome) => return outcome,
    };
    match state.service.handle(request).await {
        // The request took effect, so a response that cannot be encoded must
        // not look like a refusal.
        Ok(answer) => match encode(&answer, state.options.max_message_bytes) {
            Ok(encoded) => RequestOutcome::Response(encoded),
            Err(_) => RequestOutcome::Reset(Reason::INTERNAL_ERROR),
        },
        Err(cause) => {
            RequestOutcome::Refused(Refusal::new(StatusCode::CONFLICT, cause.to_string()))
        }
    }
}

async fn read_request<S: Service>(
    state: &ServerState<S>,
    body: &mut RecvStream,
) -> std::result::Result<S::Request, RequestOutcome> {
    let mut reserved: Option<OwnedSemaphorePermit> = None;
    let reserve = |bytes| reserve_buffer(&state.buffer_permits, &mut reserved, bytes);
    let reading = read_body(body, state.options.max_message_bytes, reserve);
    let refused = |status, text: &str| Err(RequestOutcome::Refused(Refusal::new(status, text)));
    match timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(encoded)) => decode(&encoded).map_err(|cause| {
            let text = format!("the request cannot be decoded: {cause}");
            RequestOutcome::Refused(Refusal::new(StatusCode::BAD_REQUEST, text))
        }),
        Ok(Err(ReadError::TooLarge)) => {
            refused(StatusCode::PAYLOAD_TOO_LARGE, "the request is too large")
        }
        Ok(Err(ReadError::BufferFull)) => Err(RequestOutcome::Reset(Reason::REFUSED_STREAM)),
        Ok(Err(ReadError::Truncated(_))) => Err(RequestOutcome::Reset(Reason::CANCEL)),
        Err(_) => refused(
            StatusCode::REQUEST_TIMEOUT,
            "the request did not arrive in time",
        ),
    }
}

/// Reserves further bytes of the body buffer for a request. Returns false if
/// the buffer is exhausted.
fn reserve_buffer(
    buffer_permits: &Arc<Semaphore>,
    reserved: &mut Option<OwnedSemaphorePermit>,
    bytes: usize,
) -> bool {
    let Ok(bytes) = u32::try_from(bytes) else {
        return false;
    };
    let Ok(more) = buffer_permits.clone().try_acquire_many_owned(bytes) else {
        return false;
    };
    match reserved {
        Some(reserved) => reserved.merge(more),
        None => *reserved = Some(more),
    }
    true
}

async fn send(response: &mut SendResponse<Bytes>, status: StatusCode, body: Bytes) -> Result<()> {
    let mut head = Response::new(());
    *head.status_mut() = status;
    let is_empty = body.is_empty();
    let mut stream = response
        .send_response(head, is_empty)
        .map_err(Error::outcome_unknown)?;
    if is_empty {
        return Ok(());
    }
    send_body(&mut stream, body).await
}

/// Sends a body as the caller grants flow control capacity, so that the task of
/// the request ends only when the complete response has been handed to h2.
async fn send_body(stream: &mut SendStream<Bytes>, mut body: Bytes) -> Result<()> {
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let capacity = timeout(
            RESPONSE_STALL_TIMEOUT,
            poll_fn(|context| stream.poll_capacity(context)),
        );
        let capacity_bytes = match capacity.await {
            Ok(Some(Ok(capacity_bytes))) => capacity_bytes,
            Ok(Some(Err(cause))) => return Err(Error::outcome_unknown(cause)),
            Ok(None) => return Err(Error::outcome_unknown("the stream has ended")),
            Err(_) => {
                stream.send_reset(Reason::CANCEL);
                return Err(Error::outcome_unknown(
                    "the caller does not read its response",
                ));
            }
        };
        let part = body.split_to(capacity_bytes.min(body.len()));
        stream
            .send_data(part, body.is_empty())
            .map_err(Error::outcome_unknown)?;
    }
    Ok(())
}

fn is_authorized(headers: &HeaderMap, expected: Option<&str>) -> bool {
    let Some(expected) = expected else {
        return true;
    };
    headers
        .get(AUTHORIZATION)
        .and_then(|header| header.as_bytes().strip_prefix(SCHEME))
        .is_some_and(|credential| credential.ct_eq(expected.as_bytes()).into())
}
