//! What all hosts are asked for, by model key.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{clock::ClockMillis, fleet::ModelKey, popularity::DecayedRate};

/// The half-life of an adapter's popularity: demand moves within seconds.
pub const RATE_HALF_LIFE: Duration = Duration::from_secs(8);

/// The half-life of the rate that tells a burst.
const BURST_HALF_LIFE: Duration = Duration::from_millis(1500);

/// How long a host's word about its waiting requests holds without being renewed.
const WAITING_TTL: Duration = Duration::from_secs(3);

/// How long requests count that no load was ordered for.
const UNSERVED_TTL: Duration = Duration::from_mins(1);

/// The weight below which a popularity is forgotten.
const MIN_RATE_WEIGHT: f64 = 0.02;

/// What one host was asked for since its last word.
#[derive(Debug, Clone, PartialEq)]
pub struct DemandEntry {
    /// The model or adapter.
    pub key: ModelKey,
    /// Requests that came since the last word.
    pub new_requests: u32,
    /// The prompts of those. Unit: tokens.
    pub new_prompt_tokens: u64,
    /// Requests that wait for it now.
    pub waiting: u32,
    /// The prompts of those. Unit: tokens.
    pub waiting_prompt_tokens: u64,
    /// The worth of the waiting requests; the mean request is worth one.
    pub waiting_value: f64,
    /// Whether every copy is at an engine that takes no requests from the host now.
    pub copies_unavailable: bool,
}

#[derive(Debug, Clone, Copy)]
struct HostWaiting {
    requests: u32,
    prompt_tokens: u64,
    value: f64,
    copies_unavailable: bool,
    reported_at: ClockMillis,
}

#[derive(Debug, Clone, Default)]
struct KeyDemand {
    request_rate: DecayedRate,
    burst_request_rate: DecayedRate,
    /// Tokens of the prompts that came.
    prompt_token_rate: DecayedRate,
    burst_prompt_token_rate: DecayedRate,
    /// Requests since a load was last ordered.
    unserved_requests: u32,
    /// When that was.
    last_load_ordered_at: ClockMillis,
    last_request_at: ClockMillis,
    /// When requests last began or ended to wait, as far as hosts have told.
    last_wait_change_at: ClockMillis,
    waiting_by_host: HashMap<Arc<str>, HostWaiting>,
    /// Since when somebody has waited without a pause.
    waiting_since: Option<ClockMillis>,
}

impl KeyDemand {
    fn update_waiting_since(&mut self, now: ClockMillis) {
        if self.waiting_by_host.is_empty() {
            self.waiting_since = None;
        } else {
            self.waiting_since.get_or_insert(now);
        }
    }
}

/// Demand of one placement domain, summed over hosts.
#[derive(Debug, Clone, Default)]
pub struct DemandTracker {
    keys: HashMap<ModelKey, KeyDemand>,
}

impl DemandTracker {
    /// Takes what `host` was asked for.
    pub fn record(&mut self, host: &Arc<str>, entries: &[DemandEntry], now: ClockMillis) {
        for entry in entries {
            let demand = self.keys.entry(Arc::clone(&entry.key)).or_default();
            if entry.new_requests > 0 {
                demand.request_rate.add(f64::from(entry.new_requests), now, RATE_HALF_LIFE);
                demand.burst_request_rate.add(f64::from(entry.new_requests), now, BURST_HALF_LIFE);
                let tokens = entry.new_prompt_tokens as f64;
                demand.prompt_token_rate.add(tokens, now, RATE_HALF_LIFE);
                demand.burst_prompt_token_rate.add(tokens, now, BURST_HALF_LIFE);
                demand.unserved_requests =
                    demand.unserved_requests.saturating_add(entry.new_requests);
                demand.last_request_at = now;
            }
            if entry.waiting > 0 || demand.waiting_by_host.contains_key(host) {
                demand.last_wait_change_at = now;
            }
            if entry.waiting == 0 {
                demand.waiting_by_host.remove(host);
            } else {
                let waiting = HostWaiting {
                    requests: entry.waiting,
                    prompt_tokens: entry.waiting_prompt_tokens,
                    value: entry.waiting_value,
                    copies_unavailable: entry.copies_unavailable,
                    reported_at: now,
                };
                demand.waiting_by_host.insert(Arc::clone(host), waiting);
            }
            demand.update_waiting_since(now);
        }
    }

    /// Forgets what nobody has asked for lately.
    pub fn drop_expired(&mut self, now: ClockMillis) {
        self.keys.retain(|_, demand| {
            demand
                .waiting_by_host
                .retain(|_, waiting| now.since(waiting.reported_at) < WAITING_TTL);
            demand.update_waiting_since(now);
            let has_unserved =
                demand.unserved_requests > 1 && now.since(demand.last_request_at) < UNSERVED_TTL;
            has_unserved
                || !demand.waiting_by_host.is_empty()
                || demand.request_rate.weight_at(now, RATE_HALF_LIFE) > MIN_RATE_WEIGHT
        });
    }

