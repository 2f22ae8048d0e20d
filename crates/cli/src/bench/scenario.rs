//! Benchmark scenarios: a site, its workload and its scheduled events.

use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelreel_core::{
    engine::ResidencyPolicy,
    settings::{
        ChangeRecord, EditAction, SettingKey, SettingValue, SettingsEdit, SettingsPath,
        change::RECORD_FORMAT,
    },
};
use reelreel_fakes::{CallerRequest, EngineConfig, FakeSite, FaultPlan, SiteAction, SiteConfig};
use serde::Deserialize;

/// Start-up time before the first call.
const SETTLE_MS: u64 = 5_000;

/// A scenario file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Scenario {
    /// Name.
    pub(crate) name: String,
    /// Number of data halls.
    halls: u16,
    /// Number of entry hosts.
    hosts: u32,
    /// Number of engines.
    engines: u32,
    /// Adapter slots per engine.
    slots: u32,
    /// Concurrent requests per engine.
    pub(crate) streams: u32,
    /// Number of adapters.
    adapters: u32,
    /// Number of organisations that share the adapters.
    organisations: u32,
    /// Zipf exponent of adapter popularity.
    zipf: f64,
    /// Calls per second.
    rate: f64,
    /// Duration of the measured window. Unit: seconds.
    seconds: u64,
    /// Warm-up time before the measured window. Unit: seconds.
    warm_up: u64,
    /// Rate limit of the weight store. Unit: loads per second.
    loads_per_second: f64,
    /// Maximum time that a caller waits for its first token.
    patience_ms: u64,
    /// Mean number of tokens per answer; an engine step of 10 ms produces one.
    tokens: u32,
    /// Worth of organisation 0; all others have 1.
    #[serde(default = "default_worth")]
    first_worth: f64,
    /// Times at which popularity shifts to other adapters. Unit: seconds.
    #[serde(default)]
    shifts: Vec<u64>,
    /// Additional load from single organisations.
    #[serde(default)]
    floods: Vec<Flood>,
    /// Scheduled events.
    #[serde(default)]
    events: Vec<SiteEvent>,
}

const fn default_worth() -> f64 {
    1.0
}

