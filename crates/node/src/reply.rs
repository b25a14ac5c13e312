//! Reading of HTTP bodies and building of HTTP answers.

use std::time::Duration;

use hornbeam_core::api::operator::CheckAnswer;
use hornbeam_http::{BodyLimits, BodyRejection};
use hornbeam_timer::TimerService;
use http_body_util::{BodyExt, Limited};
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
    let body = Limited::new(request.into_body(), max_bytes);
    let reading = collect(body);
    timer
        .timeout(BODY_TIMEOUT, reading)
        .await
        .unwrap_or(Err(BodyError::Late))
}

/// Collects the frames of a body and keeps the ones before an error, because
/// the request id can often be read from them.
async fn collect(mut body: Limited<Body>) -> Result<Vec<u8>, BodyError> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
            Err(cause) if cause.is::<http_body_util::LengthLimitError>() => {
                return Err(BodyError::TooLarge(bytes));
            }
            Err(cause) => return Err(BodyError::Broken(cause.to_string())),
        }
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
