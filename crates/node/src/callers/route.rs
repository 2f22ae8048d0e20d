//! Routes requests by method and path.

use std::{io, net::TcpStream};

use reelreel_core::request::{RefusalKind, RequestRefusal};
use serde_json::json;

use super::{
    CallerServer,
    connection::{HttpRequest, write_response},
    exchange, plain, refusal,
};
use crate::control::ControlQuery;

/// Responds to one request. An error means that the connection can not be reused.
pub(super) fn respond(
    server: &CallerServer,
    stream: &mut TcpStream,
    request: &HttpRequest,
) -> io::Result<()> {
    let head = &request.head;
    match (head.method.as_str(), head.path()) {
        ("POST", "/v1/completions") => exchange::serve_completion(server, stream, request, false),
        ("POST", "/v1/chat/completions") => {
            exchange::serve_completion(server, stream, request, true)
        }
        ("GET", "/v1/models") => list_models(server, stream, request),
        (_, "/v1/completions" | "/v1/chat/completions" | "/v1/models") => {
            let message = "this path does not take that method";
            let refusal = RequestRefusal::not_run(RefusalKind::BadRequest, message);
            refusal::refuse_with_status(stream, &refusal, 405, head.keep_alive)
        }
        _ => plain::forward(server, stream, request),
    }
}

fn list_models(
    server: &CallerServer,
    stream: &mut TcpStream,
    request: &HttpRequest,
) -> io::Result<()> {
    let Some(names) = server.control.query(ControlQuery::Models) else {
        let refusal = RequestRefusal::not_run(RefusalKind::NotReady, "the host is busy");
        return refusal::refuse(stream, &refusal, request.head.keep_alive);
    };
    let model = |name: &String| {
        let owner = name.split('/').nth(1).unwrap_or_default();
        json!({ "id": name, "object": "model", "owned_by": owner })
    };
    let data: Vec<_> = names.iter().map(model).collect();
    let body = json!({ "object": "list", "data": data }).to_string();
    let headers = [("content-type", "application/json")];
    write_response(stream, 200, &headers, body.as_bytes(), request.head.keep_alive)
}
