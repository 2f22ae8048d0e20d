//! The limits and permits that one host knows.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{
        EngineBirth, EngineName,
        announcement::Declared,
        limits::{
            bucket::TokenBucket,
            engine_share::EngineShare,
            events::{EventThrottle, LimitEvent},
            ledger::{PROBE_RATE, UNCOORDINATED_FRACTION},
            limit::{LimitDeclaration, RequestLimit},
            report::{LimitReport, PermitDemand, PermitGrant},
        },
    },
};

/// How long a permit may be used: what is saved up at hosts adds to what reaches an engine in a window, and a host that was stopped
/// must not use later what others have got since. A request that waits uses it at once.
const PERMIT_TTL: Duration = Duration::from_millis(400);

/// How long the ledger may be silent: it publishes twice a second.
const LEDGER_TIMEOUT: Duration = Duration::from_millis(1200);

/// How long an engine must have declared no limit to a host that receives no ledger.
const UNCOORDINATED_LIFT_DELAY: Duration = Duration::from_secs(3);

/// How many demands without a waiting request a host sends at a time: one of a large fleet may prefer hundreds of engines in turn.
const MAX_DIVERTED_DEMANDS: usize = 8;

/// Whether a request may go to an engine as far as its limit goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitStatus {
    /// It has named none.
    Unlimited,
    /// This host has a permit.
    Permitted,
    /// This host has none.
    Exhausted,
}

/// The requester of a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitUse {
    /// A request that has not waited: it leaves permits to those that wait.
    New,
    /// A request that waits.
    Waiting,
    /// A stream that broke off and waits: its client has a part of the answer.
    Resumed,
}

/// What a host reports to the ledger.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LimitUpdate {
    /// The limits that engines declared.
    pub reports: Vec<LimitReport>,
    /// The host's demand for permits.
    pub demands: Vec<(EngineName, PermitDemand)>,
}

/// What one host knows of the limits that engines name.
#[derive(Debug, Clone, Default)]
pub struct LimitShare {
    engines: HashMap<EngineName, EngineShare>,
    /// When a frame of the ledger last arrived.
    ledger_received_at: ClockMillis,
    event_throttle: EventThrottle,
}

impl LimitShare {
    /// Takes what a response of an engine declares; `now` is when the response began. Returns whether the ledger has to receive it.
    pub fn receive_declaration(
        &mut self,
        engine: &EngineName,
        born: EngineBirth,
        declaration: LimitDeclaration,
        now: ClockMillis,
    ) -> bool {
        match declaration.limit {
            Declared::Present(limit) => {
                let new = || EngineShare::new(born, limit, now);
                let engine_share = self.engines.entry(Arc::clone(engine)).or_insert_with(new);
                if !engine_share.is_incarnation(born) {
                    engine_share.begin_incarnation(born, limit, now);
                }
                engine_share.pending |= engine_share.recovering || engine_share.limit != limit;
                (
                    engine_share.limit,
                    engine_share.recovering,
                    engine_share.responded_at,
                    engine_share.requested_at,
                ) = (limit, false, now, declaration.requested_at);
                engine_share.declared_here_at = Some(now);
                engine_share.pending
            }
            Declared::Absent if declaration.absence_is_conclusive => {
                let engine_share = self.engines.get_mut(engine);
                let engine_share = engine_share.filter(|engine_share| {
                    engine_share.is_incarnation(born)
                        && declaration.requested_at > engine_share.responded_at
                });
                engine_share.is_some_and(|engine_share| {
                    engine_share.pending |= !engine_share.recovering;
                    (
                        engine_share.recovering,
                        engine_share.responded_at,
                        engine_share.requested_at,
                    ) = (true, now, declaration.requested_at);
                    engine_share.pending
                })
            }
            Declared::Absent => false,
            Declared::Unreadable => {
                self.event_throttle.unreadable(engine);
                false
            }
        }
    }

    /// Returns how many engines have a limit.
    pub fn limited_count(&self) -> usize {
        self.engines.len()
    }

    /// Returns whether an engine has a limit, or returns slowly from one.
    pub fn is_limited(&self, engine: &str) -> bool {
        self.engines.contains_key(engine)
    }

    /// Returns whether an engine declares a limit, as far as this host knows.
    pub fn declares_limit(&self, engine: &str) -> bool {
        self.engines.get(engine).is_some_and(|engine_share| !engine_share.recovering)
    }

    /// Returns the limits of the engines that have one, or return slowly from it.
    pub fn limits(&self) -> HashMap<EngineName, RequestLimit> {
        let engine_share = self.engines.iter();
        engine_share
            .map(|(engine, engine_share)| (Arc::clone(engine), engine_share.limit))
            .collect()
    }

    /// Forgets engines that are no longer listed in that incarnation; `incarnation_of` returns the one that is listed.
    pub fn retain(&mut self, incarnation_of: impl Fn(&str) -> Option<EngineBirth>) {
        self.engines.retain(|engine, engine_share| {
            incarnation_of(engine).is_some_and(|born| engine_share.is_incarnation(born))
        });
        self.event_throttle.retain(|engine| incarnation_of(engine).is_some());
    }

