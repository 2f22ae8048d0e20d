//! A fake model engine with the behaviour that the core observes.

use std::collections::{BTreeMap, VecDeque};

use reelreel_core::{
    engine::{EngineInfo, EngineReport, OrderResult, ReportedAdapter},
    id::{AdapterKey, EngineId, FenceToken, HallId, RequestId},
    node::NotRunReason,
};

use crate::store::StoreLoad;

/// The configuration of a [`FakeEngine`].
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// The engine's ID.
    pub engine: EngineId,
    /// The data hall that it runs in.
    pub hall: HallId,
    /// The name of its service.
    pub service: String,
    /// The number of adapters that it can hold.
    pub slots: u32,
    /// The number of requests in a batch; twice as many are admitted.
    pub streams: u32,
    /// Whether it rejects stale fencing tokens.
    pub checks_fence: bool,
}

/// A running request.
#[derive(Debug, Clone)]
pub(crate) struct RunningRequest {
    pub(crate) adapter: AdapterKey,
    pub(crate) run: usize,
}

/// The state of an adapter slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FakeSlot {
    Loading(StoreLoad),
    Loaded { used: bool },
}

/// A fake model engine.
#[derive(Debug)]
pub struct FakeEngine {
    /// The engine's configuration.
    pub config: EngineConfig,
    /// The incarnation, which increases with each restart.
    pub incarnation: u64,
    /// When it started leaving, in milliseconds.
    pub leaving_since: Option<u64>,
    /// Whether it has been removed from the site.
    pub removed: bool,
    pub(crate) sequence: u64,
    pub(crate) token: FenceToken,
    pub(crate) slots: BTreeMap<AdapterKey, FakeSlot>,
    pub(crate) running: BTreeMap<RequestId, RunningRequest>,
    reports: VecDeque<(u64, EngineReport)>,
    changed_at: u64,
}

/// The age at which a report becomes visible, in milliseconds.
const REPORT_LAG_MS: u64 = 200;

impl FakeEngine {
    /// Creates an engine with no adapter loaded.
    pub fn new(config: EngineConfig) -> Self {
        Self {
            config,
            incarnation: 1,
            leaving_since: None,
            removed: false,
            sequence: 1,
            token: 0,
            slots: BTreeMap::new(),
            running: BTreeMap::new(),
            reports: VecDeque::new(),
            changed_at: 0,
        }
    }

    /// Returns the engine's entry in the host list.
    pub fn info(&self) -> EngineInfo {
        EngineInfo {
            engine: self.config.engine,
            hall: self.config.hall,
            service: self.config.service.clone(),
            address: format!("engine-{}", self.config.engine),
            slots: self.config.slots,
            streams: self.config.streams,
            checks_fence: self.config.checks_fence,
            incarnation: self.incarnation,
        }
    }

    pub(crate) fn record_change(&mut self, now: u64) {
        self.sequence += 1;
        self.changed_at = now;
        self.reports.push_back((now, self.report_now()));
        while self.reports.get(1).is_some_and(|(at, _)| at + REPORT_LAG_MS <= now) {
            self.reports.pop_front();
        }
    }

    fn report_now(&self) -> EngineReport {
        let running = |key: &AdapterKey| {
            let count = self.running.values().filter(|running| running.adapter == *key).count();
            u32::try_from(count).unwrap_or(u32::MAX)
        };
        let loaded = |(key, slot): (&AdapterKey, &FakeSlot)| match slot {
            FakeSlot::Loaded { .. } => {
                Some(ReportedAdapter { adapter: *key, running: running(key) })
            }
            FakeSlot::Loading(_) => None,
        };
        let loading = |(key, slot): (&AdapterKey, &FakeSlot)| match slot {
            FakeSlot::Loading(_) => Some(*key),
            FakeSlot::Loaded { .. } => None,
        };
        EngineReport {
            incarnation: self.incarnation,
            sequence: self.sequence,
            token: self.token,
            leaving: self.leaving_since.is_some(),
            adapters: self.slots.iter().filter_map(loaded).collect(),
            loading: self.slots.iter().filter_map(loading).collect(),
            unknown_adapters: Vec::new(),
        }
    }

    /// Returns the newest report that is old enough to be visible, or the oldest one.
    pub fn report(&self, now: u64) -> EngineReport {
        let visible = self.reports.iter().rev().find(|(at, _)| at + REPORT_LAG_MS <= now);
        match visible.or(self.reports.front()) {
            Some((_, report)) => report.clone(),
            None => self.report_now(),
        }
    }

    pub(crate) fn order_done(&self) -> OrderResult {
        OrderResult::Done { incarnation: self.incarnation, sequence: self.sequence }
    }

    /// Checks a fencing token and accepts a higher one; without fencing, any token passes.
    pub(crate) fn check_fence(&mut self, token: FenceToken, now: u64) -> Result<(), FenceToken> {
        if !self.config.checks_fence {
            return Ok(());
        }
        if token < self.token {
            return Err(self.token);
        }
        if token > self.token {
            self.token = token;
            self.record_change(now);
        }
        Ok(())
    }

    /// Returns why a request is rejected, or `None` if it would run.
    pub(crate) fn not_run_reason(
        &mut self,
        adapter: AdapterKey,
        token: FenceToken,
        now: u64,
    ) -> Option<NotRunReason> {
        if self.check_fence(token, now).is_err() {
            return Some(NotRunReason::StaleToken);
        }
        match self.slots.get(&adapter) {
            Some(FakeSlot::Loaded { .. }) => {}
            _ => return Some(NotRunReason::NotResident),
        }
        let capacity = 2 * self.config.streams as usize;
        (self.running.len() >= capacity).then_some(NotRunReason::Full)
    }

    /// Starts a new incarnation without adapters or requests. Returns the interrupted requests and
    /// loads.
    pub(crate) fn restart(&mut self, now: u64) -> (Vec<RequestId>, Vec<StoreLoad>) {
        self.incarnation += 1;
        self.sequence = 0;
        self.token = 0;
        self.leaving_since = None;
        self.removed = false;
        self.reports.clear();
        let interrupted = std::mem::take(&mut self.running).into_keys().collect();
        let loads = std::mem::take(&mut self.slots)
            .into_values()
            .filter_map(|slot| match slot {
                FakeSlot::Loading(load) => Some(load),
                FakeSlot::Loaded { .. } => None,
            })
            .collect();
        self.record_change(now);
        (interrupted, loads)
    }
}
