//! A fake weight store whose bandwidth is shared equally among concurrent loads.

use std::collections::BTreeMap;

/// The ID of a load.
pub(crate) type StoreLoad = u64;

/// A fake weight store.
#[derive(Debug)]
pub struct FakeStore {
    /// The duration of a load that runs alone, in milliseconds.
    pub unshared_load_ms: f64,
    /// The factor by which loads are slowed down.
    pub slowdown: f64,
    /// Whether the store is unavailable; loads make no progress meanwhile.
    pub unavailable: bool,
    loads: BTreeMap<StoreLoad, f64>,
    last_load: StoreLoad,
    updated_at: u64,
}

impl FakeStore {
    /// Creates a store that serves `loads_per_second` consecutive loads.
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

    /// Advances all loads to `now`.
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

    /// Starts a load.
    pub(crate) fn begin(&mut self, now: u64) -> StoreLoad {
        self.advance(now);
        self.last_load += 1;
        self.loads.insert(self.last_load, self.unshared_load_ms);
        self.last_load
    }

    /// Removes and returns the loads completed by `now`.
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

    /// Returns when the next load completes if nothing changes, in milliseconds.
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

    /// Changes the speed or the availability of the store at `now`.
    pub fn change(&mut self, now: u64, change: impl FnOnce(&mut Self)) {
        self.advance(now);
        change(self);
    }

    /// Drops a load whose engine has restarted.
    pub(crate) fn drop_load(&mut self, load: StoreLoad, now: u64) {
        self.advance(now);
        self.loads.remove(&load);
    }
}