    /// Returns what is to be logged now.
    pub fn take_events(&mut self, now: ClockMillis) -> Vec<LimitEvent> {
        let engine_share = self.engines.iter();
        let engine_share = engine_share
            .map(|(engine, engine_share)| (engine, engine_share.born, engine_share.limit));
        self.event_throttle.take(engine_share, now)
    }
}

impl LimitShare {
    /// Returns whether a request may go to an engine now.
    pub fn limit_status(
        &mut self,
        engine: &str,
        wanted: PermitUse,
        now: ClockMillis,
    ) -> LimitStatus {
        let Some(engine_share) = self.engines.get_mut(engine) else {
            return LimitStatus::Unlimited;
        };
        engine_share.drop_expired_permits(now);
        if engine_share.available_permits(wanted) > 0 {
            LimitStatus::Permitted
        } else {
            LimitStatus::Exhausted
        }
    }

    /// Takes a permit for a call to an engine; returns false where it has a limit and there is none.
    pub fn take(&mut self, engine: &str, wanted: PermitUse, now: ClockMillis) -> bool {
        match self.limit_status(engine, wanted, now) {
            LimitStatus::Unlimited => true,
            LimitStatus::Exhausted => false,
            LimitStatus::Permitted => {
                let engine_share = self.engines.get_mut(engine);
                engine_share.is_some_and(|engine_share| engine_share.permits.pop_front().is_some())
            }
        }
    }

    /// Puts back a permit for a call that was not made.
    pub fn refund(&mut self, engine: &str, now: ClockMillis) {
        if let Some(engine_share) = self.engines.get_mut(engine) {
            engine_share.permits.push_back(now + PERMIT_TTL);
        }
    }

    /// Counts a call that has to be made without a permit: the ledger makes up for it.
    pub fn count_unpermitted(&mut self, engine: &str) {
        if let Some(engine_share) = self.engines.get_mut(engine) {
            engine_share.unpermitted += 1;
        }
    }

    /// Takes that a request begins to wait for a permit.
    pub fn wait_began(&mut self, engine: &str, wanted: PermitUse) {
        if let Some(engine_share) = self.engines.get_mut(engine) {
            match wanted {
                PermitUse::Resumed => engine_share.resumed += 1,
                PermitUse::Waiting | PermitUse::New => engine_share.waiting += 1,
            }
        }
    }

    /// Takes that a request waits no longer for a permit.
    pub fn wait_ended(&mut self, engine: &str, wanted: PermitUse) {
        if let Some(engine_share) = self.engines.get_mut(engine) {
            let count = match wanted {
                PermitUse::Resumed => &mut engine_share.resumed,
                PermitUse::Waiting | PermitUse::New => &mut engine_share.waiting,
            };
            *count = count.saturating_sub(1);
        }
    }

    /// Takes that a request would have gone to an engine, had there been a permit.
    pub fn note_diverted(&mut self, engine: &str, now: ClockMillis) {
        if let Some(engine_share) = self.engines.get_mut(engine) {
            engine_share.diverted_at = Some(now);
        }
    }

    /// Returns in what time one more request may expect a permit for an engine; `None` where nobody can say yet.
    pub fn expected_wait(&self, engine: &str, now: ClockMillis) -> Option<Duration> {
        let engine_share = self.engines.get(engine)?;
        engine_share.expected_at.map(|expected_at| expected_at.since(now))
    }

    /// Returns when a client that is told to come back may expect a permit, where `hosts` tell clients so.
    ///
    /// Each that is told so comes a turn later than the one before, so that not all return together.
    pub fn retry_after(&mut self, engine: &str, hosts: u32, now: ClockMillis) -> Option<Duration> {
        let engine_share = self.engines.get_mut(engine)?;
        let interval = f64::from(hosts.max(1)) / engine_share.limit.per_second().max(PROBE_RATE);
        let interval = Duration::try_from_secs_f64(interval).unwrap_or(Duration::MAX);
        let first = engine_share.expected_at.unwrap_or(now).max(now);
        let next = engine_share
            .last_retry_at
            .map_or(first, |previous_retry_at| (previous_retry_at + interval).max(first));
        engine_share.last_retry_at = Some(next);
        Some(next.since(now))
    }

    /// Returns how many requests of this host wait for an engine, against its limit. Unit: seconds.
    pub fn queued_seconds(&self, engine: &str) -> f64 {
        let Some(engine_share) = self.engines.get(engine) else { return 0.0 };
        f64::from(engine_share.resumed + engine_share.waiting)
            / engine_share.limit.per_second().max(PROBE_RATE)
    }
}

impl LimitShare {
    /// Takes that a frame of the ledger has arrived.
    pub fn note_ledger_frame(&mut self, now: ClockMillis) {
        self.ledger_received_at = now;
        for engine_share in self.engines.values_mut() {
            engine_share.fallback_bucket = None;
        }
    }

    /// Returns whether frames of the ledger arrive.
    pub fn receives_ledger(&self, now: ClockMillis) -> bool {
        self.ledger_received_at != ClockMillis::default()
            && now.since(self.ledger_received_at) < LEDGER_TIMEOUT
    }

