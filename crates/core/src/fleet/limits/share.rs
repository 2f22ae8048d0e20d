//! One host's view of engines' limits, and its permits.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{
        EngineIncarnation, EngineName,
        announcement::Declared,
        limits::{
            bucket::TokenBucket,
            engine_share::EngineShare,
            events::{EventThrottle, LimitEvent},
            ledger::{PROBE_RATE, UNCOORDINATED_FRACTION},
            limit::{BRITTLE_RETENTION, LimitDeclaration, RequestLimit},
            open_room::SETTLING_TIME,
            report::{LimitReport, PermitDemand, PermitGrant},
        },
    },
};

/// How long a permit is valid. Permits held by hosts add to what reaches an engine in a window, and a host that was
/// paused must not use permits that have been granted again elsewhere since.
const PERMIT_TTL: Duration = Duration::from_millis(400);

/// How long the ledger may be silent before it counts as unreachable; it publishes twice a second.
const LEDGER_TIMEOUT: Duration = Duration::from_millis(1200);

/// How long an engine must have declared no limit before a host without a ledger lifts it.
const UNCOORDINATED_LIFT_DELAY: Duration = Duration::from_secs(3);

/// The most demands without a waiting request that a host sends at a time: a host of a large fleet may divert
/// requests from hundreds of engines.
const MAX_DIVERTED_DEMANDS: usize = 8;

/// Whether an engine's limit admits a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitStatus {
    /// The engine has no limit.
    Unlimited,
    /// This host holds a permit.
    Permitted,
    /// This host holds no permit.
    Exhausted,
}

/// The kind of request that a permit is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitUse {
    /// A request that has not waited; it leaves permits to those that wait.
    New,
    /// A request that waits.
    Waiting,
    /// An interrupted stream that waits; its client has a part of the response.
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

/// One host's view of engines' limits, and its permits.
#[derive(Debug, Clone, Default)]
pub struct LimitShare {
    engines: HashMap<EngineName, EngineShare>,
    /// The number of this host's open requests at each engine, with a limit or not.
    open: HashMap<EngineName, u32>,
    /// When a frame of the ledger last arrived.
    ledger_received_at: ClockMillis,
    event_throttle: EventThrottle,
}

impl LimitShare {
    /// Applies what a response declares; `now` is when the response began. Returns whether the ledger has to
    /// receive it.
    pub fn receive_declaration(
        &mut self,
        engine: &EngineName,
        incarnation: EngineIncarnation,
        declaration: LimitDeclaration,
        now: ClockMillis,
    ) -> bool {
        match declaration.limit {
            Declared::Present(limit) => {
                let new = || {
                    let settling = limit.max_open().map_or(Duration::ZERO, |_| SETTLING_TIME);
                    let in_force_from = now + settling;
                    EngineShare { in_force_from, ..EngineShare::new(incarnation, limit, now) }
                };
                let share = self.engines.entry(Arc::clone(engine)).or_insert_with(new);
                if !share.is_incarnation(incarnation) {
                    share.begin_incarnation(incarnation, limit, now);
                }
                share.pending |= share.recovering || share.limit != limit;
                (share.limit, share.recovering, share.responded_at, share.requested_at) =
                    (limit, false, now, declaration.requested_at);
                share.declared_here_at = Some(now);
                share.pending
            }
            Declared::Absent if declaration.absence_is_conclusive => {
                let share = self.engines.get_mut(engine);
                let share = share.filter(|share| {
                    share.is_incarnation(incarnation)
                        && declaration.requested_at > share.responded_at
                });
                share.is_some_and(|share| {
                    share.pending |= !share.recovering;
                    (share.recovering, share.responded_at, share.requested_at) =
                        (true, now, declaration.requested_at);
                    share.pending
                })
            }
            Declared::Absent => false,
            Declared::Unreadable => {
                self.event_throttle.unreadable(engine);
                false
            }
        }
    }

    /// Returns the number of engines with a limit.
    pub fn limited_count(&self) -> usize {
        self.engines.len()
    }

    /// Returns whether an engine has a limit or recovers from one.
    pub fn is_limited(&self, engine: &str) -> bool {
        self.engines.contains_key(engine)
    }

