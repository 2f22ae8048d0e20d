//! Starts and stops of hosts, and their reads of the log and the host list.

use std::sync::Arc;

use rand::RngExt;
use reelreel_core::{
    NodeConfig, NodeCore, NodeEvent,
    id::HostId,
    node::{HostListChange, LogStream},
    settings::fold::LogRecord,
};

use crate::{
    fault::StepKind,
    host::HostInput,
    site::{
        FakeSite, POLL_INTERVAL_MS, SiteEvent, SiteMutation, TICK_INTERVAL_MS, WALL_CLOCK_START_MS,
    },
};

impl FakeSite {
    /// Starts a host, unless it runs.
    pub(crate) fn start_host(&mut self, id: HostId) {
        let reading = self.clock_reading(id);
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if host.core.is_some() {
            return;
        }
        host.generation += 1;
        host.highest_past_revision = host.highest_past_revision.max(host.last_revision);
        host.last_revision = 0;
        host.frozen = false;
        host.drained = false;
        host.queued_inputs.clear();
        host.exchanges.clear();
        host.read_offsets.clear();
        host.host_list_version = 0;
        let incarnation = WALL_CLOCK_START_MS + self.now + 1;
        let config = NodeConfig::new(id, host.hall, incarnation)
            .peer_address(format!("host-{id}"))
            .seed(self.config.seed ^ u64::from(id) ^ (host.generation << 32))
            .times(self.config.times)
            .policy(Arc::clone(&self.config.policy));
        host.incarnation = incarnation;
        let generation = host.generation;
        let mut core = NodeCore::new(config);
        let actions = core.start(reading);
        host.core = Some(core);
        self.execute_core_actions(id, actions);
        let jitter = self.rng.random_range(0..TICK_INTERVAL_MS);
        self.push(jitter, SiteEvent::Tick(id, generation));
        self.push(jitter / 2, SiteEvent::Poll(id, generation));
    }

    /// Kills a host. Callers without an outcome are disconnected.
    pub(crate) fn kill_host(&mut self, id: HostId) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        host.core = None;
        host.frozen = false;
        host.exchanges.clear();
        host.queued_inputs.clear();
        for caller in self.evidence.callers.values_mut() {
            if caller.host == id && caller.outcome.is_none() {
                caller.disconnected = true;
            }
        }
    }

    pub(crate) fn tick(&mut self, id: HostId, generation: u64) {
        let Some(host) = self.hosts.get(&id).filter(|host| host.generation == generation) else {
            return;
        };
        if host.core.is_none() {
            return;
        }
        let runs = host.is_running();
        self.push(TICK_INTERVAL_MS, SiteEvent::Tick(id, generation));
        if runs {
            self.handle_core_event(id, NodeEvent::Tick);
        }
    }

    pub(crate) fn poll(&mut self, id: HostId, generation: u64) {
        let Some(host) = self.hosts.get(&id).filter(|host| host.generation == generation) else {
            return;
        };
        if host.core.is_none() {
            return;
        }
        self.push(POLL_INTERVAL_MS, SiteEvent::Poll(id, generation));
        for stream in LogStream::ALL {
            self.read_log(id, generation, stream);
        }
        self.read_hosts(id, generation);
    }

    /// Returns whether a host can reach the platform.
    pub(crate) fn reaches_platform(&self, id: HostId) -> bool {
        let hall = self.hosts.get(&id).map(|host| host.hall);
        hall.is_some_and(|hall| !self.active.partitioned_halls.contains(&hall))
    }

    pub(crate) fn read_log(&mut self, id: HostId, generation: u64, stream: LogStream) {
        let delay = if self.active.log_slow > 0 { 2_500 } else { 1 };
        let unavailable = self.active.log_unavailable > 0 || !self.reaches_platform(id);
        let mutation = self.config.mutation;
        let Some(host) = self.hosts.get_mut(&id).filter(|host| host.generation == generation)
        else {
            return;
        };
        let Some(from) = host.read_offsets.get(&stream).copied() else { return };
        if unavailable {
            let event = NodeEvent::LogUnavailable(stream);
            self.push(1, SiteEvent::Input(id, generation, HostInput::Event(event)));
            return;
        }
        let (mut records, end) = self.log.read(stream, from);
        if let Some(last) = records.last() {
            host.read_offsets.insert(stream, last.offset + 1);
        }
        if mutation == Some(SiteMutation::ShuffleSettings) && stream == LogStream::Settings {
            swap_adjacent_payloads(&mut records, id);
        }
        if mutation == Some(SiteMutation::OwnClaimsFirst) && stream == LogStream::Claims {
            keep_own_claims(&mut records, id);
        }
        if !records.is_empty() {
            match stream {
                LogStream::Claims => self.record_step(StepKind::ClaimReads, Some(id), None, None),
                LogStream::Settings => {
                    self.record_step(StepKind::PublicationReads, Some(id), None, None);
                }
                LogStream::Snapshots => {}
            }
        }
        let (era, first) = (self.log.era, self.log.first(stream));
        let event = NodeEvent::LogRead { stream, era, first, records, end };
        self.push(delay, SiteEvent::Input(id, generation, HostInput::Event(event)));
    }

    pub(crate) fn read_hosts(&mut self, id: HostId, generation: u64) {
        if self.active.host_list_stale > 0 || !self.reaches_platform(id) {
            return;
        }
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let visible_count = self.host_changes.iter().take_while(|(at, _)| *at <= now).count();
        let new_changes: Vec<HostListChange> = self.host_changes
            [host.host_list_version.min(visible_count)..visible_count]
            .iter()
            .map(|(_, change)| change.clone())
            .collect();
        host.host_list_version = visible_count;
        for change in new_changes {
            let event = NodeEvent::HostListChanged(change);
            self.push(1, SiteEvent::Input(id, generation, HostInput::Event(event)));
        }
    }
}

/// Swaps adjacent payloads in what hosts with an odd ID read.
fn swap_adjacent_payloads(records: &mut [LogRecord], host: HostId) {
    if host.is_multiple_of(2) {
        return;
    }
    for pair in records.chunks_exact_mut(2) {
        let (left, right) = pair.split_at_mut(1);
        std::mem::swap(&mut left[0].payload, &mut right[0].payload);
    }
}

/// Replaces the claims of other hosts with empty records.
fn keep_own_claims(records: &mut [LogRecord], host: HostId) {
    let own = format!("\"request\":\"{host:x}");
    for record in records {
        let text = String::from_utf8_lossy(&record.payload).into_owned();
        if !text.contains(&own) {
            record.payload = b"{\"format\":1}".to_vec();
        }
    }
}
