//! A stand-in for the platform: an append-only log, a host list and a weight store.

mod hosts;
mod log;
mod store;

use std::{io, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tiny_http::{Method, Request};

pub use hosts::{HostList, HostRecord, HostRole, HostState};
pub use log::{LogService, ReadRecord, ReadResult};
pub use store::WeightStore;

use crate::{
    fault::{FaultKind, FaultSwitch},
    http::{ServerGuard, read_body, respond_json, split_url},
};

/// The configuration of a platform stand-in.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// The address to listen on; port 0 selects a free port.
    pub address: String,
    /// The number of records retained per stream.
    pub retained: usize,
    /// The maximum rate of appends over all streams.
    pub appends_per_second: u32,
    /// How long the host list lags behind.
    pub host_lag: Duration,
    /// How many consecutive loads the weight store serves per second.
    pub loads_per_second: f64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            address: String::from("127.0.0.1:0"),
            retained: 100_000,
            appends_per_second: 300,
            host_lag: Duration::from_millis(500),
            loads_per_second: 3.0,
        }
    }
}

/// The fault switches of a platform stand-in.
#[derive(Debug, Clone, Default)]
pub struct PlatformFaults {
    /// Faults of appends to the log.
    pub append: FaultSwitch,
    /// Faults of reads of the log.
    pub read: FaultSwitch,
    /// Faults of reads of the host list.
    pub hosts: FaultSwitch,
    /// Faults of loads from the weight store.
    pub store: FaultSwitch,
}

impl PlatformFaults {
    fn switch(&self, name: &str) -> Option<&FaultSwitch> {
        match name {
            "append" => Some(&self.append),
            "read" => Some(&self.read),
            "hosts" => Some(&self.hosts),
            "store" => Some(&self.store),
            _ => None,
        }
    }
}

struct PlatformState {
    log: LogService,
    hosts: HostList,
    store: WeightStore,
    faults: PlatformFaults,
}

/// A running platform stand-in.
pub struct PlatformStandIn {
    guard: ServerGuard,
    state: Arc<PlatformState>,
}

#[derive(Serialize)]
struct Offset {
    offset: u64,
}

#[derive(Serialize)]
struct ErrorBody {
    error: &'static str,
}

#[derive(Deserialize)]
struct LoadRequest {
    adapter: String,
}

impl PlatformStandIn {
    /// Starts a platform stand-in.
    ///
    /// # Errors
    /// Returns an error if it cannot listen on the address.
    pub fn start(options: &PlatformOptions) -> io::Result<Self> {
        let state = Arc::new(PlatformState {
            log: LogService::new(options.retained, options.appends_per_second),
            hosts: HostList::new(options.host_lag),
            store: WeightStore::new(options.loads_per_second),
            faults: PlatformFaults::default(),
        });
        let shared_state = Arc::clone(&state);
        let guard =
            ServerGuard::serve(&options.address, move |request| serve(&shared_state, request))?;
        Ok(Self { guard, state })
    }

    /// Returns the address as `ip:port`.
    pub fn address(&self) -> &str {
        self.guard.address()
    }

    /// Returns the log, for direct access by tests.
    pub fn log(&self) -> &LogService {
        &self.state.log
    }

    /// Returns the host list, for direct access without the protocol.
    pub fn hosts(&self) -> &HostList {
        &self.state.hosts
    }

    /// Returns the fault switches.
    pub fn faults(&self) -> &PlatformFaults {
        &self.state.faults
    }
}

fn serve(state: &PlatformState, mut request: Request) {
    let (segments, query) = split_url(request.url());
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    let unavailable = ErrorBody { error: "unavailable" };
    match (request.method().clone(), &segments[..]) {
        (Method::Post, ["streams", stream, "records"]) => {
            let body = String::from_utf8_lossy(&read_body(&mut request)).into_owned();
            if state.faults.append.kind() == FaultKind::Refuse {
                respond_json(request, 429, &ErrorBody { error: "not written" });
                return;
            }
            match state.faults.append.apply(|| state.log.append(stream, body)) {
                Some(Some(offset)) => respond_json(request, 201, &Offset { offset }),
                Some(None) => respond_json(request, 429, &ErrorBody { error: "not written" }),
                None => respond_json(request, 504, &unavailable),
            }
        }
        (Method::Get, ["streams", stream, "records"]) => {
            let from = number("from").unwrap_or(0);
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
            match state.faults.read.apply(|| state.log.read(stream, from, wait)) {
                Some(read) => {
                    let status = if read.end < from { 410 } else { 200 };
                    respond_json(request, status, &read);
                }
                None => respond_json(request, 503, &unavailable),
            }
        }
        (Method::Put, ["fall-back", lost]) => {
            state.log.restore_older_copy(lost.parse().unwrap_or_default());
            respond_json(request, 200, &ErrorBody { error: "" });
        }
        (Method::Get, ["hosts"]) => {
            let since = number("since").unwrap_or(0);
            match state.faults.hosts.apply(|| state.hosts.since(since)) {
                Some(changes) => respond_json(request, 200, &changes),
                None => respond_json(request, 503, &unavailable),
            }
        }
        (Method::Put, ["hosts"]) => {
            let body = read_body(&mut request);
            match serde_json::from_slice::<HostRecord>(&body) {
                Ok(record) => {
                    state.hosts.put(record);
                    respond_json(request, 200, &ErrorBody { error: "" });
                }
                Err(_) => respond_json(request, 400, &ErrorBody { error: "not a host record" }),
            }
        }
        (Method::Delete, ["hosts", role, id]) => {
            let id = id.parse().unwrap_or_default();
            state.hosts.remove(HostRole::parse(role), id);
            respond_json(request, 200, &ErrorBody { error: "" });
        }
        (Method::Post, ["store", "loads"]) => {
            let body = read_body(&mut request);
            let load_request = serde_json::from_slice::<LoadRequest>(&body);
            let loaded = load_request.ok().and_then(|load_request| {
                state.faults.store.apply(|| state.store.load(&load_request.adapter))
            });
            match loaded {
                Some(true) => respond_json(request, 200, &ErrorBody { error: "" }),
                Some(false) => respond_json(request, 404, &ErrorBody { error: "no such adapter" }),
                None => respond_json(request, 503, &unavailable),
            }
        }
        (Method::Put, ["faults", name]) => {
            let body = read_body(&mut request);
            let kind = serde_json::from_slice::<FaultKind>(&body).ok();
            match (state.faults.switch(name), kind) {
                (Some(switch), Some(kind)) => {
                    switch.set(kind);
                    respond_json(request, 200, &ErrorBody { error: "" });
                }
                _ => respond_json(request, 400, &ErrorBody { error: "no such fault" }),
            }
        }
        _ => respond_json(request, 404, &ErrorBody { error: "no such path" }),
    }
}