    /// Returns whether an engine declares a limit, as far as this host knows.
    pub fn declares_limit(&self, engine: &str) -> bool {
        self.engines.get(engine).is_some_and(|share| !share.recovering)
    }

    /// Returns the limits of all engines whose rate is limited or recovers from a limit.
    pub fn rate_limits(&self) -> HashMap<EngineName, RequestLimit> {
        let shares = self.engines.iter().filter(|(_, share)| share.limit.rate().is_some());
        shares.map(|(engine, share)| (Arc::clone(engine), share.limit)).collect()
    }

    /// Drops engines that are no longer listed in that incarnation; `incarnation_of` returns the listed one.
    ///
    /// A brittle engine that restarts is brittle until it responds otherwise.
    pub fn retain(
        &mut self,
        incarnation_of: impl Fn(&str) -> Option<EngineIncarnation>,
        now: ClockMillis,
    ) {
        self.engines.retain(|engine, share| {
            let listed = incarnation_of(engine);
            let is_listed = listed.is_some_and(|incarnation| share.is_incarnation(incarnation));
            if is_listed {
                share.listed_at = now;
            }
            let limits_open = share.limit.max_open().is_some();
            if limits_open && now.since(share.listed_at) < BRITTLE_RETENTION {
                share.incarnation = listed.unwrap_or(share.incarnation);
                return true;
            }
            is_listed
        });
        self.event_throttle.retain(|engine| incarnation_of(engine).is_some());
    }

    /// Returns the events to log now.
    pub fn take_events(&mut self, now: ClockMillis) -> Vec<LimitEvent> {
        let shares = self.engines.iter();
        let limits = shares.map(|(engine, share)| (engine, share.incarnation, share.limit));
        self.event_throttle.take(limits, now)
    }
}

impl LimitShare {
    /// Returns whether an engine's limit admits a request now.
    pub fn limit_status(
        &mut self,
        engine: &str,
        wanted: PermitUse,
        now: ClockMillis,
    ) -> LimitStatus {
        let Some(share) = self.engines.get_mut(engine) else {
            return LimitStatus::Unlimited;
        };
        if now < share.in_force_from {
            return LimitStatus::Unlimited;
        }
        share.drop_expired_permits(now);
        if share.available_permits(wanted) > 0 {
            LimitStatus::Permitted
        } else {
            LimitStatus::Exhausted
        }
    }

    /// Takes a permit for a call to an engine; returns false if the engine has a limit and no permit is left.
    pub fn take(&mut self, engine: &str, wanted: PermitUse, now: ClockMillis) -> bool {
        match self.limit_status(engine, wanted, now) {
            LimitStatus::Unlimited => true,
            LimitStatus::Exhausted => false,
            LimitStatus::Permitted => {
                let share = self.engines.get_mut(engine);
                share.is_some_and(|share| share.permits.pop_front().is_some())
            }
        }
    }

    /// Returns a permit whose call was not made.
    pub fn refund(&mut self, engine: &str, now: ClockMillis) {
        if let Some(share) = self.engines.get_mut(engine) {
            share.permits.push_back(now + PERMIT_TTL);
        }
    }

    /// Counts a call that is made without a permit; the ledger charges it to the engine's rate.
    pub fn count_unpermitted(&mut self, engine: &str) {
        if let Some(share) = self.engines.get_mut(engine) {
            share.unpermitted += 1;
        }
    }

    /// Counts a request as open at an engine until [`Self::end_request`].
    pub fn begin_request(&mut self, engine: &EngineName) {
        *self.open.entry(Arc::clone(engine)).or_default() += 1;
    }

    /// Counts a request as ended; returns whether the ledger has to receive that.
    pub fn end_request(&mut self, engine: &str) -> bool {
        if let Some(open) = self.open.get_mut(engine) {
            *open -= 1;
            if *open == 0 {
                self.open.remove(engine);
            }
        }
        self.engines.get(engine).is_some_and(|share| share.limit.max_open().is_some())
    }

    /// Records that an engine rejected a request for lack of room. Unused permits are returned, since the ledger granted
    /// them before it knew.
    pub fn record_rejection(&mut self, engine: &str) {
        let share = self.engines.get_mut(engine);
        if let Some(share) = share.filter(|share| share.limit.max_open().is_some()) {
            share.rejected = share.rejected.saturating_add(1);
            share.unused += share.permits.len() as u64;
            share.permits.clear();
        }
    }

