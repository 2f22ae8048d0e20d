//! What one host knows of one engine's limit.

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

/// How often an unchanged demand is resent: the ledger drops it after three times as long.
const DEMAND_RENEWAL: Duration = Duration::from_millis(500);

/// How long a wish holds, until its permit comes: an engine that was preferred once may not be the next time.
const WISH_HOLDS: Duration = Duration::from_millis(250);

/// The least time between two demands for an engine for which no request waits.
const WISH_PAUSE: Duration = Duration::from_millis(250);

/// What this host knows of one engine's limit.
#[derive(Debug, Clone)]
pub(super) struct EngineShare {
    pub(super) born: EngineIncarnation,
    /// The limit that the engine declared last.
    pub(super) limit: RequestLimit,
    /// Whether it has declared none since.
    pub(super) ended: bool,
    /// When the response began that declared it.
    pub(super) said: ClockMillis,
    /// When the request of that response was sent.
    pub(super) asked: ClockMillis,
    /// When this host itself last received a response that declared it. The age of the ledger's reports is known less well: their
    /// time in transit is not counted.
    pub(super) named_here: Option<ClockMillis>,
    /// Whether the ledger has to receive it.
    pub(super) pending: bool,
    /// Until when each permit may be used.
    pub(super) permits: VecDeque<ClockMillis>,
    pub(super) resumed: u32,
    pub(super) waiting: u32,
    pub(super) wished: Option<ClockMillis>,
    pub(super) got: u64,
    pub(super) unused: u64,
    pub(super) unpermitted: u64,
    /// The demand that was sent last.
    pub(super) sent: PermitDemand,
    pub(super) sent_at: ClockMillis,
    /// When the ledger expects a permit for the last request that waits.
    pub(super) due: Option<ClockMillis>,
    /// The time of return that the last rejected client was given.
    pub(super) returns: Option<ClockMillis>,
    /// What this host may use where it stands in for the ledger.
    pub(super) alone: Option<TokenBucket>,
}

impl EngineShare {
    pub(super) fn new(born: EngineIncarnation, limit: RequestLimit, said: ClockMillis) -> Self {
        Self {
            born,
            limit,
            ended: false,
            said,
            asked: said,
            named_here: None,
            pending: true,
            permits: VecDeque::new(),
            resumed: 0,
            waiting: 0,
            wished: None,
            got: 0,
            unused: 0,
            unpermitted: 0,
            sent: PermitDemand::default(),
            sent_at: ClockMillis::default(),
            due: None,
            returns: None,
            alone: None,
        }
    }

    pub(super) const fn is_incarnation(&self, born: EngineIncarnation) -> bool {
        is_same_incarnation(self.born, born)
    }

    /// Replaces the state of an earlier incarnation; requests that wait go on waiting.
    pub(super) fn begin_incarnation(
        &mut self,
        born: EngineIncarnation,
        limit: RequestLimit,
        said: ClockMillis,
    ) {
        let Self { resumed, waiting, got, unused, unpermitted, .. } = *self;
        *self = Self { resumed, waiting, got, unused, unpermitted, ..Self::new(born, limit, said) };
    }

    /// Applies a report of the ledger, which need not receive it back.
    pub(super) fn apply(&mut self, report: &LimitReport, now: ClockMillis) {
        (self.limit, self.ended) = (report.limit, report.state != LimitState::Named);
        (self.said, self.asked) = (now - report.said_ago, now - report.asked_ago);
        self.pending = false;
    }

    /// Marks the limit and its pending demand as unsent, so that the next report includes both.
    pub(super) fn resend(&mut self) {
        self.pending = true;
        self.sent = PermitDemand::default();
    }

    /// Returns whether this host itself has received no limit since a report of the ledger.
    pub(super) fn is_older_than(&self, said: ClockMillis) -> bool {
        self.named_here.is_none_or(|named| said >= named)
    }

    pub(super) fn drop_old_permits(&mut self, now: ClockMillis) {
        while self.permits.front().is_some_and(|until| *until <= now) {
            self.permits.pop_front();
            self.unused += 1;
        }
    }

    /// Returns how many permits there are for a use.
    pub(super) fn permits_for(&self, wanted: PermitUse) -> u32 {
        let permits = u32::try_from(self.permits.len()).unwrap_or(u32::MAX);
        match wanted {
            PermitUse::Resumed => permits,
            PermitUse::Waiting => permits.saturating_sub(self.resumed),
            PermitUse::New => permits.saturating_sub(self.resumed.saturating_add(self.waiting)),
        }
    }

    /// Returns whether a request of this host would use one more permit.
    pub(super) fn wants_permit(&self, now: ClockMillis) -> bool {
        let demand = self.demand(now);
        demand.resumed > 0 || demand.waiting > 0 || demand.wished
    }

    pub(super) fn demand(&self, now: ClockMillis) -> PermitDemand {
        let mut permits = u32::try_from(self.permits.len()).unwrap_or(u32::MAX);
        let [resumed, waiting] = [self.resumed, self.waiting].map(|wanted| {
            let covered = wanted.min(permits);
            permits -= covered;
            wanted - covered
        });
        let wished = self.wished.is_some_and(|wished| now.since(wished) < WISH_HOLDS);
        let Self { got, unused, unpermitted, .. } = *self;
        PermitDemand { resumed, waiting, wished: wished && permits == 0, got, unused, unpermitted }
    }

    /// Returns the demand if it is due to be sent.
    pub(super) fn due_demand(&self, now: ClockMillis) -> Option<PermitDemand> {
        let demand = self.demand(now);
        let waits = demand.resumed > 0 || demand.waiting > 0;
        let waited = self.sent.resumed > 0 || self.sent.waiting > 0;
        let since = now.since(self.sent_at);
        let due = if waits || waited {
            demand != self.sent || since >= DEMAND_RENEWAL
        } else {
            // Received permits are reported with the next demand, unused ones at once, unpermitted calls soon.
            let unused = demand.unused != self.sent.unused;
            unused || (demand.wished || demand.unpermitted > 0) && since >= WISH_PAUSE
        };
        due.then_some(demand)
    }

    pub(super) fn report(&self, engine: &EngineName, now: ClockMillis) -> LimitReport {
        LimitReport {
            engine: Arc::clone(engine),
            born: self.born,
            limit: self.limit,
            state: if self.ended { LimitState::Ended } else { LimitState::Named },
            said_ago: now.since(self.said),
            asked_ago: now.since(self.asked),
        }
    }
}
