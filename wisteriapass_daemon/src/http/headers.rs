//! Reading request headers.

use tiny_http::Request;

/// Returns the value of a request's header, the name in any case.
pub fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|h| h.value.as_str())
}
