//! Whether this host can connect to engines.
//!
//! A host may be cut off from all engines while clients, the store and other hosts reach it. It then
//! uses connections through other hosts, and what it sees of engines must not be taken for their
//! state.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{Error, ErrorKind},
    sync::Arc,
    time::Duration,
};

use crate::{
    chart::{LinkEvent, LinkState},
    clock::ClockMillis,
    fleet::{EngineName, HallName},
};

/// Why a connection to an engine could not be established.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ConnectFailure {
    /// No response in time: the engine, its host or the network is down.
    TimedOut,
    /// The engine's host refused the connection: no process listens, or a device in between
    /// rejects it.
    Refused,
    /// The connection was reset.
    Reset,
    /// Another error.
    Other,
}

impl ConnectFailure {
    /// Returns the name for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::TimedOut => "timed_out",
            Self::Refused => "refused",
            Self::Reset => "reset",
            Self::Other => "other",
        }
    }
}

impl From<&Error> for ConnectFailure {
    fn from(error: &Error) -> Self {
        match error.kind() {
            ErrorKind::TimedOut => Self::TimedOut,
            ErrorKind::ConnectionRefused => Self::Refused,
            ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted => Self::Reset,
            _ => Self::Other,
        }
    }
}

/// Number of engines to which connects must fail, with no success in between, for other engines to
/// be tried. A single engine may have failed by itself.
const MIN_FAILED_ENGINES: usize = 2;

/// Number of engines that a check tries first, of different halls.
pub const FIRST_CHECKED_ENGINES: usize = 3;

/// Time since the last response after which a single failed connect is enough: nothing shows that
/// the host reaches any engine.
const RECENT_RESPONSE: Duration = Duration::from_millis(200);

/// Maximum number of engines tried in one check. More than the first ones are tried only as long as
/// all refuse, which takes no time.
const CHECKED_ENGINES: usize = 64;

/// How long connects may time out, while open connections bring bytes, until the host counts as
/// isolated: a slow link recovers, or new connections are blocked.
const SLOW_LINK_LIMIT: Duration = Duration::from_secs(1);

/// How long a failed connect counts.
const FAILURE_TTL: Duration = Duration::from_secs(2);

/// Interval between two checks of an isolated host.
const ISOLATED_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Time without a response from any engine, while requests are open at several, after which other
/// engines are tried. Steps of a busy engine take tens of milliseconds.
const SILENCE_LIMIT: Duration = Duration::from_millis(500);

/// The same while requests are open at one engine only, which may be reading a long prompt.
const SINGLE_SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// Minimum time between two checks after silence: prompts may take long everywhere.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// An engine that may be tried in a check.
#[derive(Debug, Clone, Copy)]
pub struct CheckCandidate<'table> {
    /// The engine.
    pub engine: &'table EngineName,
    /// Its data hall.
    pub hall: &'table HallName,
}

/// The result of trying one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckResult {
    /// The engine.
    pub engine: EngineName,
    /// Why it was not reached.
    pub failure: Option<ConnectFailure>,
}

/// A change of the state of the links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkChange {
    /// The new state.
    pub state: LinkState,
    /// Engines to which connects failed since one last succeeded.
    pub failed_engines: usize,
    /// Why the last of these connects failed.
    pub failure: Option<ConnectFailure>,
    /// How long the host was isolated, if it no longer is.
    pub isolated_for: Option<Duration>,
    /// Time since bytes were last received on a direct connection.
    pub received_ago: Duration,
    /// Whether connects time out because the host's links are slow.
    pub is_slow: bool,
}

/// Tells a host that can't connect to any engine from engines that can't be connected to.
///
/// A host sees only its own failed connects. When connects to several engines fail, others are
/// tried: if one of them is reached, the engines are at fault, otherwise the host's links are.
/// Responses on connections that were opened before the failures prove nothing about new ones.
#[derive(Debug, Clone)]
pub struct LinkMonitor {
    state: LinkState,
    /// The engines to which connects failed since one last succeeded.
    failed: BTreeMap<EngineName, (ConnectFailure, ClockMillis)>,
    /// The first of these failures.
    failing_since: ClockMillis,
    /// When a check may begin.
    next_check: ClockMillis,
    /// Whether a check is under way.
    checking: bool,
    /// Counts checks, so that each tries other engines.
    checks: usize,
    /// The engines with requests sent since the last response, and the first of these sends.
    unanswered: BTreeSet<EngineName>,
    silent_since: ClockMillis,
    /// When bytes were last received on a direct connection.
    received_at: ClockMillis,
    isolated_since: ClockMillis,
    /// Whether connects time out, rather than being refused or reset: open connections may have
    /// fallen silent too.
    connects_time_out: bool,
    /// Since when connects have timed out while open connections bring bytes.
    slow_since: Option<ClockMillis>,
}

