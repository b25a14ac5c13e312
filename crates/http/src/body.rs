//! Bodies of requests and answers at the server.

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

/// Status of a body that is not as documented.
const BAD_REQUEST: u16 = 400;
/// Status of a body that did not arrive in time.
const REQUEST_TIMEOUT: u16 = 408;
/// Status of a body over its size limit.
const TOO_LARGE: u16 = 413;

/// `BodyLimits` are the limits of a request body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyLimits {
    /// Largest body in bytes; default 64 MiB.
    pub max_bytes: usize,
    /// Time within which the whole body must arrive; default 10 s.
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

/// `BodyRejection` says why a request body was not accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BodyRejection {
    /// HTTP status that fits: 400, 408 or 413.
    pub status: u16,
    /// The problems, each with its place.
    pub findings: Findings,
}

impl BodyRejection {
    fn whole(status: u16, message: impl Into<String>) -> Self {
        let finding = Finding::new(Place::body(""), message);
        Self {
            status,
            findings: vec![finding],
        }
    }
}

/// Reads the JSON body of a request.
///
/// # Errors
/// A rejection if the body is too large, too slow or not as documented.
pub async fn read_json<T: DeserializeOwned>(
    request: Request,
    limits: &BodyLimits,
) -> Result<T, BodyRejection> {
    let collecting = Limited::new(request.into_body(), limits.max_bytes).collect();
    let collected = tokio::time::timeout(limits.timeout, collecting)
        .await
        .map_err(|_| late(limits))?
        .map_err(|cause| {
            if cause.is::<LengthLimitError>() {
                too_large(limits)
            } else {
                BodyRejection::whole(BAD_REQUEST, format!("The body was cut: {cause}."))
            }
        })?;
    parse_json(&collected.to_bytes())
}

/// Decodes a JSON body that is held in memory.
///
/// # Errors
/// A rejection with the place of the first problem: the path of the field, and
/// the line and column of the text.
pub fn parse_json<T: DeserializeOwned>(text: &[u8]) -> Result<T, BodyRejection> {
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(|cause| {
        let path = cause.path().to_string();
        not_as_documented(text, path, &cause.into_inner())
    })?;
    deserializer
        .end()
        .map_err(|cause| not_as_documented(text, String::new(), &cause))?;
    Ok(value)
}

/// Builds an answer with a JSON body. A status outside of 100 to 999 or a
/// value that cannot be encoded becomes status 500 with an empty body.
pub fn json_answer<T: Serialize>(status: u16, value: &T) -> Response {
    match (StatusCode::from_u16(status), serde_json::to_vec(value)) {
        (Ok(status), Ok(body)) => answer(status, "application/json", body.into()),
        _ => answer(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            Body::empty(),
        ),
    }
}

/// Builds an answer with a text body. A status outside of 100 to 999 becomes
/// status 500.
pub fn text_answer(status: u16, text: String) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer(status, "text/plain; charset=utf-8", text.into())
}

fn answer(status: StatusCode, content_type: &'static str, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn late(limits: &BodyLimits) -> BodyRejection {
    let timeout_ms = limits.timeout.as_millis();
    BodyRejection::whole(
        REQUEST_TIMEOUT,
        format!("The body must arrive within {timeout_ms} ms."),
    )
}

fn too_large(limits: &BodyLimits) -> BodyRejection {
    let max_bytes = limits.max_bytes;
    BodyRejection::whole(
        TOO_LARGE,
        format!("The body must not be larger than {max_bytes} bytes."),
    )
}

fn not_as_documented(text: &[u8], path: String, cause: &serde_json::Error) -> BodyRejection {
    // The path of the whole body is shown as one dot by the library.
    let path = if path == "." { String::new() } else { path };
    let mut place = Place::body(path);
    place.line = u32::try_from(cause.line()).unwrap_or(u32::MAX);
    place.column = column(text, cause.line(), cause.column());
    let finding = Finding::new(place, sentence(cause));
    BodyRejection {
        status: BAD_REQUEST,
        findings: vec![finding],
    }
}

/// Turns the library's column, counted in bytes, into one counted in
/// characters.
fn column(text: &[u8], line: usize, column_bytes: usize) -> u32 {
    let line = text
        .split(|byte| *byte == b'\n')
        .nth(line.saturating_sub(1));
    let line = line.unwrap_or_default();
    let before = &line[..column_bytes.min(line.len())];
    let characters = String::from_utf8_lossy(before).chars().count();
    u32::try_from(characters.max(1)).unwrap_or(u32::MAX)
}

/// Gets the library's message as a sentence without the place, which the
/// finding holds.
fn sentence(cause: &serde_json::Error) -> String {
    let message = cause.to_string();
    let place = format!(" at line {} column {}", cause.line(), cause.column());
    let message = message.strip_suffix(&place).unwrap_or(&message);
    let mut characters = message.chars();
    let first = characters.next().map(|first| first.to_ascii_uppercase());
    first.into_iter().chain(characters).chain(['.']).collect()
}
