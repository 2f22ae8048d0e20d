//! One placement domain as this host sees it: its lease, its plan, and who listens to it.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry, EngineIncarnation, EngineName, LoadedModel, ModelKey, ServiceName,
        UNKNOWN_INCARNATION, adapter_name, work::EngineWork,
    },
    id::FenceToken,
    placement::{
        DemandEntry, EngineWeightCache, LeaseRules, PlacementPlanner, PlacerTenure, StoreThroughput,
    },
};
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use crate::control::plan_lines::{EngineNumbers, change_line, engine_line, read_work};
use crate::demand::ToldDemand;
use crate::peers::frame::{
    DemandFrame, EncodedFrame, EngineChangeMessage, FrameBody, LoadEstimateMessage, PlanFrame,
};

/// How many frames wait for a slow peer before it is let go.
pub const PEER_QUEUE: usize = 64;

/// How many estimates go into one frame.
const MOST_ESTIMATES: usize = 64;

/// The least time between two frames of the plan to a subscriber: each makes it publish anew.
const PLAN_PAUSE: Duration = Duration::from_millis(15);

/// The least time between two words of what engines have to do, for each host that hears them: what all of
/// them read of it stays the same, however many they are.
const WORK_PAUSE_PER_HOST: Duration = Duration::from_millis(8);

/// The usual time between two such words in a large fleet: a quarter of a second is what an adapter takes to load.
const USUAL_WORK_PAUSE: Duration = Duration::from_millis(250);

/// The longest time between two such words: what is older tells nothing of a queue.
const LONGEST_WORK_PAUSE: Duration = Duration::from_millis(500);

/// How many bytes of such words each host is told a second, at the most usual: half of what control may take of a
/// link. Where more changes, it is told less often.
const WORK_BYTES: f64 = 7500.0;

/// The time in which [`WORK_BYTES`] are told.
const WORK_SECOND: Duration = Duration::from_secs(1);

/// How often a placer that has nothing to tell says that it is there.
const ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// How long an estimate is kept after its time.
const ESTIMATE_HOLDS: Duration = Duration::from_secs(2);

/// Returns what a host's demand says that it waits for.
pub fn waited_keys(entries: &[DemandEntry]) -> impl Iterator<Item = ModelKey> {
    entries.iter().filter(|entry| entry.waiting > 0).map(|entry| Arc::clone(&entry.key))
}

/// Notes what an engine holds now among what it held lately.
fn note_memory(
    memories: &mut HashMap<EngineName, EngineWeightCache>,
    engine: &EngineName,
    held: &[LoadedModel],
) {
    let memory = memories.entry(Arc::clone(engine)).or_default();
    for model in held.iter().filter(|model| adapter_name(&model.key).is_some()) {
        memory.insert(&model.key);
    }
}

/// A host that listens to this host's plan.
pub struct PlanSubscriber {
    /// Its name.
    pub host: Arc<str>,
    /// Where its frames go.
    pub frames: mpsc::Sender<EncodedFrame>,
    /// What it waits for and has no estimate of yet.
    pub asked: Vec<ModelKey>,
}

/// A host that has ceased to listen.
#[derive(Debug, Clone)]
pub struct RemovedSubscriber {
    /// Its name.
    pub host: Arc<str>,
    /// Of how many hosts it was one, where it fell silent and may go on serving; none where it has closed its connection.
    pub silent_among: Option<u32>,
}

/// One placement domain, or one that only leads where no service holds models.
pub struct PlacementDomain {
    /// The service whose engines it holds.
    pub service: ServiceName,
    /// The partition whose holder is its placer.
    pub partition: u32,
    /// This host's hold on the lease.
    pub tenure: PlacerTenure,
    /// Whether this host holds the lease.
    pub leads: bool,
    /// The planner, while this host holds the lease of a service whose engines hold models.
    pub planner: Option<PlacementPlanner>,
    /// The token of the lease that this host holds.
    pub planned_token: FenceToken,
    /// What engines hold, as the placer says.
    pub plan: HashMap<EngineName, Vec<LoadedModel>>,
    /// The lives of engines whose holdings `plan` tells.
    lives: HashMap<EngineName, EngineIncarnation>,
    /// What engines held lately, as far as plans have told; a new placer begins with it.
    pub memories: HashMap<EngineName, EngineWeightCache>,
    /// The weight store's pace as placers have learnt it; a new placer begins with it.
    pub pace: Option<StoreThroughput>,
    /// The token of the placer whose plan this is.
    pub plan_token: FenceToken,
    /// Whether the placer's plan is kept up to date.
    pub plan_live: bool,
    /// When queued adapters are expected.
    pub estimates: HashMap<ModelKey, ClockMillis>,
    /// What this host waits for and has no estimate of yet.
    pub asked: Vec<ModelKey>,
    /// Who listens to this host's plan.
    pub subscribers: Vec<PlanSubscriber>,
    /// Where demand for the placer goes, while there is a connection.
    pub placer: Option<mpsc::Sender<EncodedFrame>>,
    /// Hosts that have ceased to listen since this was last asked.
    gone: Vec<RemovedSubscriber>,
    /// The pace that was logged last.
    logged_pace: Option<StoreThroughput>,
    /// What subscribers were told that engines hold.
    told_plan: HashMap<EngineName, Vec<LoadedModel>>,
    /// The numbers by which this host's frames name engines.
    numbers: EngineNumbers,
    /// The engines by the numbers in the placer's frames.
    numbered: HashMap<u32, EngineName>,
    /// How long to pause after the last word of the engines' work, by its length.
    work_pause: Duration,
    /// Engines whose change was not told to the subscribers yet.
    untold: BTreeSet<EngineName>,
    /// When changes were last told.
    told: ClockMillis,
    /// When the engines' work was last told.
    work_told: ClockMillis,
    /// When all subscribers last heard something.
    spoken: ClockMillis,
}

