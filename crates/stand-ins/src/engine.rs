//! A model engine: batches continuously, holds a few adapters, and takes fenced orders.

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

/// How an engine stand-in behaves.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Where it listens; port 0 picks a free one.
    pub address: String,
    /// The platform, whose weight store serves its loads.
    pub platform: String,
    /// The base model it runs.
    pub base_model: String,
    /// How many adapters it holds.
    pub slots: usize,
    /// How many requests it runs at once.
    pub streams: usize,
    /// How long a step takes.
    pub step: Duration,
    /// How late its report is.
    pub report_lag: Duration,
    /// Whether it refuses lower tokens than it has accepted.
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

/// The switches of an engine stand-in.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// Orders.
    pub orders: FaultSwitch,
    /// Loads, as asked of the store.
    pub loads: FaultSwitch,
    /// Requests, before they run.
    pub requests: FaultSwitch,
    /// Reports.
    pub reports: FaultSwitch,
    /// Streams are cut after this many tokens; zero for never.
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
    /// Starts one, with nothing loaded.
    ///
    /// # Errors
    /// Returns why the address can not be listened on.
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

    /// Returns the switches.
    pub fn faults(&self) -> &EngineFaults {
        &self.shared.faults
    }

    /// Returns what really happened.
    pub fn evidence(&self) -> EngineEvidence {
        self.shared.evidence()
    }

    /// Begins a new life, with nothing loaded and every stream cut.
    pub fn restart(&self) {
        self.shared.restart();
    }

    /// Says that it is leaving: it refuses new requests and ends those that run.
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
