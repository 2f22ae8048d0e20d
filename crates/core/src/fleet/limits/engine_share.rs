//! One host's view of one engine's limit.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{
        EngineIncarnation, EngineName, is_same_incarnation,
        limits::{
            bucket::TokenBucket,
            limit::RequestLimit,
            report::{LimitReport, LimitState, PermitDemand},
            share::PermitUse,
        },
    },
};

/// The interval at which an unchanged demand is resent. The ledger drops a demand after three intervals.
const DEMAND_RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// How long a diverted request counts as demand.
const DIVERTED_DEMAND_TTL: Duration = Duration::from_millis(250);

/// The least time between two demands for an engine for which no request waits.
const DIVERTED_DEMAND_INTERVAL: Duration = Duration::from_millis(250);

/// One host's view of one engine's limit.
#[derive(Debug, Clone)]
pub(super) struct EngineShare {
    pub(super) incarnation: EngineIncarnation,
    /// The last declared limit.
    pub(super) limit: RequestLimit,
    /// Whether the engine has responded without a limit since.
    pub(super) recovering: bool,
    /// When the response that last declared the limit or its end began.
    pub(super) responded_at: ClockMillis,
    /// When the engine was last listed in this incarnation.
    pub(super) listed_at: ClockMillis,
    /// When the request of that response was sent.
    pub(super) requested_at: ClockMillis,
    /// Until then this host needs no permits.
    pub(super) in_force_from: ClockMillis,
    /// When this host itself last received a response that declared the limit. Times from the ledger's reports are
    /// less exact, since their time in transit is not counted.
    pub(super) declared_here_at: Option<ClockMillis>,
    /// Whether the ledger still has to receive this state.
    pub(super) pending: bool,
    /// The expiry time of each permit.
    pub(super) permits: VecDeque<ClockMillis>,
    pub(super) resumed: u32,
    pub(super) waiting: u32,
    pub(super) diverted_at: Option<ClockMillis>,
    pub(super) received: u64,
    pub(super) unused: u64,
    pub(super) unpermitted: u64,
    pub(super) rejected: u32,
    /// The demand that was last sent.
    pub(super) sent: PermitDemand,
    pub(super) sent_at: ClockMillis,
    /// When the ledger expects to grant a permit for the last waiting request.
    pub(super) expected_at: Option<ClockMillis>,
    /// The retry time that the last rejected client was given.
    pub(super) last_retry_at: Option<ClockMillis>,
    /// The bucket that this host uses while it is the fallback for the ledger.
    pub(super) fallback_bucket: Option<TokenBucket>,
}

impl EngineShare {
    pub(super) fn new(
        incarnation: EngineIncarnation,
        limit: RequestLimit,
        responded_at: ClockMillis,
    ) -> Self {
        Self {
            incarnation,
            limit,
            recovering: false,
            responded_at,
            listed_at: responded_at,
            requested_at: responded_at,
            in_force_from: ClockMillis::default(),
            declared_here_at: None,
            pending: true,
            permits: VecDeque::new(),
            resumed: 0,
            waiting: 0,
            diverted_at: None,
            received: 0,
            unused: 0,
            unpermitted: 0,
            rejected: 0,
            sent: PermitDemand::default(),
            sent_at: ClockMillis::default(),
            expected_at: None,
            last_retry_at: None,
            fallback_bucket: None,
        }
    }

    pub(super) const fn is_incarnation(&self, incarnation: EngineIncarnation) -> bool {
        is_same_incarnation(self.incarnation, incarnation)
    }

    /// Replaces the state of an earlier incarnation; waiting requests keep waiting.
    pub(super) fn begin_incarnation(
        &mut self,
        incarnation: EngineIncarnation,
        limit: RequestLimit,
        responded_at: ClockMillis,
    ) {
        let Self { resumed, waiting, received, unused, unpermitted, rejected, .. } = *self;
        *self = Self {
            resumed,
            waiting,
            received,
            unused,
            unpermitted,
            rejected,
            ..Self::new(incarnation, limit, responded_at)
        };
    }

