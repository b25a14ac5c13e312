//! Reading of HTTP request bodies and building of HTTP answers.

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

/// Timeout of reading a body after its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of bytes of a refused body that are kept to find its request id.
const PREFIX_BYTES: usize = 1 << 10;

/// `BodyBudget` limits the bytes of all bodies that a host holds at once. The
/// limit of one body is not enough, because the number of connections times the
/// largest body exceeds a host's memory.
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

    /// Reserves further bytes for a body; false if the budget is exhausted.
    fn reserve(&self, held: &mut Option<OwnedSemaphorePermit>, bytes: usize) -> bool {
        let permit = u32::try_from(bytes).ok().and_then(|bytes| {
            let free_bytes = Arc::clone(&self.free_bytes);
            free_bytes.try_acquire_many_owned(bytes).ok()
        });
        match (permit, held) {
            (None, _) => return false,
            (Some(more), Some(held)) => held.merge(more),
            (Some(more), held) => *held = Some(more),
        }
        true
    }
}

/// `BufferedBody` is a body with its share of the [`BodyBudget`], which it
/// releases when it is dropped.
#[derive(Debug, Default)]
pub(crate) struct BufferedBody {
    /// Content.
    pub(crate) bytes: Vec<u8>,
    permit: Option<OwnedSemaphorePermit>,
}

impl BufferedBody {
    /// Discards all but the first bytes of the body, of which `data` is the next
    /// part, and releases its share of the budget.
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
    /// The body exceeds its limit; holds its first bytes.
    TooLarge(Vec<u8>),
    /// The budget of the host is exhausted; holds the first bytes of the body.
    OverBudget(Vec<u8>),
    /// The body did not arrive in time.
    TimedOut,
    /// The connection failed.
    ConnectionFailed(String),
}

/// Reads a body of at most `max_bytes`.
///
/// # Errors
/// If it is too large, late or incomplete, or the budget is exhausted.
pub(crate) async fn read_body(
    timer: &TimerService,
    request: Request,
    max_bytes: usize,
    budget: &BodyBudget,
) -> Result<BufferedBody, BodyError> {
    let reading = collect(request.into_body(), max_bytes, budget);
    timer
        .timeout(BODY_TIMEOUT, reading)
        .await
        .unwrap_or(Err(BodyError::TimedOut))
}

/// Collects the frames of a body. Bytes over the limit are read and discarded up
/// to twice the limit, because a caller that is still sending often sees a
/// connection reset instead of an early answer.
async fn collect(
    mut body: Body,
    max_bytes: usize,
    budget: &BodyBudget,
) -> Result<BufferedBody, BodyError> {
    let mut buffered = BufferedBody::default();
    let mut total_bytes = 0;
    let mut fits = true;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|cause| BodyError::ConnectionFailed(cause.to_string()))?;
        let data = frame.into_data().unwrap_or_default();
        total_bytes += data.len();
        if total_bytes > max_bytes.saturating_mul(2) {
            break;
        }
        fits = fits && total_bytes <= max_bytes;
        fits = fits && budget.reserve(&mut buffered.permit, data.len());
        if fits {
            buffered.bytes.extend_from_slice(&data);
        } else {
            buffered.refuse(&data);
        }
    }
    if total_bytes > max_bytes {
        return Err(BodyError::TooLarge(buffered.bytes));
    }
    if !fits {
        return Err(BodyError::OverBudget(buffered.bytes));
    }
    Ok(buffered)
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
    hornbeam_http::json_response(status, body)
}

/// Builds an answer with a text body.
pub(crate) fn text(status: u16, body: impl Into<String>) -> Response {
    hornbeam_http::text_response(status, body.into())
}

/// Builds the answer to a body that could not be read.
pub(crate) fn body_error(cause: &BodyError) -> Response {
    match cause {
        BodyError::TooLarge(_) => text(413, "the body is too large\n"),
        BodyError::OverBudget(_) => text(503, "the host holds too many bodies now\n"),
        BodyError::TimedOut => text(408, "the body did not arrive in time\n"),
        BodyError::ConnectionFailed(cause) => text(400, format!("the body was cut: {cause}\n")),
    }
}

/// Builds the answer to an invalid body.
pub(crate) fn invalid(findings: Findings) -> Response {
    json(400, &CheckAnswer { findings })
}

/// Joins findings for one log line.
pub(crate) fn join_findings(findings: &Findings) -> String {
    let each = findings.iter().map(ToString::to_string);
    each.collect::<Vec<_>>().join("; ")
}

/// Builds an answer with a text that is already JSON.
pub(crate) fn json_text(status: u16, body: &str) -> Response {
    let mut response = text(status, body);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
