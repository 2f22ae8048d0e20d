//! Propagation of departures between the registries of several hosts and a changing coordinator.

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

/// An event in the cluster.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A response to a host announces that an engine is leaving.
    Announce { host: usize, engine: usize },
    /// An engine restarts under the same name.
    Restart { engine: usize },
    /// A host restarts and loses its state.
    RestartHost { host: usize },
    /// Another host becomes the coordinator.
    ChangeCoordinator { host: usize },
    /// The connection between a host and the coordinator fails or is restored.
    SetConnection { host: usize, disconnected: bool },
    /// Hosts exchange reports with the coordinator.
    Exchange,
}

fn step() -> impl Strategy<Value = Step> {
    let (host, engine) = (0..HOSTS, 0..ENGINES);
    prop_oneof![
        (host.clone(), engine.clone()).prop_map(|(host, engine)| Step::Announce { host, engine }),
        engine.prop_map(|engine| Step::Restart { engine }),
        host.clone().prop_map(|host| Step::RestartHost { host }),
        host.clone().prop_map(|host| Step::ChangeCoordinator { host }),
        (host, any::<bool>())
            .prop_map(|(host, disconnected)| Step::SetConnection { host, disconnected }),
        Just(Step::Exchange),
        Just(Step::Exchange),
    ]
}

fn name(engine: usize) -> EngineName {
    Arc::from(format!("engine-{engine}"))
}

/// Hosts with their registries.
struct Cluster {
    now: ClockMillis,
    hosts: Vec<DepartureRegistry>,
    disconnected: [bool; HOSTS],
    coordinator: usize,
    incarnations: [EngineIncarnation; ENGINES],
    /// Hosts that received an announcement in a response, with the incarnation that is leaving.
    announced_to: HashMap<(usize, usize), EngineIncarnation>,
}

