//! The real control states of several hosts, around a simulated store.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use prost::Message as _;
use reelreel_core::{
    ClockSource, ManualClock, StorePosition, clock::duration_millis, fleet::routes::RouteTable,
    id::StoreEra,
};
use reelreel_gateway::{
    codec::{GroupAssignment, KeyedRecord},
    control::state::ControlState,
    events::EventLog,
    host::SharedState,
    peers::frame::{EncodedFrame, FrameBody, PeerFrame},
    store::{follow::TopicUpdate, membership::MembershipUpdate},
};
use serde_json::json;
use tokio::sync::mpsc;

use crate::{
    codec::codecs,
    site::{TestProfile, client_limits},
};

use super::Step;

pub(super) const HOSTS: usize = 3;

/// Number of hosts that can be readers: the first ones.
pub(super) const READERS: usize = 2;

pub(super) const ENGINES: usize = 2;

/// Number of revisions that a history may reach.
pub(super) const REVISION_LIMIT: u64 = 60;

/// Maximum number of steps between a restore and the time when operator and engines have written
/// again.
pub(super) const MAX_STEPS_UNTIL_REWRITE: usize = 8;

/// Maximum duration of one step: [`MAX_STEPS_UNTIL_REWRITE`] of them are shorter than the time
/// engines get to write again.
pub(super) const MAX_STEP_MILLIS: u64 = 400;

/// Time after which hosts no longer wait for state from before a restore.
pub(super) const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Number of steps that [`SETTLE_TIME`] is divided into, so that readers are heard from throughout.
pub(super) const SETTLE_STEPS: u64 = 20;

/// Indices of the store's topics.
pub(super) const CONFIGURATION_TOPIC: usize = 0;
pub(super) const ENGINES_TOPIC: usize = 1;

/// The last published state of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct EngineStatus {
    incarnation: u64,
    orders: u64,
    leaving: bool,
    gone: bool,
}

impl EngineStatus {
    /// Returns the state that an engine publishes next.
    fn next(self) -> Self {
        match self {
            Self { gone: true, incarnation, .. } => {
                Self { incarnation: incarnation + 1, ..Self::default() }
            }
            Self { leaving: true, .. } => Self { gone: true, ..self },
            Self { orders: 2, .. } => Self { leaving: true, ..self },
            Self { orders, .. } => Self { orders: orders + 1, ..self },
        }
    }

    fn value(self) -> Bytes {
        if self.gone {
            return Bytes::new();
        }
        let entry = json!({
            "service": "plain", "address": "127.0.0.1:1", "born": self.incarnation + 1, "sequence": self.orders,
            "leaving": self.leaving, "held": [],
        });
        Bytes::from(entry.to_string())
    }

    /// Returns the order of an engine's states: by incarnation, then from ready to leaving to gone.
    const fn order_key(self) -> (u64, bool, bool) {
        (self.incarnation, self.leaving, self.gone)
    }
}

/// The simulated store: an era, and topics of keys with values.
#[derive(Default)]
struct ModelStore {
    era: StoreEra,
    topics: [Vec<(String, Bytes)>; 2],
    snapshot: [usize; 2],
}

impl ModelStore {
    fn append(&mut self, topic: usize, key: &str, value: Bytes) {
        self.topics[topic].push((key.to_owned(), value));
    }

    fn end(&self, topic: usize) -> StorePosition {
        StorePosition { era: self.era, offset: self.topics[topic].len() as u64 }
    }

    fn record(&self, topic: usize, offset: usize) -> KeyedRecord {
        let (key, value) = self.topics[topic][offset].clone();
        KeyedRecord { key, value, position: StorePosition { era: self.era, offset: offset as u64 } }
    }

    fn newest(&self, topic: usize) -> Vec<KeyedRecord> {
        let mut newest = BTreeMap::new();
        for offset in 0..self.topics[topic].len() {
            let record = self.record(topic, offset);
            newest.insert(record.key.clone(), record);
        }
        newest.into_values().filter(|record| !record.value.is_empty()).collect()
    }
}

/// One host: the real control state, and the state of the tasks around it.
struct ModelHost {
    state: Rc<RefCell<ControlState>>,
    read_to: [Option<StorePosition>; 2],
    feed: Option<(usize, mpsc::Receiver<EncodedFrame>)>,
    /// The highest revision in force so far.
    revision: u64,
    /// The newest known state of each engine.
    known: [EngineStatus; ENGINES],
}

pub(super) struct Simulation {
    clock: Arc<ManualClock>,
    store: ModelStore,
    hosts: Vec<ModelHost>,
    /// The last published states, whether or not the store still has them.
    revision: u64,
    engines: [EngineStatus; ENGINES],
    /// Steps since the last restore; `None` once everything was written again.
    steps_since_restore: Option<usize>,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 40_000 + u16::try_from(host).unwrap_or_default()))
}

fn engine_key(engine: usize) -> String {
    format!("engine-{engine}")
}

