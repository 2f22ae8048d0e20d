//! The operators' port: health, metrics, status, time line, settings in force.

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

/// Threads that serve operators.
const THREADS: usize = 4;

/// How often the server looks whether it is to stop.
const POLL: Duration = Duration::from_millis(50);

/// Starts the operators' server.
///
/// # Errors
/// Returns why the address can not be listened on.
pub fn start_operators(
    address: SocketAddr,
    control: ControlSender,
    peers: Arc<PeerCounters>,
    stop: Arc<AtomicBool>,
) -> eyre::Result<SocketAddr> {
    let server = Server::new(address, move |request| answer(request, &control, &peers))
        .map_err(|error| eyre::eyre!("operators' address {address}: {error}; use a free one"))?
        .pool_size(THREADS);
    let bound = server.server_addr();
    thread::Builder::new().name(String::from("operators")).spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            server.poll_timeout(POLL);
        }
    })?;
    Ok(bound)
}

fn answer(request: &Request, control: &ControlSender, peers: &PeerCounters) -> Response {
    match request.url().as_str() {
        "/healthz" => match control.ask(ControlQuery::Status) {
            Some(_) => Response::text("ok\n"),
            None => Response::text("the control thread does not answer\n").with_status_code(503),
        },
        "/readyz" => match control.ask(ControlQuery::Status) {
            Some(status) if status.ready => Response::text("ready\n"),
            _ => Response::text("not ready\n").with_status_code(503),
        },
        "/metrics" => {
            let counters = control.ask(ControlQuery::Counters);
            let status = control.ask(ControlQuery::Status);
            match (counters, status) {
                (Some(counters), Some(status)) => {
                    Response::text(metrics_text(&counters, &status, peers))
                }
                _ => busy(),
            }
        }
        "/status" => json(control.ask(ControlQuery::Status)),
        "/timeline" => json(control.ask(ControlQuery::Timeline)),
        "/history" => json(control.ask(ControlQuery::History)),
        "/settings" => json(control.ask(ControlQuery::Snapshot)),
        _ => Response::text("no such page\n").with_status_code(404),
    }
}

fn json(value: Option<impl Serialize>) -> Response {
    value.map_or_else(busy, |value| Response::json(&value))
}

fn busy() -> Response {
    Response::text("the control thread does not answer\n").with_status_code(503)
}
