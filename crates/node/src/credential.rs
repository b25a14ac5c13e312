//! The operators' bearer credential.

use hornbeam_core::event::Event;
use hornbeam_core::log_event;
use volo_http::http::{HeaderMap, header};
use volo_http::response::Response;

use crate::reply;

const SCHEME: &str = "Bearer ";

/// Checks the bearer credential of a request and gets the answer 401 if it is
/// missing or wrong. Without an expected credential every request is refused.
pub(crate) fn refusal(headers: &HeaderMap, expected: Option<&str>, path: &str) -> Option<Response> {
    let presented = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(SCHEME));
    let matched = presented
        .zip(expected)
        .is_some_and(|(presented, expected)| equal(presented.as_bytes(), expected.as_bytes()));
    if matched {
        return None;
    }
    log_event!(Event::CredentialRefused, path = path; "operator credential missing or wrong");
    let message = "The operator credential is missing or wrong.";
    Some(reply::text(401, message))
}

/// Compares two byte strings in a time that depends only on their lengths, so
/// that the answer time does not reveal a matching prefix.
fn equal(left: &[u8], right: &[u8]) -> bool {
    if left.len() != right.len() {
        return false;
    }
    let pairs = left.iter().zip(right);
    let difference = pairs.fold(0_u8, |sum, (a, b)| sum | (a ^ b));
    std::hint::black_box(difference) == 0
}