impl Cluster {
    fn new() -> Self {
        Self {
            now: ClockMillis::from_millis(3_600_000),
            hosts: vec![DepartureRegistry::default(); HOSTS],
            disconnected: [false; HOSTS],
            coordinator: 0,
            incarnations: [1; ENGINES],
            announced_to: HashMap::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        self.now = self.now + Duration::from_millis(40);
        match step {
            Step::Announce { host, engine } => {
                let incarnation = self.incarnations[engine];
                self.hosts[host].record_announced(&name(engine), incarnation, self.now);
                self.announced_to.insert((host, engine), incarnation);
            }
            Step::Restart { engine } => self.incarnations[engine] += 1,
            Step::RestartHost { host } => {
                self.hosts[host] = DepartureRegistry::default();
                self.announced_to.retain(|(informed_host, _), _| *informed_host != host);
                self.subscribe(host);
                if host == self.coordinator {
                    self.set_coordinator(host);
                }
            }
            Step::ChangeCoordinator { host } => self.set_coordinator(host),
            Step::SetConnection { host, disconnected } => {
                self.disconnected[host] = disconnected;
                if !disconnected {
                    self.subscribe(host);
                }
            }
            Step::Exchange => self.exchange(),
        }
        let (incarnations, now) = (self.incarnations, self.now);
        for host in &mut self.hosts {
            let listed = |engine: &str| {
                let index = engine.strip_prefix("engine-")?.parse::<usize>().ok()?;
                incarnations.get(index).copied()
            };
            host.retain(listed, now);
        }
    }

    fn set_coordinator(&mut self, coordinator: usize) {
        self.coordinator = coordinator;
        self.hosts.iter_mut().for_each(DepartureRegistry::resend_all);
        for host in 0..HOSTS {
            self.subscribe(host);
        }
    }

    /// Connects a host to the coordinator, if it is reachable.
    fn subscribe(&mut self, host: usize) {
        if !self.is_connected(host) {
            return;
        }
        let snapshot = self.hosts[self.coordinator].snapshot(self.now);
        self.hosts[host].receive(&snapshot, self.now);
        self.hosts[host].resend_all();
    }

    fn is_connected(&self, host: usize) -> bool {
        !self.disconnected[host] && !self.disconnected[self.coordinator]
    }

    fn exchange(&mut self) {
        for host in 0..HOSTS {
            let reports = self.hosts[host].take_pending(self.now);
            if self.is_connected(host) {
                self.hosts[self.coordinator].receive(&reports, self.now);
            } else {
                self.hosts[host].resend(&reports);
            }
        }
        let published: Vec<DepartureReport> =
            self.hosts[self.coordinator].take_unpublished(self.now);
        for host in 0..HOSTS {
            if self.is_connected(host) {
                self.hosts[host].receive(&published, self.now);
            }
        }
    }

    fn knows(&self, host: usize, engine: usize) -> bool {
        self.hosts[host].is_departing(&name(engine), self.incarnations[engine])
    }

    /// A host that received an announcement must not forget it during that incarnation, and no host
    /// may consider an incarnation leaving that announced nothing.
    fn check(&self) {
        for engine in 0..ENGINES {
            let announced = self.is_announced(engine);
            for host in 0..HOSTS {
                let is_informed =
                    self.announced_to.get(&(host, engine)) == Some(&self.incarnations[engine]);
                assert!(
                    !is_informed || self.knows(host, engine),
                    "host {host} forgot engine {engine}"
                );
                assert!(
                    announced || !self.knows(host, engine),
                    "host {host} considers engine {engine} leaving without an announcement"
                );
            }
        }
    }

    fn is_announced(&self, engine: usize) -> bool {
        let incarnation = self.incarnations[engine];
        (0..HOSTS).any(|host| self.hosts[host].has_announcement(&name(engine), incarnation))
            || self.announced_to.iter().any(|((_, announced_engine), known)| {
                *announced_engine == engine && *known == incarnation
            })
    }
}

trait HasAnnouncement {
    fn has_announcement(&self, engine: &EngineName, incarnation: EngineIncarnation) -> bool;
}

impl HasAnnouncement for DepartureRegistry {
    fn has_announcement(&self, engine: &EngineName, incarnation: EngineIncarnation) -> bool {
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
        let mut cluster = Cluster::new();
        for step in steps {
            cluster.apply(step);
            cluster.check();
        }
        for host in 0..HOSTS {
            cluster.apply(Step::SetConnection { host, disconnected: false });
        }
        cluster.apply(Step::Exchange);
        cluster.apply(Step::Exchange);
        cluster.check();
        for engine in 0..ENGINES {
            let informed = (0..HOSTS).filter(|host| cluster.knows(*host, engine)).count();
            prop_assert!(informed == 0 || informed == HOSTS, "{informed} hosts know of engine {engine}");
        }
    }
}

#[test]
fn a_departure_belongs_to_one_incarnation() {
    struct Case {
        announced: EngineIncarnation,
        queried: EngineIncarnation,
        departing: bool,
    }
    let cases = [
        Case { announced: 5, queried: 5, departing: true },
        Case { announced: 5, queried: 6, departing: false },
        Case { announced: 5, queried: 4, departing: false },
        // An engine that does not report its start time has a different name in each incarnation.
        Case { announced: 0, queried: 6, departing: true },
        Case { announced: 5, queried: 0, departing: true },
    ];
    for case in cases {
        let mut registry = DepartureRegistry::default();
        registry.record_announced(&name(0), case.announced, ClockMillis::from_millis(1));
        let departing = registry.is_departing("engine-0", case.queried);
        assert_eq!(departing, case.departing, "{} {}", case.announced, case.queried);
        assert!(!registry.is_departing("engine-1", case.announced));
    }
}

/// A departure must be reported once to each coordinator.
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
    // Listed departures are included, since a new subscriber may not have read the entry yet.
    assert_eq!(registry.snapshot(later).len(), 2);
}
