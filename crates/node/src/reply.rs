//! Reading of HTTP bodies and building of HTTP answers.

use std::time::Duration;

use hornbeam_core::api::operator::CheckAnswer;
use hornbeam_http::{BodyLimits, BodyRejection};
use hornbeam_timer::TimerService;
use http_body_util::BodyExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

/// Time within which a body must arrive after its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// `BodyError` says why a body could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum BodyError {
    /// The body is over its limit; holds what arrived before it was reached.
    TooLarge(Vec<u8>),
    /// The body did not arrive in time.
    Late,
    /// The connection failed.
    Broken(String),
}

/// Reads a body of at most `max_bytes`.
///
/// # Errors
/// If it is too large, late or incomplete.
pub(crate) async fn read_body(
    timer: &TimerService,
    request: Request,
    max_bytes: usize,
) -> Result<Vec<u8>, BodyError> {
    let reading = collect(request.into_body(), max_bytes);
    timer
        .timeout(BODY_TIMEOUT, reading)
        .await
        .unwrap_or(Err(BodyError::Late))
}

/// Collects the frames of a body. What is over the limit is read and thrown
/// away up to twice the limit, because a caller that is still sending often
/// sees a reset connection instead of an early answer.
async fn collect(mut body: Body, max_bytes: usize) -> Result<Vec<u8>, BodyError> {
    let mut bytes = Vec::new();
    let mut total_bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|cause| BodyError::Broken(cause.to_string()))?;
        let data = frame.into_data().unwrap_or_default();
        total_bytes += data.len();
        if total_bytes <= max_bytes {
            bytes.extend_from_slice(&data);
        } else if total_bytes > max_bytes.saturating_mul(2) {
            break;
        }
    }
    if total_bytes > max_bytes {
        return Err(BodyError::TooLarge(bytes));
    }
    Ok(bytes)
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
        within: BODY_TIMEOUT,
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
