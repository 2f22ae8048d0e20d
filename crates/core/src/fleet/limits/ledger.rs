//! The ledger of permits for engines that declare a limit, on the coordinator.
//!
//! It receives the limits that hosts have been told and their demand for permits, and grants single permits:
//! streams that broke off go first, since their clients have a part of their answer already; then what waits; then hosts that would
//! have preferred the engine but had another one. A new ledger begins with nothing saved up.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::{
        EngineIncarnation, EngineName, is_same_incarnation,
        limits::{
            bucket::TokenBucket,
            limit::RequestLimit,
            report::{LimitReport, LimitState, PermitDemand, PermitGrant},
        },
    },
};

/// The least rate at which requests go to an engine, whatever it names. Unit: requests a second. One request in five seconds
/// finds out whether the engine still declares its limit.
pub const PROBE_RATE: f64 = 0.2;

/// The part of a limit that a host may use or deal which may not be the only one that does. Another host may deal as well, or stand
/// in by an older word on who should: all together stay within one and a half times the limit.
pub const ALONE_PART: f64 = 0.5;

/// The first rate of an engine that no longer declares a limit. Unit: requests a second.
const FIRST_RETURN_RATE: f64 = 1.0;

/// In what time that rate doubles: what an engine answers within comes before the next step, mostly.
const RETURN_DOUBLES: Duration = Duration::from_millis(500);

/// For how long that rate rises at a time at the most: a ledger looks at it far more often while it runs.
const LONGEST_RAISE: Duration = Duration::from_millis(200);

/// The rate from which on the engine counts as any other: ten times what one that names a limit usually takes. Unit: requests a
/// second.
const RETURNED_RATE: f64 = 32.0;

/// How long a host's demand holds without renewal.
const DEMAND_HOLDS: Duration = Duration::from_millis(1500);

/// One host's demand for one engine.
#[derive(Debug, Clone, Default)]
struct HostDemand {
    demand: PermitDemand,
    /// How many permits it was granted by this ledger.
    granted: u64,
    asked: ClockMillis,
    /// Whether its turn has to be reported.
    reports_wait: bool,
}

impl HostDemand {
    /// Returns what it wants beyond the permits that are under way to it: resumed streams, other waiting requests, wishes.
    fn wants(&self) -> [u32; 3] {
        let mut under_way =
            u32::try_from(self.granted.saturating_sub(self.demand.got)).unwrap_or(u32::MAX);
        [self.demand.resumed, self.demand.waiting, u32::from(self.demand.wished)].map(|wanted| {
            let covered = wanted.min(under_way);
            under_way -= covered;
            wanted - covered
        })
    }

    fn waiting(&self) -> u32 {
        let [resumed, waiting, _] = self.wants();
        resumed.saturating_add(waiting)
    }
}

/// The account of one engine that declares a limit.
#[derive(Debug, Clone)]
struct LimitAccount {
    born: EngineIncarnation,
    limit: RequestLimit,
    /// When the response began that declared it last.
    said: ClockMillis,
    /// When the request of that response was sent.
    asked: ClockMillis,
    /// The rate at which it returns, where it no longer declares a limit. Unit: requests a second.
    returning: Option<f64>,
    /// When that rate was last raised.
    raised: ClockMillis,
    bucket: TokenBucket,
    demands: HashMap<Arc<str>, HostDemand>,
    /// The hosts that demand, those first whose turn comes first.
    turns: VecDeque<Arc<str>>,
    /// The limit that was published last.
    published: Option<RequestLimit>,
}

impl LimitAccount {
    fn new(report: &LimitReport, said: ClockMillis, now: ClockMillis) -> Self {
        Self {
            born: report.born,
            limit: report.limit,
            said,
            asked: now - report.asked_ago,
            returning: None,
            raised: now,
            bucket: TokenBucket::empty(now),
            demands: HashMap::new(),
            turns: VecDeque::new(),
            published: None,
        }
    }

    const fn is_incarnation(&self, born: EngineIncarnation) -> bool {
        is_same_incarnation(self.born, born)
    }

    /// Returns the rate at which requests go there now. Unit: requests a second.
    fn rate(&self) -> f64 {
        self.returning.unwrap_or_else(|| self.limit.per_second().max(PROBE_RATE))
    }

    /// Returns the rate with which the engine begins to return.
    fn first_return_rate(&self) -> f64 {
        self.limit.per_second().max(FIRST_RETURN_RATE)
    }

    fn has_returned(&self) -> bool {
        self.returning.is_some_and(|rate| rate >= RETURNED_RATE)
    }

