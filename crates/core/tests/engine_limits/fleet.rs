//! A simulated fleet for one engine: hosts with their shares, the ledger's host, and the messages between them.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineName,
        announcement::Declared,
        limits::{
            ledger::LimitLedger,
            limit::{LimitDeclaration, RequestLimit},
            report::{LimitReport, PermitGrant},
            share::{LimitShare, LimitUpdate, PermitUse},
        },
    },
};

use crate::simulation::LimitStrategy;

/// How long a request waits for a permit.
pub(crate) const PERMIT_TIMEOUT: Duration = Duration::from_millis(500);

/// The poll interval of a host that is not woken.
const TICK: Duration = Duration::from_millis(50);

/// The longest interval between two messages of the ledger.
const LEDGER_HEARTBEAT: Duration = Duration::from_millis(400);

/// The delay of a message, also between halls.
const MESSAGE_DELAYS_MS: std::ops::Range<u64> = 1..30;

/// A message between a host and the ledger.
#[derive(Debug, Clone)]
enum LimitMessage {
    /// From a host that subscribes.
    Subscribe,
    /// From a host to the ledger.
    Update(LimitUpdate),
    /// From the ledger to a host: reports for all hosts, and this host's grants.
    Publish(Vec<LimitReport>, Vec<PermitGrant>),
}

struct SentMessage {
    due: ClockMillis,
    host: usize,
    ledger: u64,
    to_ledger: bool,
    message: LimitMessage,
}

#[derive(Default)]
struct SimHost {
    share: LimitShare,
    /// When each waiting request arrived.
    waiting: VecDeque<ClockMillis>,
    polled_at: ClockMillis,
    is_woken: bool,
    /// The ledger that it is subscribed to; zero for none.
    subscribed_to: u64,
    down_until: ClockMillis,
    paused_until: ClockMillis,
    partitioned_until: ClockMillis,
}

impl SimHost {
    fn is_running(&self, now: ClockMillis) -> bool {
        now >= self.down_until && now >= self.paused_until
    }

    fn is_connected(&self, now: ClockMillis) -> bool {
        self.is_running(now) && now >= self.partitioned_until
    }
}

/// A ledger and its host.
struct SimLedger {
    ledger: LimitLedger,
    host: usize,
    id: u64,
    heartbeat_at: ClockMillis,
    /// When its host starts to keep it.
    starts_at: ClockMillis,
    /// When its host gives it up.
    ends_at: ClockMillis,
}

/// A defect that the checks have to detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FleetMutation {
    /// One in three requests is sent without a permit, like an uncounted retry.
    SkipsPermits,
    /// Each host gets extra permits when it subscribes, as from a ledger whose buckets start full.
    LedgerStartsFull,
    /// Every host without a ledger acts as the fallback.
    AllHostsFallback,
}

/// Hosts that share permits through a ledger.
pub(crate) struct PermitFleet {
    pub(crate) engine: EngineName,
    pub(crate) incarnation: u64,
    hosts: Vec<SimHost>,
    ledgers: Vec<SimLedger>,
    messages: VecDeque<SentMessage>,
    random: Pcg64Mcg,
    /// The host that is the engine's fallback while no ledger is received.
    fallback_host: usize,
    /// Requests that got no permit in time.
    pub(crate) refused: usize,
    pub(crate) mutation: Option<FleetMutation>,
}

const FOREVER: ClockMillis = ClockMillis::from_millis(u64::MAX);

impl PermitFleet {
    pub(crate) fn new(hosts: usize, seed: u64) -> Self {
        let mut fleet = Self {
            engine: Arc::from("e1"),
            incarnation: 1,
            hosts: (0..hosts).map(|_| SimHost::default()).collect(),
            ledgers: Vec::new(),
            messages: VecDeque::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            fallback_host: hosts - 1,
            refused: 0,
            mutation: None,
        };
        fleet.start_ledger(0, ClockMillis::from_millis(0));
        fleet
    }

    /// Starts a ledger on a host at `at`.
    pub(crate) fn start_ledger(&mut self, host: usize, at: ClockMillis) {
        let id = self.ledgers.last().map_or(1, |last| last.id + 1);
        let (ledger, heartbeat_at) = (LimitLedger::default(), ClockMillis::default());
        self.ledgers.push(SimLedger {
            ledger,
            host,
            id,
            heartbeat_at,
            starts_at: at,
            ends_at: FOREVER,
        });
    }

    /// Ends the newest ledger at `at`, whether its host is reachable or not.
    pub(crate) fn end_ledger(&mut self, at: ClockMillis) {
        if let Some(last) = self.ledgers.last_mut() {
            last.ends_at = at;
        }
    }

