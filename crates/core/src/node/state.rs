//! The state of one host and the dispatch of events to their handlers.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    chart::{DrainState, MemberState},
    claim::{ClaimTable, ClaimTracker},
    clock::ClockMillis,
    engine::EngineController,
    gossip::GossipQueue,
    id::{EngineId, HostId, RequestId},
    limit::RetryBudget,
    load::LoadScheduler,
    member::{MemberTable, MemberUpdate},
    message::PeerMessage,
    node::{
        ClockReading, LogStream, NodeAction, NodeConfig, NodeCounters, NodeEvent,
        backends::BackendTable, open_request::OpenRequest,
    },
    settings::{SettingKey, SettingsFold, SettingsPath},
    timeline::TimelineBuffer,
};

/// Progress in reading and appending to the log's streams.
#[derive(Debug, Default)]
pub(super) struct LogProgress {
    /// The end of the settings stream was reached, or a peer had no newer records.
    pub(super) settings_caught_up: bool,
    /// The end of the claims stream has been reached in the present era.
    pub(super) claims_caught_up: bool,
    /// The claims stream cannot be read at present.
    pub(super) claims_unavailable: bool,
    /// No key can be claimed before this time: hosts are rewriting claims that the log may have
    /// lost.
    pub(super) claims_blocked_until: ClockMillis,
    /// The offset up to which the newest snapshot in the log covers the settings stream.
    pub(super) newest_snapshot_offset: u64,
    /// When this host last wrote a snapshot, or started.
    pub(super) last_snapshot_at: ClockMillis,
    /// The ticket of the snapshot append in flight.
    pub(super) pending_snapshot: Option<u64>,
    /// Counts the snapshot appends; their tickets are offset by `SNAPSHOT_TICKET_BASE`.
    pub(super) snapshot_appends: u64,
    /// When settings were last requested from a peer.
    pub(super) last_settings_pull_at: ClockMillis,
}

impl LogProgress {
    /// Returns whether idempotency keys can be claimed now.
    pub(super) fn claims_open(&self, now: ClockMillis) -> bool {
        self.claims_caught_up && !self.claims_unavailable && now >= self.claims_blocked_until
    }
}

/// The decision core of one entry host.
pub struct NodeCore {
    pub(super) config: NodeConfig,
    pub(super) reading: ClockReading,
    pub(super) rng: Pcg64Mcg,
    pub(super) settings: SettingsFold,
    pub(super) claim_table: ClaimTable,
    pub(super) claim_tracker: ClaimTracker,
    pub(super) progress: LogProgress,
    pub(super) members: MemberTable,
    pub(super) member_gossip: GossipQueue<HostId>,
    pub(super) digest_gossip: GossipQueue<EngineId>,
    pub(super) backends: BackendTable,
    pub(super) controllers: BTreeMap<EngineId, EngineController>,
    pub(super) next_report_at: BTreeMap<EngineId, ClockMillis>,
    pub(super) load_scheduler: LoadScheduler,
    pub(super) scheduling_host: HostId,
    pub(super) open_requests: BTreeMap<RequestId, OpenRequest>,
    pub(super) timers: BTreeSet<(ClockMillis, RequestId)>,
    pub(super) retry_budget: RetryBudget,
    pub(super) drain: DrainState,
    pub(super) drain_started_at: ClockMillis,
    pub(super) timeline: TimelineBuffer,
    pub(super) counters: NodeCounters,
    pub(super) heartbeat_sequence: u64,
    pub(super) next_heartbeat_at: ClockMillis,
    pub(super) last_tick: Option<ClockMillis>,
    pub(super) last_sync_at: ClockMillis,
    pub(super) started_at: ClockMillis,
    pub(super) ownership_dirty: bool,
    /// The host list was received, from the platform or as a peer's copy.
    pub(super) host_list_known: bool,
    pub(super) loopback: VecDeque<PeerMessage>,
    pub(super) actions: Vec<NodeAction>,
}

impl NodeCore {
    /// Creates a host that knows only its own configuration.
    pub fn new(config: NodeConfig) -> Self {
        let own = MemberUpdate {
            host: config.host,
            hall: config.hall,
            address: config.peer_address.clone(),
            incarnation: config.incarnation,
            refutations: 0,
            state: MemberState::initial(),
        };
        let zero = ClockMillis::default();
        Self {
            reading: ClockReading { now: zero, wall_millis: 0 },
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            settings: SettingsFold::default(),
            claim_table: ClaimTable::default(),
            claim_tracker: ClaimTracker::new(config.times.claim_interval),
            progress: LogProgress::default(),
            members: MemberTable::new(own, config.times.member_timeouts()),
            member_gossip: GossipQueue::default(),
            digest_gossip: GossipQueue::default(),
            backends: BackendTable::default(),
            controllers: BTreeMap::new(),
            next_report_at: BTreeMap::new(),
            load_scheduler: LoadScheduler::default(),
            scheduling_host: config.host,
            open_requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            retry_budget: RetryBudget::default(),
            drain: DrainState::initial(),
            drain_started_at: zero,
            timeline: TimelineBuffer::new(config.host),
            counters: NodeCounters::default(),
            heartbeat_sequence: 0,
            next_heartbeat_at: zero,
            last_tick: None,
            last_sync_at: zero,
            started_at: zero,
            ownership_dirty: true,
            host_list_known: false,
            loopback: VecDeque::new(),
            actions: Vec::new(),
            config,
        }
    }

