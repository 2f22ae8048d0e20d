//! Engines that send heads which are not a response by RFC 9112.

use crate::{
    broken_off_answers::PairedSite, cut_response::ClientView, engine::EngineBehaviour,
    site::MODEL_NAME,
};

/// The body of requests and of whole responses: an event, so that it is one on streaming routes too.
const BODY: &str = "id: 0\ndata: hello\n\n";

struct RouteCase {
    path: &'static str,
    model: bool,
    /// Whether another engine may run the request.
    may_run_again: bool,
}

const ROUTES: &[RouteCase] = &[
    RouteCase { path: "/single/a", model: false, may_run_again: false },
    RouteCase { path: "/safe/a", model: false, may_run_again: true },
    RouteCase { path: "/stream/a", model: true, may_run_again: false },
    RouteCase { path: "/resumable/a", model: true, may_run_again: true },
];

/// Sends a request whose first response begins with these lines; returns what is wrong with the
/// client's one, if anything.
fn find_mistake(
    site: &PairedSite,
    route: &RouteCase,
    lines: &'static str,
    id: &str,
) -> Option<String> {
    site.set_behaviour(EngineBehaviour::MalformedHead(lines));
    let model = if route.model { format!("X-Model: {MODEL_NAME}\r\n") } else { String::new() };
    let received = site.host.post(route.path, &format!("X-Request: {id}\r\n{model}"), BODY);
    let view = ClientView::parse(&received);
    let expected = if route.may_run_again {
        view.looks_whole() && view.body == BODY
    } else {
        view.status == 502
    };
    (!expected).then(|| format!("{}, {lines:?}: {received:?}", route.path))
}

/// Checks all routes with each of the `heads`, with hosts and engines of its own.
fn check_heads(name: &str, heads: &[&'static str]) {
    let mut mistakes = Vec::new();
    for (number, lines) in heads.iter().enumerate() {
        let site = PairedSite::start(&format!("{name}-{number}"));
        for (index, route) in ROUTES.iter().enumerate() {
            let id = format!("{name}-{number}-{index}");
            mistakes.extend(find_mistake(&site, route, lines, &id));
        }
    }
    assert!(mistakes.is_empty(), "{} mistakes:\n{}", mistakes.len(), mistakes.join("\n"));
}

/// Guards against a response of status 000, or another one outside of 100 to 599, that reaches a client.
#[test]
fn a_status_outside_of_100_to_599_is_not_relayed() {
    let heads = ["HTTP/1.1 000 None", "HTTP/1.1 000", "HTTP/1.1 099 Low", "HTTP/1.1 600 High"];
    check_heads("malformed-status", &heads);
}

/// Guards against a response that reaches a client although the name of a field in its head has a
/// blank or a control byte.
#[test]
fn a_field_name_with_a_blank_or_control_byte_is_not_relayed() {
    let heads = [
        "HTTP/1.1 200 OK\r\nX-A B: 1",
        "HTTP/1.1 200 OK\r\nX-A : 1",
        "HTTP/1.1 200 OK\r\n X-A: 1",
        "HTTP/1.1 200 OK\r\nX-A\u{1}B: 1",
        "HTTP/1.1 200 OK\r\nX-A\u{7f}: 1",
        "HTTP/1.1 200 OK\r\nContent-Length : 5",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding\u{1}: chunked",
    ];
    check_heads("malformed-field", &heads);
}
