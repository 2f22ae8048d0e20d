//! The hosts' real control states around a store that the test plays.

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
    dialect::dialects,
    site::{TestProfile, limits},
};

use super::Step;

pub(super) const HOSTS: usize = 3;

/// Hosts of which the group makes readers.
pub(super) const READERS: usize = 2;

pub(super) const ENGINES: usize = 2;

/// Revisions that a history may reach.
pub(super) const MOST_REVISIONS: u64 = 60;

/// How many steps pass at most between a fall and the moment by which operator and engines have written again.
pub(super) const STEPS_UNTIL_AGAIN: usize = 8;

/// The longest that one step takes: eight of them are less than what engines are given to write again.
pub(super) const LONGEST_STEP: u64 = 400;

/// How long it takes until nothing that was said before a fall is waited for any more.
pub(super) const SETTLED: Duration = Duration::from_secs(5);

/// In how many steps that time passes, so that readers are heard of all the while.
pub(super) const SETTLING_STEPS: u64 = 20;

/// The topics of the store.
pub(super) const CONFIGURATION: usize = 0;
pub(super) const ENTRIES: usize = 1;

/// What an engine last said, and of which life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct EngineWord {
    life: u64,
    orders: u64,
    leaving: bool,
    gone: bool,
}

impl EngineWord {
    /// Returns what an engine says next.
    fn next(self) -> Self {
        match self {
            Self { gone: true, life, .. } => Self { life: life + 1, ..Self::default() },
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
            "service": "plain", "address": "127.0.0.1:1", "born": self.life + 1, "sequence": self.orders,
            "leaving": self.leaving, "held": [],
        });
        Bytes::from(entry.to_string())
    }

    /// Returns the order of what engines say: a life after the other, and in each from ready to gone.
    const fn rank(self) -> (u64, bool, bool) {
        (self.life, self.leaving, self.gone)
    }
}

/// The store: an era, and topics of keys with values.
#[derive(Default)]
struct ModelStore {
    era: StoreEra,
    topics: [Vec<(String, Bytes)>; 2],
    copy: [usize; 2],
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

/// One host: the real control state, and what the tasks around it keep.
struct ModelHost {
    state: Rc<RefCell<ControlState>>,
    read_to: [Option<StorePosition>; 2],
    feed: Option<(usize, mpsc::Receiver<EncodedFrame>)>,
    /// The highest revision that it had in force.
    revision: u64,
    /// The furthest word of each engine that it knew.
    known: [EngineWord; ENGINES],
}

pub(super) struct World {
    clock: Arc<ManualClock>,
    store: ModelStore,
    hosts: Vec<ModelHost>,
    /// What operator and engines said last, whether the store still has it or not.
    revision: u64,
    engines: [EngineWord; ENGINES],
    /// How many steps ago the store fell, where not all was written again since.
    owed: Option<usize>,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 40_000 + u16::try_from(host).unwrap_or_default()))
}

fn engine_key(engine: usize) -> String {
    format!("engine-{engine}")
}

impl World {
    pub(super) fn new() -> Self {
        let clock = Arc::new(ManualClock::new(60_000));
        let mut world = Self {
            hosts: Vec::new(),
            clock,
            store: ModelStore::default(),
            revision: 0,
            engines: [EngineWord::default(); ENGINES],
            owed: None,
        };
        world.hosts = (0..HOSTS).map(|host| world.start(host)).collect();
        for engine in 0..ENGINES {
            let said = world.engines[engine];
            world.store.append(ENTRIES, &engine_key(engine), said.value());
        }
        world
    }