    /// Returns the host of the newest ledger.
    pub(crate) fn ledger_host(&self) -> usize {
        self.ledgers.last().map_or(0, |last| last.host)
    }

    /// Kills a host until `until`; it restarts without state.
    pub(crate) fn kill(&mut self, host: usize, until: ClockMillis) {
        self.hosts[host] = SimHost { down_until: until, ..SimHost::default() };
    }

    /// Pauses a host until `until`.
    pub(crate) fn pause(&mut self, host: usize, until: ClockMillis) {
        self.hosts[host].paused_until = until;
    }

    /// Partitions a host from all others until `until`; the engine and clients still reach it.
    pub(crate) fn partition(&mut self, host: usize, until: ClockMillis) {
        self.hosts[host].partitioned_until = until;
    }

    /// Returns whether a host knows that the engine has a limit.
    pub(crate) fn is_limited(&self, host: usize) -> bool {
        self.hosts[host].share.is_limited(&self.engine)
    }

    pub(crate) fn declares_limit(&self, host: usize) -> bool {
        self.hosts[host].share.declares_limit(&self.engine)
    }

    /// Delivers a response of one incarnation of the engine.
    pub(crate) fn receive_response(
        &mut self,
        host: usize,
        incarnation: u64,
        limit: Option<RequestLimit>,
        requested_at: ClockMillis,
        now: ClockMillis,
    ) {
        let engine = Arc::clone(&self.engine);
        let host = &mut self.hosts[host];
        if !host.is_running(now) {
            return;
        }
        let limit = limit.map_or(Declared::Absent, Declared::Present);
        let was_limited = host.share.is_limited(&engine);
        host.share.receive_declaration(
            &engine,
            incarnation,
            LimitDeclaration { limit, requested_at, absence_is_conclusive: true },
            now,
        );
        if !was_limited && host.share.is_limited(&engine) {
            for _ in 0..host.waiting.len() {
                host.share.begin_wait(&engine, PermitUse::Waiting);
            }
        }
        host.is_woken = true;
    }

    fn send(
        &mut self,
        host: usize,
        ledger: u64,
        to_ledger: bool,
        message: LimitMessage,
        now: ClockMillis,
    ) {
        let due = now + Duration::from_millis(self.random.random_range(MESSAGE_DELAYS_MS));
        // Messages on one connection stay in order.
        let previous =
            self.messages.iter().rev().find(|sent| {
                sent.host == host && sent.to_ledger == to_ledger && sent.ledger == ledger
            });
        let due = previous.map_or(due, |previous| due.max(previous.due));
        self.messages.push_back(SentMessage { due, host, ledger, to_ledger, message });
    }

