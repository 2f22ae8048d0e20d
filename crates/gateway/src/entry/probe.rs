//! What the balancer and the monitoring ask.

use std::{rc::Rc, time::Duration};

use bytes::BytesMut;
use reelreel_http::{HttpStream, RequestHead, ResponseHead};
use tokio::net::{TcpListener, TcpStream};

use crate::entry::TrafficState;

/// The longest head of a probe.
const HEAD_LIMIT: usize = 8 * 1024;

/// How long a probe's connection may rest.
const PROBE_REST: Duration = Duration::from_secs(30);

/// How long to wait after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The path under which metrics are served.
pub const METRICS_PATH: &str = "/metrics";

/// Answers whether the host takes new connections.
pub async fn serve_readiness(traffic: Rc<TrafficState>, listener: TcpListener) {
    let answer = |traffic: &TrafficState, head: &RequestHead| {
        let path = traffic.shared.codecs.request.readiness_path();
        let ready = traffic.serves_most_routes() && !traffic.shared.is_stopping();
        match (head.target == path, ready) {
            (false, _) => (404, String::new()),
            (true, true) => (200, String::from("ready\n")),
            (true, false) => (503, String::from("not ready\n")),
        }
    };
    serve(traffic, listener, answer).await;
}

/// Serves the metrics.
pub async fn serve_metrics(traffic: Rc<TrafficState>, listener: TcpListener) {
    let answer = |traffic: &TrafficState, head: &RequestHead| match head.target.as_str() {
        METRICS_PATH => (200, traffic.shared.metrics.encode()),
        _ => (404, String::new()),
    };
    serve(traffic, listener, answer).await;
}

type ProbeAnswer = fn(&TrafficState, &RequestHead) -> (u16, String);

async fn serve(traffic: Rc<TrafficState>, listener: TcpListener, answer: ProbeAnswer) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                tokio::task::spawn_local(serve_probe(Rc::clone(&traffic), socket, answer));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_probe(traffic: Rc<TrafficState>, socket: TcpStream, answer: ProbeAnswer) {
    let Ok(mut stream) = HttpStream::new(socket) else { return };
    loop {
        let read = stream.read_request_head(HEAD_LIMIT);
        let Ok(Ok(head)) = tokio::time::timeout(PROBE_REST, read).await else { return };
        let (status, text) = answer(&traffic, &head);
        let keeps = head.keeps_connection() && !traffic.shared.is_stopping();
        let mut response = ResponseHead::new(status);
        response.fields.push("Content-Type", "text/plain; version=0.0.4");
        response.fields.push("Content-Length", text.len().to_string());
        if !keeps {
            response.fields.push("Connection", "close");
        }
        let mut bytes = BytesMut::with_capacity(128 + text.len());
        response.write_to(&mut bytes);
        bytes.extend_from_slice(text.as_bytes());
        if stream.write(&bytes).await.is_err() || !keeps {
            return;
        }
    }
}