impl Simulation {
    pub(super) fn new() -> Self {
        let clock = Arc::new(ManualClock::new(60_000));
        let mut simulation = Self {
            hosts: Vec::new(),
            clock,
            store: ModelStore::default(),
            revision: 0,
            engines: [EngineStatus::default(); ENGINES],
            steps_since_restore: None,
        };
        simulation.hosts = (0..HOSTS).map(|host| simulation.start(host)).collect();
        for engine in 0..ENGINES {
            let published = simulation.engines[engine];
            simulation.store.append(ENGINES_TOPIC, &engine_key(engine), published.value());
        }
        simulation
    }

    fn start(&self, host: usize) -> ModelHost {
        let name = format!("host-{host}");
        // No calls are made: the store is simulated here.
        let profile = TestProfile::new(address(host)).profile(&name);
        let tables: HashMap<u64, Arc<RouteTable>> = (1..=REVISION_LIMIT)
            .map(|revision| {
                (revision, Arc::new(RouteTable::new(revision, client_limits(), vec![], vec![])))
            })
            .collect();
        let events = EventLog::start_to(Arc::from(name), std::io::sink()).expect("a thread");
        let clock: Arc<dyn ClockSource> = self.clock.clone();
        let shared = SharedState::new(profile, codecs(Arc::new(tables)), events, clock);
        let state = Rc::new(RefCell::new(ControlState::new(Arc::new(shared))));
        ModelHost {
            state,
            read_to: [None, None],
            feed: None,
            revision: 0,
            known: [EngineStatus::default(); ENGINES],
        }
    }

    pub(super) fn apply(&mut self, step: Step) {
        match step {
            Step::Publish if self.revision < REVISION_LIMIT => {
                self.revision += 1;
                self.publish();
            }
            Step::Publish => {}
            Step::AdvanceEngine(engine) => {
                self.engines[engine] = self.engines[engine].next();
                self.write_entry(engine);
            }
            Step::RewriteEntry(engine) => self.write_entry(engine),
            Step::TakeSnapshot => {
                self.store.snapshot = [0, 1].map(|topic| self.store.topics[topic].len());
            }
            Step::Restore if self.steps_since_restore.is_none() => {
                self.store.era += 1;
                let ModelStore { topics, snapshot, .. } = &mut self.store;
                topics.iter_mut().zip(snapshot).for_each(|(topic, end)| topic.truncate(*end));
                self.steps_since_restore = Some(0);
            }
            Step::Restore => {}
            Step::RewriteAll(operator_first) => self.rewrite_all(operator_first),
            Step::Read(host, topic) => self.read(host, topic),
            Step::ReadComplete(host, topic) => self.read_complete(host, topic),
            Step::Follow(host, reader) => self.follow(host, reader),
            Step::Deliver(host) => self.deliver(host),
            Step::PullState(host, peer) => {
                let frame = self.hosts[peer].state.borrow().state_frame();
                self.hosts[host].state.borrow_mut().apply_peer_state(&frame, address(peer), None);
            }
            Step::Restart(host) => self.hosts[host] = self.start(host),
            Step::Wait(millis) => self.clock.advance(Duration::from_millis(millis)),
        }
        for host in &self.hosts {
            let _delay = host.state.borrow_mut().tick(&host.state);
        }
        self.steps_since_restore = self.steps_since_restore.map(|steps| steps + 1);
        if self.steps_since_restore.is_some_and(|steps| steps >= MAX_STEPS_UNTIL_REWRITE) {
            self.rewrite_all(true);
        }
    }

    fn publish(&mut self) {
        if self.revision > 0 {
            let value = Bytes::from(self.revision.to_string());
            self.store.append(CONFIGURATION_TOPIC, "routes", value);
        }
    }

    fn write_entry(&mut self, engine: usize) {
        let status = self.engines[engine];
        self.store.append(ENGINES_TOPIC, &engine_key(engine), status.value());
    }

    fn rewrite_all(&mut self, operator_first: bool) {
        if self.steps_since_restore.take().is_none() {
            return;
        }
        if operator_first {
            self.publish();
        }
        (0..ENGINES).for_each(|engine| self.write_entry(engine));
        if !operator_first {
            self.publish();
        }
    }

    /// Reads a topic incrementally, as the following task does.
    fn read(&mut self, host: usize, topic: usize) {
        let Some(from) = self.hosts[host].read_to[topic] else {
            return self.read_complete(host, topic);
        };
        let end = self.store.end(topic);
        self.receive_era(host);
        if from.era != end.era || from > end {
            return self.read_complete(host, topic);
        }
        let first = usize::try_from(from.offset).expect("a short topic");
        let offsets = first..self.store.topics[topic].len();
        let records = offsets.map(|offset| self.store.record(topic, offset)).collect();
        let requested_at = Some(self.clock.now());
        self.update(host, topic, TopicUpdate::Records { records, requested_at }, end);
    }

