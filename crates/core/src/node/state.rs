//! The state of one host and the way every event takes through it.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    chart::{DrainState, MemberState},
    claim::{ClaimBook, ClaimFold},
    clock::ClockMillis,
    engine::EngineControl,
    gossip::GossipQueue,
    id::{EngineId, HostId, RequestId},
    limit::RetryBudget,
    load::LoadScheduler,
    member::{MemberTable, MemberUpdate},
    message::PeerMessage,
    node::{
        LogStream, NodeConfig, NodeCounters, NodeEvent, NodeOrder, NodeReading, open::OpenRequest,
        table::BackendTable,
    },
    settings::{SettingKey, SettingsFold, SettingsPath},
    timeline::TimelineBuffer,
};

/// What is known of how far the log's streams have been read.
#[derive(Debug, Default)]
pub(super) struct LogProgress {
    /// The end of the settings stream was reached, or a peer confirmed that we have all it has.
    pub(super) settings_confirmed: bool,
    /// The end of the claims stream was reached once.
    pub(super) claims_read: bool,
    /// The claims stream can not be read or appended to at present.
    pub(super) claims_away: bool,
    /// Until when no key can be claimed, since the log may have lost claims that hosts tell it again.
    pub(super) claims_settle: ClockMillis,
    /// The offset that the newest snapshot in the log covers.
    pub(super) snapshot_offset: u64,
    /// When this host last wrote a snapshot, or began.
    pub(super) snapshot_at: ClockMillis,
    /// A snapshot's append is under way.
    pub(super) snapshot_ticket: Option<u64>,
    /// The next ticket of an append that is not of claims.
    pub(super) next_ticket: u64,
    /// When peers were last asked for settings.
    pub(super) pulled_at: ClockMillis,
}

impl LogProgress {
    /// Says whether idempotency keys can be claimed now.
    pub(super) fn claims_open(&self, now: ClockMillis) -> bool {
        self.claims_read && !self.claims_away && now >= self.claims_settle
    }
}

/// One entry host.
pub struct NodeCore {
    pub(super) config: NodeConfig,
    pub(super) reading: NodeReading,
    pub(super) rng: Pcg64Mcg,
    pub(super) fold: SettingsFold,
    pub(super) claims: ClaimFold,
    pub(super) book: ClaimBook,
    pub(super) progress: LogProgress,
    pub(super) members: MemberTable,
    pub(super) member_gossip: GossipQueue<HostId>,
    pub(super) digest_gossip: GossipQueue<EngineId>,
    pub(super) backends: BackendTable,
    pub(super) controls: BTreeMap<EngineId, EngineControl>,
    pub(super) report_due: BTreeMap<EngineId, ClockMillis>,
    pub(super) turns: LoadScheduler,
    pub(super) turns_host: HostId,
    pub(super) open: BTreeMap<RequestId, OpenRequest>,
    pub(super) timers: BTreeSet<(ClockMillis, RequestId)>,
    pub(super) retries: RetryBudget,
    pub(super) drain: DrainState,
    pub(super) drain_since: ClockMillis,
    pub(super) timeline: TimelineBuffer,
    pub(super) counters: NodeCounters,
    pub(super) heartbeat_sequence: u64,
    pub(super) next_heartbeat: ClockMillis,
    pub(super) last_tick: Option<ClockMillis>,
    pub(super) last_sync: ClockMillis,
    pub(super) started: ClockMillis,
    pub(super) view_dirty: bool,
    /// The host list was seen, or a peer's copy of it.
    pub(super) hosts_known: bool,
    pub(super) loopback: VecDeque<PeerMessage>,
    pub(super) orders: Vec<NodeOrder>,
}

