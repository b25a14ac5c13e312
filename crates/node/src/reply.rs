//! Reading of HTTP bodies and building of HTTP answers.

use std::time::Duration;

use hornbeam_timer::TimerService;
use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::http::{HeaderValue, StatusCode, header};
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
/// The answer to send instead.
pub(crate) async fn read_json<T: DeserializeOwned>(
    timer: &TimerService,
    request: Request,
    max_bytes: usize,
) -> Result<T, Response> {
    let bytes = match read_body(timer, request, max_bytes).await {
        Ok(bytes) => bytes,
        Err(BodyError::TooLarge(_)) => return Err(text(413, "The body is too large.")),
        Err(BodyError::Late) => return Err(text(408, "The body did not arrive in time.")),
        Err(BodyError::Broken(cause)) => return Err(text(400, cause)),
    };
    serde_json::from_slice(&bytes).map_err(|cause| text(400, format!("The body: {cause}")))
}

/// Builds an answer with a JSON body.
pub(crate) fn json<T: Serialize>(status: u16, body: &T) -> Response {
    match serde_json::to_vec(body) {
        Ok(bytes) => respond(status, "application/json", bytes),
        Err(cause) => text(500, format!("The answer cannot be encoded: {cause}")),
    }
}

/// Builds an answer with a text body.
pub(crate) fn text(status: u16, body: impl Into<String>) -> Response {
    respond(
        status,
        "text/plain; charset=utf-8",
        body.into().into_bytes(),
    )
}

fn respond(status: u16, content_type: &'static str, body: Vec<u8>) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let content_type = HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
