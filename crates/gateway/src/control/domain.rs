//! One placement domain on this host: its lease, its plan and its subscribers.

mod awaited_loads;
mod subscribers;

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
        EngineWeightCache, LeaseRules, LoadSchedule, PlacementPlanner, PlacerTenure,
        StoreThroughput,
    },
};
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

pub use crate::control::domain::{
    awaited_loads::{AwaitedLoads, PlannedLoads},
    subscribers::{PlanSubscriber, RemovedSubscriber},
};
use crate::control::host_count::SubscriberCount;
use crate::control::plan_encoding::{EngineNumbers, change_message, decode_work, engine_message};
use crate::demand::DemandReport;
use crate::peers::frame::{
    DemandFrame, EncodedFrame, EngineChangeMessage, FrameBody, LoadEstimateMessage, PlanFrame,
};

/// Maximum number of frames queued for a peer; a peer whose queue is full is removed.
pub const PEER_QUEUE_LENGTH: usize = 64;

/// Maximum number of estimates of newly reported demand in one frame.
const MAX_ESTIMATES_PER_FRAME: usize = 64;

/// Minimum time between two plan frames, because each one makes the subscribers publish a new
/// serving table.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(15);

/// Minimum time between two work frames, multiplied by the number of subscribed hosts, so that the
/// total traffic does not grow with that number.
const WORK_INTERVAL_PER_HOST: Duration = Duration::from_millis(8);

/// Limit of the interval that results from [`WORK_INTERVAL_PER_HOST`]. Adapters take about this
/// long to load.
const LARGE_FLEET_WORK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time between two work frames; older data says nothing about an engine's queue.
const MAX_WORK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum average rate of work frames to each host. Unit: bytes per second. Larger frames are sent
/// less often.
const WORK_BYTES_PER_SECOND: f64 = 7500.0;

/// Time unit of [`WORK_BYTES_PER_SECOND`].
const ONE_SECOND: Duration = Duration::from_secs(1);

/// Interval of frames from a placer that has nothing else to send.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// How long an estimate is kept after its due time.
const ESTIMATE_TTL: Duration = Duration::from_secs(2);

/// Adds the adapters that an engine has loaded to its weight cache.
fn record_loaded_models(
    weight_caches: &mut HashMap<EngineName, EngineWeightCache>,
    engine: &EngineName,
    loaded: &[LoadedModel],
) {
    let cache = weight_caches.entry(Arc::clone(engine)).or_default();
    for model in loaded.iter().filter(|model| adapter_name(&model.key).is_some()) {
        cache.insert(&model.key);
    }
}

/// One placement domain. A domain without models only elects the coordinator and has no plan.
pub struct PlacementDomain {
    /// Service of the domain's engines.
    pub service: ServiceName,
    /// Group partition whose owner is the placer.
    pub partition: u32,
    /// This host's tenure as placer.
    pub tenure: PlacerTenure,
    /// Whether this host holds the lease.
    pub holds_lease: bool,
    /// The planner, while this host holds the lease of a service whose engines load models.
    pub planner: Option<PlacementPlanner>,
    /// Token of the lease that this host holds.
    pub lease_token: FenceToken,
    /// Models and adapters that each engine has loaded, according to the placer.
    pub plan: HashMap<EngineName, Vec<LoadedModel>>,
    /// Incarnations of engines that `plan` refers to.
    incarnations: HashMap<EngineName, EngineIncarnation>,
    /// Adapters that engines had loaded recently, according to the plans received. A new placer
    /// starts with them.
    pub weight_caches: HashMap<EngineName, EngineWeightCache>,
    /// Throughput of the weight store as measured by placers. A new placer starts with it.
    pub store_throughput: Option<StoreThroughput>,
    /// Throughput that this host's planner assumes, until it is measured or a host reports one.
    assumed_throughput: Option<StoreThroughput>,
    /// Token of the placer that made the plan.
    pub plan_token: FenceToken,
    /// Whether this host makes the plan or receives its changes from the placer.
    pub plan_up_to_date: bool,
    /// When requested adapters are expected to be loaded.
    pub estimates: HashMap<ModelKey, LoadSchedule>,
    /// Keys that requests at this host wait for.
    pub awaiting_estimates: AwaitedLoads,
    /// Hosts that receive this host's plan.
    pub subscribers: Vec<PlanSubscriber>,
    /// Queue of frames to the placer, while connected.
    pub placer_sender: Option<mpsc::Sender<EncodedFrame>>,
    /// Whether all hosts have had time to subscribe.
    subscriber_count: SubscriberCount,
    /// Subscribers removed since the last [`Self::take_removed`].
    removed: Vec<RemovedSubscriber>,
    /// Throughput that was logged last.
    logged_throughput: Option<StoreThroughput>,
    /// Loaded models as last sent to the subscribers.
    sent_plan: HashMap<EngineName, Vec<LoadedModel>>,
    /// Numbers that stand for engines in this host's frames.
    engine_numbers: EngineNumbers,
    /// Engines by the numbers in the placer's frames.
    engines_by_number: HashMap<u32, EngineName>,
    /// Minimum delay after the last work frame, by the size of that frame.
    work_interval: Duration,
    /// Engines with changes that have not been sent to the subscribers.
    unsent: BTreeSet<EngineName>,
    /// When plan changes were last sent.
    plan_sent_at: ClockMillis,
    /// When the engines' work was last sent.
    work_sent_at: ClockMillis,
    /// When a work frame was last broadcast.
    last_broadcast_at: ClockMillis,
}

