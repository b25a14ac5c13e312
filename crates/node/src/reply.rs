//! Reading of HTTP bodies and building of HTTP answers.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::Findings;
use hornbeam_core::api::operator::CheckAnswer;
use hornbeam_http::{BodyLimits, BodyRejection};
use hornbeam_timer::TimerService;
use http_body_util::BodyExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use volo_http::body::Body;
use volo_http::http::HeaderValue;
use volo_http::http::header::CONTENT_TYPE;
use volo_http::request::Request;
use volo_http::response::Response;

/// Time within which a body must arrive after its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes of a refused body that are kept to find its request id.
const PREFIX_BYTES: usize = 1 << 10;

/// `BodyBudget` bounds the bytes of all bodies that a host holds at once. Each
/// connection is bounded too, but their number times the largest body is more
/// than a host's memory.
#[derive(Clone, Debug)]
pub(crate) struct BodyBudget {
    free_bytes: Arc<Semaphore>,
}

impl BodyBudget {
    /// Creates a budget.
    pub(crate) fn new(max_bytes: usize) -> Self {
        let free_bytes = Semaphore::new(max_bytes.min(Semaphore::MAX_PERMITS));
        Self {
            free_bytes: Arc::new(free_bytes),
        }
    }

    /// Adds bytes to what a body holds; false if there is no room.
    fn hold(&self, held: &mut Option<OwnedSemaphorePermit>, bytes: usize) -> bool {
        let taking = u32::try_from(bytes).ok().and_then(|bytes| {
            let free_bytes = Arc::clone(&self.free_bytes);
            free_bytes.try_acquire_many_owned(bytes).ok()
        });
        match (taking, held) {
            (None, _) => return false,
            (Some(more), Some(held)) => held.merge(more),
            (Some(more), held) => *held = Some(more),
        }
        true
    }
}

/// `HeldBody` is a body with its part of the [`BodyBudget`], which it gives
/// back when it is dropped.
#[derive(Debug, Default)]
pub(crate) struct HeldBody {
    /// Content.
    pub(crate) bytes: Vec<u8>,
    permit: Option<OwnedSemaphorePermit>,
}

impl HeldBody {
    /// Forgets all but the start of the body, of which `data` is the next
    /// part, and gives its memory back.
    fn refuse(&mut self, data: &[u8]) {
        self.bytes.truncate(PREFIX_BYTES);
        let missing_bytes = PREFIX_BYTES - self.bytes.len();
        let kept = &data[..data.len().min(missing_bytes)];
        self.bytes.extend_from_slice(kept);
        self.bytes.shrink_to_fit();
        self.permit = None;
    }
}

/// `BodyError` says why a body could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum BodyError {
    /// The body is over its limit; holds its first bytes.
    TooLarge(Vec<u8>),
    /// The host holds too many bodies now; holds the first bytes of this one.
    NoRoom(Vec<u8>),
    /// The body did not arrive in time.
    Late,
    /// The connection failed.
    Broken(String),
}

/// Reads a body of at most `max_bytes`.
///
/// # Errors
/// If it is too large, late or incomplete, or the host has no room for it.
pub(crate) async fn read_body(
    timer: &TimerService,
    request: Request,
    max_bytes: usize,
    budget: &BodyBudget,
) -> Result<HeldBody, BodyError> {
    let reading = collect(request.into_body(), max_bytes, budget);
    timer
        .timeout(BODY_TIMEOUT, reading)
        .await
        .unwrap_or(Err(BodyError::Late))
}

/// Collects the frames of a body. What is over the limit is read and thrown
/// away up to twice the limit, because a caller that is still sending often
/// sees a reset connection instead of an early answer.
async fn collect(
    mut body: Body,
    max_bytes: usize,
    budget: &BodyBudget,
) -> Result<HeldBody, BodyError> {
    let mut whole = HeldBody::default();
    let mut total_bytes = 0;
    let mut has_room = true;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|cause| BodyError::Broken(cause.to_string()))?;
        let data = frame.into_data().unwrap_or_default();
        total_bytes += data.len();
        if total_bytes > max_bytes.saturating_mul(2) {
            break;
        }
        has_room = has_room && total_bytes <= max_bytes;
        has_room = has_room && budget.hold(&mut whole.permit, data.len());
        if has_room {
            whole.bytes.extend_from_slice(&data);
        } else {
            whole.refuse(&data);
        }
    }
    if total_bytes > max_bytes {
        return Err(BodyError::TooLarge(whole.bytes));
    }
    if !has_room {
        return Err(BodyError::NoRoom(whole.bytes));
    }
    Ok(whole)
}

/// Reads and decodes a JSON body.
///
/// # Errors
/// The answer to send instead, with all findings.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request,
    max_bytes: usize,
) -> Result<T, Box<Response>> {
    let limits = BodyLimits {
        max_bytes,
        timeout: BODY_TIMEOUT,
    };
    let rejected = |rejection: BodyRejection| {
        let findings = rejection.findings;
        Box::new(json(rejection.status, &CheckAnswer { findings }))
    };
    hornbeam_http::read_json(request, &limits)
        .await
        .map_err(rejected)
}

/// Builds an answer with a JSON body.
pub(crate) fn json<T: Serialize>(status: u16, body: &T) -> Response {
    hornbeam_http::json_answer(status, body)
}

/// Builds an answer with a text body.
pub(crate) fn text(status: u16, body: impl Into<String>) -> Response {
    hornbeam_http::text_answer(status, body.into())
}

/// Builds the answer to a body that could not be read.
pub(crate) fn refused_body(cause: &BodyError) -> Response {
    match cause {
        BodyError::TooLarge(_) => text(413, "the body is too large\n"),
        BodyError::NoRoom(_) => text(503, "the host holds too many bodies now\n"),
        BodyError::Late => text(408, "the body did not arrive in time\n"),
        BodyError::Broken(cause) => text(400, format!("the body was cut: {cause}\n")),
    }
}

/// Builds the answer to a body that is not as documented.
pub(crate) fn invalid(findings: Findings) -> Response {
    json(400, &CheckAnswer { findings })
}

/// Joins findings for one line of the log.
pub(crate) fn sentences(findings: &Findings) -> String {
    let each = findings.iter().map(ToString::to_string);
    each.collect::<Vec<_>>().join("; ")
}

/// Builds an answer with a text that is JSON already.
pub(crate) fn json_text(status: u16, body: &str) -> Response {
    let mut response = text(status, body);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
