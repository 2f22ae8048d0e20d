//! Appends, publications, and what scripts have done to hosts and engines.

use reelreel_core::{
    NodeEvent,
    engine::OrderResult,
    id::{EngineId, HallId, HostId, RequestId},
    node::{AppendResult, HostEntry, HostKind, HostListChange, LogStream},
    settings::ChangeRecord,
};

use crate::{
    fault::{FaultKind, PlannedFault, StepKind},
    host::HostInput,
    site::{Arrival, FAR, FakeSite, FaultTarget, NEAR, SiteAction, SiteMutation, WALL_START},
};

/// Plans a fault that a script lets strike, whatever the step.
const fn at_once(fault: FaultKind, duration_ms: u64) -> PlannedFault {
    PlannedFault { fault, step: StepKind::LoadBegins, nth: 0, duration_ms }
}

impl FakeSite {
    fn host_in(&self, hall: Option<HallId>) -> Option<HostId> {
        self.hosts.values().find(|host| Some(host.hall) == hall).map(|host| host.host)
    }

    pub(crate) fn append(
        &mut self,
        id: HostId,
        life: u64,
        stream: LogStream,
        payload: Vec<u8>,
        ticket: u64,
    ) {
        let result = if self.active.log_away > 0 || !self.reaches_platform(id) {
            // The platform can not be reached at all, so nothing is written.
            AppendResult::Refused
        } else {
            if stream == LogStream::Claims {
                self.step(StepKind::ClaimAppends, Some(id), None, None);
            }
            self.log.append(stream, payload, WALL_START + self.now);
            self.wake_readers(stream);
            if self.active.append_lost > 0 { AppendResult::NoAnswer } else { AppendResult::Written }
        };
        let delay = if result == AppendResult::NoAnswer { 3_000 } else { 2 };
        let event = NodeEvent::AppendEnded { ticket, result };
        self.push(delay, Arrival::Input(id, life, HostInput::Event(event)));
    }

    /// Readers that wait at the end of a stream get new records at once.
    pub(crate) fn wake_readers(&mut self, stream: LogStream) {
        let readers: Vec<(HostId, u64)> =
            self.hosts.values().map(|host| (host.host, host.life)).collect();
        for (host, life) in readers {
            self.push(FAR, Arrival::ReadLog(host, life, stream));
        }
    }

    /// Publishes a change into the log.
    pub fn publish(&mut self, record: &ChangeRecord) {
        self.step(StepKind::PublicationAppends, None, None, None);
        let payload = serde_json::to_vec(record).unwrap_or_default();
        let before = self.reference.revision();
        self.log.append(LogStream::Settings, payload, WALL_START + self.now);
        let (records, _) = self.log.read(LogStream::Settings, self.reference.next_offset());
        for record in records {
            self.reference.fold(record);
        }
        let after = self.reference.revision();
        if after > before {
            self.evidence.accepted_at.insert(after, self.now);
        }
        self.wake_readers(LogStream::Settings);
    }

    pub(crate) fn act(&mut self, action: SiteAction) {
        match action {
            SiteAction::Publish(record) => self.publish(&record),
            SiteAction::DrainHost(id) => {
                self.step(StepKind::HostDrainBegins, Some(id), None, None);
                let life = self.hosts.get(&id).map_or(0, |host| host.life);
                if self.shape.mutation == Some(SiteMutation::ExitAtOnce) {
                    self.host_stopped(id);
                    return;
                }
                self.input(id, life, HostInput::Event(NodeEvent::StopRequested));
            }
            SiteAction::DrainEngine(engine) => self.leave_engine(engine),
            SiteAction::KillHost(id, back) => {
                self.kill_host(id);
                self.push(back, Arrival::Return(id));
            }
            SiteAction::RestartEngine(engine) => self.restart_engine(engine),
            SiteAction::StoreUnavailable(millis) => {
                self.begin_fault(
                    at_once(FaultKind::StoreUnavailable, millis),
                    FaultTarget::default(),
                );
            }
            SiteAction::PartitionHall(hall, millis) => {
                let hall = Some(hall);
                let target = FaultTarget { hall, host: self.host_in(hall), ..Default::default() };
                self.begin_fault(at_once(FaultKind::HallPartitioned, millis), target);
            }
        }
    }

    pub(crate) fn leave_engine(&mut self, engine: EngineId) {
        let now = self.now;
        let hide = self.shape.mutation == Some(SiteMutation::HideLeaving);
        let Some(fake) = self.engines.get_mut(&engine) else { return };
        if fake.leaving.is_some() {
            return;
        }
        fake.leaving = Some(now);
        fake.changed(now);
        let kind = HostKind::Engine(fake.info());
        self.step(StepKind::EngineDrainBegins, None, Some(engine), None);
        if !hide {
            let entries = vec![HostEntry { kind, leaving: true }];
            self.change_hosts(HostListChange { entries, ..HostListChange::default() });
        }
        self.push(6_000, Arrival::EngineGone(engine));
    }

    /// A leaving engine goes away once nothing runs on it.
    pub(crate) fn engine_gone(&mut self, engine: EngineId) {
        let Some(fake) = self.engines.get_mut(&engine) else { return };
        if fake.leaving.is_none() {
            return;
        }
        if !fake.running.is_empty() {
            self.push(500, Arrival::EngineGone(engine));
            return;
        }
        fake.gone = true;
        let removed_engines = vec![engine];
        self.change_hosts(HostListChange { removed_engines, ..HostListChange::default() });
        self.push(10_000, Arrival::EngineBack(engine));
    }

    pub(crate) fn engine_back(&mut self, engine: EngineId) {
        self.restart_engine(engine);
        let Some(fake) = self.engines.get(&engine) else { return };
        let entries = vec![HostEntry { kind: HostKind::Engine(fake.info()), leaving: false }];
        self.change_hosts(HostListChange { entries, ..HostListChange::default() });
    }

    pub(crate) fn restart_engine(&mut self, engine: EngineId) {
        let now = self.now;
        self.note_busy(engine);
        let Some(fake) = self.engines.get_mut(&engine) else { return };
        let (cut, loads) = fake.restart(now);
        for load in loads {
            self.store.drop_load(load, now);
            if let Some((id, life, order)) = self.store_loads.remove(&load) {
                self.order_result(id, life, order, OrderResult::NoAnswer, NEAR);
            }
        }
        self.cut(cut);
    }

    pub(crate) fn host_stopped(&mut self, id: HostId) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        host.drained = true;
        let open: Vec<RequestId> = host
            .exchanges
            .iter()
            .filter(|(_, exchange)| exchange.run.is_some())
            .map(|(request, _)| *request)
            .collect();
        let cut = open.into_iter().filter(|request| {
            self.evidence.callers.get(request).is_some_and(|caller| caller.outcome.is_none())
        });
        self.evidence.cut_by_stop.extend(cut);
        self.kill_host(id);
        self.push(15_000, Arrival::Return(id));
    }
}