impl PlacementDomain {
    /// Creates a domain without lease and plan.
    pub fn new(service: ServiceName, partitions: u32, rules: LeaseRules) -> Self {
        let hash = xxh3_64(service.as_bytes()) % u64::from(partitions.max(1));
        Self {
            service,
            partition: u32::try_from(hash).unwrap_or_default(),
            tenure: PlacerTenure::new(rules),
            holds_lease: false,
            planner: None,
            lease_token: 0,
            plan: HashMap::new(),
            incarnations: HashMap::new(),
            weight_caches: HashMap::new(),
            store_throughput: None,
            assumed_throughput: None,
            plan_token: 0,
            plan_up_to_date: false,
            estimates: HashMap::new(),
            awaiting_estimates: AwaitedLoads::default(),
            subscribers: Vec::new(),
            placer_sender: None,
            subscriber_count: SubscriberCount::default(),
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

    /// Sends the subscribers the changed work of engines, or a heartbeat; returns the changed work.
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
            let store_throughput = self.store_throughput.map(Into::into);
            let frame =
                PlanFrame { store_throughput, engine_numbers: numbers, work, ..self.empty_frame() };
            let frame = FrameBody::Plan(frame).encoded();
            self.work_interval =
                ONE_SECOND.mul_f64(frame.bytes.len() as f64 / WORK_BYTES_PER_SECOND);
            self.broadcast(&frame);
        }
        changed
    }

    /// Sends the subscribers the changes of the plan, in batches.
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

    /// Sends demand to this host's planner or to the placer; returns whether it was accepted.
    pub fn send_demand(
        &mut self,
        host: &Arc<str>,
        report: &DemandReport,
        now: ClockMillis,
    ) -> bool {
        if let Some(planner) = &mut self.planner {
            planner.record_demand(host, &report.entries, now);
            planner.record_work(host, &report.work, now);
            self.awaiting_estimates.record(&report.entries);
            return true;
        }
        let Some(placer) = &self.placer_sender else { return false };
        let frame = DemandFrame {
            host: host.to_string(),
            service: self.service.to_string(),
            entries: report.entries.iter().map(Into::into).collect(),
            work: report.work.engines.iter().map(Into::into).collect(),
            open_requests: report.work.open_requests.iter().map(Into::into).collect(),
            absent: report.work.absent.iter().map(Into::into).collect(),
            unreachable: report.work.unreachable.iter().map(ToString::to_string).collect(),
            store_throughput: None,
        };
        placer.try_send(FrameBody::Demand(frame).encoded()).is_ok()
    }

    /// Passes the throughput of the weight store as known so far to this host's new planner.
    pub fn restore_throughput(&mut self) {
        let Some(planner) = &mut self.planner else { return };
        if let Some(throughput) = self.store_throughput {
            planner.restore_throughput(throughput);
        } else {
            planner.assume_throughput();
            self.assumed_throughput = Some(planner.store_throughput());
        }
    }

