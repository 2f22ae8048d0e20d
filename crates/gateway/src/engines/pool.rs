//! Kept connections to each engine, and what this host knows from its own requests.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry, EngineName, HallName, ModelKey,
        health::{EngineHealth, EngineOutcome},
        reachability::{ConnectTimeEstimator, HallReachability},
        work::EngineWork,
    },
};
use reelreel_http::HttpStream;
use tokio::time::Instant;

/// After which silence of the engine's host a connection fails.
const SILENCE: Duration = Duration::from_millis(2500);

/// How long a connection is kept where the engine does not say how long it keeps it.
const KEPT: Duration = Duration::from_secs(4);

/// The part of the engine's own time after which a connection is not used again.
const KEPT_PART: f64 = 0.6;

/// How long a connection may have rested before a request that may not run twice is sent on it.
const FRESH: Duration = Duration::from_millis(1500);

/// How many idle connections to one engine are kept.
const MOST_IDLE: usize = 16;

struct IdleConnection {
    stream: HttpStream,
    since: ClockMillis,
    until: ClockMillis,
}

#[derive(Default)]
struct EngineState {
    idle: Vec<IdleConnection>,
    condition: EngineHealth,
    /// The engine's data hall, once a connection was tried.
    hall: Option<HallName>,
    /// What this host has there.
    work: EngineWork,
    /// This host's requests there by model or adapter.
    runs: BTreeMap<ModelKey, u32>,
    /// Whether this host's work there has changed since it was last counted.
    touched: bool,
}

/// Kept connections to each engine, and what this host knows from its own requests.
#[derive(Default)]
pub struct EnginePool {
    engines: HashMap<EngineName, EngineState>,
    halls: HashMap<HallName, HallReachability>,
    connect_time: ConnectTimeEstimator,
}

/// A connection to an engine, with an open request counted for as long as it lives.
pub struct EngineLease {
    count: RunCount,
    /// The engine.
    pub entry: Arc<EngineEntry>,
    /// The connection.
    pub stream: HttpStream,
    /// Whether it was used before.
    pub reused: bool,
}

impl EnginePool {
    /// Returns an engine's condition and this host's work there.
    pub fn view(&self, engine: &str) -> (EngineHealth, EngineWork) {
        self.engines
            .get(engine)
            .map(|state| (state.condition.clone(), state.work))
            .unwrap_or_default()
    }

    /// Takes this host's work at the engines where it has changed since the last call, with its requests
    /// there by model or adapter.
    pub fn take_changed_work(&mut self) -> Vec<(EngineName, EngineWork, BTreeMap<ModelKey, u32>)> {
        let mut changed = Vec::new();
        for (engine, state) in &mut self.engines {
            if std::mem::take(&mut state.touched) {
                changed.push((Arc::clone(engine), state.work, state.runs.clone()));
            }
        }
        changed
    }

    /// Counts how a send to an engine ended.
    pub fn note(&mut self, engine: &EngineName, outcome: EngineOutcome, now: ClockMillis) {
        let state = self.engines.entry(Arc::clone(engine)).or_default();
        state.condition.record(outcome, now);
        let heard = matches!(
            outcome,
            EngineOutcome::Answered(_) | EngineOutcome::ErrorResponse | EngineOutcome::Refused
        );
        if heard
            && let Some(hall) = &state.hall
            && let Some(reach) = self.halls.get_mut(hall)
        {
            reach.record_success();
        }
    }

    /// Returns whether an engine's data hall seems to be cut off from this host.
    pub fn is_out_of_reach(&self, entry: &EngineEntry, now: ClockMillis) -> bool {
        self.halls.get(&entry.hall).is_some_and(|reach| reach.is_in_backoff(now))
    }

    /// Returns whether connections come about quickly, so that one that does not shows something of its engine.
    pub fn connects_quickly(&self) -> bool {
        self.connect_time.is_quick()
    }

    fn connected(&mut self, entry: &EngineEntry, time: Duration) {
        self.connect_time.record(time);
        self.halls.entry(Arc::clone(&entry.hall)).or_default().record_success();
    }

    fn not_connected(&mut self, entry: &EngineEntry, error: &std::io::Error, now: ClockMillis) {
        if error.kind() == std::io::ErrorKind::TimedOut {
            self.connect_time.record_timeout();
            self.halls.entry(Arc::clone(&entry.hall)).or_default().record_timeout(&entry.name, now);
        }
    }

    /// Closes connections that have been idle for too long and those to engines that take no more requests, and forgets
    /// engines that are not listed.
    pub fn clean(
        &mut self,
        listed: impl Fn(&str) -> bool,
        takes_requests: impl Fn(&str) -> bool,
        now: ClockMillis,
    ) {
        self.engines.retain(|engine, state| {
            let kept = takes_requests(engine);
            state.idle.retain(|idle| kept && now < idle.until && idle.stream.is_quiet());
            listed(engine) || state.work.open > 0 || state.touched
        });
    }

    fn take_idle(&mut self, engine: &str, fresh: bool, now: ClockMillis) -> Option<HttpStream> {
        let state = self.engines.get_mut(engine)?;
        while let Some(idle) = state.idle.pop() {
            let rested = now.since(idle.since);
            let usable = now < idle.until && (!fresh || rested < FRESH);
            if usable && idle.stream.is_quiet() {
                return Some(idle.stream);
            }
        }
        None
    }

