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

use crate::control::plan_encoding::{EngineNumbers, change_line, decode_work_lines, engine_line};
use crate::demand::DemandReport;
use crate::peers::frame::{
    ChangeLine, DemandFrame, EncodedFrame, EstimateLine, FrameBody, PlanFrame,
};

/// How many frames wait for a slow peer before it is let go.
pub const PEER_QUEUE_LENGTH: usize = 64;

/// How many estimates go into one frame.
const MAX_ESTIMATES_PER_FRAME: usize = 64;

/// The least time between two frames of the plan to a subscriber: each makes it publish anew.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(15);

/// The least time between two words of what engines have to do, for each host that hears them: what all of
/// them read of it stays the same, however many they are.
const WORK_INTERVAL_PER_HOST: Duration = Duration::from_millis(8);

/// The usual time between two such words in a large fleet: a quarter of a second is what an adapter takes to load.
const LARGE_FLEET_WORK_INTERVAL: Duration = Duration::from_millis(250);

/// The longest time between two such words: what is older tells nothing of a queue.
const MAX_WORK_INTERVAL: Duration = Duration::from_millis(500);

/// How many bytes of such words each host is told a second, at the most usual: half of what control may take of a
/// link. Where more changes, it is told less often.
const WORK_BYTES_PER_SECOND: f64 = 7500.0;

/// The time in which [`WORK_BYTES_PER_SECOND`] are told.
const ONE_SECOND: Duration = Duration::from_secs(1);

/// How often a placer that has nothing to tell says that it is there.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// How long an estimate is kept after its time.
const ESTIMATE_TTL: Duration = Duration::from_secs(2);

/// Returns what a host's demand says that it waits for.
pub fn waiting_keys(entries: &[DemandEntry]) -> impl Iterator<Item = ModelKey> {
    entries.iter().filter(|entry| entry.waiting > 0).map(|entry| Arc::clone(&entry.key))
}

