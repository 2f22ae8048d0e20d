//! The ledger of what all hosts granted of each organisation's quota, kept by the coordinator.
//!
//! Hosts report what they granted with a short delay; the ledger publishes the organisations that have little left
//! ([`super::share`]). There is no consensus: a new ledger opens each account at the lowest level that hosts last
//! received. Overuse is kept as a negative level, so that delays cost one overshoot and not one for each delay.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    organisation::{
        OrganisationDirectory, OrganisationName,
        quota::{QuotaLimit, QuotaTolerance, RecentUsage},
        share::{LOW_LEVEL_FRACTION, OpeningLevel, QuotaLevel, QuotaUsage},
        usage_window::UsageWindow,
    },
};

/// How long a new account accepts lower levels that hosts received before: as long as hosts take to find a new
/// ledger.
const REOPENING_PERIOD: Duration = Duration::from_secs(2);

/// How long a host may be silent before it counts as unreachable; hosts report four times a second. A partition has
/// to be detected by this, since a broken connection accepts data for seconds: by the connection alone, all hosts
/// together granted 1.23 of the bound while a hall was cut off (simulated).
const HOST_TIMEOUT: Duration = Duration::from_millis(600);

/// One host's recent use of one organisation's quota.
#[derive(Debug, Clone, Copy, Default)]
struct HostUsage {
    recent: RecentUsage,
    /// The fraction of the rate that is reserved for the host while it is unreachable but may serve, and until
    /// when.
    reserved: Option<(ClockMillis, f64)>,
}

/// One organisation's account.
#[derive(Debug, Clone)]
struct QuotaAccount {
    limit: QuotaLimit,
    /// The most that a host takes as left. An account is listed below [`LOW_LEVEL_FRACTION`] of it.
    capacity: f64,
    level: f64,
    /// What was granted lately, if the account limits the grants of each window. Otherwise it is a
    /// bucket that refills at the limit's rate.
    window: Option<UsageWindow>,
    refilled_at: ClockMillis,
    opened_at: ClockMillis,
    hosts: HashMap<Arc<str>, HostUsage>,
}

impl QuotaAccount {
    fn new(limit: QuotaLimit, capacity: f64, level: f64, now: ClockMillis) -> Self {
        let hosts = HashMap::new();
        Self { limit, capacity, level, window: None, refilled_at: now, opened_at: now, hosts }
    }

    /// Limits the grants of each window instead of their rate, starting from the account's level.
    fn limit_window(&mut self, span: Duration, now: ClockMillis) {
        let used = self.limit.units_within(span) + self.limit.burst - self.level;
        self.window = Some(UsageWindow::spread(span, used, now));
    }

    /// Subtracts what hosts granted.
    fn charge(&mut self, amount: f64, now: ClockMillis) {
        self.level -= amount;
        if let Some(window) = &mut self.window {
            window.add(amount, now);
        }
    }

    /// Applies a limit and the capacity that results from it.
    fn set_limit(&mut self, limit: QuotaLimit, capacity: f64, span: Duration) {
        if self.window.is_some() {
            let allowed = |limit: &QuotaLimit| limit.units_within(span) + limit.burst;
            self.level += allowed(&limit) - allowed(&self.limit);
        } else {
            self.level = self.level.min(capacity);
        }
        (self.limit, self.capacity) = (limit, capacity);
    }

    /// Adds the units since the last call, less what is reserved for unreachable hosts.
    fn refill(&mut self, now: ClockMillis) {
        let reservations = self.hosts.values().filter_map(|host| host.reserved);
        let reserved: f64 = reservations
            .filter(|(until, _)| now < *until)
            .map(|(_, fraction)| fraction)
            .sum::<f64>()
            .min(1.0);
        let units = self.limit.units_within(now.since(self.refilled_at));
        self.refilled_at = now;
        if let Some(window) = &mut self.window {
            self.level += window.take_expired(now);
            self.charge(units * reserved, now);
        } else {
            self.level = (self.level + units * (1.0 - reserved)).min(self.capacity);
        }
    }

    fn used(&self, now: ClockMillis) -> f64 {
        self.hosts.values().map(|host| host.recent.sum_at(now)).sum()
    }

    fn remove_idle_hosts(&mut self, now: ClockMillis) {
        /// Use too small to matter, in tokens as in requests.
        const NEGLIGIBLE: f64 = 0.01;
        self.hosts.retain(|_, host| {
            host.reserved.is_some_and(|(until, _)| now < until)
                || host.recent.sum_at(now) > NEGLIGIBLE
        });
    }
}

/// The accounts of all organisations that have a quota.
#[derive(Debug, Clone)]
pub struct QuotaLedger {
    tolerance: QuotaTolerance,
    /// How long an unreachable host may go on granting.
    partition_grace: Duration,
    /// When each reachable host last reported.
    last_reported: HashMap<Arc<str>, ClockMillis>,
    accounts: BTreeMap<OrganisationName, QuotaAccount>,
    /// The level at which accounts open.
    opening_level: OpeningLevel,
    limits_windows: bool,
}

impl QuotaLedger {
    /// Creates a ledger without accounts.
    ///
    /// `partition_grace` is how long a host that is partitioned from all others goes on serving keys. Unless the
    /// ledger `opens_full`, its first accounts open at zero: what was granted before is unknown, and hosts that
    /// restart repeatedly within a window would exceed the quota. Three restarts of all hosts within a window granted
    /// 1.17 of the bound otherwise (simulated).
    pub fn new(tolerance: QuotaTolerance, partition_grace: Duration, opens_full: bool) -> Self {
        let opening_level = if opens_full { OpeningLevel::Full } else { OpeningLevel::Empty };
        Self::opening_at(opening_level, tolerance, partition_grace)
    }