    fn start(&self, host: usize) -> ModelHost {
        let name = format!("host-{host}");
        // Nobody is called: the store is played here.
        let profile = TestProfile::new(address(host)).profile(&name);
        let tables: HashMap<u64, Arc<RouteTable>> = (1..=MOST_REVISIONS)
            .map(|revision| {
                (revision, Arc::new(RouteTable::new(revision, limits(), vec![], vec![])))
            })
            .collect();
        let events = EventLog::start_to(Arc::from(name), std::io::sink()).expect("a thread");
        let clock: Arc<dyn ClockSource> = self.clock.clone();
        let shared = SharedState::new(profile, dialects(Arc::new(tables)), events, clock);
        let state = Rc::new(RefCell::new(ControlState::new(Arc::new(shared))));
        ModelHost {
            state,
            read_to: [None, None],
            feed: None,
            revision: 0,
            known: [EngineWord::default(); ENGINES],
        }
    }

    pub(super) fn take(&mut self, step: Step) {
        match step {
            Step::Publish if self.revision < MOST_REVISIONS => {
                self.revision += 1;
                self.publish();
            }
            Step::Publish => {}
            Step::GoOn(engine) => {
                self.engines[engine] = self.engines[engine].next();
                self.write_entry(engine);
            }
            Step::Beat(engine) => self.write_entry(engine),
            Step::TakeCopy => {
                self.store.copy = [0, 1].map(|topic| self.store.topics[topic].len());
            }
            Step::Fall if self.owed.is_none() => {
                self.store.era += 1;
                let ModelStore { topics, copy, .. } = &mut self.store;
                topics.iter_mut().zip(copy).for_each(|(topic, end)| topic.truncate(*end));
                self.owed = Some(0);
            }
            Step::Fall => {}
            Step::WriteAgain(operator_first) => self.write_again(operator_first),
            Step::Read(host, topic) => self.read(host, topic),
            Step::ReadWhole(host, topic) => self.read_whole(host, topic),
            Step::Follow(host, reader) => self.follow(host, reader),
            Step::Deliver(host) => self.deliver(host),
            Step::Ask(host, peer) => {
                let frame = self.hosts[peer].state.borrow().state_frame();
                self.hosts[host].state.borrow_mut().apply_peer_state(&frame, address(peer), None);
            }
            Step::Restart(host) => self.hosts[host] = self.start(host),
            Step::Wait(millis) => self.clock.advance(Duration::from_millis(millis)),
        }
        for host in &self.hosts {
            let _pause = host.state.borrow_mut().tick(&host.state);
        }
        self.owed = self.owed.map(|steps| steps + 1);
        if self.owed.is_some_and(|steps| steps >= STEPS_UNTIL_AGAIN) {
            self.write_again(true);
        }
    }

    fn publish(&mut self) {
        if self.revision > 0 {
            let value = Bytes::from(self.revision.to_string());
            self.store.append(CONFIGURATION, "routes", value);
        }
    }

    fn write_entry(&mut self, engine: usize) {
        let word = self.engines[engine];
        self.store.append(ENTRIES, &engine_key(engine), word.value());
    }

