//! One host's share of the organisations' quotas.
//!
//! A host decides on each request by itself. The coordinator's ledger ([`super::ledger`]) collects what all hosts
//! granted, and publishes a few times a second which organisations have little left. While the host receives the
//! ledger:
//!
//! - an organisation that is not listed has most of its burst left, and every request is granted;
//! - of what a listed organisation has left, each host grants its fraction of the recent use.
//!
//! A host that no longer receives the ledger grants at its recent rate or an equal share, whichever is larger; the
//! ledger reserves as much for it.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    organisation::{
        OrganisationName,
        quota::{QuotaLimit, QuotaTolerance, RecentUsage},
    },
};

/// How long the ledger may be silent before the host decides without it. Must exceed the ledger's longest interval
/// between frames.
pub const LEDGER_TIMEOUT: Duration = Duration::from_millis(800);

/// The fraction of the capacity below which the ledger publishes an organisation.
pub const LOW_LEVEL_FRACTION: f64 = 0.75;

/// The factor on a host's share while it does not receive the ledger. Above one, since few requests per second show
/// a host's share only roughly, and requests within the quota should not be refused. At 1.0 an organisation at half of
/// its quota is refused 4.6% of what it may use while a hall is cut off and 8.4% without a ledger, at 1.5 3.4% and 6.2%
/// (simulated, 72 hosts).
const UNCOORDINATED_SHARE_FACTOR: f64 = 1.5;

/// The factor on the equal share of a host that has not received the ledger yet: clients are spread unevenly over
/// hosts, and the ledger arrives soon after a start.
const STARTUP_SHARE_FACTOR: f64 = 2.0;

/// The fraction of a request's cost that must be left at a host without the ledger. Its share of a small quota may
/// be less than one request; if each host granted one in excess, the total would exceed the quota. Two dozen hosts that
/// did so reached 1.15 of the bound (simulated).
const UNCOORDINATED_COST_FRACTION: f64 = 0.5;

/// The shortest retry time for a rejected client.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The longest retry time for a rejected client; no prediction holds longer.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// The ledger's level of an organisation that has little left.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaLevel {
    /// The organisation.
    pub organisation: OrganisationName,
    /// What it has left, in its limit's unit; negative if hosts granted too much.
    pub level: f64,
    /// What all hosts granted recently, as [`RecentUsage`] sums it.
    pub used: f64,
}

/// What a host granted and has not reported to the ledger yet.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaUsage {
    /// The organisation.
    pub organisation: OrganisationName,
    /// What was granted less what was refunded.
    pub amount: f64,
    /// The level that the ledger last published, for a new ledger.
    pub level: Option<f64>,
}

/// The level at which a new ledger opens an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpeningLevel {
    /// The capacity, because nothing was granted before.
    Full,
    /// The least that an organisation has left which the previous ledger did not list.
    Unlisted,
    /// Nothing, because what was granted before is unknown.
    Empty,
}

/// The ledger's last level of an organisation that it listed.
#[derive(Debug, Clone, Copy)]
struct LowLevel {
    level: f64,
    /// The recent grants of the other hosts.
    used_by_others: f64,
}

/// One host's share of one organisation's quota.
#[derive(Debug, Clone, Default)]
struct OrganisationShare {
    /// This host's recent grants.
    recent: RecentUsage,
    /// What it granted since its last report to the ledger.
    unreported: f64,
    /// What it granted that the last frame of the ledger cannot include.
    granted: f64,
    low: Option<LowLevel>,
    /// The level to be reported to a new ledger.
    pending_level: Option<f64>,
    /// The rate of the limit at the last decision. Unit: per second.
    limit_rate: f64,
    /// The recent rate when the host lost the ledger; set when that begins.
    uncoordinated_rate: Option<f64>,
}

/// What a decision depends on.
#[derive(Debug, Clone, Copy)]
pub struct QuotaContext<'limit> {
    /// The organisation's limit.
    pub limit: &'limit QuotaLimit,
    /// How far the total of all hosts may exceed it.
    pub tolerance: &'limit QuotaTolerance,
    /// The number of hosts, at least one.
    pub hosts: u32,
}

/// One host's share of all quotas.
#[derive(Debug, Clone, Default)]
pub struct QuotaShare {
    organisations: HashMap<OrganisationName, OrganisationShare>,
    /// When the last frame of the ledger arrived.
    ledger_received_at: Option<ClockMillis>,
    /// The time of the first decision, which counts until the ledger is received.
    started_at: Option<ClockMillis>,
    /// Whether nothing was granted before this process started.
    unspent: bool,
}