impl PlacementDomain {
    /// Starts without lease and plan.
    pub fn new(service: ServiceName, partitions: u32, rules: LeaseRules) -> Self {
        let place = xxh3_64(service.as_bytes()) % u64::from(partitions.max(1));
        Self {
            service,
            partition: u32::try_from(place).unwrap_or_default(),
            tenure: PlacerTenure::new(rules),
            leads: false,
            planner: None,
            planned_token: 0,
            plan: HashMap::new(),
            lives: HashMap::new(),
            memories: HashMap::new(),
            pace: None,
            plan_token: 0,
            plan_live: false,
            estimates: HashMap::new(),
            asked: Vec::new(),
            subscribers: Vec::new(),
            placer: None,
            gone: Vec::new(),
            logged_pace: None,
            told_plan: HashMap::new(),
            numbers: EngineNumbers::default(),
            numbered: HashMap::new(),
            work_pause: Duration::ZERO,
            untold: BTreeSet::new(),
            told: ClockMillis::default(),
            work_told: ClockMillis::default(),
            spoken: ClockMillis::default(),
        }
    }

    /// Tells the subscribers what engines have to do, or that this host is there; returns what changed.
    pub fn tell_work(&mut self, now: ClockMillis) -> Vec<(EngineName, EngineWork)> {
        let pause = (WORK_PAUSE_PER_HOST * self.listeners()).min(USUAL_WORK_PAUSE);
        let pause = pause.max(self.work_pause).min(LONGEST_WORK_PAUSE);
        let Some(planner) = &mut self.planner else { return Vec::new() };
        if now.since(self.work_told) < pause {
            return Vec::new();
        }
        self.work_told = now;
        let changed = planner.take_changed_work();
        if !changed.is_empty() || now.since(self.spoken) >= ALIVE_INTERVAL {
            self.spoken = now;
            let (numbers, work) = self.numbers.write(&changed);
            let pace = self.pace.map(Into::into);
            let frame = PlanFrame {
                store_throughput: pace,
                engine_numbers: numbers,
                work,
                ..self.empty_frame()
            };
            let frame = FrameBody::Plan(frame).encoded();
            self.work_pause = WORK_SECOND.mul_f64(frame.bytes.len() as f64 / WORK_BYTES);
            self.broadcast(&frame);
        }
        changed
    }

    /// Returns how many hosts listen to the placer, itself included.
    pub fn listeners(&self) -> u32 {
        u32::try_from(self.subscribers.len() + 1).unwrap_or(u32::MAX)
    }

    /// Tells the subscribers what changed, in batches.
    pub fn tell_plan(&mut self, changed: Vec<EngineName>, now: ClockMillis) {
        self.untold.extend(changed);
        if self.untold.is_empty() || now.since(self.told) < PLAN_PAUSE {
            return;
        }
        self.told = now;
        let untold = std::mem::take(&mut self.untold);
        let frame = self.plan_changes(&untold);
        self.broadcast(&frame);
    }

