//! Strategies for granting a quota on all hosts: the production ledger, equal shares, and leased budgets.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use reelreel_core::organisation::{
    OrganisationDirectory, OrganisationEntry,
    ledger::QuotaLedger,
    quota::QuotaLimit,
    share::{QuotaContext, QuotaLevel, QuotaShare, QuotaUsage},
};

use crate::scenario::{PARTITION_GRACE_MS, REQUEST_COST, TOLERANCE, at, name};

fn directory(limit: QuotaLimit) -> OrganisationDirectory {
    let mut directory = OrganisationDirectory::default();
    let organisation = OrganisationEntry { name: name(), priority: None, quota: Some(limit) };
    directory.insert(organisation, []);
    directory
}

/// A strategy for granting a quota on all hosts.
pub(crate) trait GrantStrategy {
    /// Decides on a request that arrives at a host.
    fn try_grant(&mut self, host: usize, limit: &QuotaLimit, now: u64) -> bool;
    /// Advances the time by ten milliseconds.
    fn tick(&mut self, limit: &QuotaLimit, network: &Network, now: u64);
}

/// The state of the network.
#[expect(clippy::struct_excessive_bools, reason = "things that happen to hosts, each by itself")]
pub(crate) struct Network {
    pub(crate) hosts: usize,
    pub(crate) is_partitioned: bool,
    /// Whether the ledger's host knows of the partition.
    pub(crate) partition_noticed: bool,
    pub(crate) ledger_lost: bool,
    pub(crate) ledger_moves: bool,
    /// Whether all hosts restart now.
    pub(crate) restarts: bool,
}

impl Network {
    const fn reaches_ledger(&self, host: usize) -> bool {
        !self.ledger_lost && (!self.is_partitioned || host >= self.hosts / 3)
    }
}

/// The production strategy: hosts decide, and a ledger publishes which organisations have little left.
pub(crate) struct LedgerQuotas {
    shares: Vec<QuotaShare>,
    ledger: Option<QuotaLedger>,
    pending_reports: VecDeque<(u64, usize, Vec<QuotaUsage>)>,
    pending_levels: VecDeque<(u64, Vec<QuotaLevel>)>,
    opens_full: bool,
    partition_was_noticed: bool,
    ledger_was_lost: bool,
}

impl LedgerQuotas {
    pub(crate) fn new(hosts: usize) -> Self {
        Self {
            shares: vec![QuotaShare::unspent(); hosts],
            opens_full: true,
            ledger: None,
            pending_reports: VecDeque::new(),
            pending_levels: VecDeque::new(),
            partition_was_noticed: false,
            ledger_was_lost: false,
        }
    }

    fn host_name(host: usize) -> Arc<str> {
        Arc::from(format!("host-{host}"))
    }

    fn apply_partition_changes(&mut self, network: &Network, now: u64) {
        let hosts = u32::try_from(self.shares.len()).expect("few hosts");
        let ledger = self.ledger.as_mut().expect("a ledger");
        if network.partition_noticed != self.partition_was_noticed {
            for host in 0..network.hosts / 3 {
                if network.partition_noticed {
                    ledger.mark_unreachable(&Self::host_name(host), hosts, at(now));
                } else {
                    ledger.mark_reachable(&Self::host_name(host), at(now));
                }
            }
        }
        self.partition_was_noticed = network.partition_noticed;
    }
}

impl GrantStrategy for LedgerQuotas {
    fn try_grant(&mut self, host: usize, limit: &QuotaLimit, now: u64) -> bool {
        let hosts = u32::try_from(self.shares.len()).expect("few hosts");
        let context = QuotaContext { limit, tolerance: &TOLERANCE, hosts };
        self.shares[host].take(&name(), REQUEST_COST, &context, at(now)).is_ok()
    }

