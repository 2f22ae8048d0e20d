//! Kept connections to each engine, and what this machine knows from its own requests.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry, EngineName,
        condition::{EngineCondition, EngineOutcome},
    },
};
use reelreel_http::HttpStream;

/// How long a connection may take to come about.
const CONNECT_PATIENCE: Duration = Duration::from_millis(300);

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
    condition: EngineCondition,
    open: u32,
}

/// Kept connections to each engine, and what this machine knows from its own requests.
#[derive(Default)]
pub struct EnginePool {
    engines: HashMap<EngineName, EngineState>,
}

/// A connection to an engine, with an open request counted for as long as it lives.
pub struct EngineLease {
    count: OpenCount,
    /// The engine.
    pub entry: Arc<EngineEntry>,
    /// The connection.
    pub stream: HttpStream,
    /// Whether it was used before.
    pub reused: bool,
}

impl EnginePool {
    /// Returns an engine's condition and this machine's open requests there.
    pub fn view(&self, engine: &str) -> (EngineCondition, u32) {
        self.engines
            .get(engine)
            .map(|state| (state.condition.clone(), state.open))
            .unwrap_or_default()
    }

    /// Returns this machine's open requests at an engine.
    pub fn open(&self, engine: &str) -> u32 {
        self.engines.get(engine).map_or(0, |state| state.open)
    }

    /// Counts how a send to an engine ended.
    pub fn note(&mut self, engine: &EngineName, outcome: EngineOutcome, now: ClockMillis) {
        self.engines.entry(Arc::clone(engine)).or_default().condition.note(outcome, now);
    }

    /// Closes connections that have rested too long, and forgets engines that are not listed.
    pub fn clean(&mut self, listed: impl Fn(&str) -> bool, now: ClockMillis) {
        self.engines.retain(|engine, state| {
            state.idle.retain(|idle| now < idle.until && idle.stream.is_quiet());
            listed(engine) || state.open > 0
        });
    }

    fn take_idle(&mut self, engine: &str, single: bool, now: ClockMillis) -> Option<HttpStream> {
        let state = self.engines.get_mut(engine)?;
        while let Some(idle) = state.idle.pop() {
            let rested = now.since(idle.since);
            let usable = now < idle.until && (!single || rested < FRESH);
            if usable && idle.stream.is_quiet() {
                return Some(idle.stream);
            }
        }
        None
    }

    /// Connects to an engine, over a kept connection if there is one.
    ///
    /// A request that may run only once (`single`) gets a connection that was used just now or a
    /// new one, so that the engine does not close it at the same moment.
    ///
    /// # Errors
    /// Returns that no connection came about; nothing was sent.
    pub async fn connect(
        pool: &Rc<RefCell<Self>>,
        entry: &Arc<EngineEntry>,
        single: bool,
        now: ClockMillis,
    ) -> std::io::Result<EngineLease> {
        let kept = pool.borrow_mut().take_idle(&entry.name, single, now);
        let reused = kept.is_some();
        let count = OpenCount::new(pool, &entry.name);
        let stream = if let Some(stream) = kept {
            stream
        } else {
            let stream = HttpStream::connect(entry.address, CONNECT_PATIENCE).await?;
            stream.fail_when_silent(SILENCE)?;
            stream
        };
        Ok(EngineLease { count, entry: Arc::clone(entry), stream, reused })
    }
}

/// Counts an open request for as long as it lives.
struct OpenCount {
    pool: Rc<RefCell<EnginePool>>,
    engine: EngineName,
}

impl OpenCount {
    fn new(pool: &Rc<RefCell<EnginePool>>, engine: &EngineName) -> Self {
        pool.borrow_mut().engines.entry(Arc::clone(engine)).or_default().open += 1;
        Self { pool: Rc::clone(pool), engine: Arc::clone(engine) }
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        if let Some(state) = self.pool.borrow_mut().engines.get_mut(&self.engine) {
            state.open = state.open.saturating_sub(1);
        }
    }
}

impl EngineLease {
    /// Keeps the connection for another request; `kept` is how long the engine keeps it.
    pub fn keep(self, kept: Option<Duration>, now: ClockMillis) {
        let Self { count, entry, mut stream, .. } = self;
        stream.release_buffer();
        let time = kept.map_or(KEPT, |kept| kept.mul_f64(KEPT_PART));
        let mut pool = count.pool.borrow_mut();
        let state = pool.engines.entry(Arc::clone(&entry.name)).or_default();
        if !entry.leaving && state.idle.len() < MOST_IDLE {
            state.idle.push(IdleConnection { stream, since: now, until: now + time });
        }
    }

    /// Closes the connection, so that the engine drops what it still does for it.
    pub fn close(self) {
        drop(self);
    }
}
