//! The weight store: full speed for one load at a time, shared among several.

use std::collections::BTreeMap;

/// A load in the store, by its number.
pub(crate) type StoreLoad = u64;

/// The weight store.
#[derive(Debug)]
pub struct FakeStore {
    /// Milliseconds that a load takes alone.
    pub unshared_load_ms: f64,
    /// How much slower it is than usual.
    pub slowdown: f64,
    /// Gives nothing; loads under way stand still.
    pub unavailable: bool,
    loads: BTreeMap<StoreLoad, f64>,
    last_load: StoreLoad,
    updated_at: u64,
}

impl FakeStore {
    /// Makes a store that gives that many loads a second.
    pub fn new(loads_per_second: f64) -> Self {
        Self {
            unshared_load_ms: 1000.0 / loads_per_second,
            slowdown: 1.0,
            unavailable: false,
            loads: BTreeMap::new(),
            last_load: 0,
            updated_at: 0,
        }
    }

    /// Moves all loads on to `now`.
    fn advance(&mut self, now: u64) {
        let elapsed_ms = now.saturating_sub(self.updated_at) as f64;
        self.updated_at = now;
        if self.unavailable || self.loads.is_empty() {
            return;
        }
        let share = elapsed_ms / self.loads.len() as f64 / self.slowdown;
        for remaining_ms in self.loads.values_mut() {
            *remaining_ms -= share;
        }
    }

    /// Begins a load.
    pub(crate) fn begin(&mut self, now: u64) -> StoreLoad {
        self.advance(now);
        self.last_load += 1;
        self.loads.insert(self.last_load, self.unshared_load_ms);
        self.last_load
    }

    /// Returns the loads that are done by `now`, and takes them out.
    pub(crate) fn finish(&mut self, now: u64) -> Vec<StoreLoad> {
        const COMPLETION_TOLERANCE_MS: f64 = 0.5;
        self.advance(now);
        let done: Vec<StoreLoad> = self
            .loads
            .iter()
            .filter(|(_, remaining_ms)| **remaining_ms < COMPLETION_TOLERANCE_MS)
            .map(|(load, _)| *load)
            .collect();
        for load in &done {
            self.loads.remove(load);
        }
        done
    }

    /// Returns when the next load will be done, if nothing changes.
    pub fn next_completion(&self) -> Option<u64> {
        if self.unavailable {
            return None;
        }
        let least_remaining_ms = self.loads.values().copied().reduce(f64::min)?;
        let remaining_ms =
            (least_remaining_ms * self.loads.len() as f64 * self.slowdown).ceil().max(1.0);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "at least one")]
        Some(self.updated_at + remaining_ms as u64)
    }

    /// Changes speed or presence at `now`.
    pub fn change(&mut self, now: u64, change: impl FnOnce(&mut Self)) {
        self.advance(now);
        change(self);
    }

    /// Drops a load whose engine is gone.
    pub(crate) fn drop_load(&mut self, load: StoreLoad, now: u64) {
        self.advance(now);
        self.loads.remove(&load);
    }
}
