//! Bearer credentials.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use subtle::ConstantTimeEq;

/// Scheme of the authorization header; its case does not matter (RFC 7235).
const SCHEME: &[u8] = b"Bearer ";

/// Checks the bearer credential of a request. The comparison takes the same
/// time for every wrong credential of the right length, so that it cannot be
/// guessed byte by byte. Without an expected credential everything passes.
pub fn is_authorized(headers: &HeaderMap, expected: Option<&str>) -> bool {
    let Some(expected) = expected else {
        return true;
    };
    let Some(header) = headers.get(AUTHORIZATION) else {
        return false;
    };
    let Some((scheme, credential)) = header.as_bytes().split_at_checked(SCHEME.len()) else {
        return false;
    };
    scheme.eq_ignore_ascii_case(SCHEME) && bool::from(credential.ct_eq(expected.as_bytes()))
}
