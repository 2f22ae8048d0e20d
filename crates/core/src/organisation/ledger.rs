//! The sums of what all hosts granted of each organisation's quota, kept by one of them.
//!
//! Hosts tell what they granted a few dozen milliseconds after it; the ledger tells all of them which
//! organisations have little left ([`super::share`]). Nothing is agreed on: when another host takes the
//! ledger over, it opens each account at the level that hosts heard last. What was granted too much is
//! kept as a debt, so that delays cost one overshoot and not one for each delay.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    organisation::{
        OrganisationDirectory, OrganisationName,
        quota::{QuotaLimit, QuotaTolerance, RecentUse},
        share::{NAMED_BELOW, QuotaUse, QuotaWord},
    },
};

/// For how long an account that was opened takes lower levels that hosts heard before: as long as hosts take to
/// find a new ledger.
const OPENING: Duration = Duration::from_secs(2);

/// How long a host may say nothing before it counts as cut off: each says something four times a second, and a word may
/// be late by as much again. A connection that is cut takes what is sent on it for seconds; by that alone a hall that
/// was cut off was noticed so late that all hosts together granted 1.23 of the bound (simulated).
const HOST_SILENCE: Duration = Duration::from_millis(600);

/// What one host granted of one organisation's quota lately.
#[derive(Debug, Clone, Copy, Default)]
struct HostUse {
    recent: RecentUse,
    /// Until when something is set aside for it, and how much of the rate: it fell silent, but may serve.
    silent: Option<(ClockMillis, f64)>,
}

/// One organisation's account.
#[derive(Debug, Clone)]
struct QuotaAccount {
    limit: QuotaLimit,
    capacity: f64,
    level: f64,
    counted: ClockMillis,
    opened: ClockMillis,
    hosts: HashMap<Arc<str>, HostUse>,
}

impl QuotaAccount {
    fn new(limit: QuotaLimit, capacity: f64, level: f64, now: ClockMillis) -> Self {
        let hosts = HashMap::new();
        Self { limit, capacity, level, counted: now, opened: now, hosts }
    }

    /// Adds what the rate has given since the last call, less what is set aside for silent hosts.
    fn refill(&mut self, now: ClockMillis) {
        let silent = self.hosts.values().filter_map(|host| host.silent);
        let aside: f64 =
            silent.filter(|(until, _)| now < *until).map(|(_, part)| part).sum::<f64>().min(1.0);
        let given = self.limit.refill(now.since(self.counted)) * (1.0 - aside);
        self.level = (self.level + given).min(self.capacity);
        self.counted = now;
    }

    fn used(&self, now: ClockMillis) -> f64 {
        self.hosts.values().map(|host| host.recent.sum_at(now)).sum()
    }

    fn forget_idle(&mut self, now: ClockMillis) {
        /// What is too little to count for anything, in tokens as in requests.
        const NOTHING: f64 = 0.01;
        self.hosts.retain(|_, host| {
            host.silent.is_some_and(|(until, _)| now < until) || host.recent.sum_at(now) > NOTHING
        });
    }
}

/// The accounts of all organisations that have a quota.
#[derive(Debug, Clone)]
pub struct QuotaLedger {
    tolerance: QuotaTolerance,
    /// For how long a host that can not be heard may go on granting.
    silent_serves: Duration,
    /// When each host last said anything, while it counts as one that can be heard.
    heard: HashMap<Arc<str>, ClockMillis>,
    accounts: BTreeMap<OrganisationName, QuotaAccount>,
    /// Whether accounts open with all that may be saved up.
    opens_full: bool,
}

impl QuotaLedger {
    /// Starts without accounts.
    ///
    /// `silent_serves` is how long a host that is cut off from all others goes on serving keys. A ledger whose host can not know
    /// what was granted before opens its first accounts with nothing, unless it `opens_full`: all hosts that were killed
    /// three times within a window granted 1.17 of the bound (simulated).
    pub fn new(tolerance: QuotaTolerance, silent_serves: Duration, opens_full: bool) -> Self {
        let (heard, accounts) = (HashMap::new(), BTreeMap::new());
        Self { tolerance, silent_serves, heard, accounts, opens_full }
    }