    /// Iterates over the keys that anyone has asked for lately.
    pub fn keys(&self) -> impl Iterator<Item = &ModelKey> {
        self.keys.keys()
    }

    /// Returns how many requests a second ask for `key`.
    pub fn request_rate(&self, key: &str, now: ClockMillis) -> f64 {
        self.keys.get(key).map_or(0.0, |demand| demand.request_rate.per_second(now, RATE_HALF_LIFE))
    }

    /// Returns how many tokens of prompts a second come for `key`.
    pub fn prompt_token_rate(&self, key: &str, now: ClockMillis) -> f64 {
        self.keys
            .get(key)
            .map_or(0.0, |demand| demand.prompt_token_rate.per_second(now, RATE_HALF_LIFE))
    }

    /// Returns how many tokens of prompts a second come for `key` by the last seconds alone.
    pub fn burst_prompt_token_rate(&self, key: &str, now: ClockMillis) -> f64 {
        let Some(demand) = self.keys.get(key) else { return 0.0 };
        demand.burst_prompt_token_rate.per_second(now, BURST_HALF_LIFE)
    }

    /// Returns the prompts of the requests that wait for `key`. Unit: tokens.
    pub fn waiting_prompt_tokens(&self, key: &str) -> u64 {
        let Some(demand) = self.keys.get(key) else { return 0 };
        demand.waiting_by_host.values().map(|waiting| waiting.prompt_tokens).sum()
    }

    /// Returns the mean prompt of all requests that come. Unit: tokens.
    pub fn mean_prompt_tokens(&self, now: ClockMillis) -> f64 {
        let rates = self.keys.values().map(|demand| {
            let requests = demand.request_rate.per_second(now, RATE_HALF_LIFE);
            (requests, demand.prompt_token_rate.per_second(now, RATE_HALF_LIFE))
        });
        let (requests, tokens) =
            rates.fold((0.0, 0.0), |sum, rate| (sum.0 + rate.0, sum.1 + rate.1));
        if requests > 0.0 { tokens / requests } else { 0.0 }
    }

    /// Returns how many requests a second ask for `key` by the last seconds alone.
    pub fn burst_request_rate(&self, key: &str, now: ClockMillis) -> f64 {
        self.keys
            .get(key)
            .map_or(0.0, |demand| demand.burst_request_rate.per_second(now, BURST_HALF_LIFE))
    }

    /// Takes that a load of `key` was ordered.
    pub fn record_load_order(&mut self, key: &str, now: ClockMillis) {
        if let Some(demand) = self.keys.get_mut(key) {
            (demand.unserved_requests, demand.last_load_ordered_at) = (0, now);
        }
    }

    /// Returns when a load of `key` was last ordered, the epoch if that is not known.
    pub fn last_load_ordered_at(&self, key: &str) -> ClockMillis {
        self.keys.get(key).map(|demand| demand.last_load_ordered_at).unwrap_or_default()
    }

    /// Returns whether requests wait for `key` at a host that can use none of its copies.
    pub fn copies_unavailable(&self, key: &str) -> bool {
        let Some(demand) = self.keys.get(key) else { return false };
        demand.waiting_by_host.values().any(|waiting| waiting.copies_unavailable)
    }

    /// Returns when a request for `key` last came, or last began or ended to wait.
    pub fn last_wanted_at(&self, key: &str) -> ClockMillis {
        self.keys
            .get(key)
            .map(|demand| demand.last_request_at.max(demand.last_wait_change_at))
            .unwrap_or_default()
    }

    /// Returns how many requests came since a load of `key` was last ordered.
    pub fn unserved_requests(&self, key: &str) -> f64 {
        self.keys.get(key).map_or(0.0, |demand| f64::from(demand.unserved_requests))
    }

    /// Returns since when somebody has waited for `key` without a pause.
    pub fn waiting_since(&self, key: &str) -> Option<ClockMillis> {
        self.keys.get(key)?.waiting_since
    }

    /// Returns how many requests wait for `key`.
    pub fn waiting_requests(&self, key: &str) -> u32 {
        let Some(demand) = self.keys.get(key) else { return 0 };
        demand.waiting_by_host.values().map(|waiting| waiting.requests).sum()
    }

    /// Returns the worth of the requests that wait for `key`.
    pub fn waiting_value(&self, key: &str) -> f64 {
        let Some(demand) = self.keys.get(key) else { return 0.0 };
        demand.waiting_by_host.values().map(|waiting| waiting.value).sum()
    }
}