impl QuotaShare {
    /// Creates the share of a process at the first start of the whole system, before which nothing was granted.
    /// [`QuotaShare::default`] is for any other start, where that is unknown.
    pub fn unspent() -> Self {
        Self { unspent: true, ..Self::default() }
    }

    /// Returns the level at which a ledger that starts on this host opens its accounts, unless hosts report lower
    /// ones.
    pub const fn opening_level(&self) -> OpeningLevel {
        if self.ledger_received_at.is_some() {
            OpeningLevel::Unlisted
        } else if self.unspent {
            OpeningLevel::Full
        } else {
            OpeningLevel::Empty
        }
    }

    /// Charges a request to the organisation's quota.
    ///
    /// # Errors
    /// Returns the time after which to retry if nothing is left.
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

    /// Charges a request that is sent again and may have run before; it is not rejected.
    pub fn charge_retry(&mut self, organisation: &OrganisationName, cost: u64, now: ClockMillis) {
        self.charge(organisation, cost as f64, now);
    }

    /// Refunds a request that did not run.
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
        share.limit_rate = context.limit.per_second;
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

    /// Applies a frame of the ledger, which lists every organisation that has little left.
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

    /// Returns whether the ledger was ever received.
    pub const fn has_received_ledger(&self) -> bool {
        self.ledger_received_at.is_some()
    }

    /// Prepares a report of all low levels to a new ledger.
    pub fn resend_levels(&mut self, now: ClockMillis) {
        let Some(ledger_received_at) = self.ledger_received_at else { return };
        let age = now.since(ledger_received_at);
        for share in self.organisations.values_mut() {
            share.pending_level = share.low.map(|low| share.estimated_level(&low, age));
        }
    }

    /// Returns what was granted and has not been reported, and the levels for a new ledger.
    pub fn unreported(&self) -> Vec<QuotaUsage> {
        let unreported = self.organisations.iter().filter(|(_, share)| share.has_report());
        unreported
            .map(|(organisation, share)| QuotaUsage {
                organisation: Arc::clone(organisation),
                amount: share.unreported,
                level: share.pending_level.or(share.low.map(|low| low.level)),
            })
            .collect()
    }

    /// Records that the ledger has received these reports.
    pub fn acknowledge(&mut self, usages: &[QuotaUsage]) {
        for usage in usages {
            if let Some(share) = self.organisations.get_mut(&usage.organisation) {
                share.unreported -= usage.amount;
                share.pending_level = None;
            }
        }
    }
}

impl OrganisationShare {
    /// Returns this host's fraction of the recent use, at least an eighth of an equal share.
    fn usage_fraction(&self, low: &LowLevel, equal_fraction: f64, now: ClockMillis) -> f64 {
        let own = self.recent.sum_at(now);
        let all = own + low.used_by_others;
        if all > 0.0 { (own / all).max(equal_fraction / 8.0) } else { equal_fraction }
    }

    /// Returns this host's recent rate at the time when it lost the ledger.
    fn uncoordinated_rate_at(&mut self, now: ClockMillis) -> f64 {
        *self.uncoordinated_rate.get_or_insert(self.recent.rate_at(now))
    }

    /// Returns the level as of now, `age` after the ledger published it, without the grants that
    /// are yet to be reported.
    fn estimated_level(&self, low: &LowLevel, age: Duration) -> f64 {
        let granted_since = self.granted - self.unreported;
        low.level + self.limit_rate * age.as_secs_f64() - granted_since
    }

    fn has_report(&self) -> bool {
        self.unreported != 0.0 || self.pending_level.is_some()
    }

    fn is_needed(&self, now: ClockMillis) -> bool {
        /// Use too small to matter, in tokens as in requests.
        const NEGLIGIBLE: f64 = 0.01;
        self.low.is_some() || self.has_report() || self.recent.sum_at(now) > NEGLIGIBLE
    }
}

/// What a host may grant of an organisation's quota now.
#[derive(Debug, Clone, Copy)]
struct QuotaAllowance {
    left: f64,
    /// The rate per second at which it refills.
    rate: f64,
    /// Whether the host decides without the ledger.
    uncoordinated: bool,
}

impl QuotaAllowance {
    /// Returns the time until something is left again.
    ///
    /// It adds no margin: after a surge, retries that come later would take quota from the organisation's new
    /// requests.
    fn retry_after(&self) -> Duration {
        let seconds = -self.left / self.rate;
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