    /// Records that a request starts to wait for a permit.
    pub fn begin_wait(&mut self, engine: &str, wanted: PermitUse) {
        if let Some(share) = self.engines.get_mut(engine) {
            match wanted {
                PermitUse::Resumed => share.resumed += 1,
                PermitUse::Waiting | PermitUse::New => share.waiting += 1,
            }
        }
    }

    /// Records that a request no longer waits for a permit.
    pub fn end_wait(&mut self, engine: &str, wanted: PermitUse) {
        if let Some(share) = self.engines.get_mut(engine) {
            let count = match wanted {
                PermitUse::Resumed => &mut share.resumed,
                PermitUse::Waiting | PermitUse::New => &mut share.waiting,
            };
            *count = count.saturating_sub(1);
        }
    }

    /// Records that a request was diverted from an engine for want of a permit.
    pub fn record_diversion(&mut self, engine: &str, now: ClockMillis) {
        if let Some(share) = self.engines.get_mut(engine) {
            share.diverted_at = Some(now);
        }
    }

    /// Returns the expected time until one more request gets a permit; `None` if it is unknown.
    pub fn expected_wait(&self, engine: &str, now: ClockMillis) -> Option<Duration> {
        let share = self.engines.get(engine)?;
        share.expected_at.map(|expected_at| expected_at.since(now))
    }

    /// Returns the time after which a rejected client should retry, given the number of hosts that reject clients.
    ///
    /// Successive calls return later times, so that clients do not all retry at once.
    pub fn retry_after(&mut self, engine: &str, hosts: u32, now: ClockMillis) -> Option<Duration> {
        let share = self.engines.get_mut(engine)?;
        let interval = f64::from(hosts.max(1)) / share.limit.estimated_rate().max(PROBE_RATE);
        let interval = Duration::try_from_secs_f64(interval).unwrap_or(Duration::MAX);
        let first = share.expected_at.unwrap_or(now).max(now);
        let next = share
            .last_retry_at
            .map_or(first, |previous_retry_at| (previous_retry_at + interval).max(first));
        share.last_retry_at = Some(next);
        Some(next.since(now))
    }

    /// Returns the time that the requests waiting here take at the engine's limit. Unit: seconds.
    pub fn queued_seconds(&self, engine: &str) -> f64 {
        let Some(share) = self.engines.get(engine) else { return 0.0 };
        f64::from(share.resumed + share.waiting) / share.limit.estimated_rate().max(PROBE_RATE)
    }
}

impl LimitShare {
    /// Records that a frame of the ledger has arrived.
    pub fn record_ledger_frame(&mut self, now: ClockMillis) {
        self.ledger_received_at = now;
        for share in self.engines.values_mut() {
            share.fallback_bucket = None;
        }
    }

    /// Returns whether frames of the ledger arrive.
    pub fn receives_ledger(&self, now: ClockMillis) -> bool {
        self.ledger_received_at != ClockMillis::default()
            && now.since(self.ledger_received_at) < LEDGER_TIMEOUT
    }

    /// Applies a report of the ledger, unless this host itself has received a later declaration.
    pub fn receive(&mut self, report: &LimitReport, now: ClockMillis) {
        let responded_at = now - report.responded_ago;
        let share = self.engines.get_mut(&report.engine);
        if report.is_lifted() {
            let share = share.filter(|share| share.is_incarnation(report.incarnation));
            if share.is_some_and(|share| {
                share.recovering || share.has_no_declaration_after(responded_at)
            }) {
                self.engines.remove(&report.engine);
            }
            return;
        }
        let Some(share) = share else {
            let mut new = EngineShare::new(report.incarnation, report.limit, responded_at);
            new.in_force_from = now + report.settles_in;
            new.apply(report, now);
            self.engines.insert(Arc::clone(&report.engine), new);
            return;
        };
        if !share.is_incarnation(report.incarnation) && responded_at >= share.responded_at {
            share.begin_incarnation(report.incarnation, report.limit, responded_at);
            share.apply(report, now);
        } else if share.is_incarnation(report.incarnation) && responded_at > share.responded_at {
            share.apply(report, now);
        }
    }