    /// Tells demand to the own planner or to the placer; returns whether anyone took it.
    pub fn tell_demand(&mut self, host: &Arc<str>, told: &ToldDemand, now: ClockMillis) -> bool {
        if let Some(planner) = &mut self.planner {
            planner.record_demand(host, &told.entries, now);
            planner.record_work(host, &told.work, now);
            self.asked.extend(waited_keys(&told.entries));
            return true;
        }
        let Some(placer) = &self.placer else { return false };
        let frame = DemandFrame {
            host: host.to_string(),
            service: self.service.to_string(),
            entries: told.entries.iter().map(Into::into).collect(),
            work: told.work.engines.iter().map(Into::into).collect(),
            open_requests: told.work.open_requests.iter().map(Into::into).collect(),
            absent: told.work.absent.iter().map(Into::into).collect(),
            unreachable: told.work.unreachable.iter().map(ToString::to_string).collect(),
        };
        placer.try_send(FrameBody::Demand(frame).encoded()).is_ok()
    }

    /// Takes the own planner's residency into the plan; returns the engines that changed.
    pub fn adopt_own_plan(&mut self) -> Vec<EngineName> {
        let Some(planner) = &mut self.planner else { return Vec::new() };
        let mut changed = Vec::new();
        for (engine, held) in planner.take_changed_residency() {
            if self.plan.get(&engine) != Some(&held) {
                note_memory(&mut self.memories, &engine, &held);
                self.plan.insert(Arc::clone(&engine), held);
                changed.push(engine);
            }
        }
        self.pace = Some(planner.store_throughput());
        self.plan_token = self.planned_token;
        self.plan_live = true;
        changed
    }

    /// Takes how an engine's holdings changed; an engine that this host was not told of lists what it holds itself.
    fn adopt_change(&mut self, line: &EngineChangeMessage) {
        let Some(held) = self.plan.get_mut(line.engine.as_str()) else { return };
        let gained: Vec<LoadedModel> = line.added.iter().map(Into::into).collect();
        let is_gained = |key: &ModelKey| gained.iter().any(|model| model.key == *key);
        held.retain(|model| {
            !is_gained(&model.key) && !line.removed.iter().any(|key| **key == *model.key)
        });
        note_memory(&mut self.memories, &EngineName::from(line.engine.as_str()), &gained);
        held.extend(gained);
    }

    /// Takes that an engine is listed in a life; what was told of another one is forgotten.
    ///
    /// Returns whether anything was forgotten.
    pub fn engine_lives(&mut self, entry: &EngineEntry) -> bool {
        let told = self.lives.insert(Arc::clone(&entry.name), entry.incarnation);
        if told.is_none_or(|told| entry.is_incarnation(told)) {
            return false;
        }
        self.forget_engine(&entry.name);
        true
    }

    /// Forgets what an engine held, and that anybody was told of it: the next word of it tells everything.
    pub fn forget_engine(&mut self, engine: &str) {
        self.plan.remove(engine);
        self.memories.remove(engine);
        self.told_plan.remove(engine);
    }

    /// Takes that an engine is gone.
    pub fn engine_gone(&mut self, engine: &str) {
        self.forget_engine(engine);
        self.lives.remove(engine);
    }

    fn born(&self, engine: &str) -> EngineIncarnation {
        self.lives.get(engine).copied().unwrap_or(UNKNOWN_INCARNATION)
    }

    /// Reads the work that a frame of the placer tells, passing over engines whose number was not told.
    pub fn told_work(&self, frame: &PlanFrame) -> Vec<(EngineName, EngineWork)> {
        read_work(&self.numbered, &frame.work)
    }

    /// Returns the weight store's pace if it is another than at the last call.
    pub fn take_changed_pace(&mut self) -> Option<StoreThroughput> {
        let changed = self.pace != self.logged_pace;
        self.logged_pace = self.pace;
        self.pace.filter(|_| changed)
    }

    /// Takes a plan from the placer; returns whether it was the newest.
    pub fn adopt_plan(&mut self, frame: &PlanFrame, now: ClockMillis) -> bool {
        if frame.token < self.plan_token {
            return false;
        }
        self.plan_token = frame.token;
        self.pace = frame.store_throughput.as_ref().map(Into::into).or(self.pace);
        for line in &frame.engines {
            let held: Vec<LoadedModel> = line.loaded_models.iter().map(Into::into).collect();
            let engine = EngineName::from(line.engine.as_str());
            self.lives.insert(Arc::clone(&engine), line.incarnation);
            note_memory(&mut self.memories, &engine, &held);
            self.plan.insert(engine, held);
        }
        for line in &frame.changes {
            self.adopt_change(line);
        }
        for line in &frame.engine_numbers {
            self.numbered.insert(line.number, EngineName::from(line.engine.as_str()));
        }
        for line in &frame.estimates {
            let due = now + Duration::from_millis(u64::from(line.expected_in_ms));
            self.estimates.insert(Arc::from(line.key.as_str()), due);
        }
        self.plan_live = true;
        true
    }