/// Additional load from one organisation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Flood {
    organisation: u32,
    rate: f64,
    from: u64,
    until: u64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct SiteEvent {
    at: u64,
    what: EventKind,
    #[serde(default)]
    which: u32,
    #[serde(default)]
    seconds: u64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum EventKind {
    StoreAway,
    RestartEngine,
    KillHost,
    DrainHost,
    LeaveEngine,
}

impl Scenario {
    /// Returns the start and end of the measured window in milliseconds.
    pub(crate) const fn measured_window(&self) -> (u64, u64) {
        let from = SETTLE_MS + self.warm_up * 1_000;
        (from, from + self.seconds * 1_000)
    }

    /// Runs the scenario to its end.
    pub(crate) fn run(&self, policy: Arc<dyn ResidencyPolicy>, seed: u64) -> FakeSite {
        let mut site = FakeSite::new(self.shape(policy, seed), FaultPlan::default());
        site.schedule_action(1, SiteAction::Publish(self.tree()));
        self.plan_events(&mut site);
        self.plan_calls(&mut site, seed);
        let (_, until) = self.measured_window();
        site.run_until(until + self.patience_ms + 30_000);
        site
    }

    fn shape(&self, policy: Arc<dyn ResidencyPolicy>, seed: u64) -> SiteConfig {
        let hall = |index: u32| 1 + u16::try_from(index % u32::from(self.halls)).unwrap_or(0);
        let mut shape = SiteConfig::new(seed);
        shape.hosts = (1..=self.hosts).map(|host| (host, hall(host))).collect();
        shape.engines = (1..=self.engines)
            .map(|engine| EngineConfig {
                engine,
                hall: hall(engine),
                service: String::from("assist"),
                slots: self.slots,
                streams: self.streams,
                checks_fence: true,
            })
            .collect();
        shape.loads_per_second = self.loads_per_second;
        shape.policy = policy;
        shape
    }

    fn adapter(&self, index: u32) -> String {
        format!("assist/firm-{}/adapter-{index}", index % self.organisations)
    }

    fn tree(&self) -> ChangeRecord {
        let set = |path: &str, key, value| SettingsEdit {
            path: SettingsPath::parse(path).unwrap_or_default(),
            action: EditAction::Set(key, value),
        };
        let version =
            |index| set(&self.adapter(index), SettingKey::Version, SettingValue::Integer(1));
        let mut edits: Vec<SettingsEdit> = (0..self.adapters).map(version).collect();
        let worth = SettingValue::Float(self.first_worth);
        edits.push(set("assist/firm-0", SettingKey::Worth, worth));
        let rate = SettingValue::Float(self.loads_per_second);
        edits.push(set("/", SettingKey::StoreLoadsPerSecond, rate));
        edits.push(set("/", SettingKey::QueueLimit, SettingValue::Integer(256)));
        ChangeRecord {
            format: RECORD_FORMAT,
            change_id: self.name.clone(),
            base_revision: 0,
            author: String::from("bench"),
            message: String::new(),
            edits,
        }
    }

    fn plan_events(&self, site: &mut FakeSite) {
        for event in &self.events {
            let SiteEvent { at, what, which, seconds } = event;
            let at = SETTLE_MS + at * 1_000;
            let action = match what {
                EventKind::StoreAway => SiteAction::StoreUnavailable(seconds * 1_000),
                EventKind::RestartEngine => SiteAction::RestartEngine(*which),
                EventKind::KillHost => SiteAction::KillHost(*which, seconds * 1_000),
                EventKind::DrainHost => SiteAction::DrainHost(*which),
                EventKind::LeaveEngine => SiteAction::DrainEngine(*which),
            };
            site.schedule_action(at, action);
        }
    }

    /// Schedules calls with exponential intervals and Zipf-distributed adapters, identical for every policy.
    fn plan_calls(&self, site: &mut FakeSite, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xca11);
        let ranks = cumulative_popularity(self.adapters, self.zipf);
        let (_, until) = self.measured_window();
        let mut at = SETTLE_MS as f64;
        while at < until as f64 {
            at += exponential_interval(&mut rng, self.rate);
            let second = (at - SETTLE_MS as f64) / 1_000.0;
            let shifts = self.shifts.iter().filter(|shift| (**shift as f64) <= second).count();
            let adapter = self.pick_adapter(&ranks, &mut rng, shifts);
            self.plan_call(site, &mut rng, at, adapter);
        }
        for flood in &self.floods {
            let mut at = (SETTLE_MS + flood.from * 1_000) as f64;
            let end = (SETTLE_MS + flood.until * 1_000) as f64;
            let adapters_per_organisation = self.adapters / self.organisations;
            while at < end {
                at += exponential_interval(&mut rng, flood.rate);
                let adapter =
                    rng.random_range(0..adapters_per_organisation.max(1)) * self.organisations;
                self.plan_call(site, &mut rng, at, adapter + flood.organisation);
            }
        }
    }

    /// Draws an adapter by popularity; each shift moves the ranks to other adapters.
    fn pick_adapter(&self, ranks: &[f64], rng: &mut Pcg64Mcg, shifts: usize) -> u32 {
        let draw = rng.random_range(0.0..1.0);
        let rank = ranks.partition_point(|sum| *sum < draw);
        let rank = u32::try_from(rank).unwrap_or(0).min(self.adapters - 1);
        let offset = u32::try_from(shifts).unwrap_or(0) * 977;
        // A large odd factor spreads the ranks over the organisations.
        (rank.wrapping_mul(7919) + offset) % self.adapters
    }

    fn plan_call(&self, site: &mut FakeSite, rng: &mut Pcg64Mcg, at: f64, adapter: u32) {
        let low = self.tokens / 2;
        let call = CallerRequest {
            host: None,
            adapter: self.adapter(adapter),
            version: None,
            key: None,
            repeatable: Some(true),
            max_wait_ms: self.patience_ms,
            tokens: rng.random_range(low..=low * 3).max(1),
        };
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a time")]
        site.schedule_request(at as u64, call);
    }
}

/// Draws the time to the next call. Unit: milliseconds.
fn exponential_interval(rng: &mut Pcg64Mcg, rate: f64) -> f64 {
    let draw: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    -draw.ln() * 1_000.0 / rate
}

/// Returns the cumulative popularity by rank.
fn cumulative_popularity(adapters: u32, exponent: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=adapters).map(|rank| f64::from(rank).powf(-exponent)).collect();
    let total: f64 = weights.iter().sum();
    let mut sum = 0.0;
    weights
        .iter()
        .map(|weight| {
            sum += weight / total;
            sum
        })
        .collect()
}
