//! The permits for engines that name a limit, on the host that deals them.
//!
//! One host hears from all others which engines name a limit and who wants to send something there, and deals single permits:
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
        EngineBirth, EngineName, is_same_life,
        limits::{
            bucket::TokenBucket,
            limit::RequestLimit,
            word::{LimitState, LimitWord, PermitAsk, PermitGrant},
        },
    },
};

/// The least rate at which requests go to an engine, whatever it names. Unit: requests a second. An engine that gets nothing says
/// nothing, so that nobody would learn that its need is over: one request in five seconds finds out.
pub const PROBE_RATE: f64 = 0.2;

/// The part of a limit that a host may use or deal which may not be the only one that does. Another host may deal as well, or stand
/// in by an older word on who should: all together stay within one and a half times the limit.
pub const ALONE_PART: f64 = 0.5;

/// The rate with which an engine begins to return that names no limit any more. Unit: requests a second.
const FIRST_RETURN_RATE: f64 = 1.0;

/// In what time that rate doubles: what an engine answers within comes before the next step, mostly.
const RETURN_DOUBLES: Duration = Duration::from_millis(500);

/// For how long that rate rises at a time at the most: a ledger looks at it far more often while it runs.
const LONGEST_RAISE: Duration = Duration::from_millis(200);

/// The rate from which on the engine counts as any other: ten times what one that names a limit usually takes. Unit: requests a
/// second.
const RETURNED_RATE: f64 = 32.0;

/// How long a host's ask holds that it does not renew.
const ASK_HOLDS: Duration = Duration::from_millis(1500);

/// What one host wants of one engine.
#[derive(Debug, Clone, Default)]
struct HostAsk {
    ask: PermitAsk,
    /// How many permits it was granted by this ledger.
    granted: u64,
    asked: ClockMillis,
    /// Whether it is to hear when its turn comes.
    wants_wait: bool,
}

