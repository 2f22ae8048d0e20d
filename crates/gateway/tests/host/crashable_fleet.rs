//! Engines that crash on some requests and come back, for tests of the quarantine.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use reelreel_core::fleet::prompt::PromptPartId;

use crate::{
    engine::{EngineBehaviour, StandInEngine},
    site::{MODEL_NAME, TestHost, TestSite, free_address},
    store::StandInStore,
};

/// How long a crashed engine stays down, unless a test says otherwise.
pub(crate) const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Number of events in the stream of a harmless request.
const STREAM_EVENTS: u32 = 6;

/// Engines that crash on some requests and restart at their addresses.
pub(crate) struct CrashableFleet {
    store: StandInStore,
    service: &'static str,
    loaded_models: &'static [&'static str],
    crashing_bodies: &'static [&'static str],
    /// The prompt part that crashes engines, and the time until they begin to answer.
    crashing_part: Option<(PromptPartId, Duration)>,
    /// How long a crashed engine stays down.
    pub(crate) restart_delay: Duration,
    /// Whether a restarted engine keeps its name.
    pub(crate) reuses_names: bool,
    pub(crate) engines: Vec<StandInEngine>,
    /// When each engine that is down crashed.
    down_since: Vec<Option<Instant>>,
    /// When engines crashed, in order.
    pub(crate) crashes: Vec<Instant>,
    incarnations: usize,
    /// The request bodies that reached earlier incarnations.
    earlier_arrivals: Vec<Vec<u8>>,
    /// When requests with the crashing part reached earlier incarnations.
    earlier_part_arrivals: Vec<Instant>,
}

impl CrashableFleet {
    /// Starts `count` engines of a service that crash on each of the `crashing_bodies`.
    pub(crate) fn start(
        site: &TestSite,
        count: usize,
        service: &'static str,
        crashing_bodies: &'static [&'static str],
    ) -> Self {
        let loaded_models: &[&str] = if service == "assist" { &[MODEL_NAME] } else { &[] };
        let mut fleet = Self {
            store: site.store.clone(),
            service,
            loaded_models,
            crashing_bodies,
            crashing_part: None,
            restart_delay: RESTART_DELAY,
            reuses_names: false,
            engines: Vec::new(),
            down_since: vec![None; count],
            crashes: Vec::new(),
            incarnations: 0,
            earlier_arrivals: Vec::new(),
            earlier_part_arrivals: Vec::new(),
        };
        for _ in 0..count {
            let name = format!("mortal-{}", fleet.incarnations + 1);
            let engine = fleet.start_engine(&name, free_address());
            fleet.engines.push(engine);
        }
        fleet
    }

    /// Makes all engines, also those that restart, crash when they begin to answer a request with a
    /// prompt part; they take `prefill_time` until the first event of any answer.
    pub(crate) fn crash_on_part(&mut self, part: PromptPartId, prefill_time: Duration) {
        self.crashing_part = Some((part, prefill_time));
        for engine in &self.engines {
            engine.crash_on_part(part, prefill_time);
        }
    }

    /// Starts an incarnation of an engine.
    fn start_engine(&mut self, name: &str, address: SocketAddr) -> StandInEngine {
        self.incarnations += 1;
        let engine =
            StandInEngine::start_crashable(name, self.loaded_models, address, self.crashing_bodies);
        engine.set_incarnation(self.incarnations as u64);
        engine.set_behaviours(&[EngineBehaviour::Stream(STREAM_EVENTS)]);
        if let Some((part, prefill_time)) = self.crashing_part {
            engine.crash_on_part(part, prefill_time);
        }
        self.store.put("engines", name, &engine.entry(self.service, false));
        engine
    }

    /// Records crashes, and restarts engines that were down for long enough.
    pub(crate) fn poll(&mut self) {
        for index in 0..self.engines.len() {
            let engine = &self.engines[index];
            match self.down_since[index] {
                None if engine.has_crashed() => {
                    let now = Instant::now();
                    self.crashes.push(now);
                    self.down_since[index] = Some(now);
                }
                Some(crashed_at) if crashed_at.elapsed() >= self.restart_delay => {
                    self.earlier_arrivals
                        .extend(engine.arrivals().into_iter().map(|request| request.body));
                    self.earlier_part_arrivals.extend(engine.crashing_part_arrivals());
                    let (mut name, address) = (engine.name.clone(), engine.address);
                    if !self.reuses_names {
                        self.store.put("engines", &name, "");
                        name = format!("mortal-{}", self.incarnations + 1);
                    }
                    self.engines[index] = self.start_engine(&name, address);
                    self.down_since[index] = None;
                }
                _ => {}
            }
        }
    }

    /// Returns how many requests with this body reached engines.
    pub(crate) fn arrivals(&self, body: &str) -> usize {
        let current = self.engines.iter().flat_map(StandInEngine::arrivals);
        let bodies =
            current.map(|request| request.body).chain(self.earlier_arrivals.iter().cloned());
        bodies.filter(|received| received == body.as_bytes()).count()
    }

    /// Returns when requests with the crashing part reached engines.
    pub(crate) fn crashing_part_arrivals(&self) -> Vec<Instant> {
        let current = self.engines.iter().flat_map(StandInEngine::crashing_part_arrivals);
        self.earlier_part_arrivals.iter().copied().chain(current).collect()
    }
}

/// Returns whether a response is a complete stream.
pub(crate) fn is_complete(response: &str) -> bool {
    response.starts_with("HTTP/1.1 200") && response.ends_with("0\r\n\r\n")
}

pub(crate) fn fields(id: &str) -> String {
    format!("X-Request: {id}\r\nX-Model: {MODEL_NAME}\r\n")
}

/// Starts hosts whose engines are all crashable.
pub(crate) fn start_hosts(site: &TestSite, names: &[&str]) -> Vec<TestHost> {
    for engine in &site.engines {
        site.store.put("engines", &engine.name, "");
    }
    names.iter().map(|name| site.host(name)).collect()
}
