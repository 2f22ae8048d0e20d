//! Engines as the platform describes them, and a planner that orders them in handed-in time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry, LoadedModel, ModelKey,
        prefill_speed::PrefillSpeed,
        routes::{ModelHosting, ModelSize},
    },
    placement::{
        AbsentEntry, DemandEntry, EngineReport, HostWork, LoadWindow, OrderAnswer, OrderKind,
        PlacementAction, PlacementPlanner, PlannedOrder, RunEntry,
    },
};

pub(crate) const PLACES: u32 = 4;
pub(crate) const MODEL: &str = "base";
pub(crate) const LOAD_MILLIS: u64 = 250;
pub(crate) const IN_TRANSIT: usize = 4;

pub(crate) fn hosting() -> ModelHosting {
    ModelHosting {
        models: vec![ModelSize {
            name: MODEL.to_owned(),
            weight_megabytes: 1000.0,
            adapter_megabytes: 10.0,
            load_time: Duration::from_millis(600),
        }],
        memory_megabytes: 1100.0,
        adapter_limit: PLACES,
        loads_per_second: 3.3,
    }
}

pub(crate) fn planner() -> PlacementPlanner {
    PlacementPlanner::new(hosting(), LoadWindow::new(3.3, Duration::from_secs(5), 1.1))
}

pub(crate) fn key(number: usize) -> ModelKey {
    Arc::from(format!("{MODEL}/a{number}"))
}

/// An engine as the platform describes it: orders count, and each names the count it expects.
#[derive(Debug, Clone)]
pub(crate) struct TestEngine {
    pub(crate) entry: Arc<EngineEntry>,
    pub(crate) sequence: u64,
    pub(crate) held: BTreeMap<ModelKey, u64>,
    pub(crate) pending: Vec<(ModelKey, u64)>,
    pub(crate) late: Vec<(u64, PlannedOrder)>,
    pub(crate) fell: Option<String>,
    pub(crate) load_millis: u64,
    /// The adapter under whose load it ends.
    pub(crate) deadly: Option<ModelKey>,
    /// When it ended; it answers nothing any more.
    pub(crate) ended: Option<u64>,
}

impl TestEngine {
    pub(crate) fn new(number: usize, life: usize) -> Self {
        let entry = EngineEntry {
            name: Arc::from(format!("engine-{number}-{life}")),
            incarnation: 1,
            service: Arc::from("assist"),
            address: format!("127.0.0.1:{}", 9000 + number).parse().expect("an address"),
            hall: Arc::from("hall"),
            slots: 16,
            leaving: false,
            sequence: 0,
            loaded_models: Vec::new(),
        };
        let held = BTreeMap::from([(ModelKey::from(MODEL), 1)]);
        let entry = Arc::new(entry);
        Self {
            entry,
            sequence: 0,
            held,
            pending: Vec::new(),
            late: Vec::new(),
            fell: None,
            load_millis: LOAD_MILLIS,
            deadly: None,
            ended: None,
        }
    }

    pub(crate) fn take(&mut self, order: &PlannedOrder, now: u64) -> OrderAnswer {
        if order.expected_sequence != self.sequence {
            return OrderAnswer::Conflict;
        }
        self.sequence += 1;
        match order.kind {
            OrderKind::Load { .. } => {
                if self.deadly.as_ref() == Some(&order.key) {
                    self.ended = Some(now);
                }
                if self.held.contains_key(&order.key) {
                    self.sequence -= 1;
                    return OrderAnswer::Done;
                }
                self.pending.push((Arc::clone(&order.key), now + self.load_millis));
                // An adapter has one place, also when two late orders have both brought it.
                let coming = self.pending.iter().map(|(key, _)| key);
                let keys: BTreeSet<&ModelKey> = self.held.keys().chain(coming).collect();
                let taken = keys.iter().filter(|key| key.contains('/')).count();
                if taken > PLACES as usize {
                    self.fell = Some(format!("{taken} adapters at {}", self.entry.name));
                }
                if self.pending.len() > IN_TRANSIT {
                    self.fell = Some(format!("{} in transit", self.pending.len()));
                }
                OrderAnswer::Accepted
            }
            OrderKind::Unload => {
                self.held.remove(&order.key);
                OrderAnswer::Done
            }
        }
    }

    pub(crate) fn advance(&mut self, now: u64) {
        let late: Vec<PlannedOrder> =
            self.late.extract_if(.., |(due, _)| *due <= now).map(|(_, order)| order).collect();
        for order in late {
            self.take(&order, now);
        }
        let ended: Vec<_> = self.pending.extract_if(.., |(_, due)| *due <= now).collect();
        for (key, _) in ended {
            self.held.insert(key, 1);
        }
    }

