//! Prefill speed of a service's engines, learned from a host's own requests.
//!
//! The time to the first event of a request covers the pending prefill at the engine and the
//! request's own prompt. Single samples are unreliable: an engine may have cached a part of the
//! prompt, or had more pending prefill than was known. The speed is therefore the median of the
//! latest samples.

use std::{collections::VecDeque, time::Duration};

/// Number of samples that the median is taken of.
const MAX_SAMPLES: usize = 31;

/// Number of samples from which on the speed counts as known.
const MIN_SAMPLES: usize = 5;

/// Minimum length of a prompt to be used as a sample, relative to the mean prompt: in shorter ones
/// other delays weigh more.
const MIN_PROMPT_FRACTION: f64 = 0.5;

/// Weight of the newest prompt in the mean prompt length.
const MEAN_PROMPT_SMOOTHING: f64 = 0.02;

/// Prefill speed of a service's engines, known once there are enough samples.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PrefillSpeed {
    /// Latest samples, the newest one last. Unit: tokens per millisecond.
    samples: VecDeque<f64>,
    /// Median of the samples, once there are enough.
    tokens_per_millisecond: Option<f64>,
    /// Mean prompt length. Unit: tokens.
    mean_prompt: f64,
}

impl PrefillSpeed {
    /// Records the time to the first event of a request with `prompt_tokens`, while `pending_tokens`
    /// of other requests were ahead of it.
    pub fn record(
        &mut self,
        prompt_tokens: u64,
        pending_tokens: u64,
        time_to_first_event: Duration,
    ) {
        let prompt_tokens = prompt_tokens as f64;
        if self.mean_prompt == 0.0 {
            self.mean_prompt = prompt_tokens;
        }
        self.mean_prompt += MEAN_PROMPT_SMOOTHING * (prompt_tokens - self.mean_prompt);
        let millis = time_to_first_event.as_secs_f64() * 1000.0;
        if millis <= 0.0
            || prompt_tokens <= 1.0
            || prompt_tokens < MIN_PROMPT_FRACTION * self.mean_prompt
        {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((prompt_tokens + pending_tokens as f64) / millis);
        self.tokens_per_millisecond = (self.samples.len() >= MIN_SAMPLES).then(|| self.median());
    }

    fn median(&self) -> f64 {
        let mut samples: Vec<f64> = self.samples.iter().copied().collect();
        samples.sort_by(f64::total_cmp);
        samples[samples.len() / 2]
    }

    /// Returns the fraction of an engine's time taken by the prefill of so many tokens a second, or
    /// zero if the speed is unknown.
    pub fn utilization_for(&self, tokens_per_second: f64) -> f64 {
        self.tokens_per_millisecond.map_or(0.0, |speed| tokens_per_second / (speed * 1000.0))
    }

    /// Returns the number of tokens that engines prefill within a time, or zero if the speed is
    /// unknown.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a speed is positive and small"
    )]
    pub fn tokens_in(&self, time: Duration) -> u64 {
        self.tokens_per_millisecond.map_or(0, |speed| (speed * time.as_secs_f64() * 1000.0) as u64)
    }

    /// Returns the prefill time of so many tokens, or zero if the speed is unknown.
    pub fn time_for(&self, tokens: u64) -> Duration {
        let time = |speed: f64| Duration::from_secs_f64(tokens as f64 / speed / 1000.0);
        self.tokens_per_millisecond.map_or(Duration::ZERO, time)
    }
}
