//! HTTP endpoints for readiness probes and metrics.

use std::{rc::Rc, time::Duration};

use bytes::BytesMut;
use reelreel_http::{HttpStream, RequestHead, ResponseHead};
use tokio::net::{TcpListener, TcpStream};

use crate::traffic::TrafficState;

/// Maximum size of a probe's request head.
const HEAD_LIMIT: usize = 8 * 1024;

/// How long a probe's connection may be idle.
const PROBE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Path of the metrics endpoint.
pub const METRICS_PATH: &str = "/metrics";

/// Serves the readiness endpoint: whether the host should get new connections.
pub async fn serve_readiness(traffic: Rc<TrafficState>, listener: TcpListener) {
    let handler = |traffic: &TrafficState, head: &RequestHead| {
        let path = traffic.shared.codecs.request.readiness_path();
        let ready = traffic.serves_all_routes() && !traffic.shared.is_stopping();
        match (head.target == path, ready) {
            (false, _) => (404, String::new()),
            (true, true) => (200, String::from("ready\n")),
            (true, false) => (503, String::from("not ready\n")),
        }
    };
    serve(traffic, listener, handler).await;
}

/// Serves the metrics endpoint.
pub async fn serve_metrics(traffic: Rc<TrafficState>, listener: TcpListener) {
    let handler = |traffic: &TrafficState, head: &RequestHead| match head.target.as_str() {
        METRICS_PATH => (200, traffic.shared.metrics.encode()),
        _ => (404, String::new()),
    };
    serve(traffic, listener, handler).await;
}

type ProbeHandler = fn(&TrafficState, &RequestHead) -> (u16, String);

async fn serve(traffic: Rc<TrafficState>, listener: TcpListener, handler: ProbeHandler) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                tokio::task::spawn_local(serve_probe(Rc::clone(&traffic), socket, handler));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_probe(traffic: Rc<TrafficState>, socket: TcpStream, handler: ProbeHandler) {
    let Ok(mut stream) = HttpStream::new(socket) else { return };
    loop {
        let read = stream.read_request_head(HEAD_LIMIT);
        let Ok(Ok(head)) = tokio::time::timeout(PROBE_IDLE_TIMEOUT, read).await else { return };
        let (status, text) = handler(&traffic, &head);
        let keep_connection = head.keeps_connection() && !traffic.shared.is_stopping();
        let mut response = ResponseHead::new(status);
        response.fields.push("Content-Type", "text/plain; version=0.0.4");
        response.fields.push("Content-Length", text.len().to_string());
        if !keep_connection {
            response.fields.push("Connection", "close");
        }
        let mut bytes = BytesMut::with_capacity(128 + text.len());
        response.write_to(&mut bytes);
        bytes.extend_from_slice(text.as_bytes());
        if stream.write(&bytes).await.is_err() || !keep_connection {
            return;
        }
    }
}