    /// Connects to an engine, over a kept connection if there is one.
    ///
    /// A request that may run only once gets a connection that was used just now or a
    /// new one, so that the engine does not close it at the same moment.
    ///
    /// # Errors
    /// Returns that no connection came about; nothing was sent.
    pub async fn connect(
        pool: &Rc<RefCell<Self>>,
        entry: &Arc<EngineEntry>,
        terms: ConnectTerms,
        now: ClockMillis,
    ) -> std::io::Result<EngineLease> {
        let kept = pool.borrow_mut().take_idle(&entry.name, terms.fresh, now);
        let hall = Some(Arc::clone(&entry.hall));
        pool.borrow_mut().engines.entry(Arc::clone(&entry.name)).or_default().hall = hall;
        let reused = kept.is_some();
        let count = RunCount::new(pool, &entry.name, terms);
        let stream = if let Some(stream) = kept {
            stream
        } else {
            Self::connect_anew(pool, entry, now).await?
        };
        Ok(EngineLease { count, entry: Arc::clone(entry), stream, reused })
    }
}

impl EnginePool {
    /// Connects to an engine anew and keeps the connection for a request.
    ///
    /// # Errors
    /// Returns that no connection came about.
    pub async fn keep_anew(
        pool: &Rc<RefCell<Self>>,
        entry: &EngineEntry,
        now: ClockMillis,
    ) -> std::io::Result<()> {
        let stream = Self::connect_anew(pool, entry, now).await?;
        pool.borrow_mut().keep_idle(entry, stream, KEPT, now);
        Ok(())
    }

    fn keep_idle(
        &mut self,
        entry: &EngineEntry,
        stream: HttpStream,
        time: Duration,
        now: ClockMillis,
    ) {
        let state = self.engines.entry(Arc::clone(&entry.name)).or_default();
        if !entry.leaving && state.idle.len() < MOST_IDLE {
            state.idle.push(IdleConnection { stream, since: now, until: now + time });
        }
    }

    async fn connect_anew(
        pool: &Rc<RefCell<Self>>,
        entry: &EngineEntry,
        now: ClockMillis,
    ) -> std::io::Result<HttpStream> {
        let patience = pool.borrow().connect_time.timeout();
        let began = Instant::now();
        let connected = HttpStream::connect(entry.address, patience).await;
        let time = began.elapsed();
        let mut pool = pool.borrow_mut();
        match connected {
            Ok(stream) => {
                pool.connected(entry, time);
                stream.fail_when_silent(SILENCE)?;
                Ok(stream)
            }
            Err(error) => {
                pool.not_connected(entry, &error, now + time);
                Err(error)
            }
        }
    }
}

/// What a request asks of a connection to an engine.
#[derive(Debug, Clone)]
pub struct ConnectTerms {
    /// Whether a kept connection must have been used just now: for a request that may run only once.
    pub fresh: bool,
    /// The model or adapter that it names.
    pub key: Option<ModelKey>,
    /// How much of its prompt the engine is expected to read. Unit: tokens.
    pub unread: u64,
}

/// Counts a request at its engine for as long as it lives.
struct RunCount {
    pool: Rc<RefCell<EnginePool>>,
    engine: EngineName,
    key: Option<ModelKey>,
    unread: u64,
}

impl RunCount {
    fn new(pool: &Rc<RefCell<EnginePool>>, engine: &EngineName, terms: ConnectTerms) -> Self {
        let mut locked = pool.borrow_mut();
        let state = locked.engines.entry(Arc::clone(engine)).or_default();
        state.work = state.work + EngineWork { open: 1, pending_prefill_tokens: terms.unread };
        if let Some(key) = &terms.key {
            *state.runs.entry(Arc::clone(key)).or_default() += 1;
        }
        state.touched = true;
        drop(locked);
        Self {
            pool: Rc::clone(pool),
            engine: Arc::clone(engine),
            key: terms.key,
            unread: terms.unread,
        }
    }

    /// Takes that the engine has read the prompt.
    fn prompt_read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        if let Some(state) = self.pool.borrow_mut().engines.get_mut(&self.engine) {
            state.work.pending_prefill_tokens =
                state.work.pending_prefill_tokens.saturating_sub(unread);
            state.touched |= unread > 0;
        }
    }
}

impl Drop for RunCount {
    fn drop(&mut self) {
        self.prompt_read();
        let mut pool = self.pool.borrow_mut();
        let Some(state) = pool.engines.get_mut(&self.engine) else { return };
        state.work.open = state.work.open.saturating_sub(1);
        state.touched = true;
        let Some(key) = &self.key else { return };
        if let Some(open) = state.runs.get_mut(key) {
            *open -= 1;
            if *open == 0 {
                state.runs.remove(key);
            }
        }
    }
}

impl EngineLease {
    /// Takes that the engine has read the request's prompt: its first event is there.
    pub fn prompt_read(&mut self) {
        self.count.prompt_read();
    }

    /// Keeps the connection for another request; `kept` is how long the engine keeps it.
    pub fn keep(self, kept: Option<Duration>, now: ClockMillis) {
        let Self { count, entry, mut stream, .. } = self;
        stream.release_buffer();
        let time = kept.map_or(KEPT, |kept| kept.mul_f64(KEPT_PART));
        count.pool.borrow_mut().keep_idle(&entry, stream, time, now);
    }

    /// Closes the connection, so that the engine drops what it still does for it.
    pub fn close(self) {
        drop(self);
    }
}
