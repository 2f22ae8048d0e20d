//! A stand-in for a plain service: order entry, some of whose calls must not be repeated.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, PoisonError},
};

use serde::Serialize;
use tiny_http::Request;

use crate::{
    fault::{FaultKind, FaultSwitch},
    http::{ServerGuard, header, read_body, respond_cut_open, respond_json},
};

/// The configuration of a plain service stand-in.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// The address to listen on; port 0 selects a free port.
    pub address: String,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self { address: String::from("127.0.0.1:0") }
    }
}

#[derive(Debug, Default)]
struct ServiceState {
    runs: Mutex<BTreeMap<String, u32>>,
    fault: FaultSwitch,
}

/// A running plain service stand-in.
pub struct ServiceStandIn {
    guard: ServerGuard,
    state: Arc<ServiceState>,
}

#[derive(Serialize)]
struct OrderAnswer {
    request: String,
    path: String,
    received_bytes: usize,
}

#[derive(Serialize)]
struct ErrorBody {
    error: &'static str,
}

impl ServiceStandIn {
    /// Starts a plain service stand-in.
    ///
    /// # Errors
    /// Returns an error if it cannot listen on the address.
    pub fn start(options: &ServiceOptions) -> io::Result<Self> {
        let state = Arc::new(ServiceState::default());
        let shared_state = Arc::clone(&state);
        let guard =
            ServerGuard::serve(&options.address, move |request| serve(&shared_state, request))?;
        Ok(Self { guard, state })
    }

    /// Returns the address as `ip:port`.
    pub fn address(&self) -> &str {
        self.guard.address()
    }

    /// Returns the fault switch of its calls.
    pub fn fault(&self) -> &FaultSwitch {
        &self.state.fault
    }

    /// Returns the number of runs by request ID.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.state.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn serve(state: &ServiceState, mut request: Request) {
    let id = header(&request, "x-request-id").unwrap_or_default().to_owned();
    let path = request.url().to_owned();
    let body = read_body(&mut request);
    if path == "/evidence" {
        let runs = state.runs.lock().unwrap_or_else(PoisonError::into_inner).clone();
        respond_json(request, 200, &runs);
        return;
    }
    if path.starts_with("/faults") {
        if let Ok(kind) = serde_json::from_slice(&body) {
            state.fault.set(kind);
        }
        respond_json(request, 200, &ErrorBody { error: "" });
        return;
    }
    let run = || {
        let mut runs = state.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(id.clone()).or_default() += 1;
    };
    match state.fault.apply(run) {
        Some(()) => {
            let received_bytes = body.len();
            let answer = OrderAnswer { request: id, path, received_bytes };
            if state.fault.kind() == FaultKind::CutOpenAnswer {
                respond_cut_open(request, &answer);
            } else {
                respond_json(request, 200, &answer);
            }
        }
        None => respond_json(request, 502, &ErrorBody { error: "broken" }),
    }
}