    fn deliver(&mut self, now: ClockMillis) {
        let (arrived, in_flight): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|sent| sent.due <= now);
        self.messages = in_flight.into();
        for sent in arrived {
            let position = self.ledgers.iter().position(|ledger| ledger.id == sent.ledger);
            let Some(position) = position else { continue };
            let ledger_connected = self.hosts[self.ledgers[position].host].is_connected(now);
            let is_local = self.ledgers[position].host == sent.host;
            let delivered =
                is_local || (ledger_connected && self.hosts[sent.host].is_connected(now));
            if !delivered {
                // A lost message breaks the connection.
                self.hosts[sent.host].subscribed_to = 0;
                continue;
            }
            if sent.to_ledger {
                self.deliver_to_ledger(position, sent.host, &sent.message, now);
            } else if let LimitMessage::Publish(reports, grants) = &sent.message {
                let host = &mut self.hosts[sent.host];
                if host.subscribed_to != sent.ledger {
                    continue;
                }
                host.share.record_ledger_frame(now);
                for report in reports {
                    host.share.receive(report, now);
                }
                host.share.receive_grants(grants, now);
                host.is_woken = true;
            }
        }
    }

    fn deliver_to_ledger(
        &mut self,
        position: usize,
        host: usize,
        message: &LimitMessage,
        now: ClockMillis,
    ) {
        let name: Arc<str> = Arc::from(host.to_string());
        let extra_grant = [PermitGrant {
            engine: Arc::clone(&self.engine),
            permits: 3,
            wait: None,
            unknown: false,
        }];
        let ledger = &mut self.ledgers[position].ledger;
        match message {
            LimitMessage::Subscribe => {
                ledger.reset_host(&name);
                if self.mutation == Some(FleetMutation::LedgerStartsFull) {
                    self.hosts[host].share.receive_grants(&extra_grant, now);
                }
                let reports = ledger.snapshot(now);
                let ledger_id = self.ledgers[position].id;
                self.send(host, ledger_id, false, LimitMessage::Publish(reports, Vec::new()), now);
            }
            LimitMessage::Update(update) => {
                for report in &update.reports {
                    ledger.receive(report, now);
                }
                for (engine, demand) in &update.demands {
                    ledger.receive_demand(&name, engine, demand, now);
                }
            }
            LimitMessage::Publish(..) => {}
        }
    }

    /// Returns the newest ledger that a host can reach.
    fn reachable_ledger(&self, host: usize, now: ClockMillis) -> u64 {
        let reaches = |ledger: &&SimLedger| {
            let is_local = ledger.host == host;
            let both_connected =
                self.hosts[host].is_connected(now) && self.hosts[ledger.host].is_connected(now);
            now >= ledger.starts_at && now < ledger.ends_at && (is_local || both_connected)
        };
        self.ledgers.iter().rev().find(reaches).map_or(0, |ledger| ledger.id)
    }

    fn tick_hosts(&mut self, now: ClockMillis) {
        for host in 0..self.hosts.len() {
            if !self.hosts[host].is_running(now) {
                continue;
            }
            let poll_due = now.since(self.hosts[host].polled_at) >= TICK;
            if !poll_due && !std::mem::take(&mut self.hosts[host].is_woken) {
                continue;
            }
            self.hosts[host].polled_at = now;
            let ledger = self.reachable_ledger(host, now);
            if ledger != self.hosts[host].subscribed_to {
                self.hosts[host].subscribed_to = ledger;
                if ledger > 0 {
                    self.hosts[host].share.resend_all();
                    self.send(host, ledger, true, LimitMessage::Subscribe, now);
                }
            }
            if ledger > 0 {
                let update = self.hosts[host].share.take_pending(now);
                if update != LimitUpdate::default() {
                    self.send(host, ledger, true, LimitMessage::Update(update), now);
                }
            }
            let all_fallback = self.mutation == Some(FleetMutation::AllHostsFallback);
            let is_fallback = all_fallback || self.fallback_host == host;
            self.hosts[host].share.grant_fallback_permits(|_| is_fallback, now);
        }
    }

    fn tick_ledgers(&mut self, now: ClockMillis) {
        for position in 0..self.ledgers.len() {
            let ledger = &mut self.ledgers[position];
            if now < ledger.starts_at
                || now >= ledger.ends_at
                || !self.hosts[ledger.host].is_running(now)
            {
                continue;
            }
            let ledger_id = ledger.id;
            let mut grants = ledger.ledger.grant_permits(now);
            let reports = ledger.ledger.take_changes(now);
            let heartbeat_due = now.since(ledger.heartbeat_at) >= LEDGER_HEARTBEAT;
            if heartbeat_due {
                ledger.heartbeat_at = now;
            }
            let publishes = heartbeat_due || !reports.is_empty();
            for host in 0..self.hosts.len() {
                let host_grants = grants.remove(&*host.to_string()).unwrap_or_default();
                if self.hosts[host].subscribed_to == ledger_id
                    && (publishes || !host_grants.is_empty())
                {
                    self.send(
                        host,
                        ledger_id,
                        false,
                        LimitMessage::Publish(reports.clone(), host_grants),
                        now,
                    );
                }
            }
        }
    }
}

impl LimitStrategy for PermitFleet {
    fn on_arrival(&mut self, host: usize, now: ClockMillis) {
        let engine = Arc::clone(&self.engine);
        let host = &mut self.hosts[host];
        if host.is_running(now) {
            host.waiting.push_back(now);
            host.share.begin_wait(&engine, PermitUse::Waiting);
            host.is_woken = true;
        }
    }

    fn on_response(
        &mut self,
        host: usize,
        limit: Option<RequestLimit>,
        requested_at: ClockMillis,
        now: ClockMillis,
    ) {
        self.receive_response(host, self.incarnation, limit, requested_at, now);
    }

    fn hosts_to_send(&mut self, now: ClockMillis) -> Vec<usize> {
        self.deliver(now);
        self.tick_hosts(now);
        self.tick_ledgers(now);
        let mut hosts_to_send = Vec::new();
        for (index, host) in self.hosts.iter_mut().enumerate() {
            if !host.is_running(now) {
                continue;
            }
            while let Some(since) = host.waiting.front().copied() {
                let skips_permit = self.mutation == Some(FleetMutation::SkipsPermits)
                    && self.random.random_range(0..3) == 0;
                let sent = skips_permit || host.share.take(&self.engine, PermitUse::Waiting, now);
                if sent {
                    hosts_to_send.push(index);
                } else if now.since(since) < PERMIT_TIMEOUT {
                    break;
                } else {
                    self.refused += 1;
                }
                host.waiting.pop_front();
                host.share.end_wait(&self.engine, PermitUse::Waiting);
                host.is_woken = true;
            }
        }
        hosts_to_send
    }
}
