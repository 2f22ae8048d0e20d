//! Hosts with their shares, the host that keeps the ledger, and the messages between them, for one engine.

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

use crate::play::LimitWay;

/// How long a request waits for a permit.
pub(crate) const PATIENCE: Duration = Duration::from_millis(500);

/// How often a host looks at what it has to tell when nothing wakes it.
const TICK: Duration = Duration::from_millis(50);

/// How often the ledger says that it is there.
const ALIVE: Duration = Duration::from_millis(400);

/// How long a message takes, from one hall to the next at the most.
const DELAYS: std::ops::Range<u64> = 1..30;

/// A message between a host and the ledger.
#[derive(Debug, Clone)]
enum LimitMessage {
    /// A host listens to a ledger from now on.
    Greet,
    /// To the ledger.
    Told(LimitUpdate),
    /// To a host: words for all, and what it is granted.
    Sums(Vec<LimitReport>, Vec<PermitGrant>),
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
    /// Since when each request waits.
    waiting: VecDeque<ClockMillis>,
    looked: ClockMillis,
    woken: bool,
    /// The ledger that it listens to; zero for none.
    listens: u64,
    down_until: ClockMillis,
    stopped_until: ClockMillis,
    cut_until: ClockMillis,
}

impl SimHost {
    fn runs(&self, now: ClockMillis) -> bool {
        now >= self.down_until && now >= self.stopped_until
    }

    fn hears(&self, now: ClockMillis) -> bool {
        self.runs(now) && now >= self.cut_until
    }
}

/// A ledger and its host.
struct SimLedger {
    ledger: LimitLedger,
    host: usize,
    number: u64,
    told: ClockMillis,
    /// From when on it exists.
    begins: ClockMillis,
    /// Until when its host believes that it keeps it.
    until: ClockMillis,
}

/// A mistake that the check must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FleetMutation {
    /// One in three requests goes without a permit, as one that is sent again uncounted would.
    SomeNotCounted,
    /// A host that begins to keep the ledger deals at once what ten seconds would give.
    StartsFull,
    /// Hosts that hear no ledger all permit themselves the whole limit.
    AllAlone,
}

/// Hosts that deal permits among themselves.
pub(crate) struct PermitFleet {
    pub(crate) engine: EngineName,
    pub(crate) born: u64,
    hosts: Vec<SimHost>,
    ledgers: Vec<SimLedger>,
    messages: VecDeque<SentMessage>,
    random: Pcg64Mcg,
    /// The host that the group names for the engine while no ledger is heard.
    stands_in: usize,
    /// Requests that got no permit in time.
    pub(crate) refused: usize,
    pub(crate) mutation: Option<FleetMutation>,
}

const FOR_EVER: ClockMillis = ClockMillis::from_millis(u64::MAX);

impl PermitFleet {
    pub(crate) fn new(hosts: usize, seed: u64) -> Self {
        let mut fleet = Self {
            engine: Arc::from("e1"),
            born: 1,
            hosts: (0..hosts).map(|_| SimHost::default()).collect(),
            ledgers: Vec::new(),
            messages: VecDeque::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            stands_in: hosts - 1,
            refused: 0,
            mutation: None,
        };
        fleet.begin_ledger(0, ClockMillis::from_millis(0));
        fleet
    }

    /// Makes a host keep the ledger from `at` on.
    pub(crate) fn begin_ledger(&mut self, host: usize, at: ClockMillis) {
        let number = self.ledgers.last().map_or(1, |last| last.number + 1);
        let (ledger, told) = (LimitLedger::default(), ClockMillis::default());
        self.ledgers.push(SimLedger { ledger, host, number, told, begins: at, until: FOR_EVER });
    }

    /// Ends the present ledger's time at `at`: its host gives it up then, whatever it hears.
    pub(crate) fn end_ledger(&mut self, at: ClockMillis) {
        if let Some(last) = self.ledgers.last_mut() {
            last.until = at;
        }
    }

    /// Returns who keeps the newest ledger.
    pub(crate) fn keeper(&self) -> usize {
        self.ledgers.last().map_or(0, |last| last.host)
    }

    /// Kills a host, which starts again after a while and knows nothing.
    pub(crate) fn kill(&mut self, host: usize, until: ClockMillis) {
        self.hosts[host] = SimHost { down_until: until, ..SimHost::default() };
    }

