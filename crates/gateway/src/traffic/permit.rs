//! Permits of engines with a limit: waiting for a permit and holding it until the request is sent.

use std::{rc::Rc, sync::Arc, time::Duration};

use reelreel_core::fleet::{
    EngineEntry, EngineName,
    limits::share::{LimitStatus, PermitUse},
};

use crate::traffic::{
    TrafficState,
    exchange::Exchange,
    pick::{EnginePick, EngineRequirements, pick_engine},
};

/// Counts a request as waiting for a permit while it exists.
pub struct PermitWait {
    traffic: Rc<TrafficState>,
    engine: EngineName,
    permit_use: PermitUse,
}

impl PermitWait {
    fn new(traffic: &Rc<TrafficState>, engine: &EngineName, permit_use: PermitUse) -> Self {
        traffic.shared.limits().begin_wait(engine, permit_use);
        traffic.shared.wake_control.notify_one();
        Self { traffic: Rc::clone(traffic), engine: Arc::clone(engine), permit_use }
    }

    /// Returns the estimated time until the request gets its permit.
    pub(super) fn expected_wait(&self) -> Option<Duration> {
        self.traffic.shared.limits().expected_wait(&self.engine, self.traffic.now())
    }
}

impl Drop for PermitWait {
    fn drop(&mut self) {
        self.traffic.shared.limits().end_wait(&self.engine, self.permit_use);
    }
}

/// A permit taken for a request, returned on drop unless the request was sent.
pub struct HeldPermit {
    traffic: Rc<TrafficState>,
    engine: EngineName,
    /// Whether there is a permit to return.
    held: bool,
}

impl HeldPermit {
    /// Uses the permit, or takes one if the engine has declared a limit since.
    ///
    /// Returns false if there is no permit.
    pub(super) fn consume(&mut self, permit_use: PermitUse) -> bool {
        let now = self.traffic.now();
        let held = std::mem::take(&mut self.held);
        held || self.traffic.shared.limits().take(&self.engine, permit_use, now)
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        if self.held {
            self.traffic.shared.limits().refund(&self.engine, self.traffic.now());
        }
    }
}

impl Exchange<'_> {
    /// Takes a permit for a send to an engine; returns `None` if its limit leaves no permit.
    ///
    /// The permit is taken before connecting: otherwise two requests that chose the engine by the
    /// same permit would both be sent.
    pub(super) fn acquire_permit(
        &self,
        entry: &EngineEntry,
        permit_use: PermitUse,
    ) -> Option<HeldPermit> {
        let now = self.traffic.now();
        let mut limits = self.traffic.shared.limits();
        let status = limits.limit_status(&entry.name, permit_use, now);
        limits.take(&entry.name, permit_use, now).then(|| HeldPermit {
            traffic: Rc::clone(self.traffic),
            engine: Arc::clone(&entry.name),
            held: status == LimitStatus::Permitted,
        })
    }

    /// Returns the use for which this request takes permits.
    pub(super) const fn permit_use(&self) -> PermitUse {
        if self.permit_wait.is_some() { PermitUse::Waiting } else { PermitUse::New }
    }

    /// Registers the request as waiting for a permit of one of these engines, or of none.
    ///
    /// An existing wait for one of them is kept; otherwise the request waits for the first.
    pub(super) fn update_permit_wait(&mut self, engines: &[Arc<EngineEntry>]) {
        let already_waiting = self.permit_wait.as_ref();
        let already_waiting = already_waiting
            .is_some_and(|wait| engines.iter().any(|entry| entry.name == wait.engine));
        if already_waiting {
            return;
        }
        self.permit_wait = None;
        if let Some(first) = engines.first() {
            self.traffic.shared.metrics.limit_waited.inc();
            let wait = PermitWait::new(self.traffic, &first.name, PermitUse::Waiting);
            self.limited_by = Some(Arc::clone(&first.name));
            self.permit_wait = Some(wait);
        }
    }

    /// Returns the estimated time until the request gets the permit that it waits for.
    pub(super) fn permit_estimate(&self) -> Option<Duration> {
        self.permit_wait.as_ref().and_then(PermitWait::expected_wait)
    }

    /// Returns the retry time of a client that is refused while its request waits for a permit.
    pub(super) fn permit_retry_after(&self) -> Option<Duration> {
        let wait = self.permit_wait.as_ref()?;
        let hosts = self.traffic.table().hosts;
        self.traffic.shared.limits().retry_after(&wait.engine, hosts, self.traffic.now())
    }

    /// Picks an engine to resume an interrupted stream; those in `ignores_backoff` may be picked
    /// within their backoff.
    ///
    /// Resumed streams take precedence over other requests: their clients would lose what they have
    /// got.
    pub(super) fn pick_for_resume(
        &self,
        excluded: &[EngineName],
        ignores_backoff: &[EngineName],
    ) -> EnginePick {
        let requirements = EngineRequirements {
            service: &self.service,
            key: self.metadata.model.as_ref(),
            software: self.needed_software(),
            excluded,
            ignores_backoff,
            id: &self.metadata.id,
            permit_use: PermitUse::Resumed,
            retryable: false,
            need: self.next_event_need(),
        };
        pick_engine(self.traffic, &requirements)
    }

    /// Registers an interrupted stream as waiting for a permit if that is all that the picked
    /// engines lack.
    pub(super) fn update_resume_permit(
        &self,
        picked: &EnginePick,
        permit_wait: &mut Option<PermitWait>,
    ) {
        let engines = match picked {
            EnginePick::Limited(engines) => &engines[..],
            _ => &[],
        };
        let is_kept = permit_wait
            .as_ref()
            .is_some_and(|wait| engines.iter().any(|entry| entry.name == wait.engine));
        if !is_kept {
            let wait = |first: &Arc<EngineEntry>| {
                PermitWait::new(self.traffic, &first.name, PermitUse::Resumed)
            };
            *permit_wait = engines.first().map(wait);
        }
    }
}
