//! The lives of hosts, and what they read from log and host list.

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
    site::{Arrival, FakeSite, POLL, SiteMutation, TICK, WALL_START},
};

impl FakeSite {
    /// Starts a host's next life.
    pub(crate) fn start_host(&mut self, id: HostId) {
        let reading = self.reading(id);
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if host.core.is_some() {
            return;
        }
        host.life += 1;
        host.best_revision = host.best_revision.max(host.last_revision);
        host.last_revision = 0;
        host.frozen = false;
        host.drained = false;
        host.waiting.clear();
        host.exchanges.clear();
        host.follows.clear();
        host.hosts_version = 0;
        let incarnation = WALL_START + self.now + 1;
        let config = NodeConfig::new(id, host.hall, incarnation)
            .peer_address(format!("host-{id}"))
            .seed(self.shape.seed ^ u64::from(id) ^ (host.life << 32))
            .times(self.shape.times)
            .policy(Arc::clone(&self.shape.policy));
        host.incarnation = incarnation;
        let life = host.life;
        let mut core = NodeCore::new(config);
        let orders = core.start(reading);
        host.core = Some(core);
        self.carry_out(id, orders);
        let jitter = self.rng.random_range(0..TICK);
        self.push(jitter, Arrival::Tick(id, life));
        self.push(jitter / 2, Arrival::Poll(id, life));
    }

    /// Ends a host's life at once. Callers and backend servers see their connections close.
    pub(crate) fn kill_host(&mut self, id: HostId) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        host.core = None;
        host.frozen = false;
        host.exchanges.clear();
        host.waiting.clear();
        for caller in self.evidence.callers.values_mut() {
            if caller.host == id && caller.outcome.is_none() {
                caller.disconnected = true;
            }
        }
    }

    pub(crate) fn tick(&mut self, id: HostId, life: u64) {
        let Some(host) = self.hosts.get(&id).filter(|host| host.life == life) else { return };
        if host.core.is_none() {
            return;
        }
        let runs = host.runs();
        self.push(TICK, Arrival::Tick(id, life));
        if runs {
            self.handle(id, NodeEvent::Tick);
        }
    }

    pub(crate) fn poll(&mut self, id: HostId, life: u64) {
        let Some(host) = self.hosts.get(&id).filter(|host| host.life == life) else { return };
        if host.core.is_none() {
            return;
        }
        self.push(POLL, Arrival::Poll(id, life));
        for stream in LogStream::ALL {
            self.read_log(id, life, stream);
        }
        self.read_hosts(id, life);
    }

    /// Says whether a host reaches the platform.
    pub(crate) fn reaches_platform(&self, id: HostId) -> bool {
        let hall = self.hosts.get(&id).map(|host| host.hall);
        hall.is_some_and(|hall| !self.active.cut_halls.contains(&hall))
    }

    pub(crate) fn read_log(&mut self, id: HostId, life: u64, stream: LogStream) {
        let slow = if self.active.log_slow > 0 { 2_500 } else { 1 };
        let away = self.active.log_away > 0 || !self.reaches_platform(id);
        let mutation = self.shape.mutation;
        let Some(host) = self.hosts.get_mut(&id).filter(|host| host.life == life) else { return };
        let Some(from) = host.follows.get(&stream).copied() else { return };
        if away {
            let event = NodeEvent::LogUnavailable(stream);
            self.push(1, Arrival::Input(id, life, HostInput::Event(event)));
            return;
        }
        let (mut records, end) = self.log.read(stream, from);
        if let Some(last) = records.last() {
            host.follows.insert(stream, last.offset + 1);
        }
        if mutation == Some(SiteMutation::ShuffleSettings) && stream == LogStream::Settings {
            swap_payloads(&mut records, id);
        }
        if mutation == Some(SiteMutation::OwnClaimsFirst) && stream == LogStream::Claims {
            own_claims_only(&mut records, id);
        }
        if !records.is_empty() {
            match stream {
                LogStream::Claims => self.step(StepKind::ClaimReads, Some(id), None, None),
                LogStream::Settings => self.step(StepKind::PublicationReads, Some(id), None, None),
                LogStream::Snapshots => {}
            }
        }
        let (era, first) = (self.log.era, self.log.first(stream));
        let event = NodeEvent::LogRead { stream, era, first, records, end };
        self.push(slow, Arrival::Input(id, life, HostInput::Event(event)));
    }

    pub(crate) fn read_hosts(&mut self, id: HostId, life: u64) {
        if self.active.hosts_stale > 0 || !self.reaches_platform(id) {
            return;
        }
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let shown = self.host_changes.iter().take_while(|(at, _)| *at <= now).count();
        let fresh: Vec<HostListChange> = self.host_changes[host.hosts_version.min(shown)..shown]
            .iter()
            .map(|(_, change)| change.clone())
            .collect();
        host.hosts_version = shown;
        for change in fresh {
            let event = NodeEvent::HostListChanged(change);
            self.push(1, Arrival::Input(id, life, HostInput::Event(event)));
        }
    }
}

/// Gives every other host a stream in which neighbours changed places.
fn swap_payloads(records: &mut [LogRecord], host: HostId) {
    if host.is_multiple_of(2) {
        return;
    }
    for pair in records.chunks_exact_mut(2) {
        let (left, right) = pair.split_at_mut(1);
        std::mem::swap(&mut left[0].payload, &mut right[0].payload);
    }
}

/// Leaves a host nothing but its own claims.
fn own_claims_only(records: &mut [LogRecord], host: HostId) {
    let own = format!("\"request\":\"{host:x}");
    for record in records {
        let text = String::from_utf8_lossy(&record.payload).into_owned();
        if !text.contains(&own) {
            record.payload = b"{\"format\":1}".to_vec();
        }
    }
}
