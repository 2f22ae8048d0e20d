//! Aggregates demand over all hosts by model key.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{ModelKey, SoftwareVersion},
    popularity::DecayedRate,
};

/// Half-life of the request rate.
pub const RATE_HALF_LIFE: Duration = Duration::from_secs(8);

/// Half-life of the burst rate and the rate of all requests.
pub const BURST_HALF_LIFE: Duration = Duration::from_millis(1500);

/// How long a host's count of waiting requests stays valid without renewal.
const WAITING_TTL: Duration = Duration::from_secs(3);

/// How long requests without a load order are counted.
const UNSERVED_TTL: Duration = Duration::from_mins(1);

/// Interval at which expired keys are dropped; with thousands of keys, doing so in every planning
/// round takes a large part of it.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Rate weight below which a key is forgotten.
const MIN_RATE_WEIGHT: f64 = 0.02;

/// Demand for one key since a host's previous message.
#[derive(Debug, Clone, PartialEq)]
pub struct DemandEntry {
    /// Model or adapter.
    pub key: ModelKey,
    /// Number of requests since the previous message.
    pub new_requests: u32,
    /// Prompt tokens of the new requests.
    pub new_prompt_tokens: u64,
    /// Number of requests currently waiting.
    pub waiting: u32,
    /// Prompt tokens of the waiting requests.
    pub waiting_prompt_tokens: u64,
    /// Value of the waiting requests. The mean request has value one.
    pub waiting_value: f64,
    /// Whether all copies are on engines that currently accept no requests from the host.
    pub copies_unavailable: bool,
    /// The software version of the engine that a waiting request needs, if any does.
    pub needed_software: Option<SoftwareVersion>,
}

#[derive(Debug, Clone)]
struct HostWaiting {
    requests: u32,
    prompt_tokens: u64,
    value: f64,
    copies_unavailable: bool,
    needed_software: Option<SoftwareVersion>,
    reported_at: ClockMillis,
}

#[derive(Debug, Clone, Default)]
struct KeyDemand {
    request_rate: DecayedRate,
    burst_request_rate: DecayedRate,
    /// Rate of prompt tokens in new requests.
    prompt_token_rate: DecayedRate,
    burst_prompt_token_rate: DecayedRate,
    /// Number of requests since the last load order.
    unserved_requests: u32,
    /// When a load was last ordered.
    last_load_ordered_at: ClockMillis,
    last_request_at: ClockMillis,
    /// When requests last started or stopped waiting, as far as hosts have reported.
    last_wait_change_at: ClockMillis,
    waiting_by_host: HashMap<Arc<str>, HostWaiting>,
    /// Start of the current period in which there were always waiting requests.
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
    /// Rate of all requests over the last seconds.
    total_rate: DecayedRate,
    /// When expired keys were last dropped.
    expired_at: ClockMillis,
}