impl Default for LinkMonitor {
    fn default() -> Self {
        Self {
            state: LinkState::initial(),
            failed: BTreeMap::new(),
            failing_since: ClockMillis::default(),
            next_check: ClockMillis::default(),
            checking: false,
            checks: 0,
            unanswered: BTreeSet::new(),
            silent_since: ClockMillis::default(),
            received_at: ClockMillis::default(),
            isolated_since: ClockMillis::default(),
            connects_time_out: false,
            slow_since: None,
        }
    }
}

impl LinkMonitor {
    /// Returns the state.
    pub const fn state(&self) -> LinkState {
        self.state
    }

    /// Returns whether no engine can be connected to.
    pub fn is_isolated(&self) -> bool {
        self.state == LinkState::Isolated
    }

    /// Returns whether open connections must not be used any more.
    pub fn has_lost_open_connections(&self, now: ClockMillis) -> bool {
        self.is_isolated() && self.connects_time_out && !self.open_connections_go_on(now)
    }

    /// Returns the time since bytes were last received on a direct connection.
    pub fn silence(&self, now: ClockMillis) -> Duration {
        now.since(self.received_at)
    }

    /// Returns whether open connections bring bytes, and have since connects began to fail.
    fn open_connections_go_on(&self, now: ClockMillis) -> bool {
        self.received_at >= self.failing_since && self.silence(now) < RECENT_RESPONSE
    }

    /// Returns whether new connections were reset, so that one counts as open only after a while.
    pub fn has_seen_resets(&self) -> bool {
        self.failed.values().any(|(failure, _)| *failure == ConnectFailure::Reset)
    }

    /// Returns for how long the host has been isolated.
    pub fn isolated_for(&self, now: ClockMillis) -> Option<Duration> {
        self.is_isolated().then(|| now.since(self.isolated_since))
    }

    /// Records a failed connect.
    pub fn record_failure(
        &mut self,
        engine: &EngineName,
        failure: ConnectFailure,
        now: ClockMillis,
    ) -> Option<LinkChange> {
        self.failed.retain(|_, (_, failed_at)| now.since(*failed_at) < FAILURE_TTL);
        if self.failed.is_empty() {
            if now.since(self.failing_since) >= FAILURE_TTL {
                self.slow_since = None;
            }
            self.failing_since = now;
        }
        self.failed.insert(Arc::clone(engine), (failure, now));
        let has_responses = now.since(self.received_at) < RECENT_RESPONSE;
        let failing = self.failed.len() >= MIN_FAILED_ENGINES || !has_responses;
        if failing { self.suspect(now) } else { None }
    }

    /// Has other engines tried now, to find out whether a failed connect is due to its engine.
    pub fn suspect(&mut self, now: ClockMillis) -> Option<LinkChange> {
        let change = self.apply(LinkEvent::Failing, now);
        if change.is_some() {
            self.next_check = now;
        }
        change
    }

    /// Records a request that was sent on a direct connection.
    pub fn record_send(&mut self, engine: &EngineName, now: ClockMillis) {
        if self.unanswered.is_empty() {
            self.silent_since = now;
        }
        if !self.unanswered.contains(engine) {
            self.unanswered.insert(Arc::clone(engine));
        }
    }

    /// Records bytes received on a direct connection that was opened at `opened_at`. Returns the
    /// change of the state, if any, and the engines to which connects failed meanwhile: these are at
    /// fault themselves.
    pub fn record_received(
        &mut self,
        opened_at: ClockMillis,
        now: ClockMillis,
    ) -> (Option<LinkChange>, Vec<EngineName>) {
        self.unanswered.clear();
        self.received_at = now;
        if opened_at > self.failing_since {
            self.slow_since = None;
        }
        match self.state {
            LinkState::Isolated if opened_at > self.isolated_since => {
                let change = self.apply(LinkEvent::Reachable, now);
                self.failed.clear();
                (change, Vec::new())
            }
            LinkState::Connected if !self.failed.is_empty() && opened_at > self.failing_since => {
                (None, self.take_failed())
            }
            _ => (None, Vec::new()),
        }
    }

    fn take_failed(&mut self) -> Vec<EngineName> {
        std::mem::take(&mut self.failed).into_keys().collect()
    }