    pub(crate) fn report(&self) -> EngineReport {
        let held = |key: &ModelKey| LoadedModel { key: Arc::clone(key), version: 1 };
        EngineReport {
            born: self.entry.incarnation,
            sequence: self.sequence,
            busy: false,
            held: self.held.keys().map(held).collect(),
            pending: self.pending.iter().map(|(key, _)| held(key)).collect(),
        }
    }
}

/// What becomes of one order.
#[derive(Debug, Clone, Copy)]
pub(crate) enum OrderFate {
    Answered,
    AnswerLost,
    CarriedOutLate,
    NotSent,
}

/// The prompt of a request. Unit: tokens.
const PROMPT: u64 = 1000;

/// From how many requests the planner of these tests knows the reading speed.
const SPEED_SAMPLES: usize = 20;

/// How long an engine takes to read it: as long as one of some thousand tokens takes on real engines.
const PROMPT_TIME: Duration = Duration::from_millis(200);

pub(crate) struct World {
    pub(crate) planner: PlacementPlanner,
    pub(crate) engines: Vec<TestEngine>,
    pub(crate) now: u64,
    /// Answers on their way, by the time of their arrival.
    pub(crate) answers: Vec<(u64, u64, OrderAnswer)>,
    pub(crate) reports: Vec<(u64, u64, String, EngineReport)>,
    pub(crate) lives: usize,
    pub(crate) loads: usize,
}

impl World {
    pub(crate) fn new(engines: usize) -> Self {
        let engines: Vec<TestEngine> =
            (0..engines).map(|number| TestEngine::new(number, 0)).collect();
        let mut world = Self {
            planner: planner(),
            engines,
            now: 1000,
            answers: Vec::new(),
            reports: Vec::new(),
            lives: 0,
            loads: 0,
        };
        world.list();
        world.planner.begin_tenure(world.at());
        world.learn_reading(PROMPT_TIME);
        world
    }

    /// Makes the planner know that engines read prompts five times as slowly as usual.
    pub(crate) fn read_slowly(&mut self) {
        self.learn_reading(5 * PROMPT_TIME);
    }

    fn learn_reading(&mut self, time: Duration) {
        let mut speed = PrefillSpeed::default();
        for _ in 0..SPEED_SAMPLES {
            speed.record(PROMPT, 0, time);
        }
        self.planner.reading_learnt(&speed);
    }

    pub(crate) fn at(&self) -> ClockMillis {
        ClockMillis::from_millis(self.now)
    }

    pub(crate) fn list(&mut self) {
        let entries: Vec<_> = self.engines.iter().map(|engine| Arc::clone(&engine.entry)).collect();
        self.planner.engines_listed(&entries);
    }

    pub(crate) fn ask(&mut self, number: usize, waiting: u32) {
        let entry = DemandEntry {
            key: key(number),
            asked: 1,
            asked_tokens: PROMPT,
            waiting,
            waiting_tokens: u64::from(waiting) * PROMPT,
            waiting_worth: f64::from(waiting),
            copies_closed: false,
        };
        self.planner.demand_noted(&Arc::from("host"), &[entry], self.at());
    }

    /// Tells that one request runs on each of some adapters at an engine.
    pub(crate) fn tell_runs(&mut self, engine: usize, numbers: &[usize]) {
        self.tell_open(engine, numbers, 1);
    }

    /// Tells that no request runs on some adapters at an engine any more.
    pub(crate) fn end_runs(&mut self, engine: usize, numbers: &[usize]) {
        self.tell_open(engine, numbers, 0);
    }

    /// Tells that a host could not connect to an engine.
    pub(crate) fn tell_unreached(&mut self, host: &str, engine: usize) {
        let unreached = vec![Arc::clone(&self.engines[engine].entry.name)];
        let told = HostWork { unreached, ..HostWork::default() };
        self.planner.work_noted(&Arc::from(host), &told, self.at());
    }

    /// Tells that an engine said just now that it does not hold an adapter.
    pub(crate) fn tell_absent(&mut self, engine: usize, number: usize) {
        let engine = Arc::clone(&self.engines[engine].entry.name);
        let absent = vec![AbsentEntry { engine, key: key(number), age: Duration::ZERO }];
        let told = HostWork { absent, ..HostWork::default() };
        self.planner.work_noted(&Arc::from("host"), &told, self.at());
    }