/// Notes what an engine holds now among what it held lately.
fn record_loaded_models(
    weight_caches: &mut HashMap<EngineName, EngineWeightCache>,
    engine: &EngineName,
    loaded: &[LoadedModel],
) {
    let memory = weight_caches.entry(Arc::clone(engine)).or_default();
    for model in loaded.iter().filter(|model| adapter_name(&model.key).is_some()) {
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
    pub awaiting_estimates: Vec<ModelKey>,
}

/// A host that has ceased to listen.
#[derive(Debug, Clone)]
pub struct RemovedSubscriber {
    /// Its name.
    pub host: Arc<str>,
    /// Of how many hosts it was one, where it fell silent and may go on serving; none where it has closed its connection.
    pub unreachable_among: Option<u32>,
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
    pub holds_lease: bool,
    /// The planner, while this host holds the lease of a service whose engines hold models.
    pub planner: Option<PlacementPlanner>,
    /// The token of the lease that this host holds.
    pub planned_token: FenceToken,
    /// What engines hold, as the placer says.
    pub plan: HashMap<EngineName, Vec<LoadedModel>>,
    /// The lives of engines whose holdings `plan` tells.
    incarnations: HashMap<EngineName, EngineIncarnation>,
    /// What engines held lately, as far as plans have told; a new placer begins with it.
    pub weight_caches: HashMap<EngineName, EngineWeightCache>,
    /// The weight store's pace as placers have learnt it; a new placer begins with it.
    pub store_throughput: Option<StoreThroughput>,
    /// The token of the placer whose plan this is.
    pub plan_token: FenceToken,
    /// Whether the placer's plan is kept up to date.
    pub plan_up_to_date: bool,
    /// When queued adapters are expected.
    pub estimates: HashMap<ModelKey, ClockMillis>,
    /// What this host waits for and has no estimate of yet.
    pub awaiting_estimates: Vec<ModelKey>,
    /// Who listens to this host's plan.
    pub subscribers: Vec<PlanSubscriber>,
    /// Where demand for the placer goes, while there is a connection.
    pub placer_sender: Option<mpsc::Sender<EncodedFrame>>,
    /// Hosts that have ceased to listen since this was last asked.
    removed: Vec<RemovedSubscriber>,
    /// The pace that was logged last.
    logged_throughput: Option<StoreThroughput>,
    /// What subscribers were told that engines hold.
    sent_plan: HashMap<EngineName, Vec<LoadedModel>>,
    /// The numbers by which this host's frames name engines.
    engine_numbers: EngineNumbers,
    /// The engines by the numbers in the placer's frames.
    engines_by_number: HashMap<u32, EngineName>,
    /// How long to pause after the last word of the engines' work, by its length.
    work_interval: Duration,
    /// Engines whose change was not told to the subscribers yet.
    unsent: BTreeSet<EngineName>,
    /// When changes were last told.
    plan_sent_at: ClockMillis,
    /// When the engines' work was last told.
    work_sent_at: ClockMillis,
    /// When all subscribers last heard something.
    last_broadcast_at: ClockMillis,
}

impl PlacementDomain {
    /// Starts without lease and plan.
    pub fn new(service: ServiceName, partitions: u32, rules: LeaseRules) -> Self {
        let hash = xxh3_64(service.as_bytes()) % u64::from(partitions.max(1));
        Self {
            service,
            partition: u32::try_from(hash).unwrap_or_default(),
            tenure: PlacerTenure::new(rules),
            holds_lease: false,
            planner: None,
            planned_token: 0,
            plan: HashMap::new(),
            incarnations: HashMap::new(),
            weight_caches: HashMap::new(),
            store_throughput: None,
            plan_token: 0,
            plan_up_to_date: false,
            estimates: HashMap::new(),
            awaiting_estimates: Vec::new(),
            subscribers: Vec::new(),
            placer_sender: None,
            removed: Vec::new(),
            logged_throughput: None,
            sent_plan: HashMap::new(),
            engine_numbers: EngineNumbers::default(),
            engines_by_number: HashMap::new(),
            work_interval: Duration::ZERO,
            unsent: BTreeSet::new(),
            plan_sent_at: ClockMillis::default(),
            work_sent_at: ClockMillis::default(),
            last_broadcast_at: ClockMillis::default(),
        }
    }

    /// Tells the subscribers what engines have to do, or that this host is there; returns what changed.
    pub fn send_work(&mut self, now: ClockMillis) -> Vec<(EngineName, EngineWork)> {
        let interval =
            (WORK_INTERVAL_PER_HOST * self.subscribed_hosts()).min(LARGE_FLEET_WORK_INTERVAL);
        let interval = interval.max(self.work_interval).min(MAX_WORK_INTERVAL);
        let Some(planner) = &mut self.planner else { return Vec::new() };
        if now.since(self.work_sent_at) < interval {
            return Vec::new();
        }
        self.work_sent_at = now;
        let changed = planner.take_changed_work();
        if !changed.is_empty() || now.since(self.last_broadcast_at) >= HEARTBEAT_INTERVAL {
            self.last_broadcast_at = now;
            let (numbers, work) = self.engine_numbers.encode(&changed);
            let pace = self.store_throughput.map(Into::into);
            let frame = PlanFrame { pace, numbers, work, ..self.empty_frame() };
            let frame = FrameBody::Plan(frame).encoded();
            self.work_interval =
                ONE_SECOND.mul_f64(frame.bytes.len() as f64 / WORK_BYTES_PER_SECOND);
            self.broadcast(&frame);
        }
        changed
    }

    /// Returns how many hosts listen to the placer, itself included.
    pub fn subscribed_hosts(&self) -> u32 {
        u32::try_from(self.subscribers.len() + 1).unwrap_or(u32::MAX)
    }

    /// Tells the subscribers what changed, in batches.
    pub fn send_plan_changes(&mut self, changed: Vec<EngineName>, now: ClockMillis) {
        self.unsent.extend(changed);
        if self.unsent.is_empty() || now.since(self.plan_sent_at) < MIN_PLAN_INTERVAL {
            return;
        }
        self.plan_sent_at = now;
        let unsent = std::mem::take(&mut self.unsent);
        let frame = self.plan_changes(&unsent);
        self.broadcast(&frame);
    }

    /// Tells demand to the own planner or to the placer; returns whether anyone took it.
    pub fn send_demand(
        &mut self,
        host: &Arc<str>,
        report: &DemandReport,
        now: ClockMillis,
    ) -> bool {
        if let Some(planner) = &mut self.planner {
            planner.record_demand(host, &report.entries, now);
            planner.record_work(host, &report.work, now);
            self.awaiting_estimates.extend(waiting_keys(&report.entries));
            return true;
        }
        let Some(placer) = &self.placer_sender else { return false };
        let frame = DemandFrame {
            host: host.to_string(),
            service: self.service.to_string(),
            entries: report.entries.iter().map(Into::into).collect(),
            work: report.work.engines.iter().map(Into::into).collect(),
            runs: report.work.open_requests.iter().map(Into::into).collect(),
            absent: report.work.absent.iter().map(Into::into).collect(),
            unreached: report.work.unreachable.iter().map(ToString::to_string).collect(),
        };
        placer.try_send(FrameBody::Demand(frame).encoded()).is_ok()
    }

    /// Takes the own planner's residency into the plan; returns the engines that changed.
    pub fn apply_own_plan(&mut self) -> Vec<EngineName> {
        let Some(planner) = &mut self.planner else { return Vec::new() };
        let mut changed = Vec::new();
        for (engine, loaded) in planner.take_changed_residency() {
            if self.plan.get(&engine) != Some(&loaded) {
                record_loaded_models(&mut self.weight_caches, &engine, &loaded);
                self.plan.insert(Arc::clone(&engine), loaded);
                changed.push(engine);
            }
        }
        self.store_throughput = Some(planner.store_throughput());
        self.plan_token = self.planned_token;
        self.plan_up_to_date = true;
        changed
    }

    /// Takes how an engine's holdings changed; an engine that this host was not told of lists what it holds itself.
    fn apply_change(&mut self, line: &ChangeLine) {
        let Some(loaded) = self.plan.get_mut(line.engine.as_str()) else { return };
        let gained: Vec<LoadedModel> = line.gained.iter().map(Into::into).collect();
        let is_gained = |key: &ModelKey| gained.iter().any(|model| model.key == *key);
        loaded.retain(|model| {
            !is_gained(&model.key) && !line.lost.iter().any(|key| **key == *model.key)
        });
        record_loaded_models(
            &mut self.weight_caches,
            &EngineName::from(line.engine.as_str()),
            &gained,
        );
        loaded.extend(gained);
    }

    /// Takes that an engine is listed in a life; what was told of another one is forgotten.
    ///
    /// Returns whether anything was forgotten.
    pub fn record_incarnation(&mut self, entry: &EngineEntry) -> bool {
        let previous = self.incarnations.insert(Arc::clone(&entry.name), entry.incarnation);
        if previous.is_none_or(|previous| entry.is_incarnation(previous)) {
            return false;
        }
        self.forget_engine(&entry.name);
        true
    }

    /// Forgets what an engine held, and that anybody was told of it: the next word of it tells everything.
    pub fn forget_engine(&mut self, engine: &str) {
        self.plan.remove(engine);
        self.weight_caches.remove(engine);
        self.sent_plan.remove(engine);
    }

    /// Takes that an engine is gone.
    pub fn remove_engine(&mut self, engine: &str) {
        self.forget_engine(engine);
        self.incarnations.remove(engine);
    }

    fn incarnation(&self, engine: &str) -> EngineIncarnation {
        self.incarnations.get(engine).copied().unwrap_or(UNKNOWN_INCARNATION)
    }

    /// Reads the work that a frame of the placer tells, passing over engines whose number was not told.
    pub fn decode_work(&self, frame: &PlanFrame) -> Vec<(EngineName, EngineWork)> {
        decode_work_lines(&self.engines_by_number, &frame.work)
    }

    /// Returns the weight store's pace if it is another than at the last call.
    pub fn take_changed_throughput(&mut self) -> Option<StoreThroughput> {
        let changed = self.store_throughput != self.logged_throughput;
        self.logged_throughput = self.store_throughput;
        self.store_throughput.filter(|_| changed)
    }

    /// Takes a plan from the placer; returns whether it was the newest.
    pub fn apply_plan(&mut self, frame: &PlanFrame, now: ClockMillis) -> bool {
        if frame.token < self.plan_token {
            return false;
        }
        self.plan_token = frame.token;
        self.store_throughput = frame.pace.as_ref().map(Into::into).or(self.store_throughput);
        for line in &frame.engines {
            let loaded: Vec<LoadedModel> = line.held.iter().map(Into::into).collect();
            let engine = EngineName::from(line.engine.as_str());
            self.incarnations.insert(Arc::clone(&engine), line.born);
            record_loaded_models(&mut self.weight_caches, &engine, &loaded);
            self.plan.insert(engine, loaded);
        }
        for line in &frame.changes {
            self.apply_change(line);
        }
        for line in &frame.numbers {
            self.engines_by_number.insert(line.number, EngineName::from(line.engine.as_str()));
        }
        for line in &frame.estimates {
            let due = now + Duration::from_millis(u64::from(line.millis));
            self.estimates.insert(Arc::from(line.key.as_str()), due);
        }
        self.plan_up_to_date = true;
        true
    }

    /// Writes the whole plan, for a host that begins to listen.
    pub fn full_plan(&self) -> EncodedFrame {
        let lines = self.plan.iter();
        let lines =
            lines.map(|(engine, loaded)| engine_line(engine, self.incarnation(engine), loaded));
        let frame = PlanFrame {
            engines: lines.collect(),
            numbers: self.engine_numbers.lines(),
            ..self.empty_frame()
        };
        FrameBody::Plan(frame).encoded()
    }

    /// Writes what engines hold that changed: as a change where the engine was told of before, whole where not.
    fn plan_changes(&mut self, engines: &BTreeSet<EngineName>) -> EncodedFrame {
        let mut frame = self.empty_frame();
        for engine in engines {
            let Some(loaded) = self.plan.get(engine) else { continue };
            let sent = self.sent_plan.insert(Arc::clone(engine), loaded.clone());
            match sent {
                Some(sent) => frame.changes.push(change_line(engine, &sent, loaded)),
                None => frame.engines.push(engine_line(engine, self.incarnation(engine), loaded)),
            }
        }
        FrameBody::Plan(frame).encoded()
    }

    /// Returns a frame of this placer that tells nothing yet.
    fn empty_frame(&self) -> PlanFrame {
        PlanFrame {
            service: self.service.to_string(),
            token: self.planned_token,
            hosts: self.subscribed_hosts(),
            ..PlanFrame::default()
        }
    }

    /// Forgets what listeners were told: a new tenure tells everything anew.
    pub fn reset_encoding_state(&mut self) {
        self.sent_plan.clear();
        self.engine_numbers = EngineNumbers::default();
        self.engines_by_number.clear();
    }

    /// Tells everybody who waits when the adapter is expected; returns whether this host does.
    pub fn send_estimates(&mut self, now: ClockMillis) -> bool {
        self.estimates.retain(|_, due| now.since(*due) < ESTIMATE_TTL);
        let Some(planner) = &self.planner else { return false };
        let estimate =
            |key: &ModelKey| Some((Arc::clone(key), planner.estimated_load_delay(key, now)?));
        let own_delays = self.awaiting_estimates.drain(..).filter_map(|key| estimate(&key));
        let previous_count = self.estimates.len();
        let due_times = own_delays.map(|(key, delay)| (key, now + delay)).collect::<Vec<_>>();
        let has_new = !due_times.is_empty();
        self.estimates.extend(due_times);
        let (service, token) = (self.service.to_string(), self.planned_token);
        let hosts = self.subscribed_hosts();
        for subscriber in &mut self.subscribers {
            let lines = subscriber.awaiting_estimates.drain(..).filter_map(|key| estimate(&key));
            let lines = lines
                .take(MAX_ESTIMATES_PER_FRAME)
                .map(|(key, delay)| EstimateLine::new(&key, delay));
            let estimates: Vec<EstimateLine> = lines.collect();
            if estimates.is_empty() {
                continue;
            }
            let service = service.clone();
            let frame = PlanFrame { service, token, estimates, hosts, ..PlanFrame::default() };
            // A subscriber that does not keep up is let go with the next change of the plan.
            let _ = subscriber.frames.try_send(FrameBody::Plan(frame).encoded());
        }
        has_new || self.estimates.len() != previous_count
    }

    /// Sends a frame to all subscribers and lets go of those that do not keep up or can not be reached.
    pub fn broadcast(&mut self, frame: &EncodedFrame) {
        let unreachable_among = Some(self.subscribed_hosts());
        let (subscribers, removed) = (&mut self.subscribers, &mut self.removed);
        subscribers.retain(|subscriber| {
            let kept = subscriber.frames.try_send(frame.clone()).is_ok();
            if !kept {
                removed.push(RemovedSubscriber {
                    host: Arc::clone(&subscriber.host),
                    unreachable_among,
                });
            }
            kept
        });
    }

    /// Sends a frame to one subscriber; one that does not keep up is let go with the next frame for all.
    pub fn send_to(&self, host: &str, frame: &EncodedFrame) {
        for subscriber in self.subscribers.iter().filter(|subscriber| &*subscriber.host == host) {
            if subscriber.frames.try_send(frame.clone()).is_err() {
                log::debug!("{host} does not take frames");
            }
        }
    }

    /// Takes that a subscriber has closed its connection: it stops, or listens elsewhere.
    pub fn remove_subscriber(&mut self, frames: &mpsc::Sender<EncodedFrame>) {
        let (subscribers, removed) = (&mut self.subscribers, &mut self.removed);
        subscribers.retain(|subscriber| {
            let kept = !subscriber.frames.same_channel(frames);
            if !kept {
                removed.push(RemovedSubscriber {
                    host: Arc::clone(&subscriber.host),
                    unreachable_among: None,
                });
            }
            kept
        });
    }

    /// Takes the hosts that have ceased to listen since the last call.
    pub fn take_removed(&mut self) -> Vec<RemovedSubscriber> {
        std::mem::take(&mut self.removed)
    }
}
