//! Passes on what was read from the store, so that only a few hosts read it.
//!
//! The owners of some partitions of the group read the store. All other hosts follow one of them,
//! and read the store themselves only while they cannot. A reader passes on each change at once and
//! sends heartbeats; when it can no longer confirm that it is up to date, it disconnects its
//! followers. Only successful reads of each topic make a host a reader: other successful calls to
//! the store do not prove that it has read the latest state.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use reelreel_core::{
    ClockMillis,
    clock::duration_millis,
    placement::{
        candidacy::reader_partitions,
        graded_group::{CapacityGrade, GradedGroup},
    },
};
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    control::state::ControlState,
    events::HostEvent,
    peers::engine_messages::{EngineUpdate, encode_engines},
    peers::frame::{EncodedFrame, FrameBody},
    peers::state_frames::{KeyedRecordMessage, PartitionOwnerMessage, StateFrame},
    store::membership::GroupMember,
};

/// Interval of a reader's frames when nothing has changed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// How long a host keeps reading for others after it lost its reader partition, so that its
/// followers need not all reconnect whenever the group changes.
const READER_GRACE_PERIOD: Duration = Duration::from_secs(8);

/// The changes that a reader passes on, and its followers.
#[derive(Default)]
pub struct FollowerFeed {
    followers: Vec<mpsc::Sender<EncodedFrame>>,
    pending: StateFrame,
    /// The engine entries to pass on with `pending`.
    pending_engines: Vec<EngineUpdate>,
    /// The complete state as sent to new followers. It is cached until something changes, because
    /// many hosts start to follow at once when a fleet starts or a reader is lost.
    full_frame: Option<EncodedFrame>,
    sent_at: ClockMillis,
    /// Whether the log shows this host as a reader.
    logged_as_reader: bool,
}

impl FollowerFeed {
    /// Queues a record of the configuration for the followers.
    pub fn queue_record(&mut self, record: KeyedRecordMessage) {
        self.full_frame = None;
        if !self.followers.is_empty() {
            self.pending.configuration.push(record);
        }
    }

    /// Queues an engine's entry for the followers.
    pub fn queue_engine(&mut self, update: EngineUpdate) {
        self.full_frame = None;
        if !self.followers.is_empty() {
            self.pending_engines.push(update);
        }
    }

    /// Queues the complete state for the followers.
    pub fn queue_all(&mut self) {
        self.full_frame = None;
        self.pending.complete = true;
    }

    fn broadcast(&mut self, frame: &EncodedFrame, now: ClockMillis) {
        // A follower whose queue is full is dropped; it reads the store or follows another reader.
        self.followers.retain(|follower| follower.try_send(frame.clone()).is_ok());
        self.sent_at = now;
    }
}

impl ControlState {
    /// Returns whether this host has read the store recently and passes on what it reads.
    pub fn is_reader(&self) -> bool {
        let unavailable =
            self.configuration.is_unavailable() || self.engine_records.is_unavailable();
        self.reads_store() && self.is_complete() && !unavailable
    }

    /// Returns whether this host should read the store itself: it is an assigned reader and the
    /// store responds.
    ///
    /// Until its own reads succeed it may also follow another reader.
    pub fn reads_store(&self) -> bool {
        self.is_assigned_reader() && self.store_health.is_fresh(self.shared.clock.now())
    }

    /// Returns whether the group assigns this host to read the store for others, regardless of
    /// whether it can.
    pub fn is_assigned_reader(&self) -> bool {
        self.shared.clock.now() < self.reader_until
    }

    /// Applies the partitions assigned by a join that was sent at `sent`.
    pub(super) fn handle_assignment(&mut self, partitions: &[u32], sent: ClockMillis) {
        let mut readers = reader_partitions(self.shared.profile.partitions);
        if readers.any(|partition| partitions.contains(&partition)) {
            self.reader_until = sent + READER_GRACE_PERIOD;
        }
    }

    /// Stops being a reader, so that followers connect to another one before this host stops.
    pub const fn stop_reading(&mut self) {
        self.reader_until = ClockMillis::from_millis(0);
    }

    /// Returns the addresses of the other readers, in this host's order of preference.
    pub fn other_readers(&self) -> Vec<SocketAddr> {
        let own_address = self.shared.profile.peer_address;
        let partitions = reader_partitions(self.shared.profile.partitions);
        let owners = partitions.filter_map(|partition| self.owners.get(&partition));
        let mut readers: Vec<SocketAddr> = owners.map(|owner| owner.address).collect();
        readers.retain(|reader| *reader != own_address);
        readers.sort_unstable();
        readers.dedup();
        let name = &self.shared.profile.name;
        readers.sort_by_key(|reader| xxh3_64(format!("{name} {reader}").as_bytes()));
        readers
    }

    /// Adds a follower; returns false if this host is not a reader.
    ///
    /// `requested_at` is the time of the follower's clock when it sent the request.
    pub fn add_follower(
        &mut self,
        follower: mpsc::Sender<EncodedFrame>,
        requested_at: u64,
    ) -> bool {
        if !self.is_reader() {
            return false;
        }
        let clock = self.clock_frame(requested_at);
        let full = self.full_frame();
        let sent = follower.try_send(FrameBody::State(clock).encoded()).is_ok()
            && follower.try_send(full).is_ok();
        if sent {
            self.feed.followers.push(follower);
        }
        sent
    }