    /// Begins a check if one is due; returns the engines to try, in this order until one is reached.
    pub fn begin_check(
        &mut self,
        candidates: &[CheckCandidate<'_>],
        now: ClockMillis,
    ) -> Vec<EngineName> {
        if !self.is_check_due(now) {
            return Vec::new();
        }
        let engines = self.select_engines(candidates);
        self.checks += 1;
        self.checking = !engines.is_empty();
        self.next_check = now
            + match self.state {
                LinkState::Connected => SILENCE_CHECK_INTERVAL,
                LinkState::Suspected => Duration::ZERO,
                LinkState::Isolated => ISOLATED_CHECK_INTERVAL,
            };
        engines
    }

    /// Returns whether a check is due.
    pub fn is_check_due(&self, now: ClockMillis) -> bool {
        let limit = match self.unanswered.len() {
            0 => Duration::MAX,
            1 => SINGLE_SILENCE_LIMIT,
            _ => SILENCE_LIMIT,
        };
        let silent = now.since(self.silent_since) >= limit;
        !self.checking && now >= self.next_check && (self.state != LinkState::Connected || silent)
    }

    /// Returns the engines in the order in which they are tried: the first ones of different halls,
    /// and preferably ones to which no connect has failed.
    fn select_engines(&self, candidates: &[CheckCandidate<'_>]) -> Vec<EngineName> {
        let mut ordered: Vec<&CheckCandidate<'_>> = candidates.iter().collect();
        if !ordered.is_empty() {
            let start = self.checks * FIRST_CHECKED_ENGINES % ordered.len();
            ordered.rotate_left(start);
        }
        ordered.sort_by_key(|candidate| self.failed.contains_key(candidate.engine));
        let mut halls = BTreeSet::new();
        let (mut first, mut rest) = (Vec::new(), Vec::new());
        for candidate in ordered {
            let is_first = first.len() < FIRST_CHECKED_ENGINES && halls.insert(candidate.hall);
            if is_first { &mut first } else { &mut rest }.push(Arc::clone(candidate.engine));
        }
        first.extend(rest);
        first.truncate(CHECKED_ENGINES);
        first
    }

    /// Ends a check; returns the change of the state, if any, and the engines that are at fault
    /// themselves.
    pub fn finish_check(
        &mut self,
        results: &[CheckResult],
        now: ClockMillis,
    ) -> (Option<LinkChange>, Vec<EngineName>) {
        self.checking = false;
        self.unanswered.clear();
        for result in results {
            match result.failure {
                Some(failure) => {
                    if self.failed.is_empty() {
                        self.failing_since = now;
                    }
                    self.failed.insert(Arc::clone(&result.engine), (failure, now));
                }
                None => drop(self.failed.remove(&result.engine)),
            }
        }
        let reached = results.iter().any(|result| result.failure.is_none());
        if reached {
            let was_isolated = self.is_isolated();
            let was_slow = self.slow_since.take().is_some();
            let mut change = self.apply(LinkEvent::Reachable, now);
            if let Some(change) = &mut change {
                change.is_slow = was_slow;
            }
            let failed = self.take_failed();
            (change, if was_isolated || was_slow { Vec::new() } else { failed })
        } else if results.is_empty() || self.is_isolated() {
            (None, Vec::new())
        } else {
            let timed_out =
                |(failure, _): &(ConnectFailure, ClockMillis)| *failure == ConnectFailure::TimedOut;
            self.connects_time_out = self.failed.values().any(timed_out);
            if self.failed.values().all(timed_out) && self.observe_slow_links(now) {
                let mut change = self.apply(LinkEvent::Reachable, now);
                if let Some(change) = &mut change {
                    change.is_slow = true;
                }
                self.failed.clear();
                return (change, Vec::new());
            }
            self.apply(LinkEvent::Failing, now);
            (self.apply(LinkEvent::Unreachable, now), Vec::new())
        }
    }

    /// Records since when connects time out although open connections bring bytes, and returns whether
    /// that means slow links: it does for a second, and then that new connections are blocked.
    fn observe_slow_links(&mut self, now: ClockMillis) -> bool {
        if !self.open_connections_go_on(now) {
            return false;
        }
        let slow_since = *self.slow_since.get_or_insert(self.failing_since);
        now.since(slow_since) < SLOW_LINK_LIMIT
    }

    fn apply(&mut self, event: LinkEvent, now: ClockMillis) -> Option<LinkChange> {
        let previous = self.state;
        self.state = previous.after(event);
        if self.state == previous {
            return None;
        }
        let isolated_for =
            (previous == LinkState::Isolated).then(|| now.since(self.isolated_since));
        if self.is_isolated() {
            self.isolated_since = now;
        }
        let last = self.failed.values().max_by_key(|(_, failed_at)| *failed_at);
        Some(LinkChange {
            state: self.state,
            failed_engines: self.failed.len(),
            failure: last.map(|(failure, _)| *failure),
            isolated_for,
            received_ago: self.silence(now),
            is_slow: false,
        })
    }
}
