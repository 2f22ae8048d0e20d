//! Adapter popularity as an exponentially decayed request rate.

use std::time::Duration;

use crate::clock::ClockMillis;

/// A sum of weights that decays exponentially, from which a rate is estimated.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DecayedRate {
    weight: f64,
    updated_at: ClockMillis,
}

impl DecayedRate {
    /// Decays the sum to `now` and adds `weight`.
    pub fn add(&mut self, weight: f64, now: ClockMillis, half_life: Duration) {
        self.weight = self.weight_at(now, half_life) + weight;
        self.updated_at = now;
    }

    /// Returns the decayed sum at `now`.
    pub fn weight_at(&self, now: ClockMillis, half_life: Duration) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.weight * (-age / half_life.as_secs_f64()).exp2()
    }

    /// Returns the rate per second at `now`: the decayed sum divided by the mean lifetime.
    pub fn per_second(&self, now: ClockMillis, half_life: Duration) -> f64 {
        let mean_life = half_life.as_secs_f64() / std::f64::consts::LN_2;
        self.weight_at(now, half_life) / mean_life
    }
}
