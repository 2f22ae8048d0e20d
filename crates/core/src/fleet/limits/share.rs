//! The limits and permits that one host knows.

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
            ledger::{ALONE_PART, PROBE_RATE},
            limit::{AnswerReport, RequestLimit},
            report::{LimitReport, PermitDemand, PermitGrant},
        },
    },
};

/// How long a permit may be used: what is saved up at hosts adds to what reaches an engine in a window, and a host that was stopped
/// must not use later what others have got since. A request that waits uses it at once.
const PERMIT_HOLDS: Duration = Duration::from_millis(400);

/// How long the ledger may be silent: it publishes twice a second.
const LEDGER_SILENCE: Duration = Duration::from_millis(1200);

/// How long an engine must have declared no limit to a host that receives no ledger.
const RETURNS_ALONE: Duration = Duration::from_secs(3);

/// How many demands without a waiting request a host sends at a time: one of a large fleet may prefer hundreds of engines in turn.
const MOST_WISHES: usize = 8;

/// Whether a request may go to an engine as far as its limit goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitStanding {
    /// It has named none.
    Free,
    /// This host has a permit.
    Permitted,
    /// This host has none.
    Used,
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
    received: ClockMillis,
    news: EventThrottle,
}

impl LimitShare {
    /// Takes what a response of an engine declares; `now` is when the response began. Returns whether the ledger has to receive it.
    pub fn answered(
        &mut self,
        engine: &EngineName,
        born: EngineIncarnation,
        report: AnswerReport,
        now: ClockMillis,
    ) -> bool {
        match report.said {
            Declared::Present(limit) => {
                let new = || EngineShare::new(born, limit, now);
                let known = self.engines.entry(Arc::clone(engine)).or_insert_with(new);
                if !known.is_incarnation(born) {
                    known.begin_incarnation(born, limit, now);
                }
                known.pending |= known.ended || known.limit != limit;
                (known.limit, known.ended, known.said, known.asked) =
                    (limit, false, now, report.asked);
                known.named_here = Some(now);
                known.pending
            }
            Declared::Absent if report.would_say => {
                let known = self.engines.get_mut(engine);
                let known =
                    known.filter(|known| known.is_incarnation(born) && report.asked > known.said);
                known.is_some_and(|known| {
                    known.pending |= !known.ended;
                    (known.ended, known.said, known.asked) = (true, now, report.asked);
                    known.pending
                })
            }
            Declared::Absent => false,
            Declared::Unreadable => {
                self.news.unreadable(engine);
                false
            }
        }
    }

    /// Returns how many engines have a limit.
    pub fn limited(&self) -> usize {
        self.engines.len()
    }

    /// Returns whether an engine has a limit, or returns slowly from one.
    pub fn is_limited(&self, engine: &str) -> bool {
        self.engines.contains_key(engine)
    }

    /// Returns whether an engine declares a limit, as far as this host knows.
    pub fn names_limit(&self, engine: &str) -> bool {
        self.engines.get(engine).is_some_and(|known| !known.ended)
    }

    /// Returns the limits of the engines that have one, or return slowly from it.
    pub fn known(&self) -> HashMap<EngineName, RequestLimit> {
        let known = self.engines.iter();
        known.map(|(engine, known)| (Arc::clone(engine), known.limit)).collect()
    }

    /// Forgets engines that are no longer listed in that incarnation; `life` returns the one that is listed.
    pub fn retain(&mut self, life: impl Fn(&str) -> Option<EngineIncarnation>) {
        self.engines
            .retain(|engine, known| life(engine).is_some_and(|born| known.is_incarnation(born)));
        self.news.retain(|engine| life(engine).is_some());
    }

    /// Returns what is to be logged now.
    pub fn take_events(&mut self, now: ClockMillis) -> Vec<LimitEvent> {
        let known = self.engines.iter();
        let known = known.map(|(engine, known)| (engine, known.born, known.limit));
        self.news.take(known, now)
    }
}

impl LimitShare {
    /// Returns whether a request may go to an engine now.
    pub fn standing(&mut self, engine: &str, wanted: PermitUse, now: ClockMillis) -> LimitStanding {
        let Some(known) = self.engines.get_mut(engine) else { return LimitStanding::Free };
        known.drop_old_permits(now);
        if known.permits_for(wanted) > 0 { LimitStanding::Permitted } else { LimitStanding::Used }
    }