impl HostAsk {
    /// Returns what it wants beyond the permits that are under way to it: resumed streams, other waiting requests, wishes.
    fn wants(&self) -> [u32; 3] {
        let mut under_way =
            u32::try_from(self.granted.saturating_sub(self.ask.got)).unwrap_or(u32::MAX);
        [self.ask.resumed, self.ask.waiting, u32::from(self.ask.wished)].map(|wanted| {
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

/// One engine that names a limit.
#[derive(Debug, Clone)]
struct LimitAccount {
    born: EngineBirth,
    limit: RequestLimit,
    /// When the answer began that said so last.
    said: ClockMillis,
    /// When what that answered was sent.
    asked: ClockMillis,
    /// The rate at which it returns, where it names none any more. Unit: requests a second.
    returning: Option<f64>,
    /// When that rate was last raised.
    raised: ClockMillis,
    bucket: TokenBucket,
    asks: HashMap<Arc<str>, HostAsk>,
    /// The hosts that ask, those first whose turn comes first.
    turns: VecDeque<Arc<str>>,
    /// What all hosts were told last.
    told: Option<RequestLimit>,
}

impl LimitAccount {
    fn new(word: &LimitWord, said: ClockMillis, now: ClockMillis) -> Self {
        Self {
            born: word.born,
            limit: word.limit,
            said,
            asked: now - word.asked_ago,
            returning: None,
            raised: now,
            bucket: TokenBucket::empty(now),
            asks: HashMap::new(),
            turns: VecDeque::new(),
            told: None,
        }
    }

    const fn is_life(&self, born: EngineBirth) -> bool {
        is_same_life(self.born, born)
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
        self.asks.retain(|_, ask| now.since(ask.asked) < ASK_HOLDS);
        let asks = &self.asks;
        self.turns.retain(|host| asks.contains_key(host));
    }

    /// Returns whose turn is next in one rank of [`HostAsk::wants`].
    fn next_turn(&self, rank: usize) -> Option<usize> {
        self.turns
            .iter()
            .position(|host| self.asks.get(host).is_some_and(|ask| ask.wants()[rank] > 0))
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
                if let Some(ask) = self.asks.get_mut(&host) {
                    ask.granted += 1;
                }
                *dealt.entry(Arc::clone(&host)).or_default() += 1;
                self.turns.push_back(host);
            }
        }
        dealt
    }

    /// Returns in what time everybody who waits has had a permit of this ledger, which deals a part of the rate.
    fn wait(&self, part: f64) -> Duration {
        let waiting: u32 = self.asks.values().map(HostAsk::waiting).sum();
        let seconds = self.bucket.seconds_until(f64::from(waiting.max(1)), self.rate() * part);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// The permits for all engines that name a limit.
#[derive(Debug, Clone, Default)]
pub struct LimitLedger {
    accounts: BTreeMap<EngineName, LimitAccount>,
    /// Engines for which hosts have asked and that have no account. One that is listed here later than at the host that named its limit
    /// has lost its account, and that host would ask for ever.
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

    /// Takes a host's word on an engine's limit; the one that was said last counts.
    pub fn word_heard(&mut self, word: &LimitWord, now: ClockMillis) {
        let (said, asked) = (now - word.said_ago, now - word.asked_ago);
        let (part, ended) = (self.part(), word.state != LimitState::Named);
        let known = self.accounts.get_mut(&word.engine);
        let Some(known) = known.filter(|known| known.is_life(word.born) || said < known.said)
        else {
            // A limit that ended under the ledger before is not forgotten with it: hosts wait to hear that the engine is back.
            let mut account = LimitAccount::new(word, said, now);
            account.returning = ended.then_some(account.first_return_rate());
            self.accounts.insert(Arc::clone(&word.engine), account);
            return;
        };
        if !known.is_life(word.born) {
            return;
        }
        if !ended {
            if said >= known.said {
                known.refill(part, now);
                (known.limit, known.returning) = (word.limit, None);
                (known.said, known.asked) = (said, asked);
            }
        } else if asked > known.said && known.returning.is_none() {
            known.refill(part, now);
            known.returning = Some(known.first_return_rate());
            (known.said, known.asked) = (said, asked);
        }
    }

    /// Takes what a host wants of an engine.
    pub fn asked(&mut self, host: &Arc<str>, engine: &str, ask: &PermitAsk, now: ClockMillis) {
        let part = self.part();
        let Some(account) = self.accounts.get_mut(engine) else {
            self.unknown.entry(Arc::clone(host)).or_default().insert(Arc::from(engine));
            return;
        };
        account.refill(part, now);
        let rate = account.rate();
        // An ask that is not known any more had settled what was unused before.
        let settled = || HostAsk {
            ask: PermitAsk { unused: ask.unused, ..PermitAsk::default() },
            ..HostAsk::default()
        };
        let known = account.asks.entry(Arc::clone(host)).or_insert_with(settled);
        let before = known.waiting();
        let unused = ask.unused.saturating_sub(known.ask.unused);
        (known.ask, known.asked) = (ask.clone(), now);
        // What was granted to an ask that is not known any more has come.
        known.granted = known.granted.max(ask.got);
        known.wants_wait |= known.waiting() > before;
        account.bucket.give_back(unused as f64);
        account.bucket.charge(ask.unasked as f64, rate);
        if !account.turns.contains(host) {
            account.turns.push_back(Arc::clone(host));
        }
    }

    /// Takes that a host begins to listen: it counts its permits anew.
    pub fn host_begins(&mut self, host: &str) {
        self.unknown.remove(host);
        for account in self.accounts.values_mut() {
            account.asks.remove(host);
            account.turns.retain(|asking| &**asking != host);
        }
    }

    /// Deals what there is; returns what each host hears of it.
    pub fn deal(&mut self, now: ClockMillis) -> BTreeMap<Arc<str>, Vec<PermitGrant>> {
        let mut grants: BTreeMap<Arc<str>, Vec<PermitGrant>> = BTreeMap::new();
        let part = self.part();
        for (engine, account) in &mut self.accounts {
            account.refill(part, now);
            account.forget_old(now);
            let mut dealt = account.deal();
            let wait = account.wait(part);
            for (host, ask) in &mut account.asks {
                let waits = std::mem::take(&mut ask.wants_wait) && ask.waiting() > 0;
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

    /// Returns when the next permit is there for somebody who waits for one.
    pub fn next_due(&self, now: ClockMillis) -> Option<ClockMillis> {
        let waited = self.accounts.values().filter(|account| {
            account.asks.values().any(|ask| ask.wants().iter().any(|wanted| *wanted > 0))
        });
        let part = self.part();
        let next = waited.map(|account| account.bucket.seconds_until(1.0, account.rate() * part));
        let next = next.min_by(f64::total_cmp)?;
        Some(now + Duration::try_from_secs_f64(next).unwrap_or(ASK_HOLDS))
    }

    /// Returns what all hosts are to hear: engines that have a limit, another one by a quarter, or none any more.
    pub fn take_changes(&mut self, now: ClockMillis) -> Vec<LimitWord> {
        let mut changes = Vec::new();
        self.accounts.retain(|engine, account| {
            if account.has_returned() {
                changes.push(LimitWord { state: LimitState::Back, ..account.word(engine, now) });
                return false;
            }
            if account.told.is_none_or(|told| account.limit.differs(told)) {
                account.told = Some(account.limit);
                changes.push(account.word(engine, now));
            }
            true
        });
        changes
    }

    /// Returns what a host that begins to listen is to hear.
    pub fn words_for_all(&self, now: ClockMillis) -> Vec<LimitWord> {
        let words = self.accounts.iter();
        words.map(|(engine, account)| account.word(engine, now)).collect()
    }

    /// Forgets engines that are listed no more, or in another life; `life` returns the one that is listed.
    pub fn retain(&mut self, life: impl Fn(&str) -> Option<EngineBirth>) {
        self.accounts
            .retain(|engine, account| life(engine).is_some_and(|born| account.is_life(born)));
    }
}

impl LimitAccount {
    fn word(&self, engine: &EngineName, now: ClockMillis) -> LimitWord {
        let returns = self.returning.is_some();
        LimitWord {
            engine: Arc::clone(engine),
            born: self.born,
            limit: self.limit,
            state: if returns { LimitState::Ended } else { LimitState::Named },
            said_ago: now.since(self.said),
            asked_ago: now.since(self.asked),
        }
    }
}
