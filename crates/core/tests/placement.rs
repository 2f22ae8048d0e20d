//! The planner against engines that lose answers, carry orders out late, restart and leave.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use proptest::prelude::*;
use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry, HeldModel, ModelKey,
        routes::{ModelHosting, ModelSize},
    },
    placement::{
        DemandEntry, EngineMemory, EngineReport, LoadWindow, OrderAnswer, OrderKind,
        PlacementAction, PlacementPlanner, PlannedOrder,
    },
};

const PLACES: u32 = 4;
const MODEL: &str = "base";
const LOAD_MILLIS: u64 = 250;
const IN_TRANSIT: usize = 4;

fn hosting() -> ModelHosting {
    ModelHosting {
        models: vec![ModelSize {
            name: MODEL.to_owned(),
            weight_megabytes: 1000.0,
            adapter_megabytes: 10.0,
            load_time: Duration::from_millis(600),
        }],
        weight_megabytes: 1100.0,
        most_adapters: PLACES,
        loads_per_second: 3.3,
    }
}

fn planner() -> PlacementPlanner {
    PlacementPlanner::new(hosting(), LoadWindow::new(3.3, Duration::from_secs(5), 1.1))
}

fn key(number: usize) -> ModelKey {
    Arc::from(format!("{MODEL}/a{number}"))
}

/// An engine as the platform describes it: orders count, and each names the count it expects.
#[derive(Debug, Clone)]
struct TestEngine {
    entry: Arc<EngineEntry>,
    sequence: u64,
    held: BTreeMap<ModelKey, u64>,
    pending: Vec<(ModelKey, u64)>,
    late: Vec<(u64, PlannedOrder)>,
    fell: Option<String>,
}

impl TestEngine {
    fn new(number: usize, life: usize) -> Self {
        let entry = EngineEntry {
            name: Arc::from(format!("engine-{number}-{life}")),
            service: Arc::from("assist"),
            address: format!("127.0.0.1:{}", 9000 + number).parse().expect("an address"),
            zone: Arc::from("hall"),
            slots: 8,
            leaving: false,
            remaining: None,
            sequence: 0,
            held: Vec::new(),
        };
        let held = BTreeMap::from([(ModelKey::from(MODEL), 1)]);
        let entry = Arc::new(entry);
        Self { entry, sequence: 0, held, pending: Vec::new(), late: Vec::new(), fell: None }
    }