impl DemandTracker {
    /// Records the demand reported by `host`.
    pub fn record(&mut self, host: &Arc<str>, entries: &[DemandEntry], now: ClockMillis) {
        for entry in entries {
            let demand = self.keys.entry(Arc::clone(&entry.key)).or_default();
            if entry.new_requests > 0 {
                self.total_rate.add(f64::from(entry.new_requests), now, BURST_HALF_LIFE);
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
                    needed_software: entry.needed_software.clone(),
                    reported_at: now,
                };
                demand.waiting_by_host.insert(Arc::clone(host), waiting);
            }
            demand.update_waiting_since(now);
        }
    }

    /// Drops keys without recent demand.
    pub fn drop_expired(&mut self, now: ClockMillis) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
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

    /// Iterates over keys with recent demand.
    pub fn keys(&self) -> impl Iterator<Item = &ModelKey> {
        self.keys.keys()
    }

    /// Iterates over the keys that requests wait for.
    pub fn waiting_keys(&self) -> impl Iterator<Item = &ModelKey> {
        let waiting = self.keys.iter().filter(|(_, demand)| !demand.waiting_by_host.is_empty());
        waiting.map(|(key, _)| key)
    }

    /// Returns the number of requests that wait for any key.
    pub fn all_waiting_requests(&self) -> u32 {
        self.waiting_keys().map(|key| self.waiting_requests(key)).sum()
    }

    /// Returns the rate of all requests over the last seconds. Unit: requests per second.
    pub fn total_request_rate(&self, now: ClockMillis) -> f64 {
        self.total_rate.per_second(now, BURST_HALF_LIFE)
    }

    /// Returns the request rate of `key`. Unit: requests per second.
    pub fn request_rate(&self, key: &str, now: ClockMillis) -> f64 {
        self.keys.get(key).map_or(0.0, |demand| demand.request_rate.per_second(now, RATE_HALF_LIFE))
    }

    /// Returns the prompt token rate of `key`. Unit: tokens per second.
    pub fn prompt_token_rate(&self, key: &str, now: ClockMillis) -> f64 {
        self.keys
            .get(key)
            .map_or(0.0, |demand| demand.prompt_token_rate.per_second(now, RATE_HALF_LIFE))
    }

    /// Returns the prompt token rate of `key` over the last seconds. Unit: tokens per second.
    pub fn burst_prompt_token_rate(&self, key: &str, now: ClockMillis) -> f64 {
        let Some(demand) = self.keys.get(key) else { return 0.0 };
        demand.burst_prompt_token_rate.per_second(now, BURST_HALF_LIFE)
    }

    /// Returns the prompt tokens of requests waiting for `key`.
    pub fn waiting_prompt_tokens(&self, key: &str) -> u64 {
        let Some(demand) = self.keys.get(key) else { return 0 };
        demand.waiting_by_host.values().map(|waiting| waiting.prompt_tokens).sum()
    }

    /// Returns the mean prompt length over all requests. Unit: tokens.
    pub fn mean_prompt_tokens(&self, now: ClockMillis) -> f64 {
        let rates = self.keys.values().map(|demand| {
            let requests = demand.request_rate.per_second(now, RATE_HALF_LIFE);
            (requests, demand.prompt_token_rate.per_second(now, RATE_HALF_LIFE))
        });
        let (requests, tokens) =
            rates.fold((0.0, 0.0), |sum, rate| (sum.0 + rate.0, sum.1 + rate.1));
        if requests > 0.0 { tokens / requests } else { 0.0 }
    }

    /// Returns the request rate of `key` over the last seconds. Unit: requests per second.
    pub fn burst_request_rate(&self, key: &str, now: ClockMillis) -> f64 {
        self.keys
            .get(key)
            .map_or(0.0, |demand| demand.burst_request_rate.per_second(now, BURST_HALF_LIFE))
    }

    /// Records a load order for `key`.
    pub fn record_load_order(&mut self, key: &str, now: ClockMillis) {
        if let Some(demand) = self.keys.get_mut(key) {
            (demand.unserved_requests, demand.last_load_ordered_at) = (0, now);
        }
    }

    /// Returns when a load of `key` was last ordered, or the epoch if unknown.
    pub fn last_load_ordered_at(&self, key: &str) -> ClockMillis {
        self.keys.get(key).map(|demand| demand.last_load_ordered_at).unwrap_or_default()
    }

    /// Returns whether requests for `key` wait at a host that cannot use any copy.
    pub fn copies_unavailable(&self, key: &str) -> bool {
        let Some(demand) = self.keys.get(key) else { return false };
        demand.waiting_by_host.values().any(|waiting| waiting.copies_unavailable)
    }

    /// Returns the software version of the engine that a request waiting for `key` needs, if any does.
    pub fn needed_software(&self, key: &str) -> Option<&SoftwareVersion> {
        let waiting = self.keys.get(key)?.waiting_by_host.values();
        waiting.filter_map(|waiting| waiting.needed_software.as_ref()).min()
    }

    /// Returns when a request for `key` last arrived, or last started or stopped waiting.
    pub fn last_wanted_at(&self, key: &str) -> ClockMillis {
        self.keys
            .get(key)
            .map(|demand| demand.last_request_at.max(demand.last_wait_change_at))
            .unwrap_or_default()
    }

    /// Returns the number of requests since the last load order for `key`.
    pub fn unserved_requests(&self, key: &str) -> f64 {
        self.keys.get(key).map_or(0.0, |demand| f64::from(demand.unserved_requests))
    }

    /// Returns since when requests for `key` have been waiting without interruption.
    pub fn waiting_since(&self, key: &str) -> Option<ClockMillis> {
        self.keys.get(key)?.waiting_since
    }

    /// Returns the number of requests waiting for `key`.
    pub fn waiting_requests(&self, key: &str) -> u32 {
        let Some(demand) = self.keys.get(key) else { return 0 };
        demand.waiting_by_host.values().map(|waiting| waiting.requests).sum()
    }

    /// Returns the value of the requests waiting for `key`.
    pub fn waiting_value(&self, key: &str) -> f64 {
        let Some(demand) = self.keys.get(key) else { return 0.0 };
        demand.waiting_by_host.values().map(|waiting| waiting.value).sum()
    }
}