    /// Returns whether a throughput of the weight store is known, not only assumed.
    pub const fn has_throughput(&self) -> bool {
        self.store_throughput.is_some()
    }

    /// Applies a host's report of the throughput, unless this host knows one.
    pub fn receive_throughput(&mut self, throughput: StoreThroughput) {
        if self.assumed_throughput.take().is_some() {
            self.store_throughput = Some(throughput);
            self.restore_throughput();
        }
    }

    /// Applies the residency of this host's planner to the plan; returns the engines that changed.
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
        let throughput = Some(planner.store_throughput());
        if throughput != self.assumed_throughput {
            self.assumed_throughput = None;
            self.store_throughput = throughput;
        }
        self.plan_token = self.lease_token;
        self.plan_up_to_date = true;
        changed
    }

    /// Applies a change of an engine's loaded models; ignores it if the plan does not have the
    /// engine.
    fn apply_change(&mut self, message: &EngineChangeMessage) {
        let Some(loaded) = self.plan.get_mut(message.engine.as_str()) else { return };
        let gained: Vec<LoadedModel> = message.added.iter().map(Into::into).collect();
        let is_gained = |key: &ModelKey| gained.iter().any(|model| model.key == *key);
        loaded.retain(|model| {
            !is_gained(&model.key) && !message.removed.iter().any(|key| **key == *model.key)
        });
        record_loaded_models(
            &mut self.weight_caches,
            &EngineName::from(message.engine.as_str()),
            &gained,
        );
        loaded.extend(gained);
    }

    /// Records the incarnation in which an engine is listed, and drops what is known of an earlier
    /// one.
    ///
    /// Returns whether anything was dropped.
    pub fn record_incarnation(&mut self, entry: &EngineEntry) -> bool {
        let previous = self.incarnations.insert(Arc::clone(&entry.name), entry.incarnation);
        if previous.is_none_or(|previous| entry.is_incarnation(previous)) {
            return false;
        }
        self.forget_engine(&entry.name);
        true
    }

    /// Drops the models of an engine and the record that they were sent, so that the next frame
    /// about it is complete.
    pub fn forget_engine(&mut self, engine: &str) {
        self.plan.remove(engine);
        self.weight_caches.remove(engine);
        self.sent_plan.remove(engine);
    }

    /// Removes an engine that is no longer listed.
    pub fn remove_engine(&mut self, engine: &str) {
        self.forget_engine(engine);
        self.incarnations.remove(engine);
    }

    fn incarnation(&self, engine: &str) -> EngineIncarnation {
        self.incarnations.get(engine).copied().unwrap_or(UNKNOWN_INCARNATION)
    }

    /// Decodes the work in a placer's frame, ignoring engines with an unknown number.
    pub fn decode_work(&self, frame: &PlanFrame) -> Vec<(EngineName, EngineWork)> {
        decode_work(&self.engines_by_number, &frame.work)
    }

    /// Returns the throughput of the weight store if it differs from the last call.
    pub fn take_changed_throughput(&mut self) -> Option<StoreThroughput> {
        let changed = self.store_throughput != self.logged_throughput;
        self.logged_throughput = self.store_throughput;
        self.store_throughput.filter(|_| changed)
    }

    /// Applies a plan of the placer; returns false if its token is older than that of the current
    /// plan.
    pub fn apply_plan(&mut self, frame: &PlanFrame, now: ClockMillis) -> bool {
        if frame.token < self.plan_token {
            return false;
        }
        self.plan_token = frame.token;
        self.store_throughput =
            frame.store_throughput.as_ref().map(Into::into).or(self.store_throughput);
        for message in &frame.engines {
            let loaded: Vec<LoadedModel> = message.loaded_models.iter().map(Into::into).collect();
            let engine = EngineName::from(message.engine.as_str());
            self.incarnations.insert(Arc::clone(&engine), message.incarnation);
            record_loaded_models(&mut self.weight_caches, &engine, &loaded);
            self.plan.insert(engine, loaded);
        }
        for message in &frame.changes {
            self.apply_change(message);
        }
        for message in &frame.engine_numbers {
            self.engines_by_number
                .insert(message.number, EngineName::from(message.engine.as_str()));
        }
        for message in &frame.estimates {
            self.estimates.insert(Arc::from(message.key.as_str()), message.schedule(now));
        }
        self.plan_up_to_date = true;
        true
    }

    /// Encodes the complete plan, for a new subscriber.
    pub fn full_plan(&self) -> EncodedFrame {
        let messages = self.plan.iter();
        let messages = messages
            .map(|(engine, loaded)| engine_message(engine, self.incarnation(engine), loaded));
        let frame = PlanFrame {
            engines: messages.collect(),
            engine_numbers: self.engine_numbers.messages(),
            ..self.empty_frame()
        };
        FrameBody::Plan(frame).encoded()
    }

    /// Encodes the changes of engines: as a difference if the engine was sent before, otherwise
    /// completely.
    fn plan_changes(&mut self, engines: &BTreeSet<EngineName>) -> EncodedFrame {
        let mut frame = self.empty_frame();
        for engine in engines {
            let Some(loaded) = self.plan.get(engine) else { continue };
            let sent = self.sent_plan.insert(Arc::clone(engine), loaded.clone());
            match sent {
                Some(sent) => frame.changes.push(change_message(engine, &sent, loaded)),
                None => {
                    frame.engines.push(engine_message(engine, self.incarnation(engine), loaded));
                }
            }
        }
        FrameBody::Plan(frame).encoded()
    }

    /// Returns a plan frame of this placer with no content.
    fn empty_frame(&self) -> PlanFrame {
        let report = self.host_report();
        PlanFrame {
            service: self.service.to_string(),
            token: self.lease_token,
            hosts: report.hosts,
            hosts_complete: report.complete,
            ..PlanFrame::default()
        }
    }

    /// Resets what was sent to subscribers and the numbers of engines; the next tenure sends
    /// everything again.
    pub fn reset_encoding_state(&mut self) {
        self.sent_plan.clear();
        self.engine_numbers = EngineNumbers::default();
        self.engines_by_number.clear();
    }

    /// Sends the expected load times to the hosts that wait for them; returns whether those of this
    /// host changed.
    ///
    /// If `follows_changes` is set, hosts are also told when an awaited load is ordered or its due
    /// time changes.
    pub fn send_estimates(&mut self, follows_changes: bool, now: ClockMillis) -> bool {
        self.estimates
            .retain(|_, schedule| schedule.due().is_some_and(|due| now.since(due) < ESTIMATE_TTL));
        let empty_frame = self.empty_frame();
        let hosts = self.subscribed_hosts();
        let Some(planner) = &self.planner else { return false };
        let check_due = follows_changes && self.awaiting_estimates.begin_check(hosts, now);
        let reported = self.awaiting_estimates.has_reported()
            || self.subscribers.iter().any(|host| host.awaiting_estimates.has_reported());
        if !reported && !check_due {
            return false;
        }
        let loads = follows_changes.then(|| PlannedLoads::collect(planner, now));
        let take_updates = |awaited: &mut AwaitedLoads, limit| match &loads {
            Some(loads) => awaited.take_schedules(loads, check_due, limit, now),
            None => awaited.take_estimates(planner, limit, now),
        };
        let updates = take_updates(&mut self.awaiting_estimates, usize::MAX);
        let has_new = !updates.is_empty();
        self.estimates.extend(updates);
        for subscriber in &mut self.subscribers {
            let updates = take_updates(&mut subscriber.awaiting_estimates, MAX_ESTIMATES_PER_FRAME);
            let messages = updates
                .iter()
                .filter_map(|(key, schedule)| LoadEstimateMessage::new(key, *schedule, now));
            let estimates: Vec<LoadEstimateMessage> = messages.collect();
            if estimates.is_empty() {
                continue;
            }
            let frame = PlanFrame { estimates, ..empty_frame.clone() };
            // A subscriber whose queue is full is removed by the next broadcast.
            let _ = subscriber.frames.try_send(FrameBody::Plan(frame).encoded());
        }
        has_new
    }
}
