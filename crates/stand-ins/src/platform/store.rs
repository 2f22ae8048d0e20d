//! A weight store whose bandwidth is shared equally among concurrent loads.

use std::{
    collections::BTreeSet,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// The interval at which the progress of a load is updated.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(5);

/// The weight store.
#[derive(Debug)]
pub struct WeightStore {
    unshared_load_time: Duration,
    active: AtomicUsize,
    missing: Mutex<BTreeSet<String>>,
}

impl WeightStore {
    /// Creates a store that serves `loads_per_second` consecutive loads.
    pub fn new(loads_per_second: f64) -> Self {
        Self {
            unshared_load_time: Duration::from_secs_f64(1.0 / loads_per_second),
            active: AtomicUsize::new(0),
            missing: Mutex::default(),
        }
    }

    /// Makes loads of an adapter fail.
    pub fn mark_missing(&self, adapter: &str) {
        let mut missing = self.missing.lock().unwrap_or_else(PoisonError::into_inner);
        missing.insert(adapter.to_owned());
    }

    /// Loads an adapter, sharing the bandwidth with concurrent loads; returns whether it exists.
    pub fn load(&self, adapter: &str) -> bool {
        self.active.fetch_add(1, Ordering::Relaxed);
        let mut progress = Duration::ZERO;
        while progress < self.unshared_load_time {
            thread::sleep(PROGRESS_INTERVAL);
            let concurrent_loads = self.active.load(Ordering::Relaxed).max(1);
            progress += PROGRESS_INTERVAL / u32::try_from(concurrent_loads).unwrap_or(u32::MAX);
        }
        self.active.fetch_sub(1, Ordering::Relaxed);
        !self.missing.lock().unwrap_or_else(PoisonError::into_inner).contains(adapter)
    }
}