    fn read_complete(&mut self, host: usize, topic: usize) {
        self.receive_era(host);
        let (records, end, requested_at) =
            (self.store.newest(topic), self.store.end(topic), self.clock.now());
        self.update(host, topic, TopicUpdate::Snapshot { records, end, requested_at }, end);
    }

    /// Passes on the era that each response of the store carries.
    fn receive_era(&self, host: usize) {
        self.hosts[host].state.borrow().eras().observe(self.store.era, "store");
    }

    fn update(&mut self, host: usize, topic: usize, update: TopicUpdate, end: StorePosition) {
        let target = &mut self.hosts[host];
        target.read_to[topic] = Some(end);
        let mut state = target.state.borrow_mut();
        if topic == CONFIGURATION_TOPIC {
            state.apply_configuration_update(update);
        } else {
            state.apply_engines_update(update);
        }
    }

    fn follow(&mut self, host: usize, reader: usize) {
        if host == reader {
            return;
        }
        // Makes it a reader by its assignment in the group.
        let assignment =
            GroupAssignment { era: self.store.era, generation: 1, partitions: vec![0, 1, 2, 3] };
        let sent = self.clock.now();
        let (sender, frames) = mpsc::channel(64);
        let mut source = self.hosts[reader].state.borrow_mut();
        source.eras().observe(self.store.era, "store");
        source.apply_membership_update(MembershipUpdate::Joined { assignment, sent });
        let accepted = source.add_follower(sender, 0);
        drop(source);
        if accepted {
            self.hosts[host].feed = Some((reader, frames));
        }
    }

    fn deliver(&mut self, host: usize) {
        let follower = &mut self.hosts[host];
        let Some((reader, frames)) = &mut follower.feed else { return };
        while let Ok(frame) = frames.try_recv() {
            let frame = PeerFrame::decode(frame.bytes).expect("a frame");
            let Some(FrameBody::State(frame)) = frame.body else { panic!("another frame") };
            follower.state.borrow_mut().apply_peer_state(&frame, address(*reader), None);
        }
    }

    /// Returns whether a reader tells a host of every change.
    fn receives_all_updates(&self, host: usize) -> bool {
        let feed = self.hosts[host].feed.as_ref();
        host >= READERS && feed.is_some_and(|(_, frames)| !frames.is_closed())
    }

    /// Returns the incarnation of an engine that a host knows, and whether it is leaving.
    fn known_engine(&self, host: usize, engine: usize) -> Option<(u64, bool)> {
        let state = self.hosts[host].state.borrow();
        let table = state.shared().table.borrow().clone();
        let entries = table.engines.values().flatten();
        let mut entries = entries.filter(|entry| *entry.name == *engine_key(engine));
        entries.next().map(|entry| (entry.incarnation - 1, entry.leaving))
    }

    /// Returns a description of a host that reverted to older state.
    pub(super) fn find_regression(&mut self) -> Option<String> {
        for host in 0..HOSTS {
            let table = self.hosts[host].state.borrow().shared().table.borrow().clone();
            let revision = table.routes.as_ref().map_or(0, |routes| routes.revision());
            if revision < self.hosts[host].revision {
                return Some(format!("host {host} reverted to revision {revision}"));
            }
            self.hosts[host].revision = revision;
            for engine in 0..ENGINES {
                let Some((incarnation, leaving)) = self.known_engine(host, engine) else {
                    continue;
                };
                let now = EngineStatus { incarnation, leaving, ..EngineStatus::default() };
                let known = &mut self.hosts[host].known[engine];
                if now.order_key() < known.order_key() {
                    return Some(format!(
                        "host {host}: engine {engine} reverted from {known:?} to {now:?}"
                    ));
                }
                *known = now;
            }
        }
        None
    }

    /// Rewrites everything and lets all hosts catch up; returns a description of a host that did
    /// not converge.
    pub(super) fn settle(&mut self) -> Option<String> {
        self.rewrite_all(false);
        for _ in 0..SETTLE_STEPS {
            for host in 0..HOSTS {
                if self.receives_all_updates(host) {
                    self.apply(Step::Deliver(host));
                } else {
                    self.apply(Step::Read(host, CONFIGURATION_TOPIC));
                    self.apply(Step::Read(host, ENGINES_TOPIC));
                }
            }
            self.apply(Step::Wait(duration_millis(SETTLE_TIME) / SETTLE_STEPS));
        }
        for host in 0..HOSTS {
            let table = self.hosts[host].state.borrow().shared().table.borrow().clone();
            let revision = table.routes.as_ref().map_or(0, |routes| routes.revision());
            if revision != self.revision {
                return Some(format!(
                    "host {host} has revision {revision}, the operator published {}",
                    self.revision
                ));
            }
            for engine in 0..ENGINES {
                let published = self.engines[engine];
                let published =
                    (!published.gone).then_some((published.incarnation, published.leaving));
                let known = self.known_engine(host, engine);
                if known != published {
                    return Some(format!(
                        "host {host}: engine {engine} published {published:?}, known {known:?}"
                    ));
                }
            }
        }
        None
    }
}