    /// Returns the complete state, encoded once until it changes.
    ///
    /// It does not say how recent it is, or whether it is verified; the next heartbeat does.
    fn full_frame(&mut self) -> EncodedFrame {
        if let Some(full) = &self.feed.full_frame {
            return full.clone();
        }
        let frame = StateFrame { confirmed_at: 0, verified: false, ..self.state_frame() };
        let full = FrameBody::State(frame).encoded();
        self.feed.full_frame = Some(full.clone());
        full
    }

    /// Logs when this host starts or stops being a reader, with the age of its configuration.
    fn log_reader_change(&mut self, now: ClockMillis) {
        let is_reader = self.is_reader();
        if std::mem::replace(&mut self.feed.logged_as_reader, is_reader) != is_reader {
            let age =
                self.confirmed_at().map(|confirmed_at| duration_millis(now.since(confirmed_at)));
            self.shared.events.write(HostEvent::Reading { reads: is_reader, age });
        }
    }

    /// Sends the queued changes to the followers, or a heartbeat.
    pub fn tick_feed(&mut self, now: ClockMillis) {
        self.log_reader_change(now);
        if self.feed.followers.is_empty() {
            self.feed.pending = StateFrame::default();
            self.feed.pending_engines.clear();
            return;
        }
        if !self.is_reader() {
            self.feed.followers.clear();
            return;
        }
        let pending = std::mem::take(&mut self.feed.pending);
        let engines = std::mem::take(&mut self.feed.pending_engines);
        let changed = pending != StateFrame::default() || !engines.is_empty();
        if !changed && now.since(self.feed.sent_at) < HEARTBEAT_INTERVAL {
            return;
        }
        let frame = if pending.complete {
            self.state_frame()
        } else {
            let (names, engines) = encode_engines(&engines);
            let StateFrame { confirmed_at, era, verified, .. } = self.freshness_frame();
            StateFrame { confirmed_at, names, engines, era, verified, ..pending }
        };
        self.feed.broadcast(&FrameBody::State(frame).encoded(), now);
    }

    /// Returns the complete state, for a peer whose clock showed `requested_at` when it sent the
    /// request.
    pub fn response_frame(&self, requested_at: u64) -> StateFrame {
        StateFrame { clock: Some(self.clock_message(requested_at)), ..self.state_frame() }
    }

    /// Returns the response to a peer that asks whether this host's state is verified.
    pub fn verification_frame(&self) -> StateFrame {
        StateFrame { confirmed_at: 0, ..self.freshness_frame() }
    }

    /// Queues the owners of the partitions for the followers.
    pub fn queue_owners(&mut self) {
        self.feed.full_frame = None;
        self.feed.pending.owners = self.owner_messages();
    }

    /// Returns the owners of the partitions in the form that is sent to peers.
    pub fn owner_messages(&self) -> Vec<PartitionOwnerMessage> {
        let owners = self.owners.iter();
        owners
            .map(|(partition, host)| PartitionOwnerMessage {
                partition: *partition,
                member: host.to_string(),
            })
            .collect()
    }

    /// Sets whether this host follows a reader and so need not read the store.
    pub fn set_following(&self, is_following: bool) {
        self.shared.metrics.following.set(i64::from(is_following));
        self.following.send_if_modified(|following| {
            std::mem::replace(following, is_following) != is_following
        });
    }

    /// Returns whether this host should join the group with its present members.
    ///
    /// An isolated host can't give orders to engines.
    pub fn should_join(&self) -> bool {
        if self.shared.links.is_isolated() {
            return false;
        }
        if self.selects_by_grade() {
            return self.graded_group().should_join();
        }
        self.shared.profile.capacity.should_join(self.members().len(), self.high_capacity_members())
    }

    /// Returns whether the group does not need this host as a member.
    pub fn should_leave(&self) -> bool {
        if self.selects_by_grade() {
            return self.graded_group().should_leave();
        }
        self.shared.profile.capacity.should_leave(self.high_capacity_members())
    }

    /// Returns whether members of the group are selected by their capacity.
    pub fn selects_by_grade(&self) -> bool {
        self.routes.as_ref().is_some_and(|routes| routes.has_tight_timeouts())
    }

    /// Returns this host's view of the group by capacity.
    pub fn graded_group(&self) -> GradedGroup {
        let profile = &self.shared.profile;
        let members = self.owners.values().map(|owner| (owner.address, owner.known_grade()));
        let own_grade = CapacityGrade::new(profile.capacity);
        GradedGroup::new(profile.peer_address, own_grade, members, profile.partitions)
    }

    /// Returns the number of group members with high capacity.
    fn high_capacity_members(&self) -> usize {
        self.members().iter().filter(|member| member.strong).count()
    }

    fn members(&self) -> BTreeSet<GroupMember> {
        self.owners.values().copied().collect()
    }
}
