//! The operators' HTTP endpoints: health, metrics, status, timeline and settings in force.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use rouille::{Request, Response, Server};
use serde::Serialize;

use crate::{
    control::{ControlQuery, ControlSender},
    metrics::metrics_text,
    peers::PeerCounters,
};

/// Number of threads that serve operators.
const SERVER_THREADS: usize = 4;

/// How often the stop flag is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the operators' HTTP server.
///
/// # Errors
/// Returns why listening on the address failed.
pub fn start_operators(
    address: SocketAddr,
    control: ControlSender,
    peers: Arc<PeerCounters>,
    stop: Arc<AtomicBool>,
) -> eyre::Result<SocketAddr> {
    let server = Server::new(address, move |request| respond(request, &control, &peers))
        .map_err(|error| {
            eyre::eyre!("can not listen for operators on {address}: {error}; choose a free address")
        })?
        .pool_size(SERVER_THREADS);
    let bound = server.server_addr();
    thread::Builder::new().name(String::from("operators")).spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            server.poll_timeout(POLL_INTERVAL);
        }
    })?;
    Ok(bound)
}

fn respond(request: &Request, control: &ControlSender, peers: &PeerCounters) -> Response {
    match request.url().as_str() {
        "/healthz" => match control.query(ControlQuery::Status) {
            Some(_) => Response::text("ok\n"),
            None => Response::text("the control thread does not answer\n").with_status_code(503),
        },
        "/readyz" => match control.query(ControlQuery::Status) {
            Some(status) if status.ready => Response::text("ready\n"),
            _ => Response::text("not ready\n").with_status_code(503),
        },
        "/metrics" => {
            let counters = control.query(ControlQuery::Counters);
            let status = control.query(ControlQuery::Status);
            match (counters, status) {
                (Some(counters), Some(status)) => {
                    Response::text(metrics_text(&counters, &status, peers))
                }
                _ => control_unavailable(),
            }
        }
        "/status" => json(control.query(ControlQuery::Status)),
        "/timeline" => json(control.query(ControlQuery::Timeline)),
        "/history" => json(control.query(ControlQuery::History)),
        "/settings" => json(control.query(ControlQuery::Snapshot)),
        _ => Response::text("no such page\n").with_status_code(404),
    }
}

fn json(value: Option<impl Serialize>) -> Response {
    value.map_or_else(control_unavailable, |value| Response::json(&value))
}

fn control_unavailable() -> Response {
    Response::text("the control thread does not answer\n").with_status_code(503)
}
