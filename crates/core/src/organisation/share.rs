//! One host's part in the quotas that all hosts grant together.
//!
//! A host decides on each request by itself. One host, the ledger's, hears from all what they granted
//! ([`super::ledger`]) and tells all, a few times a second, which organisations have little left. As long
//! as it is heard:
//!
//! - an organisation that it does not name has most of its burst left, and is granted what it asks for;
//! - of what one that it names has left, each host grants the part that it had in the recent use.
//!
//! A host that does not hear it any more grants what it granted lately, or an equal part if that is more;
//! the ledger sets as much aside for it.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    organisation::{
        OrganisationName,
        quota::{QuotaLimit, QuotaTolerance, RecentUsage},
    },
};

/// How long the ledger may be silent and still count as heard: more than half as long again as its longest pause.
pub const LEDGER_TIMEOUT: Duration = Duration::from_millis(800);

/// The part of the capacity below which the ledger names an organisation.
pub const LOW_LEVEL_FRACTION: f64 = 0.75;

/// How many times its part a host grants that does not hear the ledger any more: few requests a second show a
/// host's part only roughly. At 1.0 an organisation at half of its quota is refused 4.6% of what it may
/// use while a hall is cut off and 8.4% while nobody keeps the ledger, at 1.5 3.4% and 6.2% (simulated, 72 hosts); the
/// most granted in a window stays below 0.96 of the operator's bound.
const UNCOORDINATED_SHARE_FACTOR: f64 = 1.5;

/// How many equal parts a host grants that has never heard the ledger: clients are spread unevenly over
/// hosts, and the ledger is heard within two seconds of a start.
const STARTUP_SHARE_FACTOR: f64 = 2.0;

/// The part of a request's cost that must be left at a host that does not hear the ledger. Its part of a small quota may
/// be less than one request; two dozen hosts that each granted one beyond it reached 1.15 of the bound (simulated).
const UNCOORDINATED_COST_FRACTION: f64 = 0.5;

/// The shortest time that a refused client is told to stay away: a few times what a word takes.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The longest time that a refused client is told to stay away: beyond it nothing can be foretold.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// What the ledger says of an organisation that has little left.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaLevel {
    /// The organisation.
    pub organisation: OrganisationName,
    /// What it has left; below zero when hosts granted too much. Unit: as its limit counts.
    pub level: f64,
    /// What all hosts granted lately, as [`RecentUsage`] sums it.
    pub used: f64,
}

/// What a host granted and has not told the ledger yet.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaUsage {
    /// The organisation.
    pub organisation: OrganisationName,
    /// What was granted, less what was given back.
    pub amount: f64,
    /// What the organisation has left, as the ledger said last, for a ledger that begins anew.
    pub level: Option<f64>,
}

/// What the ledger said last of an organisation that it named.
#[derive(Debug, Clone, Copy)]
struct LowLevel {
    level: f64,
    /// What other hosts had granted lately.
    used_by_others: f64,
}

/// What a host knows of one organisation.
#[derive(Debug, Clone, Default)]
struct OrganisationShare {
    /// What this host granted lately.
    recent: RecentUsage,
    /// What it granted since the ledger was last told.
    unreported: f64,
    /// What it granted since the ledger was last heard, as far as the ledger can not know it.
    granted: f64,
    low: Option<LowLevel>,
    /// What the host may grant a second while it does not hear the ledger; set when that begins.
    uncoordinated_rate: Option<f64>,
}

/// What a host must know to decide.
#[derive(Debug, Clone, Copy)]
pub struct QuotaContext<'limit> {
    /// The organisation's limit.
    pub limit: &'limit QuotaLimit,
    /// How far the sum of all hosts may exceed it.
    pub tolerance: &'limit QuotaTolerance,
    /// How many hosts there are, at least one.
    pub hosts: u32,
}

/// One host's part in all quotas.
#[derive(Debug, Clone, Default)]
pub struct QuotaShare {
    organisations: HashMap<OrganisationName, OrganisationShare>,
    /// When the ledger was last heard.
    ledger_received_at: Option<ClockMillis>,
    /// When this host first decided anything, while it has never heard the ledger.
    started_at: Option<ClockMillis>,
    /// Whether nothing was granted before this process began.
    unspent: bool,
}

impl QuotaShare {
    /// Begins the share of a process at the very first start of the whole system, before which nothing was granted;
    /// [`QuotaShare::default`] begins that of any other, which can not know what was.
    pub fn unspent() -> Self {
        Self { unspent: true, ..Self::default() }
    }

    /// Returns whether a ledger that this host begins to keep may take it that nothing was granted before it knows more: a host that has
    /// heard a ledger hears from others what was left, or nothing was granted at all.
    pub const fn opens_full(&self) -> bool {
        self.unspent || self.ledger_received_at.is_some()
    }

    /// Takes what a request counts from what the organisation may use.
    ///
    /// # Errors
    /// Returns when to come back where nothing is left.
    pub fn take(
        &mut self,
        organisation: &OrganisationName,
        cost: u64,
        context: &QuotaContext<'_>,
        now: ClockMillis,
    ) -> Result<(), Duration> {
        let allowance = self.allowance(organisation, context, now);
        let needed =
            if allowance.uncoordinated { cost as f64 * UNCOORDINATED_COST_FRACTION } else { 0.0 };
        if allowance.left <= needed {
            return Err(allowance.retry_after());
        }
        self.charge(organisation, cost as f64, now);
        Ok(())
    }

    /// Counts what was used without a decision: a further send of a request that may have run.
    pub fn charge_retry(&mut self, organisation: &OrganisationName, cost: u64, now: ClockMillis) {
        self.charge(organisation, cost as f64, now);
    }

