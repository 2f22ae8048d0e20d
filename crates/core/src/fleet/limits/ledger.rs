//! The ledger of permits for engines that declare a limit, kept by the coordinator.
//!
//! It receives the limits that engines declared to hosts and the hosts' demand, and grants single permits: first to
//! resumed streams, whose clients have a part of their response already; then to waiting requests; then to hosts
//! that diverted a request from the engine. A new ledger starts with empty buckets.

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
            limit::{BRITTLE_RETENTION, RequestLimit},
            open_room::OpenRoom,
            report::{LimitReport, LimitState, PermitDemand, PermitGrant},
        },
    },
};

/// The least rate at which requests are sent to an engine, whatever it declares. Unit: requests per second. These
/// requests find out whether the engine still declares its limit.
pub const PROBE_RATE: f64 = 0.2;

/// The fraction of a limit that a host uses or grants while it may not be the only one to do so. An unconfirmed
/// ledger, its successor and a fallback host together stay within one and a half times the limit.
pub const UNCOORDINATED_FRACTION: f64 = 0.5;

/// The initial rate of an engine that no longer declares a limit. Unit: requests per second.
const RECOVERY_START_RATE: f64 = 1.0;

/// The time in which that rate doubles. Longer than most responses take, so that the engine can declare a limit
/// before the next step.
const RECOVERY_DOUBLING_TIME: Duration = Duration::from_millis(500);

/// The longest time that one step of the recovery counts, so that a paused ledger does not raise the rate for the
/// time in which it granted nothing.
const MAX_RECOVERY_STEP: Duration = Duration::from_millis(200);

/// The rate at which the limit is lifted. Unit: requests per second. Well above the limits that engines usually
/// declare.
const RECOVERED_RATE: f64 = 32.0;

/// How long a host's demand holds without renewal.
const DEMAND_TTL: Duration = Duration::from_millis(1500);

/// One host's demand for one engine.
#[derive(Debug, Clone, Default)]
struct HostDemand {
    demand: PermitDemand,
    /// The number of permits that this ledger has granted to the host.
    granted: u64,
    received_at: ClockMillis,
    /// Whether the expected wait still has to be reported to the host.
    wait_report_due: bool,
}

impl HostDemand {
    /// Returns the demand beyond the permits in flight to the host: resumed streams, other waiting requests,
    /// diverted requests.
    fn outstanding(&self) -> [u32; 3] {
        let mut in_flight = self.in_flight();
        [self.demand.resumed, self.demand.waiting, u32::from(self.demand.diverted)].map(|wanted| {
            let covered = wanted.min(in_flight);
            in_flight -= covered;
            wanted - covered
        })
    }

    fn waiting(&self) -> u32 {
        let [resumed, waiting, _] = self.outstanding();
        resumed.saturating_add(waiting)
    }

    /// Returns the number of permits in flight to the host.
    fn in_flight(&self) -> u32 {
        u32::try_from(self.granted.saturating_sub(self.demand.received)).unwrap_or(u32::MAX)
    }

    /// Returns the host's open requests and the permits that it holds or that are in flight to it.
    fn held(&self) -> u32 {
        self.demand.held.saturating_add(self.in_flight())
    }
}

/// The account of one engine that declares a limit.
#[derive(Debug, Clone)]
struct LimitAccount {
    incarnation: EngineIncarnation,
    limit: RequestLimit,
    /// When the response that last declared the limit or its end began.
    responded_at: ClockMillis,
    /// When the engine was last listed in this incarnation.
    listed_at: ClockMillis,
    /// When the request of that response was sent.
    requested_at: ClockMillis,
    /// The current rate of an engine that no longer declares a limit. Unit: requests per second.
    recovery_rate: Option<f64>,
    /// When that rate was last raised.
    recovery_raised_at: ClockMillis,
    bucket: TokenBucket,
    /// The room, if the number of open requests is limited.
    room: Option<OpenRoom>,
    demands: HashMap<Arc<str>, HostDemand>,
    /// The hosts with a demand, in the order of their turns.
    round_robin: VecDeque<Arc<str>>,
    /// The limit that was last published.
    published: Option<RequestLimit>,
}