    /// Starts the host; returns its first actions.
    pub fn start(&mut self, reading: ClockReading) -> Vec<NodeAction> {
        self.reading = reading;
        self.started_at = reading.now;
        self.progress.last_snapshot_at = reading.now;
        self.record_event("host", format!("started in hall {}", self.config.hall));
        for stream in LogStream::ALL {
            self.actions.push(NodeAction::Follow { stream, from: 0 });
        }
        std::mem::take(&mut self.actions)
    }

    /// Handles one event and returns the actions that result.
    pub fn handle(&mut self, reading: ClockReading, event: NodeEvent) -> Vec<NodeAction> {
        self.reading = reading;
        self.handle_event(event);
        while let Some(message) = self.loopback.pop_front() {
            self.handle_message(self.config.host, message);
        }
        self.gossip_digests();
        std::mem::take(&mut self.actions)
    }

    fn handle_event(&mut self, event: NodeEvent) {
        match event {
            NodeEvent::Tick => self.handle_tick(),
            NodeEvent::RequestArrived(request) => self.handle_arrival(request),
            NodeEvent::CallerGone(request) => self.handle_caller_gone(request),
            NodeEvent::DispatchEnded { request, result } => self.finish_dispatch(request, result),
            NodeEvent::PeerMessage { from, stamp, message } => {
                self.counters.messages_received += 1;
                self.timeline.receive(stamp, self.reading.wall_millis);
                self.handle_message(from, message);
            }
            NodeEvent::EngineReported { engine, report } => self.handle_report(engine, &report),
            NodeEvent::OrderEnded { order, result } => self.handle_order_ended(&order, result),
            NodeEvent::HostListChanged(change) => self.handle_host_list_change(change),
            NodeEvent::LogRead { stream, era, first, records, end } => {
                if self.enter_era(era) {
                    self.handle_log_read(stream, first, records, end);
                }
            }
            NodeEvent::LogUnavailable(stream) => self.handle_log_unavailable(stream),
            NodeEvent::AppendEnded { ticket, result } => self.handle_append_ended(ticket, result),
            NodeEvent::StopRequested => self.begin_drain(),
        }
    }

    /// Returns the time of the event being handled.
    pub(super) const fn now(&self) -> ClockMillis {
        self.reading.now
    }

    /// Sends a message to a host, which may be this one.
    pub(super) fn send(&mut self, to: HostId, message: PeerMessage) {
        if to == self.config.host {
            self.loopback.push_back(message);
            return;
        }
        let Some(entry) = self.members.find(to) else { return };
        let address = entry.update.address.clone();
        let stamp = self.timeline.tick(self.reading.wall_millis);
        self.counters.messages_sent += 1;
        self.actions.push(NodeAction::SendMessage { to, address, stamp, message });
    }

    /// Records a timeline event.
    pub(super) fn record_event(&mut self, subject: impl Into<String>, text: impl Into<String>) {
        self.timeline.record(self.reading.wall_millis, subject.into(), text.into());
    }

    /// Returns a random duration between 0.5 and 1.5 times `base`.
    pub(super) fn jitter(&mut self, base: Duration) -> Duration {
        base.mul_f64(self.rng.random_range(0.5..1.5))
    }

    /// Returns a floating-point setting of the site.
    pub(super) fn site_float(&self, key: SettingKey) -> f64 {
        self.settings.tree().float(&SettingsPath::site(), key)
    }

    /// Returns an integer setting of the site.
    pub(super) fn site_integer(&self, key: SettingKey) -> u64 {
        self.settings.tree().integer(&SettingsPath::site(), key).unsigned_abs()
    }

    /// Returns whether the host accepts callers.
    pub fn is_ready(&self) -> bool {
        let configured = self.settings.revision() > 0 && self.progress.settings_caught_up;
        configured && self.host_list_known && self.drain == DrainState::Serving
    }

    /// Returns the settings in force.
    pub const fn settings(&self) -> &SettingsFold {
        &self.settings
    }

    /// Returns the counters since the start.
    pub const fn counters(&self) -> &NodeCounters {
        &self.counters
    }

    /// Returns the timeline.
    pub const fn timeline(&self) -> &TimelineBuffer {
        &self.timeline
    }

    /// Returns the controllers of the engines that this host owns or may own.
    pub fn engine_controllers(&self) -> impl Iterator<Item = &EngineController> {
        self.controllers.values()
    }

    /// Returns the table of the site's hosts.
    pub const fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Counts the open requests.
    pub fn open_count(&self) -> usize {
        self.open_requests.len()
    }
}

impl NodeCore {
    /// Returns whether a request is open.
    pub fn is_open(&self, request: RequestId) -> bool {
        self.open_requests.contains_key(&request)
    }
}