    /// Gives back what was taken for a request that did not run.
    pub fn refund(&mut self, organisation: &OrganisationName, cost: u64, now: ClockMillis) {
        self.charge(organisation, -(cost as f64), now);
    }

    fn charge(&mut self, organisation: &OrganisationName, amount: f64, now: ClockMillis) {
        let share = self.organisations.entry(Arc::clone(organisation)).or_default();
        share.recent.add(amount, now);
        share.unreported += amount;
        share.granted += amount;
    }

    fn allowance(
        &mut self,
        organisation: &OrganisationName,
        context: &QuotaContext<'_>,
        now: ClockMillis,
    ) -> QuotaAllowance {
        let started_at = *self.started_at.get_or_insert(now);
        let capacity = context.tolerance.capacity(context.limit);
        let equal_fraction = 1.0 / f64::from(context.hosts.max(1));
        let share = self.organisations.entry(Arc::clone(organisation)).or_default();
        let uncoordinated = self
            .ledger_received_at
            .is_none_or(|ledger_received_at| now.since(ledger_received_at) >= LEDGER_TIMEOUT);
        let (fraction, available, since) = match self.ledger_received_at {
            None => {
                let available = if self.unspent { capacity } else { 0.0 };
                ((STARTUP_SHARE_FACTOR * equal_fraction).min(1.0), available, started_at)
            }
            Some(ledger_received_at) if now.since(ledger_received_at) >= LEDGER_TIMEOUT => {
                let rate = share.uncoordinated_rate_at(now);
                let fraction = (rate / context.limit.per_second).max(equal_fraction)
                    * UNCOORDINATED_SHARE_FACTOR;
                let fraction = fraction.min(1.0);
                let level = share.low.map_or(capacity, |low| low.level.min(capacity));
                (fraction, level, ledger_received_at)
            }
            Some(ledger_received_at) => match share.low {
                None => {
                    let left = capacity * LOW_LEVEL_FRACTION - share.granted;
                    return QuotaAllowance {
                        left,
                        rate: context.limit.per_second,
                        uncoordinated: false,
                    };
                }
                Some(low) => {
                    (share.usage_fraction(&low, equal_fraction, now), low.level, ledger_received_at)
                }
            },
        };
        let available = (available + context.limit.units_within(now.since(since))).min(capacity);
        let left = fraction * available - share.granted;
        QuotaAllowance { left, rate: fraction * context.limit.per_second, uncoordinated }
    }

    /// Takes what the ledger says: every organisation that has little left, and no other.
    pub fn apply_ledger_levels(&mut self, levels: &[QuotaLevel], now: ClockMillis) {
        self.ledger_received_at = Some(now);
        for share in self.organisations.values_mut() {
            share.low = None;
            share.uncoordinated_rate = None;
            share.granted = share.unreported;
        }
        for level in levels {
            let share = self.organisations.entry(Arc::clone(&level.organisation)).or_default();
            let used_by_others = (level.used - share.recent.sum_at(now)).max(0.0);
            share.low = Some(LowLevel { level: level.level, used_by_others });
        }
        self.organisations.retain(|_, share| share.is_needed(now));
    }

    /// Returns whether the ledger was ever heard.
    pub const fn has_received_ledger(&self) -> bool {
        self.ledger_received_at.is_some()
    }

    /// Returns what was granted and not told yet.
    pub fn unreported(&self) -> Vec<QuotaUsage> {
        let unreported = self.organisations.iter().filter(|(_, share)| share.unreported != 0.0);
        unreported
            .map(|(organisation, share)| QuotaUsage {
                organisation: Arc::clone(organisation),
                amount: share.unreported,
                level: share.low.map(|low| low.level),
            })
            .collect()
    }

    /// Takes that the ledger was told this.
    pub fn acknowledge(&mut self, usages: &[QuotaUsage]) {
        for usage in usages {
            if let Some(share) = self.organisations.get_mut(&usage.organisation) {
                share.unreported -= usage.amount;
            }
        }
    }
}

impl OrganisationShare {
    /// Returns this host's part of the recent use, never less than a small part of an equal one.
    fn usage_fraction(&self, low: &LowLevel, equal_fraction: f64, now: ClockMillis) -> f64 {
        let own = self.recent.sum_at(now);
        let all = own + low.used_by_others;
        if all > 0.0 { (own / all).max(equal_fraction / 8.0) } else { equal_fraction }
    }

    /// Returns what this host may grant a second while it does not hear the ledger: what it granted lately when
    /// that began.
    fn uncoordinated_rate_at(&mut self, now: ClockMillis) -> f64 {
        *self.uncoordinated_rate.get_or_insert(self.recent.rate_at(now))
    }

    fn is_needed(&self, now: ClockMillis) -> bool {
        /// What is too little to count for anything, in tokens as in requests.
        const NEGLIGIBLE: f64 = 0.01;
        self.low.is_some() || self.unreported != 0.0 || self.recent.sum_at(now) > NEGLIGIBLE
    }
}

/// What a host may grant of an organisation's quota now.
#[derive(Debug, Clone, Copy)]
struct QuotaAllowance {
    left: f64,
    /// What comes back a second.
    rate: f64,
    /// Whether the host decides without the ledger.
    uncoordinated: bool,
}

impl QuotaAllowance {
    /// Returns when something is left again.
    ///
    /// Not later: who comes back after a surge is late already, and takes from the quota what the organisation's new
    /// requests would be answered in time with.
    fn retry_after(&self) -> Duration {
        let seconds = -self.left / self.rate;
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