    fn write_again(&mut self, operator_first: bool) {
        if self.owed.take().is_none() {
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

    /// Reads a topic on as the task does that follows it.
    fn read(&mut self, host: usize, topic: usize) {
        let Some(from) = self.hosts[host].read_to[topic] else {
            return self.read_whole(host, topic);
        };
        let end = self.store.end(topic);
        self.hear(host);
        if from.era != end.era || from > end {
            return self.read_whole(host, topic);
        }
        let first = usize::try_from(from.offset).expect("a short topic");
        let offsets = first..self.store.topics[topic].len();
        let records = offsets.map(|offset| self.store.record(topic, offset)).collect();
        let asked = Some(self.clock.now());
        self.update(host, topic, TopicUpdate::Records { records, requested_at: asked }, end);
    }

    fn read_whole(&mut self, host: usize, topic: usize) {
        self.hear(host);
        let (records, end, asked) =
            (self.store.newest(topic), self.store.end(topic), self.clock.now());
        self.update(host, topic, TopicUpdate::Snapshot { records, end, requested_at: asked }, end);
    }

    /// Hears the era that each answer of the store carries.
    fn hear(&self, host: usize) {
        self.hosts[host].state.borrow().eras().observe(self.store.era, "store");
    }

    fn update(&mut self, host: usize, topic: usize, update: TopicUpdate, end: StorePosition) {
        let known = &mut self.hosts[host];
        known.read_to[topic] = Some(end);
        let mut state = known.state.borrow_mut();
        if topic == CONFIGURATION {
            state.apply_configuration_update(update);
        } else {
            state.apply_engines_update(update);
        }
    }

    fn follow(&mut self, host: usize, reader: usize) {
        if host == reader {
            return;
        }
        // The group makes it one.
        let share =
            GroupAssignment { era: self.store.era, generation: 1, partitions: vec![0, 1, 2, 3] };
        let sent = self.clock.now();
        let (sender, frames) = mpsc::channel(64);
        let mut source = self.hosts[reader].state.borrow_mut();
        source.eras().observe(self.store.era, "store");
        source.apply_membership_update(MembershipUpdate::Joined { assignment: share, sent });
        let taken = source.add_follower(sender, 0);
        drop(source);
        if taken {
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
    fn is_fed(&self, host: usize) -> bool {
        let feed = self.hosts[host].feed.as_ref();
        host >= READERS && feed.is_some_and(|(_, frames)| !frames.is_closed())
    }

    /// Returns how a host knows an engine.
    fn known_engine(&self, host: usize, engine: usize) -> Option<(u64, bool)> {
        let state = self.hosts[host].state.borrow();
        let table = state.shared().table.borrow().clone();
        let entries = table.engines.values().flatten();
        let mut entries = entries.filter(|entry| *entry.name == *engine_key(engine));
        entries.next().map(|entry| (entry.incarnation - 1, entry.leaving))
    }

    /// Returns what a host went back on.
    pub(super) fn went_back(&mut self) -> Option<String> {
        for host in 0..HOSTS {
            let table = self.hosts[host].state.borrow().shared().table.borrow().clone();
            let revision = table.routes.as_ref().map_or(0, |routes| routes.revision());
            if revision < self.hosts[host].revision {
                return Some(format!("host {host} went back to revision {revision}"));
            }
            self.hosts[host].revision = revision;
            for engine in 0..ENGINES {
                let Some((life, leaving)) = self.known_engine(host, engine) else { continue };
                let now = EngineWord { life, leaving, ..EngineWord::default() };
                let known = &mut self.hosts[host].known[engine];
                if now.rank() < known.rank() {
                    return Some(format!("host {host}: engine {engine} was {known:?}, is {now:?}"));
                }
                *known = now;
            }
        }
        None
    }

    /// Lets everybody write again, and every host read that no reader tells; returns what a host lacks then.
    pub(super) fn settle(&mut self) -> Option<String> {
        self.write_again(false);
        for _ in 0..SETTLING_STEPS {
            for host in 0..HOSTS {
                if self.is_fed(host) {
                    self.take(Step::Deliver(host));
                } else {
                    self.take(Step::Read(host, CONFIGURATION));
                    self.take(Step::Read(host, ENTRIES));
                }
            }
            self.take(Step::Wait(duration_millis(SETTLED) / SETTLING_STEPS));
        }
        for host in 0..HOSTS {
            let table = self.hosts[host].state.borrow().shared().table.borrow().clone();
            let revision = table.routes.as_ref().map_or(0, |routes| routes.revision());
            if revision != self.revision {
                return Some(format!("host {host} has {revision}, the operator {}", self.revision));
            }
            for engine in 0..ENGINES {
                let said = self.engines[engine];
                let said = (!said.gone).then_some((said.life, said.leaving));
                let known = self.known_engine(host, engine);
                if known != said {
                    return Some(format!(
                        "host {host}: engine {engine} said {said:?}, known {known:?}"
                    ));
                }
            }
        }
        None
    }
}
