//! How fast the engines of a service read prompts, learnt from a host's own requests.
//!
//! Nobody tells the speed. A request that was sent to an engine shows it by its first event: until then
//! the engine read what was ahead of it and its own prompt. Single samples mislead, since an engine may
//! have kept a part of the prompt (it seems faster) or have had more ahead than was known (it seems
//! slower); the median of the latest ones does not.

use std::{collections::VecDeque, time::Duration};

/// How many samples the median is taken of: enough that several wrong ones in a row do not move it far,
/// few enough that a host with one request a second follows a change within half a minute.
const MAX_SAMPLES: usize = 31;

/// How many samples must have come before the speed counts as known.
const MIN_SAMPLES: usize = 5;

/// The shortest prompt that shows a speed, as a part of the mean one: what comes before the first event
/// beside reading weighs more in shorter ones.
const MIN_PROMPT_FRACTION: f64 = 0.5;

/// How strongly the newest prompt moves the mean one.
const MEAN_PROMPT_SMOOTHING: f64 = 0.02;

/// The reading speed of a service's engines, once samples have come.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PrefillSpeed {
    /// The latest samples, the newest last. Unit: tokens per millisecond.
    samples: VecDeque<f64>,
    /// Their median, once there are enough.
    tokens_per_millisecond: Option<f64>,
    /// The mean prompt. Unit: tokens.
    mean_prompt: f64,
}

impl PrefillSpeed {
    /// Takes that an engine gave a first event so long after a request was sent, with `prompt` tokens of
    /// its own and `ahead` tokens of others before it.
    pub fn record(&mut self, prompt: u64, ahead: u64, time: Duration) {
        let prompt = prompt as f64;
        if self.mean_prompt == 0.0 {
            self.mean_prompt = prompt;
        }
        self.mean_prompt += MEAN_PROMPT_SMOOTHING * (prompt - self.mean_prompt);
        let millis = time.as_secs_f64() * 1000.0;
        if millis <= 0.0 || prompt <= 1.0 || prompt < MIN_PROMPT_FRACTION * self.mean_prompt {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((prompt + ahead as f64) / millis);
        self.tokens_per_millisecond = (self.samples.len() >= MIN_SAMPLES).then(|| self.median());
    }

    fn median(&self) -> f64 {
        let mut samples: Vec<f64> = self.samples.iter().copied().collect();
        samples.sort_by(f64::total_cmp);
        samples[samples.len() / 2]
    }

    /// Returns the part of its time that an engine reads so many tokens a second in, none while the speed is
    /// not known.
    pub fn utilization_for(&self, tokens_per_second: f64) -> f64 {
        self.tokens_per_millisecond.map_or(0.0, |speed| tokens_per_second / (speed * 1000.0))
    }

    /// Returns how many tokens engines read within a time, none while the speed is not known.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a speed is positive and small"
    )]
    pub fn tokens_in(&self, time: Duration) -> u64 {
        self.tokens_per_millisecond.map_or(0, |speed| (speed * time.as_secs_f64() * 1000.0) as u64)
    }

    /// Returns how long engines take to read so many tokens, nothing while that is not known.
    pub fn time_for(&self, tokens: u64) -> Duration {
        let time = |speed: f64| Duration::from_secs_f64(tokens as f64 / speed / 1000.0);
        self.tokens_per_millisecond.map_or(Duration::ZERO, time)
    }
}