    /// Stops a host for a while.
    pub(crate) fn stop(&mut self, host: usize, until: ClockMillis) {
        self.hosts[host].stopped_until = until;
    }

    /// Cuts a host off from all others for a while; engine and clients reach it.
    pub(crate) fn cut(&mut self, host: usize, until: ClockMillis) {
        self.hosts[host].cut_until = until;
    }

    /// Returns whether a host knows that the engine has a limit.
    pub(crate) fn knows_limit(&self, host: usize) -> bool {
        self.hosts[host].share.is_limited(&self.engine)
    }

    pub(crate) fn declares_limit(&self, host: usize) -> bool {
        self.hosts[host].share.declares_limit(&self.engine)
    }

    /// Takes an answer of one life of the engine.
    pub(crate) fn answered_by(
        &mut self,
        host: usize,
        born: u64,
        limit: Option<RequestLimit>,
        asked: ClockMillis,
        now: ClockMillis,
    ) {
        let engine = Arc::clone(&self.engine);
        let host = &mut self.hosts[host];
        if !host.runs(now) {
            return;
        }
        let said = limit.map_or(Declared::Absent, Declared::Present);
        let was_limited = host.share.is_limited(&engine);
        host.share.receive_declaration(
            &engine,
            born,
            LimitDeclaration { limit: said, requested_at: asked, absence_is_conclusive: true },
            now,
        );
        if !was_limited && host.share.is_limited(&engine) {
            for _ in 0..host.waiting.len() {
                host.share.wait_began(&engine, PermitUse::Waiting);
            }
        }
        host.woken = true;
    }

    fn send(
        &mut self,
        host: usize,
        ledger: u64,
        to_ledger: bool,
        message: LimitMessage,
        now: ClockMillis,
    ) {
        let due = now + Duration::from_millis(self.random.random_range(DELAYS));
        // A connection keeps the order of what is sent on it.
        let before =
            self.messages.iter().rev().find(|sent| {
                sent.host == host && sent.to_ledger == to_ledger && sent.ledger == ledger
            });
        let due = before.map_or(due, |before| due.max(before.due));
        self.messages.push_back(SentMessage { due, host, ledger, to_ledger, message });
    }