    fn tick(&mut self, limit: &QuotaLimit, network: &Network, now: u64) {
        if network.restarts {
            let shares = vec![QuotaShare::default(); self.shares.len()];
            *self = Self { ledger_was_lost: true, opens_full: false, ..Self::new(shares.len()) };
            self.shares = shares;
        }
        if network.ledger_moves {
            self.ledger = None;
            self.ledger_was_lost = true;
        }
        if network.ledger_lost {
            self.ledger = None;
            self.ledger_was_lost = true;
            return;
        }
        let partition_grace = Duration::from_millis(PARTITION_GRACE_MS);
        let ledger = self
            .ledger
            .get_or_insert_with(|| QuotaLedger::new(TOLERANCE, partition_grace, self.opens_full));
        if now.is_multiple_of(1000) || std::mem::take(&mut self.ledger_was_lost) {
            ledger.set_limits(&directory(*limit), at(now));
        }
        self.apply_partition_changes(network, now);
        if now.is_multiple_of(50) {
            for (host, share) in self.shares.iter_mut().enumerate() {
                if network.reaches_ledger(host) {
                    let reported = share.unreported();
                    share.acknowledge(&reported);
                    self.pending_reports.push_back((now + 10, host, reported));
                }
            }
        }
        let ledger = self.ledger.as_mut().expect("a ledger");
        while self.pending_reports.front().is_some_and(|(due, ..)| *due <= now) {
            let Some((_, host, reported)) = self.pending_reports.pop_front() else { break };
            ledger.record_usage(&Self::host_name(host), &reported, at(now));
        }
        let levels = ledger.low_levels(at(now));
        let pause = if levels.is_empty() { 250 } else { 60 };
        if now.is_multiple_of(pause) {
            self.pending_levels.push_back((now + 20, levels));
        }
        while self.pending_levels.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, levels)) = self.pending_levels.pop_front() else { break };
            for (host, share) in self.shares.iter_mut().enumerate() {
                if network.reaches_ledger(host) {
                    share.apply_ledger_levels(&levels, at(now));
                }
            }
        }
    }
}

/// Each host grants an equal share.
pub(crate) struct EqualShares {
    pub(crate) levels: Vec<f64>,
}

impl GrantStrategy for EqualShares {
    fn try_grant(&mut self, host: usize, _limit: &QuotaLimit, _now: u64) -> bool {
        let granted = self.levels[host] > 0.0;
        if granted {
            self.levels[host] -= REQUEST_COST as f64;
        }
        granted
    }

    fn tick(&mut self, limit: &QuotaLimit, _network: &Network, _now: u64) {
        let hosts = self.levels.len() as f64;
        for level in &mut self.levels {
            *level =
                (*level + limit.per_second * 0.01 / hosts).min(TOLERANCE.capacity(limit) / hosts);
        }
    }
}

/// A coordinator leases budgets that expire: a host asks for its demand in the last 250 ms and one more request.
pub(crate) struct LeasedBudgets {
    level: f64,
    budgets: Vec<f64>,
    requested: Vec<f64>,
    pending_leases: VecDeque<(u64, usize, f64)>,
}

impl LeasedBudgets {
    pub(crate) fn new(hosts: usize) -> Self {
        Self {
            level: 0.0,
            budgets: vec![0.0; hosts],
            requested: vec![0.0; hosts],
            pending_leases: VecDeque::new(),
        }
    }
}

impl GrantStrategy for LeasedBudgets {
    fn try_grant(&mut self, host: usize, _limit: &QuotaLimit, _now: u64) -> bool {
        self.requested[host] += REQUEST_COST as f64;
        let granted = self.budgets[host] > 0.0;
        if granted {
            self.budgets[host] -= REQUEST_COST as f64;
        }
        granted
    }

    fn tick(&mut self, limit: &QuotaLimit, network: &Network, now: u64) {
        self.level = (self.level + limit.per_second * 0.01).min(TOLERANCE.capacity(limit));
        for host in 0..self.budgets.len() {
            let renewal_due = now.is_multiple_of(250);
            if !renewal_due || !network.reaches_ledger(host) {
                continue;
            }
            // What was not used is returned, and the next demand is leased.
            self.level += self.budgets[host].max(0.0);
            let wanted = std::mem::take(&mut self.requested[host]) + REQUEST_COST as f64;
            let leased = wanted.min(self.level.max(0.0));
            self.level -= leased - self.budgets[host].min(0.0);
            self.pending_leases.push_back((now + 20, host, leased));
        }
        while self.pending_leases.front().is_some_and(|(due, ..)| *due <= now) {
            let Some((_, host, leased)) = self.pending_leases.pop_front() else { break };
            self.budgets[host] = leased;
        }
    }
}
