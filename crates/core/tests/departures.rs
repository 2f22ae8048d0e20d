//! Departures of engines, as registries of several hosts and a changing coordinator spread them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use proptest::prelude::*;
use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineIncarnation, EngineName,
        departures::{DepartureRegistry, DepartureReport},
    },
};

const HOSTS: usize = 4;
const ENGINES: usize = 3;

/// What happens between two rounds of reports.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A response to a host announces that an engine leaves.
    Announce { host: usize, engine: usize },
    /// An engine ends and starts again under the same name.
    Restart { engine: usize },
    /// A host ends and starts again, knowing nothing.
    RestartHost { host: usize },
    /// Another host becomes the coordinator.
    Coordinate { host: usize },
    /// Reports between a host and the coordinator are lost, or arrive again.
    Cut { host: usize, cut: bool },
    /// Reports travel.
    Exchange,
}

fn step() -> impl Strategy<Value = Step> {
    let (host, engine) = (0..HOSTS, 0..ENGINES);
    prop_oneof![
        (host.clone(), engine.clone()).prop_map(|(host, engine)| Step::Announce { host, engine }),
        engine.prop_map(|engine| Step::Restart { engine }),
        host.clone().prop_map(|host| Step::RestartHost { host }),
        host.clone().prop_map(|host| Step::Coordinate { host }),
        (host, any::<bool>()).prop_map(|(host, cut)| Step::Cut { host, cut }),
        Just(Step::Exchange),
        Just(Step::Exchange),
    ]
}

fn name(engine: usize) -> EngineName {
    Arc::from(format!("engine-{engine}"))
}

/// Hosts with their registries.
struct World {
    now: ClockMillis,
    hosts: Vec<DepartureRegistry>,
    cut: [bool; HOSTS],
    coordinator: usize,
    births: [EngineIncarnation; ENGINES],
    /// Which hosts know by a response that the present incarnation leaves.
    told: HashMap<(usize, usize), EngineIncarnation>,
}

impl World {
    fn new() -> Self {
        Self {
            now: ClockMillis::from_millis(3_600_000),
            hosts: vec![DepartureRegistry::default(); HOSTS],
            cut: [false; HOSTS],
            coordinator: 0,
            births: [1; ENGINES],
            told: HashMap::new(),
        }
    }

    fn play(&mut self, step: Step) {
        self.now = self.now + Duration::from_millis(40);
        match step {
            Step::Announce { host, engine } => {
                let incarnation = self.births[engine];
                self.hosts[host].record_announced(&name(engine), incarnation, self.now);
                self.told.insert((host, engine), incarnation);
            }
            Step::Restart { engine } => self.births[engine] += 1,
            Step::RestartHost { host } => {
                self.hosts[host] = DepartureRegistry::default();
                self.told.retain(|(told, _), _| *told != host);
                self.subscribe(host);
                if host == self.coordinator {
                    self.begin(host);
                }
            }
            Step::Coordinate { host } => self.begin(host),
            Step::Cut { host, cut } => {
                self.cut[host] = cut;
                if !cut {
                    self.subscribe(host);
                }
            }
            Step::Exchange => self.exchange(),
        }
        let (births, now) = (self.births, self.now);
        for host in &mut self.hosts {
            let listed = |engine: &str| {
                let place = engine.strip_prefix("engine-")?.parse::<usize>().ok()?;
                births.get(place).copied()
            };
            host.retain(listed, now);
        }
    }

    fn begin(&mut self, coordinator: usize) {
        self.coordinator = coordinator;
        self.hosts.iter_mut().for_each(DepartureRegistry::resend_all);
        for host in 0..HOSTS {
            self.subscribe(host);
        }
    }

    /// Begins the connection of a host to the coordinator, as far as it is reached.
    fn subscribe(&mut self, host: usize) {
        if !self.is_reached(host) {
            return;
        }
        let snapshot = self.hosts[self.coordinator].snapshot(self.now);
        self.hosts[host].receive(&snapshot, self.now);
        self.hosts[host].resend_all();
    }

    fn is_reached(&self, host: usize) -> bool {
        !self.cut[host] && !self.cut[self.coordinator]
    }

