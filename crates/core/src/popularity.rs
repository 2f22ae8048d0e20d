//! How much an adapter is asked for, decayed over time.

use std::time::Duration;

use crate::clock::ClockMillis;

/// A rate that halves with every half-life in which nothing comes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DecayedRate {
    weight: f64,
    updated_at: ClockMillis,
}

impl DecayedRate {
    /// Adds `weight` at `now`.
    pub fn add(&mut self, weight: f64, now: ClockMillis, half_life: Duration) {
        self.weight = self.weight_at(now, half_life) + weight;
        self.updated_at = now;
    }

    /// Returns the decayed sum at `now`.
    pub fn weight_at(&self, now: ClockMillis, half_life: Duration) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.weight * (-age / half_life.as_secs_f64()).exp2()
    }

    /// Returns the rate per second at `now`: the decayed sum over its mean life.
    pub fn per_second(&self, now: ClockMillis, half_life: Duration) -> f64 {
        let mean_life = half_life.as_secs_f64() / std::f64::consts::LN_2;
        self.weight_at(now, half_life) / mean_life
    }
}
