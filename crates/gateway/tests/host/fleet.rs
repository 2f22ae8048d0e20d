//! Several hosts in front of the engines of one service, under a steady load.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    codec::ENTRY_HOST,
    engine::{EngineBehaviour, StandInEngine},
    site::{MODEL_NAME, TestHost, TestSite, wait_until},
};

/// Results of a load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadResults {
    pub(crate) sent: usize,
    pub(crate) served: usize,
    /// The mean time until a request was refused.
    pub(crate) mean_refusal_time: Duration,
}

/// Several hosts in front of the engines of one service.
pub(crate) struct TestFleet {
    pub(crate) site: TestSite,
    pub(crate) engines: Vec<StandInEngine>,
    pub(crate) hosts: Vec<TestHost>,
    pub(crate) path: &'static str,
    pub(crate) fields: String,
}

impl TestFleet {
    pub(crate) fn start(service: &'static str, engines: usize, hosts: usize) -> Self {
        Self::start_with_slots(service, engines, 16, hosts)
    }

    /// Starts engines that list this number of requests that they run at a time.
    pub(crate) fn start_with_slots(
        service: &'static str,
        engines: usize,
        slots: u32,
        hosts: usize,
    ) -> Self {
        let site = TestSite::start();
        for engine in ["engine-1", "engine-2", "plain-1"] {
            site.store.put("engines", engine, "");
        }
        let plain = service == "plain";
        let model_keys: &[&str] = if plain { &[] } else { &[MODEL_NAME] };
        let start = |number| {
            let engine = StandInEngine::start(&format!("{service}-{number}"), model_keys);
            let behaviour = if plain { EngineBehaviour::Echo } else { EngineBehaviour::Stream(2) };
            engine.set_behaviours(&[behaviour]);
            site.store.put("engines", &engine.name, &engine.entry_with_slots(service, slots));
            engine
        };
        let engines: Vec<StandInEngine> = (0..engines).map(start).collect();
        let path = if plain { "/safe/a" } else { "/stream/a" };
        let model = if plain { "" } else { MODEL_NAME };
        let fields = if plain { String::new() } else { format!("X-Model: {model}\r\n") };
        let hosts =
            (0..hosts).map(|number| site.host(&format!("{service}-host-{number}"))).collect();
        let fleet = Self { site, engines, hosts, path, fields };
        for host in &fleet.hosts {
            wait_until("a request is served", || fleet.serves(host, "first"));
        }
        fleet
    }

    /// Has an adapter loaded, and names it in all later requests; returns the index of the engine
    /// that loaded it.
    pub(crate) fn load_rare_adapter(&mut self) -> usize {
        self.fields = format!("X-Model: {MODEL_NAME}/rare\r\n");
        wait_until("the adapter is served", || self.serves(&self.hosts[0], "rare"));
        let has_orders = |engine: &StandInEngine| !engine.orders().is_empty();
        self.engines.iter().position(has_orders).expect("an engine loaded it")
    }

    /// Sends a request to a host; returns whether it was served.
    pub(crate) fn serves(&self, host: &TestHost, id: &str) -> bool {
        self.post(host, id).starts_with("HTTP/1.1 200")
    }

    /// Sends a request to a host; returns the complete response.
    pub(crate) fn post(&self, host: &TestHost, id: &str) -> String {
        let name = &host.shared.profile.name;
        let fields = format!("X-Request: {id}\r\n{ENTRY_HOST}: {name}\r\n{}", self.fields);
        host.post(self.path, &fields, "{}")
    }

    /// Sends requests at a steady rate to each host; returns how many were served and how many
    /// sent.
    pub(crate) fn run_load(&self, per_second: u32, time: Duration) -> (usize, usize) {
        let results = self.measure_load(per_second, time);
        (results.served, results.sent)
    }

    /// Sends requests at a steady rate to each host and returns the results.
    pub(crate) fn measure_load(&self, per_second: u32, time: Duration) -> LoadResults {
        let interval = Duration::from_secs(1) / per_second;
        let began = Instant::now();
        let send_load = |index: usize, host: &TestHost| {
            let mut served = Vec::new();
            thread::scope(|requests| {
                let mut sent = Vec::new();
                for number in 0..per_second * u32::try_from(time.as_secs()).unwrap_or(u32::MAX) {
                    let due = began + interval * number;
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let id = format!("l{index}-{number}");
                    sent.push(requests.spawn(move || {
                        let began = Instant::now();
                        (self.serves(host, &id), began.elapsed())
                    }));
                }
                served.extend(sent.into_iter().map(|sent| sent.join().expect("a response")));
            });
            served
        };
        let results: Vec<(bool, Duration)> = thread::scope(|scope| {
            let hosts = self.hosts.iter().enumerate();
            let loads: Vec<_> =
                hosts.map(|(index, host)| scope.spawn(move || send_load(index, host))).collect();
            loads.into_iter().flat_map(|load| load.join().expect("the load ends")).collect()
        });
        let refused = results.iter().filter(|(served, _)| !served).map(|(_, time)| *time);
        let refused: Vec<Duration> = refused.collect();
        let total: Duration = refused.iter().sum();
        LoadResults {
            sent: results.len(),
            served: results.len() - refused.len(),
            mean_refusal_time: total / u32::try_from(refused.len().max(1)).unwrap_or(u32::MAX),
        }
    }
}