    fn exchange(&mut self) {
        for host in 0..HOSTS {
            let reports = self.hosts[host].take_pending(self.now);
            if self.is_reached(host) {
                self.hosts[self.coordinator].receive(&reports, self.now);
            } else {
                self.hosts[host].resend(&reports);
            }
        }
        let published: Vec<DepartureReport> =
            self.hosts[self.coordinator].take_unpublished(self.now);
        for host in 0..HOSTS {
            if self.is_reached(host) {
                self.hosts[host].receive(&published, self.now);
            }
        }
    }

    fn knows(&self, host: usize, engine: usize) -> bool {
        self.hosts[host].is_departing(&name(engine), self.births[engine])
    }

    /// A host that was told never forgets while that incarnation lives, and no host takes an incarnation to leave that has
    /// announced nothing.
    fn check(&self) {
        for engine in 0..ENGINES {
            let announced = self.ever_announced(engine);
            for host in 0..HOSTS {
                let told = self.told.get(&(host, engine)) == Some(&self.births[engine]);
                assert!(!told || self.knows(host, engine), "host {host} forgot engine {engine}");
                assert!(announced || !self.knows(host, engine), "engine {engine} leaves nowhere");
            }
        }
    }

    fn ever_announced(&self, engine: usize) -> bool {
        let incarnation = self.births[engine];
        (0..HOSTS).any(|host| self.hosts[host].announced_here(&name(engine), incarnation))
            || self.told.iter().any(|((_, told), at)| *told == engine && *at == incarnation)
    }
}

trait AnnouncedHere {
    fn announced_here(&self, engine: &EngineName, incarnation: EngineIncarnation) -> bool;
}

impl AnnouncedHere for DepartureRegistry {
    fn announced_here(&self, engine: &EngineName, incarnation: EngineIncarnation) -> bool {
        let mut copy = self.clone();
        let reports = copy.snapshot(ClockMillis::default());
        reports.iter().any(|report| report.engine == *engine && report.incarnation == incarnation)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn no_history_loses_a_departure_and_all_hosts_learn_it(
        steps in proptest::collection::vec(step(), 1..60),
    ) {
        let mut world = World::new();
        for step in steps {
            world.play(step);
            world.check();
        }
        for host in 0..HOSTS {
            world.play(Step::Cut { host, cut: false });
        }
        world.play(Step::Exchange);
        world.play(Step::Exchange);
        world.check();
        for engine in 0..ENGINES {
            let known = (0..HOSTS).filter(|host| world.knows(*host, engine)).count();
            prop_assert!(known == 0 || known == HOSTS, "{known} hosts know of engine {engine}");
        }
    }
}

#[test]
fn a_departure_belongs_to_one_incarnation() {
    struct Case {
        announced: EngineIncarnation,
        asked: EngineIncarnation,
        departing: bool,
    }
    let cases = [
        Case { announced: 5, asked: 5, departing: true },
        Case { announced: 5, asked: 6, departing: false },
        Case { announced: 5, asked: 4, departing: false },
        // An engine that does not say when it began has another name in each incarnation.
        Case { announced: 0, asked: 6, departing: true },
        Case { announced: 5, asked: 0, departing: true },
    ];
    for case in cases {
        let mut registry = DepartureRegistry::default();
        registry.record_announced(&name(0), case.announced, ClockMillis::from_millis(1));
        let departing = registry.is_departing("engine-0", case.asked);
        assert_eq!(departing, case.departing, "{} {}", case.announced, case.asked);
        assert!(!registry.is_departing("engine-1", case.announced));
    }
}

/// A departure is reported once, and again to another coordinator.
#[test]
fn a_departure_is_reported_once_to_each_coordinator() {
    let now = ClockMillis::from_millis(1000);
    let mut registry = DepartureRegistry::default();
    registry.record_announced(&name(0), 5, now);
    registry.record_announced(&name(0), 5, now + Duration::from_millis(20));
    registry.record_listed(&name(1), 5, now);
    let later = now + Duration::from_millis(50);
    let reports = registry.take_pending(later);
    let age = Duration::from_millis(50);
    assert_eq!(reports, [DepartureReport { engine: name(0), incarnation: 5, age }]);
    assert!(registry.take_pending(later).is_empty());
    registry.resend(&reports);
    assert_eq!(registry.take_pending(later), reports);
    registry.resend_all();
    assert_eq!(registry.take_pending(later), reports);
    // What the entry shows is read by all hosts, and new subscribers may not have read it yet.
    assert_eq!(registry.snapshot(later).len(), 2);
}