    /// Creates a ledger without accounts; the first ones open at this level.
    pub fn opening_at(
        opening_level: OpeningLevel,
        tolerance: QuotaTolerance,
        partition_grace: Duration,
    ) -> Self {
        let (last_reported, accounts) = (HashMap::new(), BTreeMap::new());
        let limits_windows = false;
        Self { tolerance, partition_grace, last_reported, accounts, opening_level, limits_windows }
    }

    /// Limits what is granted within each window instead of the rate of grants.
    ///
    /// The quota allows the rate and the burst in each window. A bucket gives the burst only once,
    /// so that an organisation slightly above its rate is refused what its quota still allows.
    pub fn limit_windows(&mut self) {
        self.limits_windows = true;
    }

    /// Applies the limits of a configuration; levels are capped at the new capacity.
    pub fn set_limits(&mut self, directory: &OrganisationDirectory, now: ClockMillis) {
        let mut accounts = BTreeMap::new();
        for organisation in directory.organisations() {
            let Some(limit) = organisation.quota else { continue };
            let capacity = self.tolerance.capacity(&limit);
            let existing = self.accounts.remove(&organisation.name);
            let level = match self.opening_level {
                OpeningLevel::Full => capacity,
                OpeningLevel::Unlisted => capacity * LOW_LEVEL_FRACTION,
                OpeningLevel::Empty => 0.0,
            };
            let mut account =
                existing.unwrap_or_else(|| QuotaAccount::new(limit, capacity, level, now));
            account.refill(now);
            account.set_limit(limit, capacity, self.tolerance.window);
            if self.limits_windows && account.window.is_none() {
                account.limit_window(self.tolerance.window, now);
            }
            accounts.insert(Arc::clone(&organisation.name), account);
        }
        self.accounts = accounts;
        // Organisations that are added later have used nothing.
        self.opening_level = OpeningLevel::Full;
    }

    /// Records what a host granted; an empty report shows that it is reachable.
    pub fn record_usage(&mut self, host: &Arc<str>, usages: &[QuotaUsage], now: ClockMillis) {
        if self.last_reported.insert(Arc::clone(host), now).is_none() {
            self.mark_reachable(host, now);
        }
        for usage in usages {
            let Some(account) = self.accounts.get_mut(&usage.organisation) else { continue };
            account.refill(now);
            if let Some(level) = usage.level
                && now.since(account.opened_at) < REOPENING_PERIOD
            {
                account.charge((account.level - level).max(0.0), now);
            }
            account.charge(usage.amount, now);
            let host = account.hosts.entry(Arc::clone(host)).or_default();
            host.recent.add(usage.amount, now);
            host.reserved = None;
        }
    }

    /// Removes a host that closed its connection: it stops or follows another ledger, and is not partitioned.
    pub fn remove_host(&mut self, host: &Arc<str>) {
        self.last_reported.remove(host);
    }

    /// Marks hosts as unreachable that have been silent for too long.
    fn mark_timed_out_hosts(&mut self, now: ClockMillis) {
        let hosts = u32::try_from(self.last_reported.len()).unwrap_or(u32::MAX);
        let silent_hosts = self
            .last_reported
            .iter()
            .filter(|(_, last_reported)| now.since(**last_reported) >= HOST_TIMEOUT);
        let silent_hosts: Vec<Arc<str>> = silent_hosts.map(|(host, _)| Arc::clone(host)).collect();
        for host in silent_hosts {
            self.mark_unreachable(&host, hosts, now);
        }
    }

    /// Marks a host as unreachable, which may go on serving: reserves its recent rate, at least an equal share of
    /// each quota.
    pub fn mark_unreachable(&mut self, host: &Arc<str>, hosts: u32, now: ClockMillis) {
        self.last_reported.remove(host);
        let equal_fraction = 1.0 / f64::from(hosts.max(1));
        let until = now + self.partition_grace.min(self.tolerance.window);
        for account in self.accounts.values_mut() {
            account.refill(now);
            let host = account.hosts.entry(Arc::clone(host)).or_default();
            let fraction = host.recent.rate_at(now) / account.limit.per_second;
            host.reserved = Some((until, fraction.max(equal_fraction).min(1.0)));
        }
    }

    /// Marks a host as reachable and releases what is reserved for it.
    pub fn mark_reachable(&mut self, host: &Arc<str>, now: ClockMillis) {
        for account in self.accounts.values_mut() {
            account.refill(now);
            if let Some(host) = account.hosts.get_mut(host) {
                host.reserved = None;
            }
        }
    }

    /// Returns the levels of all organisations that have little left.
    pub fn low_levels(&mut self, now: ClockMillis) -> Vec<QuotaLevel> {
        self.mark_timed_out_hosts(now);
        let mut levels = Vec::new();
        for (organisation, account) in &mut self.accounts {
            account.refill(now);
            account.remove_idle_hosts(now);
            if account.level < account.capacity * LOW_LEVEL_FRACTION {
                levels.push(QuotaLevel {
                    organisation: Arc::clone(organisation),
                    level: account.level,
                    used: account.used(now),
                });
            }
        }
        levels
    }
}