impl LimitAccount {
    fn new(report: &LimitReport, responded_at: ClockMillis, now: ClockMillis) -> Self {
        Self {
            incarnation: report.incarnation,
            limit: report.limit,
            responded_at,
            listed_at: responded_at,
            requested_at: now - report.requested_ago,
            recovery_rate: None,
            recovery_raised_at: now,
            bucket: TokenBucket::empty(now),
            room: report.limit.max_open().map(|max_open| OpenRoom::new(max_open, now)),
            demands: HashMap::new(),
            round_robin: VecDeque::new(),
            published: None,
        }
    }

    const fn is_incarnation(&self, incarnation: EngineIncarnation) -> bool {
        is_same_incarnation(self.incarnation, incarnation)
    }

    /// Returns the rate at which permits are granted now. Unit: requests per second.
    fn rate(&self) -> f64 {
        self.recovery_rate.unwrap_or_else(|| self.limit.per_second().max(PROBE_RATE))
    }

    /// Returns the rate at which recovery starts.
    fn recovery_start_rate(&self) -> f64 {
        self.limit.per_second().max(RECOVERY_START_RATE)
    }

    fn has_recovered(&self) -> bool {
        self.recovery_rate.is_some_and(|rate| rate >= RECOVERED_RATE)
    }

    /// Adds the tokens since the last call, of which this ledger grants a fraction.
    fn refill(&mut self, fraction: f64, now: ClockMillis) {
        // A paused ledger granted nothing, so the time of the pause is no evidence that the engine bears more.
        let time = now.since(self.recovery_raised_at).min(MAX_RECOVERY_STEP);
        self.recovery_raised_at = now;
        if let Some(rate) = &mut self.recovery_rate {
            *rate *= time.div_duration_f64(RECOVERY_DOUBLING_TIME).exp2();
        }
        let rate = self.rate() * fraction;
        if rate.is_finite() {
            self.bucket.refill(rate, now);
        }
    }

    /// Sets the declared limit.
    fn set_limit(&mut self, limit: RequestLimit, now: ClockMillis) {
        self.limit = limit;
        match (limit.max_open(), &mut self.room) {
            (Some(max_open), Some(room)) => room.set_max(max_open),
            (max_open, room) => *room = max_open.map(|max_open| OpenRoom::new(max_open, now)),
        }
    }

    /// Returns the requests that are open or permitted at all hosts.
    fn held(&self) -> u32 {
        self.demands.values().fold(0, |total, demand| total.saturating_add(demand.held()))
    }

    fn is_half_full(&self) -> bool {
        let held = self.held();
        self.room.as_ref().is_some_and(|room| held.saturating_mul(2) >= room.current())
    }

    /// Takes what one more permit needs: room, and a token where the rate is limited.
    fn take(&mut self, fraction: f64, now: ClockMillis) -> bool {
        let held = self.held();
        let has_room =
            self.room.as_ref().is_none_or(|room| room.available(held, fraction, now) > 0);
        has_room && (self.rate().is_infinite() || self.bucket.take())
    }

    fn drop_expired_demands(&mut self, now: ClockMillis) {
        self.demands.retain(|_, demand| now.since(demand.received_at) < DEMAND_TTL);
        let demands = &self.demands;
        self.round_robin.retain(|host| demands.contains_key(host));
    }

    /// Returns the position of the next host with demand in one class of [`HostDemand::outstanding`].
    fn next_host(&self, class: usize) -> Option<usize> {
        self.round_robin.iter().position(|host| {
            self.demands.get(host).is_some_and(|demand| demand.outstanding()[class] > 0)
        })
    }

