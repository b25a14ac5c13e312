//! One request at the answering side.

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

/// Time that a caller may take to make room for more of its answer.
const ANSWER_STALL: Duration = Duration::from_secs(10);

/// Bodies that the server holds at once while they arrive, as a multiple of
/// the largest message.
const MAX_BUFFERED_MESSAGES: usize = 8;

/// Scheme of the authorization header.
const SCHEME: &[u8] = b"Bearer ";

/// `Shared` is what all requests of a server share.
pub(crate) struct Shared<S> {
    service: Arc<S>,
    pub(crate) options: ServerOptions,
    /// Bytes that may still be buffered for bodies that arrive.
    memory: Arc<Semaphore>,
}

impl<S> Shared<S> {
    pub(crate) fn new(service: Arc<S>, options: ServerOptions) -> Self {
        let buffered_bytes = options
            .max_message_bytes
            .saturating_mul(MAX_BUFFERED_MESSAGES);
        Self {
            service,
            options,
            memory: Arc::new(Semaphore::new(buffered_bytes.min(Semaphore::MAX_PERMITS))),
        }
    }
}

/// `Refusal` is an answer that says that the request had no effect.
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

/// `End` is how a request ended.
enum End {
    Answer(Bytes),
    Refused(Refusal),
    Reset(Reason),
}

/// Handles one request and sends its answer.
pub(crate) async fn handle<S: Service>(
    shared: Arc<Shared<S>>,
    request: Request<RecvStream>,
    mut response: SendResponse<Bytes>,
) {
    let end = {
        let handling = find_end(&shared, request);
        tokio::select! {
            end = handling => end,
            // The caller has gone away.
            _ = poll_fn(|context| response.poll_reset(context)) => return,
        }
    };
    // An error says that the caller has gone away, so there is nobody to tell.
    let _ = match end {
        End::Answer(body) => send(&mut response, StatusCode::OK, body).await,
        End::Refused(refusal) => {
            let mut text = refusal.text.into_bytes();
            text.truncate(MAX_REFUSAL_BYTES);
            send(&mut response, refusal.status, text.into()).await
        }
        End::Reset(reason) => {
            response.send_reset(reason);
            Ok(())
        }
    };
}

async fn find_end<S: Service>(shared: &Shared<S>, request: Request<RecvStream>) -> End {
    if !is_authorized(request.headers(), shared.options.credential.as_deref()) {
        log_event!(Event::CredentialRefused; "a request on a link had no right credential");
        let text = "the credential is missing or wrong";
        return End::Refused(Refusal::new(StatusCode::UNAUTHORIZED, text));
    }
    match request.uri().path() {
        PING_PATH => End::Answer(Bytes::new()),
        CALL_PATH => answer(shared, request.into_body()).await,
        _ => End::Refused(Refusal::new(StatusCode::NOT_FOUND, "no such path")),
    }
}

async fn answer<S: Service>(shared: &Shared<S>, mut body: RecvStream) -> End {
    let request = match read_request(shared, &mut body).await {
        Ok(request) => request,
        Err(end) => return end,
    };
    match shared.service.handle(request).await {
        // The request took effect, so an answer that cannot be sent must not
        // look like a refusal.
        Ok(answer) => match encode(&answer, shared.options.max_message_bytes) {
            Ok(encoded) => End::Answer(encoded),
            Err(_) => End::Reset(Reason::INTERNAL_ERROR),
        },
        Err(cause) => End::Refused(Refusal::new(StatusCode::CONFLICT, cause.to_string())),
    }
}

async fn read_request<S: Service>(
    shared: &Shared<S>,
    body: &mut RecvStream,
) -> std::result::Result<S::Request, End> {
    let mut held: Option<OwnedSemaphorePermit> = None;
    let take = |bytes| hold(&shared.memory, &mut held, bytes);
    let reading = read_body(body, shared.options.max_message_bytes, take);
    let refused = |status, text: &str| Err(End::Refused(Refusal::new(status, text)));
    match timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(encoded)) => decode(&encoded).map_err(|cause| {
            let text = format!("the request cannot be decoded: {cause}");
            End::Refused(Refusal::new(StatusCode::BAD_REQUEST, text))
        }),
        Ok(Err(ReadError::TooLarge)) => {
            refused(StatusCode::PAYLOAD_TOO_LARGE, "the request is too large")
        }
        Ok(Err(ReadError::NoMemory)) => Err(End::Reset(Reason::REFUSED_STREAM)),
        Ok(Err(ReadError::Cut(_))) => Err(End::Reset(Reason::CANCEL)),
        Err(_) => refused(
            StatusCode::REQUEST_TIMEOUT,
            "the request did not arrive in time",
        ),
    }
}

/// Adds bytes to what a request holds of the memory for bodies.
fn hold(memory: &Arc<Semaphore>, held: &mut Option<OwnedSemaphorePermit>, bytes: usize) -> bool {
    let Ok(bytes) = u32::try_from(bytes) else {
        return false;
    };
    let Ok(more) = memory.clone().try_acquire_many_owned(bytes) else {
        return false;
    };
    match held {
        Some(held) => held.merge(more),
        None => *held = Some(more),
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

/// Sends a body as fast as the caller makes room for it, so that the task of
/// the request ends only when the whole answer is on its way.
async fn send_body(stream: &mut SendStream<Bytes>, mut body: Bytes) -> Result<()> {
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let capacity = timeout(
            ANSWER_STALL,
            poll_fn(|context| stream.poll_capacity(context)),
        );
        let room_bytes = match capacity.await {
            Ok(Some(Ok(room_bytes))) => room_bytes,
            Ok(Some(Err(cause))) => return Err(Error::outcome_unknown(cause)),
            Ok(None) => return Err(Error::outcome_unknown("the stream has ended")),
            Err(_) => {
                stream.send_reset(Reason::CANCEL);
                return Err(Error::outcome_unknown(
                    "the caller does not read its answer",
                ));
            }
        };
        let part = body.split_to(room_bytes.min(body.len()));
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
