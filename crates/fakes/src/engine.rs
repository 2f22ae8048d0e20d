//! A model engine, as far as the core sees it.

use std::collections::{BTreeMap, VecDeque};

use reelreel_core::{
    engine::{EngineInfo, EngineReport, OrderResult, ReportedAdapter},
    id::{AdapterKey, EngineId, FenceToken, HallId, RequestId},
    node::NotRunReason,
};

use crate::store::StoreLoad;

/// How an engine is made.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Its number.
    pub engine: EngineId,
    /// Its hall.
    pub hall: HallId,
    /// Its service's name.
    pub service: String,
    /// Adapters it holds.
    pub slots: u32,
    /// Requests it runs at once.
    pub streams: u32,
    /// Whether it checks tokens.
    pub checks_fence: bool,
}

/// One request that runs.
#[derive(Debug, Clone)]
pub(crate) struct RunningRequest {
    pub(crate) adapter: AdapterKey,
    pub(crate) run: usize,
}

/// One adapter in its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FakeSlot {
    Loading(StoreLoad),
    Loaded { used: bool },
}

/// A model engine.
#[derive(Debug)]
pub struct FakeEngine {
    /// How it was made.
    pub config: EngineConfig,
    /// Its life.
    pub incarnation: u64,
    /// Since when it is leaving.
    pub leaving_since: Option<u64>,
    /// Gone from the site.
    pub removed: bool,
    pub(crate) sequence: u64,
    pub(crate) token: FenceToken,
    pub(crate) slots: BTreeMap<AdapterKey, FakeSlot>,
    pub(crate) running: BTreeMap<RequestId, RunningRequest>,
    reports: VecDeque<(u64, EngineReport)>,
    changed_at: u64,
}

/// How late a report is, in milliseconds.
const REPORT_LAG_MS: u64 = 200;

impl FakeEngine {
    /// Starts an engine with nothing loaded.
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

    /// Returns the engine's entry of the host list.
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

    /// Returns the newest report that is old enough to be shown.
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

    /// Checks a token, as far as the engine checks any.
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

    /// Says why a request would not be run, if it would not.
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

    /// Begins a new life: nothing is loaded and nothing runs. Returns what was cut.
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
