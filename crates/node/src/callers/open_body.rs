//! Responses whose bodies are delimited by their connections.

/// Returns whether a response's body ends with its connection: a cut body ends in the same way.
pub(super) fn is_delimited_by_connection<Body>(
    response: &ureq::http::Response<Body>,
    method: &str,
) -> bool {
    let has_no_body = method == "HEAD" || matches!(response.status().as_u16(), 204 | 304);
    let headers = response.headers();
    let is_framed =
        headers.contains_key("content-length") || headers.contains_key("transfer-encoding");
    !has_no_body && !is_framed
}