    fn tell_open(&mut self, engine: usize, numbers: &[usize], open: u32) {
        let engine = Arc::clone(&self.engines[engine].entry.name);
        let run =
            |number: &usize| RunEntry { engine: Arc::clone(&engine), key: key(*number), open };
        let runs = numbers.iter().map(run).collect();
        let told = HostWork { runs, ..HostWork::default() };
        self.planner.work_noted(&Arc::from("host"), &told, self.at());
    }

    pub(crate) fn restart(&mut self, number: usize) {
        self.lives += 1;
        let place = number % self.engines.len();
        self.engines[place] = TestEngine::new(place, self.lives);
        self.list();
    }

    /// An engine starts again under the name that it had; orders to the life before may still reach it.
    pub(crate) fn restart_as_itself(&mut self, number: usize) {
        self.lives += 1;
        let place = number % self.engines.len();
        let before = &self.engines[place];
        let born = 1 + u64::try_from(self.lives).unwrap_or_default();
        let entry = EngineEntry { incarnation: born, ..(*before.entry).clone() };
        let late = before.late.clone();
        let engine = TestEngine::new(place, 0);
        self.engines[place] = TestEngine { entry: Arc::new(entry), late, ..engine };
        self.list();
    }

    pub(crate) fn step(&mut self, millis: u64, fate: OrderFate) {
        self.now += millis;
        for engine in &mut self.engines {
            engine.advance(self.now);
        }
        let now = self.now;
        let answers: Vec<_> = self.answers.extract_if(.., |(due, ..)| *due <= now).collect();
        for (_, id, answer) in answers {
            self.planner.order_answered(id, answer, ClockMillis::from_millis(now));
        }
        let reports: Vec<_> = self.reports.extract_if(.., |(due, ..)| *due <= now).collect();
        for (_, asked, engine, report) in reports {
            self.planner.report_arrived(&engine, &report, ClockMillis::from_millis(asked));
        }
        for action in self.planner.plan(true, ClockMillis::from_millis(now)) {
            self.carry_out(action, fate);
        }
    }

    pub(crate) fn carry_out(&mut self, action: PlacementAction, fate: OrderFate) {
        let now = self.now;
        match action {
            PlacementAction::Report(entry) => {
                let engine = self.engines.iter().find(|engine| engine.entry.name == entry.name);
                match engine {
                    Some(engine) if engine.ended.is_none() => {
                        let name = entry.name.to_string();
                        self.reports.push((now + 3, now, name, engine.report()));
                    }
                    Some(_) => self.planner.report_failed(&entry.name, true),
                    None => self.planner.report_failed(&entry.name, false),
                }
            }
            PlacementAction::Order(order) => {
                let engine =
                    self.engines.iter_mut().find(|engine| engine.entry.name == order.engine.name);
                let Some(engine) = engine else {
                    self.answers.push((now + 3, order.id, OrderAnswer::OtherEngine));
                    return;
                };
                if engine.ended.is_some() {
                    self.answers.push((now + 3, order.id, OrderAnswer::NotSent));
                    return;
                }
                self.loads += usize::from(order.kind != OrderKind::Unload);
                match fate {
                    OrderFate::Answered => {
                        let answer = engine.take(&order, now);
                        self.answers.push((now + 3, order.id, answer));
                    }
                    OrderFate::AnswerLost => {
                        engine.take(&order, now);
                        self.answers.push((now + 250, order.id, OrderAnswer::Unknown));
                    }
                    OrderFate::CarriedOutLate => {
                        engine.late.push((now + 2000, order.clone()));
                        self.answers.push((now + 250, order.id, OrderAnswer::Unknown));
                    }
                    OrderFate::NotSent => {
                        self.answers.push((now + 250, order.id, OrderAnswer::NotSent));
                    }
                }
            }
        }
    }

    pub(crate) fn fell(&self) -> Option<&String> {
        self.engines.iter().find_map(|engine| engine.fell.as_ref())
    }

    pub(crate) fn holds(&self, key: &ModelKey) -> bool {
        self.engines.iter().any(|engine| engine.held.contains_key(key))
    }

    pub(crate) fn published(&self, key: &ModelKey) -> bool {
        let residency = self.planner.residency();
        residency.iter().any(|(_, held)| held.iter().any(|model| model.key == *key))
    }
}

pub(crate) fn settle(world: &mut World) {
    for _ in 0..40 {
        world.step(20, OrderFate::Answered);
    }
}
