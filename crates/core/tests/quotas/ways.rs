//! Ways to grant a quota over all hosts: the product's own, equal parts, and budgets that are lent.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use reelreel_core::organisation::{
    OrganisationDirectory, OrganisationEntry,
    ledger::QuotaLedger,
    quota::QuotaLimit,
    share::{QuotaContext, QuotaLevel, QuotaShare, QuotaUsage},
};

use crate::scenario::{COST, CUT_SERVES, TOLERANCE, at, name};

fn directory(limit: QuotaLimit) -> OrganisationDirectory {
    let mut directory = OrganisationDirectory::default();
    let organisation = OrganisationEntry { name: name(), priority: None, quota: Some(limit) };
    directory.insert(organisation, []);
    directory
}

/// A way to grant a quota over all hosts.
pub(crate) trait GrantWay {
    /// Decides on a request that came to a host.
    fn ask(&mut self, host: usize, limit: &QuotaLimit, now: u64) -> bool;
    /// Ten milliseconds have passed.
    fn tick(&mut self, limit: &QuotaLimit, network: &Network, now: u64);
}

/// Who reaches whom.
#[expect(clippy::struct_excessive_bools, reason = "things that happen to hosts, each by itself")]
pub(crate) struct Network {
    pub(crate) hosts: usize,
    pub(crate) cut: bool,
    /// Whether the ledger's host knows of the cut.
    pub(crate) cut_noticed: bool,
    pub(crate) ledger_lost: bool,
    pub(crate) ledger_moves: bool,
    /// Whether all hosts begin anew now.
    pub(crate) restarts: bool,
}

impl Network {
    const fn reaches_ledger(&self, host: usize) -> bool {
        !self.ledger_lost && (!self.cut || host >= self.hosts / 3)
    }
}

/// The way that the product goes: hosts decide, a ledger tells of who has little left.
pub(crate) struct ToldSums {
    shares: Vec<QuotaShare>,
    ledger: Option<QuotaLedger>,
    reports: VecDeque<(u64, usize, Vec<QuotaUsage>)>,
    words: VecDeque<(u64, Vec<QuotaLevel>)>,
    opens_full: bool,
    was_cut: bool,
    was_lost: bool,
}

impl ToldSums {
    pub(crate) fn new(hosts: usize) -> Self {
        Self {
            shares: vec![QuotaShare::unspent(); hosts],
            opens_full: true,
            ledger: None,
            reports: VecDeque::new(),
            words: VecDeque::new(),
            was_cut: false,
            was_lost: false,
        }
    }

    fn host_name(host: usize) -> Arc<str> {
        Arc::from(format!("host-{host}"))
    }

    fn links_changed(&mut self, network: &Network, now: u64) {
        let hosts = u32::try_from(self.shares.len()).expect("few hosts");
        let ledger = self.ledger.as_mut().expect("a ledger");
        if network.cut_noticed != self.was_cut {
            for host in 0..network.hosts / 3 {
                if network.cut_noticed {
                    ledger.mark_unreachable(&Self::host_name(host), hosts, at(now));
                } else {
                    ledger.mark_reachable(&Self::host_name(host), at(now));
                }
            }
        }
        self.was_cut = network.cut_noticed;
    }
}

impl GrantWay for ToldSums {
    fn ask(&mut self, host: usize, limit: &QuotaLimit, now: u64) -> bool {
        let hosts = u32::try_from(self.shares.len()).expect("few hosts");
        let terms = QuotaContext { limit, tolerance: &TOLERANCE, hosts };
        self.shares[host].take(&name(), COST, &terms, at(now)).is_ok()
    }

    fn tick(&mut self, limit: &QuotaLimit, network: &Network, now: u64) {
        if network.restarts {
            let shares = vec![QuotaShare::default(); self.shares.len()];
            *self = Self { was_lost: true, opens_full: false, ..Self::new(shares.len()) };
            self.shares = shares;
        }
        if network.ledger_moves {
            self.ledger = None;
            self.was_lost = true;
        }
        if network.ledger_lost {
            self.ledger = None;
            self.was_lost = true;
            return;
        }
        let silent_serves = Duration::from_millis(CUT_SERVES);
        let ledger = self
            .ledger
            .get_or_insert_with(|| QuotaLedger::new(TOLERANCE, silent_serves, self.opens_full));
        if now.is_multiple_of(1000) || std::mem::take(&mut self.was_lost) {
            ledger.set_limits(&directory(*limit), at(now));
        }
        self.links_changed(network, now);
        if now.is_multiple_of(50) {
            for (host, share) in self.shares.iter_mut().enumerate() {
                if network.reaches_ledger(host) {
                    let told = share.unreported();
                    share.acknowledge(&told);
                    self.reports.push_back((now + 10, host, told));
                }
            }
        }
        let ledger = self.ledger.as_mut().expect("a ledger");
        while self.reports.front().is_some_and(|(due, ..)| *due <= now) {
            let Some((_, host, told)) = self.reports.pop_front() else { break };
            ledger.record_usage(&Self::host_name(host), &told, at(now));
        }
        let named = ledger.low_levels(at(now));
        let pause = if named.is_empty() { 250 } else { 60 };
        if now.is_multiple_of(pause) {
            self.words.push_back((now + 20, named));
        }
        while self.words.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, words)) = self.words.pop_front() else { break };
            for (host, share) in self.shares.iter_mut().enumerate() {
                if network.reaches_ledger(host) {
                    share.apply_ledger_levels(&words, at(now));
                }
            }
        }
    }
}

/// Each host grants an equal part.
pub(crate) struct EqualParts {
    pub(crate) levels: Vec<f64>,
}

impl GrantWay for EqualParts {
    fn ask(&mut self, host: usize, _limit: &QuotaLimit, _now: u64) -> bool {
        let granted = self.levels[host] > 0.0;
        if granted {
            self.levels[host] -= COST as f64;
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

/// A holder lends budgets that lapse: a host asks for as much as it was asked for in the last quarter of a
/// second and one request more.
pub(crate) struct LentBudgets {
    level: f64,
    budgets: Vec<f64>,
    asked: Vec<f64>,
    answers: VecDeque<(u64, usize, f64)>,
}

impl LentBudgets {
    pub(crate) fn new(hosts: usize) -> Self {
        Self {
            level: 0.0,
            budgets: vec![0.0; hosts],
            asked: vec![0.0; hosts],
            answers: VecDeque::new(),
        }
    }
}

impl GrantWay for LentBudgets {
    fn ask(&mut self, host: usize, _limit: &QuotaLimit, _now: u64) -> bool {
        self.asked[host] += COST as f64;
        let granted = self.budgets[host] > 0.0;
        if granted {
            self.budgets[host] -= COST as f64;
        }
        granted
    }

    fn tick(&mut self, limit: &QuotaLimit, network: &Network, now: u64) {
        self.level = (self.level + limit.per_second * 0.01).min(TOLERANCE.capacity(limit));
        for host in 0..self.budgets.len() {
            let turn = now.is_multiple_of(250);
            if !turn || !network.reaches_ledger(host) {
                continue;
            }
            // What was not used goes back, and what is wanted next is lent.
            self.level += self.budgets[host].max(0.0);
            let wanted = std::mem::take(&mut self.asked[host]) + COST as f64;
            let lent = wanted.min(self.level.max(0.0));
            self.level -= lent - self.budgets[host].min(0.0);
            self.answers.push_back((now + 20, host, lent));
        }
        while self.answers.front().is_some_and(|(due, ..)| *due <= now) {
            let Some((_, host, lent)) = self.answers.pop_front() else { break };
            self.budgets[host] = lent;
        }
    }
}