    /// Applies a report of the ledger, which need not be sent back.
    pub(super) fn apply(&mut self, report: &LimitReport, now: ClockMillis) {
        (self.limit, self.recovering) = (report.limit, report.state != LimitState::Active);
        (self.responded_at, self.requested_at) =
            (now - report.responded_ago, now - report.requested_ago);
        self.pending = false;
    }

    /// Marks the limit and its demand as unsent, so that the next report includes both.
    pub(super) fn resend(&mut self) {
        self.pending = true;
        self.sent = PermitDemand::default();
    }

    /// Returns whether this host itself has received no declaration after `responded_at`.
    pub(super) fn has_no_declaration_after(&self, responded_at: ClockMillis) -> bool {
        self.declared_here_at.is_none_or(|declared_at| responded_at >= declared_at)
    }

    pub(super) fn drop_expired_permits(&mut self, now: ClockMillis) {
        while self.permits.front().is_some_and(|until| *until <= now) {
            self.permits.pop_front();
            self.unused += 1;
        }
    }

    /// Returns how many permits a request of this kind may use.
    pub(super) fn available_permits(&self, wanted: PermitUse) -> u32 {
        let permits = u32::try_from(self.permits.len()).unwrap_or(u32::MAX);
        match wanted {
            PermitUse::Resumed => permits,
            PermitUse::Waiting => permits.saturating_sub(self.resumed),
            PermitUse::New => permits.saturating_sub(self.resumed.saturating_add(self.waiting)),
        }
    }

    /// Returns whether a request of this host would use one more permit.
    pub(super) fn wants_permit(&self, now: ClockMillis) -> bool {
        let demand = self.demand(0, now);
        demand.resumed > 0 || demand.waiting > 0 || demand.diverted
    }

    /// Returns the demand of this host, which has `open` requests open at the engine.
    pub(super) fn demand(&self, open: u32, now: ClockMillis) -> PermitDemand {
        let mut permits = u32::try_from(self.permits.len()).unwrap_or(u32::MAX);
        let [resumed, waiting] = [self.resumed, self.waiting].map(|wanted| {
            let covered = wanted.min(permits);
            permits -= covered;
            wanted - covered
        });
        let diverted = self
            .diverted_at
            .is_some_and(|diverted_at| now.since(diverted_at) < DIVERTED_DEMAND_TTL);
        let Self { received, unused, unpermitted, rejected, .. } = *self;
        let unused_permits = u32::try_from(self.permits.len()).unwrap_or(u32::MAX);
        let held = self.limit.max_open().map_or(0, |_| open.saturating_add(unused_permits));
        PermitDemand {
            resumed,
            waiting,
            diverted: diverted && permits == 0,
            received,
            unused,
            unpermitted,
            held,
            rejected,
        }
    }

    /// Returns the demand if it is due to be sent.
    pub(super) fn due_demand(&self, open: u32, now: ClockMillis) -> Option<PermitDemand> {
        let demand = self.demand(open, now);
        let waits = demand.resumed > 0 || demand.waiting > 0;
        let waited_before = self.sent.resumed > 0 || self.sent.waiting > 0;
        let elapsed = now.since(self.sent_at);
        let due = if waits || waited_before {
            demand != self.sent || elapsed >= DEMAND_RENEWAL_INTERVAL
        } else {
            // Received permits are reported with the next demand, unused ones at once, unpermitted calls at the
            // interval.
            let unused = demand.unused != self.sent.unused;
            let held = demand.held != self.sent.held
                || demand.held > 0 && elapsed >= DEMAND_RENEWAL_INTERVAL;
            unused
                || held
                || demand.rejected > 0
                || (demand.diverted || demand.unpermitted > 0)
                    && elapsed >= DIVERTED_DEMAND_INTERVAL
        };
        due.then_some(demand)
    }

    pub(super) fn report(&self, engine: &EngineName, now: ClockMillis) -> LimitReport {
        LimitReport {
            engine: Arc::clone(engine),
            incarnation: self.incarnation,
            limit: self.limit,
            state: if self.recovering { LimitState::Recovering } else { LimitState::Active },
            responded_ago: now.since(self.responded_at),
            requested_ago: now.since(self.requested_at),
            settles_in: self.in_force_from.since(now),
        }
    }
}