    /// Adds what the rate has given since the last call, of which this ledger deals a part.
    fn refill(&mut self, part: f64, now: ClockMillis) {
        // A ledger that was stopped has dealt nothing meanwhile, so that nothing shows how the engine bears more.
        let time = now.since(self.raised).min(LONGEST_RAISE);
        self.raised = now;
        if let Some(rate) = &mut self.returning {
            *rate *= time.div_duration_f64(RETURN_DOUBLES).exp2();
        }
        let rate = self.rate() * part;
        self.bucket.refill(rate, now);
    }

    fn forget_old(&mut self, now: ClockMillis) {
        self.demands.retain(|_, demand| now.since(demand.asked) < DEMAND_HOLDS);
        let demands = &self.demands;
        self.turns.retain(|host| demands.contains_key(host));
    }

    /// Returns whose turn is next in one rank of [`HostDemand::wants`].
    fn next_turn(&self, rank: usize) -> Option<usize> {
        self.turns
            .iter()
            .position(|host| self.demands.get(host).is_some_and(|demand| demand.wants()[rank] > 0))
    }

    /// Deals what there is; returns how many permits each host gets.
    fn deal(&mut self) -> BTreeMap<Arc<str>, u32> {
        let mut dealt = BTreeMap::new();
        for rank in 0..3 {
            while let Some(place) = self.next_turn(rank) {
                if !self.bucket.take() {
                    return dealt;
                }
                let Some(host) = self.turns.remove(place) else { return dealt };
                if let Some(demand) = self.demands.get_mut(&host) {
                    demand.granted += 1;
                }
                *dealt.entry(Arc::clone(&host)).or_default() += 1;
                self.turns.push_back(host);
            }
        }
        dealt
    }

