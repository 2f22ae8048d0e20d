//! A stand-in for a model engine with continuous batching, adapter slots and fenced orders.

mod batch;
mod orders;
mod serve;
mod state;

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

pub use state::{EngineEvidence, EngineReportBody, ReportedName};

use crate::{engine::state::EngineShared, fault::FaultSwitch, http::ServerGuard};

/// The configuration of an engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The address to listen on; port 0 selects a free port.
    pub address: String,
    /// The address of the platform whose weight store serves loads; if empty, loads need no store.
    pub platform: String,
    /// The name of the base model.
    pub base_model: String,
    /// The number of adapter slots.
    pub slots: usize,
    /// The maximum batch size; twice as many requests are admitted.
    pub streams: usize,
    /// The duration of a step, which produces one token per request in the batch.
    pub step: Duration,
    /// The age at which a change becomes visible in reports.
    pub report_lag: Duration,
    /// Whether it rejects fencing tokens lower than the highest accepted one.
    pub checks_fence: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            address: String::from("127.0.0.1:0"),
            platform: String::new(),
            base_model: String::from("base"),
            slots: 4,
            streams: 32,
            step: Duration::from_millis(10),
            report_lag: Duration::from_millis(100),
            checks_fence: true,
        }
    }
}

/// The fault switches of an engine stand-in.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// Faults of orders.
    pub orders: FaultSwitch,
    /// Faults of fetches from the weight store.
    pub loads: FaultSwitch,
    /// Faults of requests; only `Refuse`, `LoseAnswer` and `Delay` take effect.
    pub requests: FaultSwitch,
    /// Faults of reports.
    pub reports: FaultSwitch,
    /// The number of tokens after which streams are interrupted; 0 for never.
    pub cut_after: Arc<std::sync::atomic::AtomicUsize>,
}

/// A running engine stand-in.
pub struct EngineStandIn {
    guard: ServerGuard,
    shared: Arc<EngineShared>,
    stopping: Arc<AtomicBool>,
    batch: Option<JoinHandle<()>>,
}

impl EngineStandIn {
    /// Starts an engine stand-in with no adapter loaded.
    ///
    /// # Errors
    /// Returns an error if it cannot listen on the address.
    pub fn start(options: &EngineOptions) -> io::Result<Self> {
        let shared = Arc::new(EngineShared::new(options.clone()));
        let served = Arc::clone(&shared);
        let guard = ServerGuard::serve(&options.address, move |request| {
            serve::serve(&served, request);
        })?;
        let stopping = Arc::new(AtomicBool::new(false));
        let (stop, stepped) = (Arc::clone(&stopping), Arc::clone(&shared));
        let batch = thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(stepped.options.step);
                stepped.step();
            }
        });
        Ok(Self { guard, shared, stopping, batch: Some(batch) })
    }

    /// Returns the address as `ip:port`.
    pub fn address(&self) -> &str {
        self.guard.address()
    }

    /// Returns the fault switches.
    pub fn faults(&self) -> &EngineFaults {
        &self.shared.faults
    }

    /// Returns the records of what happened.
    pub fn evidence(&self) -> EngineEvidence {
        self.shared.evidence()
    }

    /// Starts a new incarnation: unloads all adapters and interrupts all streams.
    pub fn restart(&self) {
        self.shared.restart();
    }

    /// Marks the engine as leaving: it refuses new requests and completes the running ones.
    pub fn leave(&self) {
        self.shared.leave();
    }
}

impl Drop for EngineStandIn {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.shared.restart();
        if let Some(batch) = self.batch.take() {
            drop(batch.join());
        }
    }
}
