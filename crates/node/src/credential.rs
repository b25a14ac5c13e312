//! The check of the operators' bearer credential.

use hornbeam_core::event::Event;
use hornbeam_core::log_event;
use volo_http::http::HeaderMap;
use volo_http::response::Response;

use crate::reply;

/// Checks the bearer credential of a request and gets the answer 401 if it is
/// missing or wrong. Without an expected credential every request is refused.
pub(crate) fn refusal(headers: &HeaderMap, expected: Option<&str>, path: &str) -> Option<Response> {
    // `is_authorized` accepts every request if no credential is expected.
    let matched = expected.is_some() && hornbeam_http::is_authorized(headers, expected);
    if matched {
        return None;
    }
    log_event!(Event::CredentialRefused, path = path; "operator credential missing or wrong");
    let message = "The operator credential is missing or wrong.";
    Some(reply::text(401, message))
}