    /// Takes a permit for a call to an engine; returns false where it has a limit and there is none.
    pub fn take(&mut self, engine: &str, wanted: PermitUse, now: ClockMillis) -> bool {
        match self.standing(engine, wanted, now) {
            LimitStanding::Free => true,
            LimitStanding::Used => false,
            LimitStanding::Permitted => {
                let known = self.engines.get_mut(engine);
                known.is_some_and(|known| known.permits.pop_front().is_some())
            }
        }
    }

    /// Puts back a permit for a call that was not made.
    pub fn give_back(&mut self, engine: &str, now: ClockMillis) {
        if let Some(known) = self.engines.get_mut(engine) {
            known.permits.push_back(now + PERMIT_HOLDS);
        }
    }

    /// Counts a call that has to be made without a permit: the ledger makes up for it.
    pub fn count_unpermitted(&mut self, engine: &str) {
        if let Some(known) = self.engines.get_mut(engine) {
            known.unpermitted += 1;
        }
    }

    /// Takes that a request begins to wait for a permit.
    pub fn wait_began(&mut self, engine: &str, wanted: PermitUse) {
        if let Some(known) = self.engines.get_mut(engine) {
            match wanted {
                PermitUse::Resumed => known.resumed += 1,
                PermitUse::Waiting | PermitUse::New => known.waiting += 1,
            }
        }
    }

    /// Takes that a request waits no longer for a permit.
    pub fn wait_ended(&mut self, engine: &str, wanted: PermitUse) {
        if let Some(known) = self.engines.get_mut(engine) {
            let count = match wanted {
                PermitUse::Resumed => &mut known.resumed,
                PermitUse::Waiting | PermitUse::New => &mut known.waiting,
            };
            *count = count.saturating_sub(1);
        }
    }

    /// Takes that a request would have gone to an engine, had there been a permit.
    pub fn wish(&mut self, engine: &str, now: ClockMillis) {
        if let Some(known) = self.engines.get_mut(engine) {
            known.wished = Some(now);
        }
    }

    /// Returns in what time one more request may expect a permit for an engine; `None` where nobody can say yet.
    pub fn expected(&self, engine: &str, now: ClockMillis) -> Option<Duration> {
        let known = self.engines.get(engine)?;
        known.due.map(|due| due.since(now))
    }

    /// Returns when a client that is told to come back may expect a permit, where `hosts` tell clients so.
    ///
    /// Each that is told so comes a turn later than the one before, so that not all return together.
    pub fn return_time(&mut self, engine: &str, hosts: u32, now: ClockMillis) -> Option<Duration> {
        let known = self.engines.get_mut(engine)?;
        let turn = f64::from(hosts.max(1)) / known.limit.per_second().max(PROBE_RATE);
        let turn = Duration::try_from_secs_f64(turn).unwrap_or(Duration::MAX);
        let first = known.due.unwrap_or(now).max(now);
        let next = known.returns.map_or(first, |last| (last + turn).max(first));
        known.returns = Some(next);
        Some(next.since(now))
    }

    /// Returns how many requests of this host wait for an engine, against its limit. Unit: seconds.
    pub fn queue(&self, engine: &str) -> f64 {
        let Some(known) = self.engines.get(engine) else { return 0.0 };
        f64::from(known.resumed + known.waiting) / known.limit.per_second().max(PROBE_RATE)
    }
}

impl LimitShare {
    /// Takes that a frame of the ledger has arrived.
    pub fn ledger_received(&mut self, now: ClockMillis) {
        self.received = now;
        for known in self.engines.values_mut() {
            known.alone = None;
        }
    }

    /// Returns whether frames of the ledger arrive.
    pub fn receives_ledger(&self, now: ClockMillis) -> bool {
        self.received != ClockMillis::default() && now.since(self.received) < LEDGER_SILENCE
    }