impl NodeCore {
    /// Starts a host that knows nothing but its own settings.
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
            reading: NodeReading { now: zero, wall_millis: 0 },
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            fold: SettingsFold::default(),
            claims: ClaimFold::default(),
            book: ClaimBook::new(config.times.claim_interval),
            progress: LogProgress::default(),
            members: MemberTable::new(own, config.times.member()),
            member_gossip: GossipQueue::default(),
            digest_gossip: GossipQueue::default(),
            backends: BackendTable::default(),
            controls: BTreeMap::new(),
            report_due: BTreeMap::new(),
            turns: LoadScheduler::default(),
            turns_host: config.host,
            open: BTreeMap::new(),
            timers: BTreeSet::new(),
            retries: RetryBudget::default(),
            drain: DrainState::initial(),
            drain_since: zero,
            timeline: TimelineBuffer::new(config.host),
            counters: NodeCounters::default(),
            heartbeat_sequence: 0,
            next_heartbeat: zero,
            last_tick: None,
            last_sync: zero,
            started: zero,
            view_dirty: true,
            hosts_known: false,
            loopback: VecDeque::new(),
            orders: Vec::new(),
            config,
        }
    }

    /// Returns the orders with which a host's life begins.
    pub fn start(&mut self, reading: NodeReading) -> Vec<NodeOrder> {
        self.reading = reading;
        self.started = reading.now;
        self.progress.snapshot_at = reading.now;
        self.note("host", format!("started in hall {}", self.config.hall));
        for stream in LogStream::ALL {
            self.orders.push(NodeOrder::Follow { stream, from: 0 });
        }
        std::mem::take(&mut self.orders)
    }

    /// Takes one event and returns what follows from it.
    pub fn handle(&mut self, reading: NodeReading, event: NodeEvent) -> Vec<NodeOrder> {
        self.reading = reading;
        self.take_event(event);
        while let Some(message) = self.loopback.pop_front() {
            self.take_message(self.config.host, message);
        }
        self.spread_digests();
        std::mem::take(&mut self.orders)
    }

    fn take_event(&mut self, event: NodeEvent) {
        match event {
            NodeEvent::Tick => self.tick(),
            NodeEvent::Arrived(request) => self.arrive(request),
            NodeEvent::CallerGone(request) => self.caller_gone(request),
            NodeEvent::DispatchEnded { request, ending } => self.dispatch_ended(request, ending),
            NodeEvent::Peer { from, stamp, message } => {
                self.counters.messages_received += 1;
                self.timeline.receive(stamp, self.reading.wall_millis);
                self.take_message(from, message);
            }
            NodeEvent::Report { engine, report } => self.take_report(engine, &report),
            NodeEvent::OrderEnded { order, result } => self.order_ended(&order, result),
            NodeEvent::Hosts(change) => self.take_hosts(change),
            NodeEvent::LogRead { stream, era, first, records, end } => {
                if self.in_era(era) {
                    self.log_read(stream, first, records, end);
                }
            }
            NodeEvent::LogAway(stream) => self.log_away(stream),
            NodeEvent::AppendEnded { ticket, result } => self.append_ended(ticket, result),
            NodeEvent::StopAsked => self.stop_asked(),
        }
    }

    /// Returns the time of the event being handled.
    pub(super) const fn now(&self) -> ClockMillis {
        self.reading.now
    }

    /// Sends a message to a host, itself included.
    pub(super) fn send(&mut self, to: HostId, message: PeerMessage) {
        if to == self.config.host {
            self.loopback.push_back(message);
            return;
        }
        let Some(entry) = self.members.find(to) else { return };
        let address = entry.update.address.clone();
        let stamp = self.timeline.tick(self.reading.wall_millis);
        self.counters.messages_sent += 1;
        self.orders.push(NodeOrder::Send { to, address, stamp, message });
    }

    /// Puts a line on the time line.
    pub(super) fn note(&mut self, subject: impl Into<String>, text: impl Into<String>) {
        self.timeline.record(self.reading.wall_millis, subject.into(), text.into());
    }

    /// Returns a duration between half of and one and a half times `usual`.
    pub(super) fn jitter(&mut self, usual: Duration) -> Duration {
        usual.mul_f64(self.rng.random_range(0.5..1.5))
    }

    /// Returns a fraction set for the whole site.
    pub(super) fn site_fraction(&self, key: SettingKey) -> f64 {
        self.fold.tree().float(&SettingsPath::site(), key)
    }

    /// Returns a number set for the whole site.
    pub(super) fn site_number(&self, key: SettingKey) -> u64 {
        self.fold.tree().integer(&SettingsPath::site(), key).unsigned_abs()
    }

    /// Says whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let configured = self.fold.revision() > 0 && self.progress.settings_confirmed;
        configured && self.hosts_known && self.drain == DrainState::Serving
    }

    /// Returns the settings in force.
    pub const fn settings(&self) -> &SettingsFold {
        &self.fold
    }

    /// Returns the counts since the start.
    pub const fn counters(&self) -> &NodeCounters {
        &self.counters
    }

    /// Returns the time line.
    pub const fn timeline(&self) -> &TimelineBuffer {
        &self.timeline
    }

    /// Returns the engines that this host owns or may come to own.
    pub fn controls(&self) -> impl Iterator<Item = &EngineControl> {
        self.controls.values()
    }

    /// Returns what is known of the other hosts.
    pub const fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Counts the open requests.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }
}

impl NodeCore {
    /// Says whether a request is open.
    pub fn is_open(&self, request: RequestId) -> bool {
        self.open.contains_key(&request)
    }
}