    /// Grants the available permits; returns how many each host gets.
    fn grant_permits(&mut self, fraction: f64, now: ClockMillis) -> BTreeMap<Arc<str>, u32> {
        let mut granted_permits = BTreeMap::new();
        for class in 0..3 {
            while let Some(position) = self.next_host(class) {
                // A permit for a later request occupies room until it is used.
                let wastes_room = class == 2 && self.is_half_full();
                if wastes_room || !self.take(fraction, now) {
                    return granted_permits;
                }
                let Some(host) = self.round_robin.remove(position) else { return granted_permits };
                if let Some(demand) = self.demands.get_mut(&host) {
                    demand.granted += 1;
                }
                *granted_permits.entry(Arc::clone(&host)).or_default() += 1;
                self.round_robin.push_back(host);
            }
        }
        granted_permits
    }

    /// Returns the time until every waiting request has had a permit of this ledger, which grants a fraction of the
    /// rate.
    fn expected_wait(&self, fraction: f64) -> Duration {
        let waiting: u32 = self.demands.values().map(HostDemand::waiting).sum();
        let waiting = f64::from(waiting.max(1));
        let rate = self.rate() * fraction;
        let for_rate =
            if rate.is_finite() { self.bucket.seconds_until(waiting, rate) } else { 0.0 };
        let for_room = self.room.as_ref().map_or(0.0, |room| {
            waiting / room.turnover().unwrap_or_else(|| f64::from(room.current()))
        });
        let seconds = for_rate.max(for_room);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// The permits for all engines that declare a limit.
#[derive(Debug, Clone, Default)]
pub struct LimitLedger {
    accounts: BTreeMap<EngineName, LimitAccount>,
    /// By host, engines that it demands and that have no account here. The host is told to resend its report, since
    /// it would otherwise demand permits forever.
    unknown_engines: BTreeMap<Arc<str>, BTreeSet<EngineName>>,
    /// Whether another host may grant permits for the same engines.
    unconfirmed: bool,
}

impl LimitLedger {
    /// Sets whether this host is confirmed as the only coordinator. While it is not, the ledger grants a fraction
    /// of each limit.
    pub fn set_confirmed(&mut self, confirmed: bool) {
        self.unconfirmed = !confirmed;
    }

    /// Returns the fraction of each limit that this ledger grants.
    const fn fraction(&self) -> f64 {
        if self.unconfirmed { UNCOORDINATED_FRACTION } else { 1.0 }
    }

    /// Applies a host's report on an engine's limit; the latest declaration wins.
    pub fn receive(&mut self, report: &LimitReport, now: ClockMillis) {
        let (responded_at, requested_at) = (now - report.responded_ago, now - report.requested_ago);
        let (fraction, recovering) = (self.fraction(), report.state != LimitState::Active);
        let account = self.accounts.get_mut(&report.engine);
        let Some(account) = account.filter(|account| {
            account.is_incarnation(report.incarnation) || responded_at < account.responded_at
        }) else {
            // A limit that ended under the previous ledger gets an account as well: hosts wait for the report that
            // it is lifted.
            let previous = self.accounts.remove(&report.engine);
            let mut account = LimitAccount::new(report, responded_at, now);
            if let Some(previous) = previous.filter(|previous| previous.room.is_some()) {
                // The engine has restarted, and may be brittle still.
                account.inherit_room(previous);
            }
            account.recovery_rate = recovering.then_some(account.recovery_start_rate());
            self.accounts.insert(Arc::clone(&report.engine), account);
            return;
        };
        if !account.is_incarnation(report.incarnation) {
            return;
        }
        if !recovering {
            if responded_at >= account.responded_at {
                account.refill(fraction, now);
                account.set_limit(report.limit, now);
                account.recovery_rate = None;
                (account.responded_at, account.requested_at) = (responded_at, requested_at);
            }
        } else if requested_at > account.responded_at && account.recovery_rate.is_none() {
            account.refill(fraction, now);
            account.recovery_rate = Some(account.recovery_start_rate());
            (account.responded_at, account.requested_at) = (responded_at, requested_at);
        }
    }

    /// Applies a host's demand for an engine.
    pub fn receive_demand(
        &mut self,
        host: &Arc<str>,
        engine: &str,
        demand: &PermitDemand,
        now: ClockMillis,
    ) {
        let fraction = self.fraction();
        let Some(account) = self.accounts.get_mut(engine) else {
            self.unknown_engines.entry(Arc::clone(host)).or_default().insert(Arc::from(engine));
            return;
        };
        account.refill(fraction, now);
        let (rate, held_before) = (account.rate(), account.held());
        // The unused permits of an expired demand were settled before.
        let settled_demand = || HostDemand {
            demand: PermitDemand { unused: demand.unused, ..PermitDemand::default() },
            ..HostDemand::default()
        };
        let host_demand = account.demands.entry(Arc::clone(host)).or_insert_with(settled_demand);
        let waiting_before = host_demand.waiting();
        let unused = demand.unused.saturating_sub(host_demand.demand.unused);
        (host_demand.demand, host_demand.received_at) = (demand.clone(), now);
        // Permits that were granted to an expired demand have arrived.
        host_demand.granted = host_demand.granted.max(demand.received);
        host_demand.wait_report_due |= host_demand.waiting() > waiting_before;
        if rate.is_finite() {
            account.bucket.refund(unused as f64);
            account.bucket.charge(demand.unpermitted as f64, rate);
        }
        let ended_early = demand.rejected.saturating_add(u32::try_from(unused).unwrap_or(u32::MAX));
        account.update_room(held_before, ended_early, now);
        account.record_rejections(demand.rejected, now);
        if !account.round_robin.contains(host) {
            account.round_robin.push_back(Arc::clone(host));
        }
    }

    /// Forgets a host's demand when it subscribes or leaves: it restarts its permit counters.
    pub fn reset_host(&mut self, host: &str) {
        self.unknown_engines.remove(host);
        for account in self.accounts.values_mut() {
            account.demands.remove(host);
            account.round_robin.retain(|other_host| &**other_host != host);
        }
    }

    /// Grants the available permits; returns the grants by host.
    pub fn grant_permits(&mut self, now: ClockMillis) -> BTreeMap<Arc<str>, Vec<PermitGrant>> {
        let mut grants: BTreeMap<Arc<str>, Vec<PermitGrant>> = BTreeMap::new();
        let fraction = self.fraction();
        for (engine, account) in &mut self.accounts {
            account.refill(fraction, now);
            account.drop_expired_demands(now);
            if let Some(room) = &mut account.room {
                room.raise(now);
            }
            let mut granted_permits = account.grant_permits(fraction, now);
            let wait = account.expected_wait(fraction);
            for (host, demand) in &mut account.demands {
                let waits = std::mem::take(&mut demand.wait_report_due) && demand.waiting() > 0;
                let permits = granted_permits.remove(host).unwrap_or_default();
                if permits > 0 || waits {
                    let (engine, wait) = (Arc::clone(engine), waits.then_some(wait));
                    let grant = PermitGrant { engine, permits, wait, unknown: false };
                    grants.entry(Arc::clone(host)).or_default().push(grant);
                }
            }
        }
        for (host, engines) in std::mem::take(&mut self.unknown_engines) {
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

    /// Returns when the next permit for an outstanding demand is available.
    pub fn next_due(&self, now: ClockMillis) -> Option<ClockMillis> {
        let accounts_with_demand = self.accounts.values().filter(|account| {
            account
                .demands
                .values()
                .any(|demand| demand.outstanding().iter().any(|wanted| *wanted > 0))
        });
        let fraction = self.fraction();
        accounts_with_demand.filter_map(|account| account.next_due(fraction, now)).min()
    }

    /// Returns the reports to publish: new limits, significant changes, and lifted limits, whose accounts are
    /// removed.
    pub fn take_changes(&mut self, now: ClockMillis) -> Vec<LimitReport> {
        let mut changes = Vec::new();
        self.accounts.retain(|engine, account| {
            if account.has_recovered() {
                changes
                    .push(LimitReport { state: LimitState::Lifted, ..account.report(engine, now) });
                return false;
            }
            if account
                .published
                .is_none_or(|published| account.limit.differs_significantly(published))
            {
                account.published = Some(account.limit);
                changes.push(account.report(engine, now));
            }
            true
        });
        changes
    }

    /// Returns the reports for a new subscriber.
    pub fn snapshot(&self, now: ClockMillis) -> Vec<LimitReport> {
        let reports = self.accounts.iter();
        reports.map(|(engine, account)| account.report(engine, now)).collect()
    }

    /// Drops engines that are no longer listed in that incarnation; `incarnation_of` returns the listed one.
    ///
    /// A brittle engine that restarts is brittle until it responds otherwise.
    pub fn retain(
        &mut self,
        incarnation_of: impl Fn(&str) -> Option<EngineIncarnation>,
        now: ClockMillis,
    ) {
        self.accounts.retain(|engine, account| {
            let listed = incarnation_of(engine);
            let is_listed = listed.is_some_and(|incarnation| account.is_incarnation(incarnation));
            if is_listed {
                account.listed_at = now;
            }
            if account.room.is_some() && now.since(account.listed_at) < BRITTLE_RETENTION {
                account.incarnation = listed.unwrap_or(account.incarnation);
                return true;
            }
            is_listed
        });
    }
}

impl LimitAccount {
    /// Takes over what was learned of an earlier incarnation.
    fn inherit_room(&mut self, previous: Self) {
        if self.limit.max_open().is_none() {
            return;
        }
        (self.room, self.demands) = (previous.room, previous.demands);
        (self.round_robin, self.published) = (previous.round_robin, previous.published);
        if let (Some(room), Some(max_open)) = (&mut self.room, self.limit.max_open()) {
            room.set_max(max_open);
        }
    }

    /// Counts requests that ended, of which `not_run` did not run; `held_before` is what all hosts held before.
    fn update_room(&mut self, held_before: u32, not_run: u32, now: ClockMillis) {
        let ended = held_before.saturating_sub(self.held()).saturating_sub(not_run);
        if let Some(room) = &mut self.room {
            room.record_ended(ended, now);
        }
    }

    /// Reduces the room after rejections.
    fn record_rejections(&mut self, rejected: u32, now: ClockMillis) {
        let held = self.held();
        if let Some(room) = self.room.as_mut().filter(|_| rejected > 0) {
            room.record_rejection(held, now);
        }
    }

    /// Returns when the next permit for an outstanding demand is available, if that does not depend on the hosts.
    fn next_due(&self, fraction: f64, now: ClockMillis) -> Option<ClockMillis> {
        if let Some(room) = &self.room
            && room.available(self.held(), fraction, now) == 0
        {
            return room.next_change(now);
        }
        let rate = self.rate() * fraction;
        let seconds = if rate.is_finite() { self.bucket.seconds_until(1.0, rate) } else { 0.0 };
        Some(now + Duration::try_from_secs_f64(seconds).unwrap_or(DEMAND_TTL))
    }

    fn report(&self, engine: &EngineName, now: ClockMillis) -> LimitReport {
        let recovering = self.recovery_rate.is_some();
        LimitReport {
            engine: Arc::clone(engine),
            incarnation: self.incarnation,
            limit: self.limit,
            state: if recovering { LimitState::Recovering } else { LimitState::Active },
            responded_ago: now.since(self.responded_at),
            requested_ago: now.since(self.requested_at),
            settles_in: self.room.as_ref().map_or(Duration::ZERO, |room| room.settles_in(now)),
        }
    }
}