    fn take(&mut self, order: &PlannedOrder, now: u64) -> OrderAnswer {
        if order.expected_sequence != self.sequence {
            return OrderAnswer::Conflict;
        }
        self.sequence += 1;
        match order.kind {
            OrderKind::Load { .. } => {
                if self.held.contains_key(&order.key) {
                    self.sequence -= 1;
                    return OrderAnswer::Done;
                }
                self.pending.push((Arc::clone(&order.key), now + LOAD_MILLIS));
                let adapter = |key: &&ModelKey| key.contains('/');
                let held = self.held.keys().filter(adapter).count();
                let coming = self.pending.iter().filter(|(key, _)| adapter(&key)).count();
                let taken = held + coming;
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

    fn advance(&mut self, now: u64) {
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

    fn report(&self) -> EngineReport {
        let held = |key: &ModelKey| HeldModel { key: Arc::clone(key), version: 1 };
        EngineReport {
            sequence: self.sequence,
            busy: false,
            held: self.held.keys().map(held).collect(),
            pending: self.pending.iter().map(|(key, _)| held(key)).collect(),
        }
    }
}

/// What becomes of one order.
#[derive(Debug, Clone, Copy)]
enum OrderFate {
    Answered,
    AnswerLost,
    CarriedOutLate,
    NotSent,
}

struct World {
    planner: PlacementPlanner,
    engines: Vec<TestEngine>,
    now: u64,
    /// Answers on their way, by the time of their arrival.
    answers: Vec<(u64, u64, OrderAnswer)>,
    reports: Vec<(u64, u64, String, EngineReport)>,
    lives: usize,
    loads: usize,
}

impl World {
    fn new(engines: usize) -> Self {
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
        world
    }

    fn at(&self) -> ClockMillis {
        ClockMillis::from_millis(self.now)
    }

    fn list(&mut self) {
        let entries: Vec<_> = self.engines.iter().map(|engine| Arc::clone(&engine.entry)).collect();
        self.planner.engines_listed(&entries);
    }

    fn ask(&mut self, number: usize, waiting: u32) {
        let entry =
            DemandEntry { key: key(number), asked: 1, waiting, waiting_worth: f64::from(waiting) };
        self.planner.demand_noted(&Arc::from("host"), &[entry], self.at());
    }

    fn restart(&mut self, number: usize) {
        self.lives += 1;
        let place = number % self.engines.len();
        self.engines[place] = TestEngine::new(place, self.lives);
        self.list();
    }

    fn step(&mut self, millis: u64, fate: OrderFate) {
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

    fn carry_out(&mut self, action: PlacementAction, fate: OrderFate) {
        let now = self.now;
        match action {
            PlacementAction::Report(entry) => {
                let engine = self.engines.iter().find(|engine| engine.entry.name == entry.name);
                match engine {
                    Some(engine) => {
                        let name = entry.name.to_string();
                        self.reports.push((now + 3, now, name, engine.report()));
                    }
                    None => self.planner.report_failed(&entry.name),
                }
            }
            PlacementAction::Order(order) => {
                let engine =
                    self.engines.iter_mut().find(|engine| engine.entry.name == order.engine.name);
                let Some(engine) = engine else {
                    self.answers.push((now + 3, order.id, OrderAnswer::OtherEngine));
                    return;
                };
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

    fn fell(&self) -> Option<&String> {
        self.engines.iter().find_map(|engine| engine.fell.as_ref())
    }

    fn holds(&self, key: &ModelKey) -> bool {
        self.engines.iter().any(|engine| engine.held.contains_key(key))
    }

    fn published(&self, key: &ModelKey) -> bool {
        let residency = self.planner.residency();
        residency.iter().any(|(_, held)| held.iter().any(|model| model.key == *key))
    }
}

fn settle(world: &mut World) {
    for _ in 0..40 {
        world.step(20, OrderFate::Answered);
    }
}

#[test]
fn what_is_waited_for_is_loaded_in_one_load_time() {
    let mut world = World::new(3);
    settle(&mut world);
    world.ask(7, 1);
    world.step(1, OrderFate::Answered);
    for _ in 0..30 {
        world.step(10, OrderFate::Answered);
    }
    assert!(world.holds(&key(7)));
    assert!(world.published(&key(7)));
}

#[test]
fn before_its_first_report_a_placer_publishes_what_engines_list() {
    let mut planner = planner();
    let mut engine = TestEngine::new(0, 0);
    let held = vec![HeldModel { key: key(5), version: 1 }];
    engine.entry = Arc::new(EngineEntry { held: held.clone(), ..(*engine.entry).clone() });
    planner.engines_listed(&[Arc::clone(&engine.entry)]);
    planner.begin_tenure(ClockMillis::from_millis(10));
    planner.plan(true, ClockMillis::from_millis(10));
    assert_eq!(planner.residency(), [(Arc::clone(&engine.entry.name), held)]);
}

#[test]
fn several_adapters_come_at_a_time() {
    let mut world = World::new(3);
    settle(&mut world);
    for number in 0..6 {
        world.ask(number, 1);
    }
    for _ in 0..40 {
        world.step(10, OrderFate::Answered);
    }
    let held = (0..6).filter(|number| world.holds(&key(*number))).count();
    assert_eq!(held, 6, "one after the other would take 1.5 s");
}

#[test]
fn what_nobody_waits_for_is_not_loaded() {
    let mut world = World::new(2);
    settle(&mut world);
    world.ask(3, 0);
    settle(&mut world);
    assert_eq!(world.loads, 0);
}

#[test]
fn a_full_engine_drops_what_was_asked_for_longest_ago() {
    let mut world = World::new(1);
    settle(&mut world);
    for number in 0..4 {
        world.ask(number, 1);
        settle(&mut world);
        world.ask(number, 0);
    }
    for _ in 0..100 {
        world.step(20, OrderFate::Answered);
    }
    world.ask(9, 1);
    settle(&mut world);
    assert!(world.holds(&key(9)));
    assert!(!world.holds(&key(0)), "the oldest makes room");
    assert!(world.holds(&key(3)));
}

#[test]
fn a_named_version_replaces_the_one_held() {
    let mut world = World::new(1);
    settle(&mut world);
    world.ask(1, 1);
    settle(&mut world);
    world.planner.versions_named(&HashMap::from([(key(1), 2)]));
    world.ask(1, 1);
    let actions = world.planner.plan(true, world.at());
    let replaces = actions.iter().any(|action| {
        matches!(action, PlacementAction::Order(order) if order.version == Some(2) && order.key == key(1))
    });
    assert!(replaces, "{actions:?}");
}

#[test]
fn a_named_version_goes_to_an_engine_without_the_older_one() {
    let mut world = World::new(3);
    settle(&mut world);
    world.ask(1, 1);
    settle(&mut world);
    let holds = |engine: &&TestEngine| engine.held.contains_key(&key(1));
    let holder = world.engines.iter().find(holds).map(|engine| Arc::clone(&engine.entry.name));
    world.planner.versions_named(&HashMap::from([(key(1), 2)]));
    world.ask(1, 1);
    let actions = world.planner.plan(true, world.at());
    let loads = actions.iter().filter_map(|action| match action {
        PlacementAction::Order(order) if order.key == key(1) => Some(&order.engine.name),
        _ => None,
    });
    let loads: Vec<_> = loads.collect();
    assert_eq!(loads.len(), 1, "{actions:?}");
    assert_ne!(Some(loads[0]), holder.as_ref(), "it would wait for the runs there");
}

#[test]
fn a_new_placer_brings_back_what_an_engine_held_under_the_one_before() {
    let mut world = World::new(3);
    settle(&mut world);
    let engine = Arc::clone(&world.engines[2].entry.name);
    let mut memory = EngineMemory::default();
    memory.note(&key(1));
    world.planner.recall(&HashMap::from([(Arc::clone(&engine), memory)]));
    world.ask(1, 1);
    let actions = world.planner.plan(true, world.at());
    let orders = actions.iter().filter_map(|action| match action {
        PlacementAction::Order(order) => Some((Arc::clone(&order.engine.name), order.kind)),
        PlacementAction::Report(_) => None,
    });
    let orders: Vec<_> = orders.collect();
    assert_eq!(orders, [(engine, OrderKind::Load { from_store: false })]);
}

#[test]
fn adapters_beyond_full_speed_put_each_other_off() {
    // Full speed is 2.7 adapters for each load a second: 8.9 here.
    let mut world = World::new(6);
    settle(&mut world);
    let began = world.at();
    for number in 0..12 {
        world.ask(number, 1);
    }
    for _ in 0..4 {
        world.step(4, OrderFate::Answered);
    }
    let dues = |world: &World| -> Vec<u128> {
        let loads = world.planner.inventories().flat_map(|inventory| &inventory.pending);
        loads.map(|load| load.due.since(began).as_millis()).collect()
    };
    let together = dues(&world);
    assert_eq!(together.len(), 12, "{together:?}");
    assert!(together.iter().all(|due| (320..420).contains(due)), "{together:?}");
}

#[test]
fn who_waits_beside_a_copy_gets_another_one() {
    let mut world = World::new(3);
    settle(&mut world);
    world.ask(1, 1);
    for _ in 0..14 {
        world.step(20, OrderFate::Answered);
    }
    world.ask(1, 0);
    settle(&mut world);
    let holders = |world: &World| {
        world.engines.iter().filter(|engine| engine.held.contains_key(&key(1))).count()
    };
    assert_eq!(holders(&world), 1);
    // A machine that can not reach the holder goes on waiting.
    world.ask(1, 1);
    for _ in 0..52 {
        world.step(20, OrderFate::Answered);
    }
    assert_eq!(holders(&world), 2);
}

#[test]
fn a_planner_that_does_not_act_only_asks_for_reports() {
    let mut world = World::new(2);
    world.ask(1, 1);
    for _ in 0..20 {
        world.now += 50;
        let actions = world.planner.plan(false, world.at());
        let orders = actions.iter().any(|action| matches!(action, PlacementAction::Order(_)));
        assert!(!orders);
    }
}

#[test]
fn an_engine_without_base_model_gets_it_within_the_ceiling() {
    let mut world = World::new(12);
    for engine in &mut world.engines {
        engine.held.clear();
    }
    for _ in 0..10 {
        world.step(20, OrderFate::Answered);
    }
    // Within one window of five seconds: 3.3 a second, a tenth more, and three.
    let ordered = world.loads;
    assert!(ordered > 0);
    assert!(ordered <= 21, "{ordered} loads of base models at once");
}

fn fates() -> impl Strategy<Value = OrderFate> {
    prop_oneof![
        5 => Just(OrderFate::Answered),
        2 => Just(OrderFate::AnswerLost),
        2 => Just(OrderFate::CarriedOutLate),
        1 => Just(OrderFate::NotSent),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// Whatever becomes of orders and engines, no engine is ordered beyond its places, and once
    /// all is calm what is waited for is there.
    #[test]
    fn no_engine_falls_and_all_that_waits_comes(
        steps in proptest::collection::vec(
            (0usize..14, 1u64..120, fates(), 0u8..40),
            1..150,
        ),
    ) {
        let mut world = World::new(3);
        for (number, millis, fate, event) in steps {
            match event {
                0 => world.restart(number),
                1 => world.planner.begin_tenure(world.at()),
                2..=20 => world.ask(number, 1),
                21..=30 => world.ask(number, 0),
                _ => {}
            }
            world.step(millis, fate);
            prop_assert!(world.fell().is_none(), "{:?}", world.fell());
        }
        for round in 0..400 {
            // A host renews its word about what waits there.
            if round % 40 == 0 {
                world.ask(99, 1);
            }
            world.step(25, OrderFate::Answered);
            prop_assert!(world.fell().is_none(), "{:?}", world.fell());
        }
        prop_assert!(world.holds(&key(99)), "{:?}", world.planner.inventories().collect::<Vec<_>>());
    }
}