    /// Returns in what time everybody who waits has had a permit of this ledger, which deals a part of the rate.
    fn wait(&self, part: f64) -> Duration {
        let waiting: u32 = self.demands.values().map(HostDemand::waiting).sum();
        let seconds = self.bucket.seconds_until(f64::from(waiting.max(1)), self.rate() * part);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// The permits for all engines that name a limit.
#[derive(Debug, Clone, Default)]
pub struct LimitLedger {
    accounts: BTreeMap<EngineName, LimitAccount>,
    /// Engines for which hosts have asked and that have no account. One that is listed here later than at the host that named its limit
    /// has lost its account, and that host would demand for ever.
    unknown: BTreeMap<Arc<str>, BTreeSet<EngineName>>,
    /// Whether another host may deal permits for the same engines.
    doubted: bool,
}

impl LimitLedger {
    /// Takes whether this host is known to be the only one that deals: where it is not, it deals half, as one does that stands in.
    pub fn confirmed(&mut self, confirmed: bool) {
        self.doubted = !confirmed;
    }

    /// Returns the part of each limit that this ledger deals.
    const fn part(&self) -> f64 {
        if self.doubted { ALONE_PART } else { 1.0 }
    }

    /// Receives a host's report on an engine's limit; the latest declaration counts.
    pub fn receive(&mut self, report: &LimitReport, now: ClockMillis) {
        let (said, asked) = (now - report.said_ago, now - report.asked_ago);
        let (part, ended) = (self.part(), report.state != LimitState::Named);
        let known = self.accounts.get_mut(&report.engine);
        let Some(known) =
            known.filter(|known| known.is_incarnation(report.born) || said < known.said)
        else {
            // A limit that ended under the ledger before is not forgotten with it: hosts wait to hear that the engine is back.
            let mut account = LimitAccount::new(report, said, now);
            account.returning = ended.then_some(account.first_return_rate());
            self.accounts.insert(Arc::clone(&report.engine), account);
            return;
        };
        if !known.is_incarnation(report.born) {
            return;
        }
        if !ended {
            if said >= known.said {
                known.refill(part, now);
                (known.limit, known.returning) = (report.limit, None);
                (known.said, known.asked) = (said, asked);
            }
        } else if asked > known.said && known.returning.is_none() {
            known.refill(part, now);
            known.returning = Some(known.first_return_rate());
            (known.said, known.asked) = (said, asked);
        }
    }

    /// Receives a host's demand for an engine.
    pub fn demand_received(
        &mut self,
        host: &Arc<str>,
        engine: &str,
        demand: &PermitDemand,
        now: ClockMillis,
    ) {
        let part = self.part();
        let Some(account) = self.accounts.get_mut(engine) else {
            self.unknown.entry(Arc::clone(host)).or_default().insert(Arc::from(engine));
            return;
        };
        account.refill(part, now);
        let rate = account.rate();
        // An demand that is not known any more had settled what was unused before.
        let settled = || HostDemand {
            demand: PermitDemand { unused: demand.unused, ..PermitDemand::default() },
            ..HostDemand::default()
        };
        let known = account.demands.entry(Arc::clone(host)).or_insert_with(settled);
        let before = known.waiting();
        let unused = demand.unused.saturating_sub(known.demand.unused);
        (known.demand, known.asked) = (demand.clone(), now);
        // What was granted to an demand that is not known any more has come.
        known.granted = known.granted.max(demand.got);
        known.reports_wait |= known.waiting() > before;
        account.bucket.give_back(unused as f64);
        account.bucket.charge(demand.unpermitted as f64, rate);
        if !account.turns.contains(host) {
            account.turns.push_back(Arc::clone(host));
        }
    }

    /// Takes that a host has subscribed: it counts its permits anew.
    pub fn subscribed(&mut self, host: &str) {
        self.unknown.remove(host);
        for account in self.accounts.values_mut() {
            account.demands.remove(host);
            account.turns.retain(|asking| &**asking != host);
        }
    }

    /// Grants the permits that there are; returns the grants by host.
    pub fn deal(&mut self, now: ClockMillis) -> BTreeMap<Arc<str>, Vec<PermitGrant>> {
        let mut grants: BTreeMap<Arc<str>, Vec<PermitGrant>> = BTreeMap::new();
        let part = self.part();
        for (engine, account) in &mut self.accounts {
            account.refill(part, now);
            account.forget_old(now);
            let mut dealt = account.deal();
            let wait = account.wait(part);
            for (host, demand) in &mut account.demands {
                let waits = std::mem::take(&mut demand.reports_wait) && demand.waiting() > 0;
                let permits = dealt.remove(host).unwrap_or_default();
                if permits > 0 || waits {
                    let (engine, wait) = (Arc::clone(engine), waits.then_some(wait));
                    let grant = PermitGrant { engine, permits, wait, unknown: false };
                    grants.entry(Arc::clone(host)).or_default().push(grant);
                }
            }
        }
        for (host, engines) in std::mem::take(&mut self.unknown) {
            let unknown = engines.into_iter().map(|engine| PermitGrant {
                engine,
                permits: 0,
                wait: None,
                unknown: true,
            });
            grants.entry(host).or_default().extend(unknown);
        }
        grants
    }

    /// Returns when the next permit for a pending demand is there.
    pub fn next_due(&self, now: ClockMillis) -> Option<ClockMillis> {
        let waited = self.accounts.values().filter(|account| {
            account.demands.values().any(|demand| demand.wants().iter().any(|wanted| *wanted > 0))
        });
        let part = self.part();
        let next = waited.map(|account| account.bucket.seconds_until(1.0, account.rate() * part));
        let next = next.min_by(f64::total_cmp)?;
        Some(now + Duration::try_from_secs_f64(next).unwrap_or(DEMAND_HOLDS))
    }

    /// Returns what has to be published: engines that have a limit, another one by a quarter, or none any more.
    pub fn take_changes(&mut self, now: ClockMillis) -> Vec<LimitReport> {
        let mut changes = Vec::new();
        self.accounts.retain(|engine, account| {
            if account.has_returned() {
                changes
                    .push(LimitReport { state: LimitState::Back, ..account.report(engine, now) });
                return false;
            }
            if account.published.is_none_or(|published| account.limit.differs(published)) {
                account.published = Some(account.limit);
                changes.push(account.report(engine, now));
            }
            true
        });
        changes
    }

    /// Returns the reports for a new subscriber.
    pub fn snapshot(&self, now: ClockMillis) -> Vec<LimitReport> {
        let words = self.accounts.iter();
        words.map(|(engine, account)| account.report(engine, now)).collect()
    }

    /// Forgets engines that are listed no more, or in another life; `life` returns the one that is listed.
    pub fn retain(&mut self, life: impl Fn(&str) -> Option<EngineIncarnation>) {
        self.accounts.retain(|engine, account| {
            life(engine).is_some_and(|born| account.is_incarnation(born))
        });
    }
}

impl LimitAccount {
    fn report(&self, engine: &EngineName, now: ClockMillis) -> LimitReport {
        let returns = self.returning.is_some();
        LimitReport {
            engine: Arc::clone(engine),
            born: self.born,
            limit: self.limit,
            state: if returns { LimitState::Ended } else { LimitState::Named },
            said_ago: now.since(self.said),
            asked_ago: now.since(self.asked),
        }
    }
}
