//! Verification of bearer credentials.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use subtle::ConstantTimeEq;

/// Scheme of the authorization header, compared without case (RFC 7235).
const SCHEME: &[u8] = b"Bearer ";

/// Checks the bearer credential of a request. Credentials of the expected
/// length are compared in constant time, so that the credential cannot be
/// guessed byte by byte. Without an expected credential every request passes.
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
