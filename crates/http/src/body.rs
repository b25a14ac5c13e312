//! Request and response bodies of the server.

use std::time::Duration;

use hornbeam_core::{Finding, Findings, Place};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

/// Status for a body that is malformed or does not match the expected type.
const BAD_REQUEST: u16 = 400;
/// Status for a body that did not arrive within the time limit.
const REQUEST_TIMEOUT: u16 = 408;
/// Status for a body that exceeds the size limit.
const TOO_LARGE: u16 = 413;

/// `BodyLimits` are the limits of a request body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyLimits {
    /// Maximum size of a body in bytes; default 64 MiB.
    pub max_bytes: usize,
    /// Time within which the complete body must arrive; default 10 s.
    pub timeout: Duration,
}

impl Default for BodyLimits {
    fn default() -> Self {
        Self {
            max_bytes: 64 << 20,
            timeout: Duration::from_secs(10),
        }
    }
}

/// `BodyRejection` states why a request body was rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BodyRejection {
    /// HTTP status of the rejection: 400, 408 or 413.
    pub status: u16,
    /// The problems, each with its location.
    pub findings: Findings,
}

impl BodyRejection {
    fn for_whole_body(status: u16, message: impl Into<String>) -> Self {
        let finding = Finding::new(Place::body(""), message);
        Self {
            status,
            findings: vec![finding],
        }
    }
}

/// Reads and decodes the JSON body of a request.
///
/// # Errors
/// A rejection if the body is too large, arrives too slowly, is malformed or
/// does not match `T`.
pub async fn read_json<T: DeserializeOwned>(
    request: Request,
    limits: &BodyLimits,
) -> Result<T, BodyRejection> {
    let collecting = Limited::new(request.into_body(), limits.max_bytes).collect();
    let collected = tokio::time::timeout(limits.timeout, collecting)
        .await
        .map_err(|_| timed_out(limits))?
        .map_err(|cause| {
            if cause.is::<LengthLimitError>() {
                too_large(limits)
            } else {
                BodyRejection::for_whole_body(BAD_REQUEST, format!("The body was cut: {cause}."))
            }
        })?;
    parse_json(&collected.to_bytes())
}

/// Decodes a JSON body from a buffer.
///
/// # Errors
/// A rejection with the location of the first problem: the path of the field,
/// and the line and column in the text.
pub fn parse_json<T: DeserializeOwned>(text: &[u8]) -> Result<T, BodyRejection> {
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(|cause| {
        let path = cause.path().to_string();
        invalid_body(text, path, &cause.into_inner())
    })?;
    deserializer
        .end()
        .map_err(|cause| invalid_body(text, String::new(), &cause))?;
    Ok(value)
}

/// Builds a response with a JSON body. A status outside 100 to 999 or a value
/// that cannot be encoded gives status 500 with an empty body.
pub fn json_response<T: Serialize>(status: u16, value: &T) -> Response {
    match (StatusCode::from_u16(status), serde_json::to_vec(value)) {
        (Ok(status), Ok(body)) => build_response(status, "application/json", body.into()),
        _ => build_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            Body::empty(),
        ),
    }
}

/// Builds a response with a text body. A status outside 100 to 999 gives
/// status 500.
pub fn text_response(status: u16, text: String) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    build_response(status, "text/plain; charset=utf-8", text.into())
}

fn build_response(status: StatusCode, content_type: &'static str, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn timed_out(limits: &BodyLimits) -> BodyRejection {
    let timeout_ms = limits.timeout.as_millis();
    BodyRejection::for_whole_body(
        REQUEST_TIMEOUT,
        format!("The body must arrive within {timeout_ms} ms."),
    )
}

fn too_large(limits: &BodyLimits) -> BodyRejection {
    let max_bytes = limits.max_bytes;
    BodyRejection::for_whole_body(
        TOO_LARGE,
        format!("The body must not be larger than {max_bytes} bytes."),
    )
}

fn invalid_body(text: &[u8], path: String, cause: &serde_json::Error) -> BodyRejection {
    // `serde_path_to_error` gives the path of the root value as a single dot.
    let path = if path == "." { String::new() } else { path };
    let mut place = Place::body(path);
    place.line = u32::try_from(cause.line()).unwrap_or(u32::MAX);
    place.column = column_in_characters(text, cause.line(), cause.column());
    let finding = Finding::new(place, message_sentence(cause));
    BodyRejection {
        status: BAD_REQUEST,
        findings: vec![finding],
    }
}

/// Converts the column of `serde_json`, which counts bytes, to one that counts
/// characters.
fn column_in_characters(text: &[u8], line: usize, column_bytes: usize) -> u32 {
    let line = text
        .split(|byte| *byte == b'\n')
        .nth(line.saturating_sub(1));
    let line = line.unwrap_or_default();
    let before = &line[..column_bytes.min(line.len())];
    let characters = String::from_utf8_lossy(before).chars().count();
    u32::try_from(characters.max(1)).unwrap_or(u32::MAX)
}

/// Formats the message of `serde_json` as a sentence without the location,
/// which the finding holds separately.
fn message_sentence(cause: &serde_json::Error) -> String {
    let message = cause.to_string();
    let place = format!(" at line {} column {}", cause.line(), cause.column());
    let message = message.strip_suffix(&place).unwrap_or(&message);
    let mut characters = message.chars();
    let first = characters.next().map(|first| first.to_ascii_uppercase());
    first.into_iter().chain(characters).chain(['.']).collect()
}
