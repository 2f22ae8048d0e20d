//! Recent speed of engines, from the pauses between the events of a host's own streams.
//!
//! A host sends an engine less than one request per second on a large fleet, but its open streams
//! show the speed of the engines with every event. A slow spell lasts about 600 ms, so samples lose
//! half of their weight in a fraction of that.

use std::time::Duration;

use crate::clock::ClockMillis;

/// Time in which a sample loses half of its weight.
const SAMPLE_HALF_LIFE: Duration = Duration::from_millis(150);

/// Weight of the assumption that the engine has its usual speed, in samples.
const USUAL_SPEED_WEIGHT: f64 = 0.5;

/// Range of the slowness that one pause shows. Pauses may be split or merged on their way.
const SLOWNESS_RANGE: std::ops::RangeInclusive<f64> = 0.25..=6.0;

/// Weight of the newest sample in the means of a service.
const MEAN_SMOOTHING: f64 = 0.02;

/// Minimum fraction of a pause in which the host waited for the engine. In other pauses the client
/// or the host itself was slow.
const MIN_WAITED_FRACTION: f64 = 0.5;

/// What is usual for the streams of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServicePace {
    /// Mean pause between two events, or zero if unknown. Unit: milliseconds.
    mean_pause: f64,
    /// Mean time from the first event to the end of a stream, or zero if unknown. Unit:
    /// milliseconds.
    mean_run: f64,
}

impl ServicePace {
    /// Records the time of a complete stream from its first event to its end.
    pub fn record_run(&mut self, time: Duration) {
        record_mean(&mut self.mean_run, time);
    }

    /// Returns the mean time of a stream from its first event to its end, or zero if it is unknown.
    pub fn mean_run(&self) -> Duration {
        Duration::from_secs_f64(self.mean_run / 1000.0)
    }
}

fn record_mean(mean: &mut f64, sample: Duration) {
    let millis = sample.as_secs_f64() * 1000.0;
    if *mean <= 0.0 {
        *mean = millis;
    }
    *mean += MEAN_SMOOTHING * (millis - *mean);
}

/// The recent speed of one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EnginePace {
    /// Sum of the slowness of the samples, by weight.
    sum: f64,
    /// Sum of their weights.
    weight: f64,
    /// When the last sample was recorded.
    sampled_at: ClockMillis,
}

impl EnginePace {
    /// Records a pause between two events of a stream, in which the host waited for the engine for
    /// `waited`.
    pub fn record_pause(
        &mut self,
        pause: Duration,
        waited: Duration,
        service: &mut ServicePace,
        now: ClockMillis,
    ) {
        if pause.is_zero() || waited < pause.mul_f64(MIN_WAITED_FRACTION) {
            return;
        }
        record_mean(&mut service.mean_pause, pause);
        let slowness = pause.as_secs_f64() * 1000.0 / service.mean_pause;
        let decay = self.decay(now);
        self.sum =
            self.sum * decay + slowness.clamp(*SLOWNESS_RANGE.start(), *SLOWNESS_RANGE.end());
        self.weight = self.weight * decay + 1.0;
        self.sampled_at = now;
    }

    /// Returns by how much the engine takes longer than usual; one if nothing recent is known.
    pub fn slowness(&self, now: ClockMillis) -> f64 {
        let decay = self.decay(now);
        (self.sum * decay + USUAL_SPEED_WEIGHT) / (self.weight * decay + USUAL_SPEED_WEIGHT)
    }

    fn decay(&self, now: ClockMillis) -> f64 {
        let age = now.since(self.sampled_at).div_duration_f64(SAMPLE_HALF_LIFE);
        0.5_f64.powf(age)
    }
}