    /// Writes the whole plan, for a host that begins to listen.
    pub fn whole_plan(&self) -> EncodedFrame {
        let lines = self.plan.iter();
        let lines = lines.map(|(engine, held)| engine_line(engine, self.born(engine), held));
        let frame = PlanFrame {
            engines: lines.collect(),
            engine_numbers: self.numbers.lines(),
            ..self.empty_frame()
        };
        FrameBody::Plan(frame).encoded()
    }

    /// Writes what engines hold that changed: as a change where the engine was told of before, whole where not.
    fn plan_changes(&mut self, engines: &BTreeSet<EngineName>) -> EncodedFrame {
        let mut frame = self.empty_frame();
        for engine in engines {
            let Some(held) = self.plan.get(engine) else { continue };
            let told = self.told_plan.insert(Arc::clone(engine), held.clone());
            match told {
                Some(told) => frame.changes.push(change_line(engine, &told, held)),
                None => frame.engines.push(engine_line(engine, self.born(engine), held)),
            }
        }
        FrameBody::Plan(frame).encoded()
    }

    /// Returns a frame of this placer that tells nothing yet.
    fn empty_frame(&self) -> PlanFrame {
        PlanFrame {
            service: self.service.to_string(),
            token: self.planned_token,
            hosts: self.listeners(),
            ..PlanFrame::default()
        }
    }

    /// Forgets what listeners were told: a new tenure tells everything anew.
    pub fn begin_telling(&mut self) {
        self.told_plan.clear();
        self.numbers = EngineNumbers::default();
        self.numbered.clear();
    }

    /// Tells everybody who waits when the adapter is expected; returns whether this host does.
    pub fn answer_asked(&mut self, now: ClockMillis) -> bool {
        self.estimates.retain(|_, due| now.since(*due) < ESTIMATE_HOLDS);
        let Some(planner) = &self.planner else { return false };
        let estimate =
            |key: &ModelKey| Some((Arc::clone(key), planner.estimated_load_delay(key, now)?));
        let own = self.asked.drain(..).filter_map(|key| estimate(&key));
        let before = self.estimates.len();
        let known = own.map(|(key, time)| (key, now + time)).collect::<Vec<_>>();
        let told = !known.is_empty();
        self.estimates.extend(known);
        let (service, token) = (self.service.to_string(), self.planned_token);
        let hosts = self.listeners();
        for subscriber in &mut self.subscribers {
            let lines = subscriber.asked.drain(..).filter_map(|key| estimate(&key));
            let lines =
                lines.take(MOST_ESTIMATES).map(|(key, time)| LoadEstimateMessage::new(&key, time));
            let estimates: Vec<LoadEstimateMessage> = lines.collect();
            if estimates.is_empty() {
                continue;
            }
            let service = service.clone();
            let frame = PlanFrame { service, token, estimates, hosts, ..PlanFrame::default() };
            // A subscriber that does not keep up is let go with the next change of the plan.
            let _ = subscriber.frames.try_send(FrameBody::Plan(frame).encoded());
        }
        told || self.estimates.len() != before
    }

    /// Sends a frame to all subscribers and lets go of those that do not keep up or can not be reached.
    pub fn broadcast(&mut self, frame: &EncodedFrame) {
        let silent_among = Some(self.listeners());
        let (subscribers, gone) = (&mut self.subscribers, &mut self.gone);
        subscribers.retain(|subscriber| {
            let kept = subscriber.frames.try_send(frame.clone()).is_ok();
            if !kept {
                gone.push(RemovedSubscriber { host: Arc::clone(&subscriber.host), silent_among });
            }
            kept
        });
    }

    /// Sends a frame to one subscriber; one that does not keep up is let go with the next frame for all.
    pub fn tell_one(&self, host: &str, frame: &EncodedFrame) {
        for subscriber in self.subscribers.iter().filter(|subscriber| &*subscriber.host == host) {
            if subscriber.frames.try_send(frame.clone()).is_err() {
                log::debug!("{host} does not take frames");
            }
        }
    }

    /// Takes that a subscriber has closed its connection: it stops, or listens elsewhere.
    pub fn subscriber_left(&mut self, frames: &mpsc::Sender<EncodedFrame>) {
        let (subscribers, gone) = (&mut self.subscribers, &mut self.gone);
        subscribers.retain(|subscriber| {
            let kept = !subscriber.frames.same_channel(frames);
            if !kept {
                gone.push(RemovedSubscriber {
                    host: Arc::clone(&subscriber.host),
                    silent_among: None,
                });
            }
            kept
        });
    }

    /// Takes the hosts that have ceased to listen since the last call.
    pub fn take_removed(&mut self) -> Vec<RemovedSubscriber> {
        std::mem::take(&mut self.gone)
    }
}