    /// Applies a report of the ledger; what this host has received itself since takes precedence.
    pub fn receive(&mut self, report: &LimitReport, now: ClockMillis) {
        let said = now - report.said_ago;
        let known = self.engines.get_mut(&report.engine);
        if report.is_back() {
            let known = known.filter(|known| known.is_incarnation(report.born));
            if known.is_some_and(|known| known.ended || known.is_older_than(said)) {
                self.engines.remove(&report.engine);
            }
            return;
        }
        let Some(known) = known else {
            let mut new = EngineShare::new(report.born, report.limit, said);
            new.apply(report, now);
            self.engines.insert(Arc::clone(&report.engine), new);
            return;
        };
        if !known.is_incarnation(report.born) && said >= known.said {
            known.begin_incarnation(report.born, report.limit, said);
            known.apply(report, now);
        } else if known.is_incarnation(report.born) && said > known.said {
            known.apply(report, now);
        }
    }

    /// Takes what the ledger grants; returns whether there are permits now.
    pub fn granted(&mut self, grants: &[PermitGrant], now: ClockMillis) -> bool {
        let mut any = false;
        for grant in grants {
            let Some(known) = self.engines.get_mut(&grant.engine) else { continue };
            if grant.unknown {
                known.resend();
            }
            known.got += u64::from(grant.permits);
            for _ in 0..grant.permits {
                // Whoever waited has left: others wait elsewhere.
                if !known.wants_permit(now) {
                    known.unused += 1;
                    continue;
                }
                known.permits.push_back(now + PERMIT_HOLDS);
                any = true;
            }
            if let Some(wait) = grant.wait {
                known.due = Some(now + wait);
                any = true;
            }
        }
        any
    }

    /// Returns the pending reports.
    pub fn take_pending(&mut self, now: ClockMillis) -> LimitUpdate {
        let mut update = LimitUpdate::default();
        let mut wishes = 0;
        for (engine, known) in &mut self.engines {
            known.drop_old_permits(now);
            if std::mem::take(&mut known.pending) {
                update.reports.push(known.report(engine, now));
            }
            let Some(demand) = known.due_demand(now) else { continue };
            let only_wishes = demand.resumed + demand.waiting == 0;
            wishes += usize::from(only_wishes);
            if only_wishes && wishes > MOST_WISHES {
                continue;
            }
            known.sent.clone_from(&demand);
            (known.sent_at, known.unpermitted) = (now, 0);
            update.demands.push((Arc::clone(engine), demand));
        }
        update
    }

    /// Marks reports that could not be sent as pending again.
    pub fn resend(&mut self, update: &LimitUpdate) {
        for report in &update.reports {
            if let Some(known) = self.engines.get_mut(&report.engine) {
                known.pending = true;
            }
        }
        for (engine, demand) in &update.demands {
            if let Some(known) = self.engines.get_mut(engine) {
                known.sent = PermitDemand::default();
                known.unpermitted += demand.unpermitted;
            }
        }
    }

    /// Marks everything as pending for another ledger, which counts this host's permits anew.
    pub fn resend_all(&mut self) {
        for known in self.engines.values_mut() {
            known.pending = true;
            (known.got, known.unused) = (0, 0);
            (known.sent, known.due) = (PermitDemand::default(), None);
        }
    }

    /// Grants this host a part of each limit where it stands in for a ledger that is silent; returns whether there are permits now.
    /// `stands_in` tells whether this host does so for an engine.
    pub fn stand_alone(&mut self, stands_in: impl Fn(&str) -> bool, now: ClockMillis) -> bool {
        if self.receives_ledger(now) {
            return false;
        }
        let mut any = false;
        self.engines.retain(|engine, known| {
            if known.ended && now.since(known.said) >= RETURNS_ALONE {
                any = true;
                return false;
            }
            if stands_in(engine) {
                known.drop_old_permits(now);
                let bucket = known.alone.get_or_insert_with(|| TokenBucket::empty(now));
                let rate = known.limit.per_second().max(PROBE_RATE) * ALONE_PART;
                bucket.refill(rate, now);
                if known.permits.is_empty() && bucket.take() {
                    known.permits.push_back(now + PERMIT_HOLDS);
                    any = true;
                }
            } else {
                known.alone = None;
            }
            true
        });
        any
    }
}