    /// Takes the limits of a configuration; what is left under a lower limit is cut down to it.
    pub fn limits_known(&mut self, directory: &OrganisationDirectory, now: ClockMillis) {
        let mut known = BTreeMap::new();
        for organisation in directory.organisations() {
            let Some(limit) = organisation.quota else { continue };
            let capacity = self.tolerance.capacity(&limit);
            let before = self.accounts.remove(&organisation.name);
            let level = if self.opens_full { capacity } else { 0.0 };
            let mut account =
                before.unwrap_or_else(|| QuotaAccount::new(limit, capacity, level, now));
            account.refill(now);
            (account.limit, account.capacity) = (limit, capacity);
            account.level = account.level.min(capacity);
            known.insert(Arc::clone(&organisation.name), account);
        }
        self.accounts = known;
        // An organisation that comes later has used nothing.
        self.opens_full = true;
    }

    /// Takes what a host granted, or that it granted nothing.
    pub fn host_used(&mut self, host: &Arc<str>, used: &[QuotaUse], now: ClockMillis) {
        if self.heard.insert(Arc::clone(host), now).is_none() {
            self.host_heard(host, now);
        }
        for word in used {
            let Some(account) = self.accounts.get_mut(&word.organisation) else { continue };
            account.refill(now);
            if let Some(level) = word.level
                && now.since(account.opened) < OPENING
            {
                account.level = account.level.min(level);
            }
            account.level -= word.amount;
            let host = account.hosts.entry(Arc::clone(host)).or_default();
            host.recent.add(word.amount, now);
            host.silent = None;
        }
    }

    /// Takes that a host has closed its connection: it stops, or listens to another ledger, and is not cut off.
    pub fn host_left(&mut self, host: &Arc<str>) {
        self.heard.remove(host);
    }

    /// Sets something aside for each host that has said nothing for too long.
    fn note_silences(&mut self, now: ClockMillis) {
        let hosts = u32::try_from(self.heard.len()).unwrap_or(u32::MAX);
        let silent = self.heard.iter().filter(|(_, heard)| now.since(**heard) >= HOST_SILENCE);
        let silent: Vec<Arc<str>> = silent.map(|(host, _)| Arc::clone(host)).collect();
        for host in silent {
            self.host_silent(&host, hosts, now);
        }
    }

    /// Takes that a host can not be heard any more, though it may go on serving: what it granted lately is
    /// set aside, at least an equal part of each quota.
    pub fn host_silent(&mut self, host: &Arc<str>, hosts: u32, now: ClockMillis) {
        self.heard.remove(host);
        let equal = 1.0 / f64::from(hosts.max(1));
        let until = now + self.silent_serves.min(self.tolerance.window);
        for account in self.accounts.values_mut() {
            account.refill(now);
            let host = account.hosts.entry(Arc::clone(host)).or_default();
            let part = host.recent.rate_at(now) / account.limit.per_second;
            host.silent = Some((until, part.max(equal).min(1.0)));
        }
    }

    /// Takes that a host is heard again.
    pub fn host_heard(&mut self, host: &Arc<str>, now: ClockMillis) {
        for account in self.accounts.values_mut() {
            account.refill(now);
            if let Some(host) = account.hosts.get_mut(host) {
                host.silent = None;
            }
        }
    }

    /// Returns every organisation that has little left.
    pub fn named(&mut self, now: ClockMillis) -> Vec<QuotaWord> {
        self.note_silences(now);
        let mut words = Vec::new();
        for (organisation, account) in &mut self.accounts {
            account.refill(now);
            account.forget_idle(now);
            if account.level < account.capacity * NAMED_BELOW {
                words.push(QuotaWord {
                    organisation: Arc::clone(organisation),
                    level: account.level,
                    used: account.used(now),
                });
            }
        }
        words
    }
}