    /// Applies the ledger's grants; returns whether there is a permit or a new expected wait.
    pub fn receive_grants(&mut self, grants: &[PermitGrant], now: ClockMillis) -> bool {
        let mut permits_changed = false;
        for grant in grants {
            let Some(share) = self.engines.get_mut(&grant.engine) else { continue };
            if grant.unknown {
                share.resend();
            }
            share.received += u64::from(grant.permits);
            for _ in 0..grant.permits {
                // The request that asked for the permit has left; it is reported unused, so that another host can
                // use it.
                if !share.wants_permit(now) {
                    share.unused += 1;
                    continue;
                }
                share.permits.push_back(now + PERMIT_TTL);
                permits_changed = true;
            }
            if let Some(wait) = grant.wait {
                share.expected_at = Some(now + wait);
                permits_changed = true;
            }
        }
        permits_changed
    }

    /// Returns the reports and demands that are due.
    pub fn take_pending(&mut self, now: ClockMillis) -> LimitUpdate {
        let mut update = LimitUpdate::default();
        let mut diverted_demands = 0;
        for (engine, share) in &mut self.engines {
            share.drop_expired_permits(now);
            if std::mem::take(&mut share.pending) {
                update.reports.push(share.report(engine, now));
            }
            let open = self.open.get(engine).copied().unwrap_or_default();
            let Some(demand) = share.due_demand(open, now) else { continue };
            let only_diverted = demand.resumed + demand.waiting + demand.rejected == 0
                && demand.held == share.sent.held;
            diverted_demands += usize::from(only_diverted);
            if only_diverted && diverted_demands > MAX_DIVERTED_DEMANDS {
                continue;
            }
            share.sent.clone_from(&demand);
            (share.sent_at, share.unpermitted, share.rejected) = (now, 0, 0);
            update.demands.push((Arc::clone(engine), demand));
        }
        update
    }

    /// Marks reports that could not be sent as pending again.
    pub fn resend(&mut self, update: &LimitUpdate) {
        for report in &update.reports {
            if let Some(share) = self.engines.get_mut(&report.engine) {
                share.pending = true;
            }
        }
        for (engine, demand) in &update.demands {
            if let Some(share) = self.engines.get_mut(engine) {
                share.sent = PermitDemand::default();
                share.unpermitted += demand.unpermitted;
                share.rejected = share.rejected.saturating_add(demand.rejected);
            }
        }
    }

    /// Marks everything as pending for another ledger and restarts the permit counters.
    pub fn resend_all(&mut self) {
        for share in self.engines.values_mut() {
            share.pending = true;
            (share.received, share.unused) = (0, 0);
            (share.sent, share.expected_at) = (PermitDemand::default(), None);
        }
    }

    /// Grants this host a fraction of each limit for which it is the fallback while the ledger is silent; returns
    /// whether permits changed. `is_fallback` returns whether this host is an engine's fallback.
    pub fn grant_fallback_permits(
        &mut self,
        is_fallback: impl Fn(&str) -> bool,
        now: ClockMillis,
    ) -> bool {
        if self.receives_ledger(now) {
            return false;
        }
        let mut permits_changed = false;
        self.engines.retain(|engine, share| {
            if share.recovering && now.since(share.responded_at) >= UNCOORDINATED_LIFT_DELAY {
                permits_changed = true;
                return false;
            }
            if is_fallback(engine) {
                share.drop_expired_permits(now);
                let bucket = share.fallback_bucket.get_or_insert_with(|| TokenBucket::empty(now));
                let rate = share.limit.estimated_rate().max(PROBE_RATE) * UNCOORDINATED_FRACTION;
                bucket.refill(rate, now);
                let open = self.open.get(engine).copied().unwrap_or_default();
                let max_open = share.limit.max_open().map(|max_open| (max_open / 2).max(1));
                let has_room = max_open.is_none_or(|max_open| open < max_open);
                if share.permits.is_empty() && has_room && bucket.take() {
                    share.permits.push_back(now + PERMIT_TTL);
                    permits_changed = true;
                }
            } else {
                share.fallback_bucket = None;
            }
            true
        });
        permits_changed
    }
}