    fn deliver(&mut self, now: ClockMillis) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|sent| sent.due <= now);
        self.messages = later.into();
        for sent in due {
            let keeper = self.ledgers.iter().position(|ledger| ledger.number == sent.ledger);
            let Some(keeper) = keeper else { continue };
            let keeper_hears = self.hosts[self.ledgers[keeper].host].hears(now);
            let own = self.ledgers[keeper].host == sent.host;
            let heard = own || (keeper_hears && self.hosts[sent.host].hears(now));
            if !heard {
                // What does not come through breaks the connection.
                self.hosts[sent.host].listens = 0;
                continue;
            }
            if sent.to_ledger {
                self.take_told(keeper, sent.host, &sent.message, now);
            } else if let LimitMessage::Sums(words, grants) = &sent.message {
                let host = &mut self.hosts[sent.host];
                if host.listens != sent.ledger {
                    continue;
                }
                host.share.note_ledger_frame(now);
                for word in words {
                    host.share.receive(word, now);
                }
                host.share.receive_grants(grants, now);
                host.woken = true;
            }
        }
    }

    fn take_told(&mut self, keeper: usize, host: usize, message: &LimitMessage, now: ClockMillis) {
        let name: Arc<str> = Arc::from(host.to_string());
        let full = [PermitGrant {
            engine: Arc::clone(&self.engine),
            permits: 3,
            wait: None,
            unknown: false,
        }];
        let ledger = &mut self.ledgers[keeper].ledger;
        match message {
            LimitMessage::Greet => {
                ledger.reset_host(&name);
                if self.mutation == Some(FleetMutation::StartsFull) {
                    self.hosts[host].share.receive_grants(&full, now);
                }
                let words = ledger.snapshot(now);
                let number = self.ledgers[keeper].number;
                self.send(host, number, false, LimitMessage::Sums(words, Vec::new()), now);
            }
            LimitMessage::Told(told) => {
                for word in &told.reports {
                    ledger.receive(word, now);
                }
                for (engine, ask) in &told.demands {
                    ledger.receive_demand(&name, engine, ask, now);
                }
            }
            LimitMessage::Sums(..) => {}
        }
    }

    /// Returns the newest ledger whose host a host can reach.
    fn reachable_ledger(&self, host: usize, now: ClockMillis) -> u64 {
        let reaches = |ledger: &&SimLedger| {
            let own = ledger.host == host;
            let both = self.hosts[host].hears(now) && self.hosts[ledger.host].hears(now);
            now >= ledger.begins && now < ledger.until && (own || both)
        };
        self.ledgers.iter().rev().find(reaches).map_or(0, |ledger| ledger.number)
    }

    fn tick_hosts(&mut self, now: ClockMillis) {
        for host in 0..self.hosts.len() {
            if !self.hosts[host].runs(now) {
                continue;
            }
            let due = now.since(self.hosts[host].looked) >= TICK;
            if !due && !std::mem::take(&mut self.hosts[host].woken) {
                continue;
            }
            self.hosts[host].looked = now;
            let ledger = self.reachable_ledger(host, now);
            if ledger != self.hosts[host].listens {
                self.hosts[host].listens = ledger;
                if ledger > 0 {
                    self.hosts[host].share.resend_all();
                    self.send(host, ledger, true, LimitMessage::Greet, now);
                }
            }
            if ledger > 0 {
                let told = self.hosts[host].share.take_pending(now);
                if told != LimitUpdate::default() {
                    self.send(host, ledger, true, LimitMessage::Told(told), now);
                }
            }
            let all_alone = self.mutation == Some(FleetMutation::AllAlone);
            let stands_in = all_alone || self.stands_in == host;
            self.hosts[host].share.grant_fallback_permits(|_| stands_in, now);
        }
    }

    fn tick_ledgers(&mut self, now: ClockMillis) {
        for place in 0..self.ledgers.len() {
            let ledger = &mut self.ledgers[place];
            if now < ledger.begins || now >= ledger.until || !self.hosts[ledger.host].runs(now) {
                continue;
            }
            let number = ledger.number;
            let mut grants = ledger.ledger.grant_permits(now);
            let words = ledger.ledger.take_changes(now);
            let alive = now.since(ledger.told) >= ALIVE;
            if alive {
                ledger.told = now;
            }
            let for_all = alive || !words.is_empty();
            for host in 0..self.hosts.len() {
                let own = grants.remove(&*host.to_string()).unwrap_or_default();
                if self.hosts[host].listens == number && (for_all || !own.is_empty()) {
                    self.send(host, number, false, LimitMessage::Sums(words.clone(), own), now);
                }
            }
        }
    }
}

impl LimitWay for PermitFleet {
    fn arrives(&mut self, host: usize, now: ClockMillis) {
        let engine = Arc::clone(&self.engine);
        let host = &mut self.hosts[host];
        if host.runs(now) {
            host.waiting.push_back(now);
            host.share.wait_began(&engine, PermitUse::Waiting);
            host.woken = true;
        }
    }

    fn answered(
        &mut self,
        host: usize,
        limit: Option<RequestLimit>,
        asked: ClockMillis,
        now: ClockMillis,
    ) {
        self.answered_by(host, self.born, limit, asked, now);
    }

    fn sends(&mut self, now: ClockMillis) -> Vec<usize> {
        self.deliver(now);
        self.tick_hosts(now);
        self.tick_ledgers(now);
        let mut sends = Vec::new();
        for (number, host) in self.hosts.iter_mut().enumerate() {
            if !host.runs(now) {
                continue;
            }
            while let Some(since) = host.waiting.front().copied() {
                let uncounted = self.mutation == Some(FleetMutation::SomeNotCounted)
                    && self.random.random_range(0..3) == 0;
                let sent = uncounted || host.share.take(&self.engine, PermitUse::Waiting, now);
                if sent {
                    sends.push(number);
                } else if now.since(since) < PATIENCE {
                    break;
                } else {
                    self.refused += 1;
                }
                host.waiting.pop_front();
                host.share.wait_ended(&self.engine, PermitUse::Waiting);
                host.woken = true;
            }
        }
        sends
    }
}