    /// Applies a report of the ledger; what this host has received itself since takes precedence.
    pub fn receive(&mut self, report: &LimitReport, now: ClockMillis) {
        let responded_at = now - report.responded_ago;
        let engine_share = self.engines.get_mut(&report.engine);
        if report.is_lifted() {
            let engine_share =
                engine_share.filter(|engine_share| engine_share.is_incarnation(report.born));
            if engine_share.is_some_and(|engine_share| {
                engine_share.recovering || engine_share.has_no_declaration_after(responded_at)
            }) {
                self.engines.remove(&report.engine);
            }
            return;
        }
        let Some(engine_share) = engine_share else {
            let mut new = EngineShare::new(report.born, report.limit, responded_at);
            new.apply(report, now);
            self.engines.insert(Arc::clone(&report.engine), new);
            return;
        };
        if !engine_share.is_incarnation(report.born) && responded_at >= engine_share.responded_at {
            engine_share.begin_incarnation(report.born, report.limit, responded_at);
            engine_share.apply(report, now);
        } else if engine_share.is_incarnation(report.born)
            && responded_at > engine_share.responded_at
        {
            engine_share.apply(report, now);
        }
    }

    /// Takes what the ledger grants; returns whether there are permits now.
    pub fn receive_grants(&mut self, grants: &[PermitGrant], now: ClockMillis) -> bool {
        let mut permits_changed = false;
        for grant in grants {
            let Some(engine_share) = self.engines.get_mut(&grant.engine) else { continue };
            if grant.unknown {
                engine_share.resend();
            }
            engine_share.received += u64::from(grant.permits);
            for _ in 0..grant.permits {
                // Whoever waited has left: others wait elsewhere.
                if !engine_share.wants_permit(now) {
                    engine_share.unused += 1;
                    continue;
                }
                engine_share.permits.push_back(now + PERMIT_TTL);
                permits_changed = true;
            }
            if let Some(wait) = grant.wait {
                engine_share.expected_at = Some(now + wait);
                permits_changed = true;
            }
        }
        permits_changed
    }

    /// Returns the pending reports.
    pub fn take_pending(&mut self, now: ClockMillis) -> LimitUpdate {
        let mut update = LimitUpdate::default();
        let mut diverted = 0;
        for (engine, engine_share) in &mut self.engines {
            engine_share.drop_expired_permits(now);
            if std::mem::take(&mut engine_share.pending) {
                update.reports.push(engine_share.report(engine, now));
            }
            let Some(demand) = engine_share.due_demand(now) else { continue };
            let only_diverted = demand.resumed + demand.waiting == 0;
            diverted += usize::from(only_diverted);
            if only_diverted && diverted > MAX_DIVERTED_DEMANDS {
                continue;
            }
            engine_share.sent.clone_from(&demand);
            (engine_share.sent_at, engine_share.unpermitted) = (now, 0);
            update.demands.push((Arc::clone(engine), demand));
        }
        update
    }

    /// Marks reports that could not be sent as pending again.
    pub fn resend(&mut self, update: &LimitUpdate) {
        for report in &update.reports {
            if let Some(engine_share) = self.engines.get_mut(&report.engine) {
                engine_share.pending = true;
            }
        }
        for (engine, demand) in &update.demands {
            if let Some(engine_share) = self.engines.get_mut(engine) {
                engine_share.sent = PermitDemand::default();
                engine_share.unpermitted += demand.unpermitted;
            }
        }
    }

    /// Marks everything as pending for another ledger, which counts this host's permits anew.
    pub fn resend_all(&mut self) {
        for engine_share in self.engines.values_mut() {
            engine_share.pending = true;
            (engine_share.received, engine_share.unused) = (0, 0);
            (engine_share.sent, engine_share.expected_at) = (PermitDemand::default(), None);
        }
    }

    /// Grants this host a part of each limit where it stands in for a ledger that is silent; returns whether there are permits now.
    /// `is_fallback` tells whether this host does so for an engine.
    pub fn grant_fallback_permits(
        &mut self,
        is_fallback: impl Fn(&str) -> bool,
        now: ClockMillis,
    ) -> bool {
        if self.receives_ledger(now) {
            return false;
        }
        let mut permits_changed = false;
        self.engines.retain(|engine, engine_share| {
            if engine_share.recovering
                && now.since(engine_share.responded_at) >= UNCOORDINATED_LIFT_DELAY
            {
                permits_changed = true;
                return false;
            }
            if is_fallback(engine) {
                engine_share.drop_expired_permits(now);
                let bucket =
                    engine_share.fallback_bucket.get_or_insert_with(|| TokenBucket::empty(now));
                let rate = engine_share.limit.per_second().max(PROBE_RATE) * UNCOORDINATED_FRACTION;
                bucket.refill(rate, now);
                if engine_share.permits.is_empty() && bucket.take() {
                    engine_share.permits.push_back(now + PERMIT_TTL);
                    permits_changed = true;
                }
            } else {
                engine_share.fallback_bucket = None;
            }
            true
        });
        permits_changed
    }
}
