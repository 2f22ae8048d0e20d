//! Appends to the log, publications, and the scripted actions on hosts and engines.

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
    site::{
        FakeSite, FaultTarget, HALL_DELAY_MS, INTER_HALL_DELAY_MS, SiteAction, SiteEvent,
        SiteMutation, WALL_CLOCK_START_MS,
    },
};

/// Creates a fault that a script injects directly; its step and occurrence are not used.
const fn immediate_fault(fault: FaultKind, duration_ms: u64) -> PlannedFault {
    PlannedFault { fault, step: StepKind::LoadBegins, nth: 0, duration_ms }
}

impl FakeSite {
    fn any_host_in(&self, hall: Option<HallId>) -> Option<HostId> {
        self.hosts.values().find(|host| Some(host.hall) == hall).map(|host| host.host)
    }

    pub(crate) fn append(
        &mut self,
        id: HostId,
        generation: u64,
        stream: LogStream,
        payload: Vec<u8>,
        ticket: u64,
    ) {
        let result = if self.active.log_unavailable > 0 || !self.reaches_platform(id) {
            // The platform is unreachable, so the record is certainly not written.
            AppendResult::Refused
        } else {
            if stream == LogStream::Claims {
                self.record_step(StepKind::ClaimAppends, Some(id), None, None);
            }
            self.log.append(stream, payload, WALL_CLOCK_START_MS + self.now);
            self.notify_readers(stream);
            if self.active.append_answer_lost > 0 {
                AppendResult::NoAnswer
            } else {
                AppendResult::Written
            }
        };
        let delay = if result == AppendResult::NoAnswer { 3_000 } else { 2 };
        let event = NodeEvent::AppendEnded { ticket, result };
        self.push(delay, SiteEvent::Input(id, generation, HostInput::Event(event)));
    }

    /// Schedules a read of the stream for every host, so that followers get new records at once.
    pub(crate) fn notify_readers(&mut self, stream: LogStream) {
        let readers: Vec<(HostId, u64)> =
            self.hosts.values().map(|host| (host.host, host.generation)).collect();
        for (host, generation) in readers {
            self.push(INTER_HALL_DELAY_MS, SiteEvent::ReadLog(host, generation, stream));
        }
    }

    /// Appends a change to the settings stream.
    pub fn publish(&mut self, record: &ChangeRecord) {
        self.record_step(StepKind::PublicationAppends, None, None, None);
        let payload = serde_json::to_vec(record).unwrap_or_default();
        let before = self.reference.revision();
        self.log.append(LogStream::Settings, payload, WALL_CLOCK_START_MS + self.now);
        let (records, _) = self.log.read(LogStream::Settings, self.reference.next_offset());
        for record in records {
            self.reference.fold(record);
        }
        let after = self.reference.revision();
        if after > before {
            self.evidence.accepted_at.insert(after, self.now);
        }
        self.notify_readers(LogStream::Settings);
    }

    pub(crate) fn execute_action(&mut self, action: SiteAction) {
        match action {
            SiteAction::Publish(record) => self.publish(&record),
            SiteAction::DrainHost(id) => {
                self.record_step(StepKind::HostDrainBegins, Some(id), None, None);
                let generation = self.hosts.get(&id).map_or(0, |host| host.generation);
                if self.config.mutation == Some(SiteMutation::ExitAtOnce) {
                    self.host_stopped(id);
                    return;
                }
                self.deliver_input(id, generation, HostInput::Event(NodeEvent::StopRequested));
            }
            SiteAction::DrainEngine(engine) => self.drain_engine(engine),
            SiteAction::KillHost(id, back) => {
                self.kill_host(id);
                self.push(back, SiteEvent::StartHost(id));
            }
            SiteAction::RestartEngine(engine) => self.restart_engine(engine),
            SiteAction::StoreUnavailable(millis) => {
                self.begin_fault(
                    immediate_fault(FaultKind::StoreUnavailable, millis),
                    FaultTarget::default(),
                );
            }
            SiteAction::PartitionHall(hall, millis) => {
                let hall = Some(hall);
                let target =
                    FaultTarget { hall, host: self.any_host_in(hall), ..Default::default() };
                self.begin_fault(immediate_fault(FaultKind::HallPartitioned, millis), target);
            }
        }
    }

    pub(crate) fn drain_engine(&mut self, engine: EngineId) {
        let now = self.now;
        let hide = self.config.mutation == Some(SiteMutation::HideLeaving);
        let Some(fake) = self.engines.get_mut(&engine) else { return };
        if fake.leaving_since.is_some() {
            return;
        }
        fake.leaving_since = Some(now);
        fake.record_change(now);
        let kind = HostKind::Engine(fake.info());
        self.record_step(StepKind::EngineDrainBegins, None, Some(engine), None);
        if !hide {
            let entries = vec![HostEntry { kind, leaving: true }];
            self.change_host_list(HostListChange { entries, ..HostListChange::default() });
        }
        self.push(6_000, SiteEvent::RemoveEngine(engine));
    }

    /// Removes a leaving engine from the host list once no request runs on it.
    pub(crate) fn remove_drained_engine(&mut self, engine: EngineId) {
        let Some(fake) = self.engines.get_mut(&engine) else { return };
        if fake.leaving_since.is_none() {
            return;
        }
        if !fake.running.is_empty() {
            self.push(500, SiteEvent::RemoveEngine(engine));
            return;
        }
        fake.removed = true;
        let removed_engines = vec![engine];
        self.change_host_list(HostListChange { removed_engines, ..HostListChange::default() });
        self.push(10_000, SiteEvent::ReturnEngine(engine));
    }

    pub(crate) fn return_engine(&mut self, engine: EngineId) {
        self.restart_engine(engine);
        let Some(fake) = self.engines.get(&engine) else { return };
        let entries = vec![HostEntry { kind: HostKind::Engine(fake.info()), leaving: false }];
        self.change_host_list(HostListChange { entries, ..HostListChange::default() });
    }

    pub(crate) fn restart_engine(&mut self, engine: EngineId) {
        let now = self.now;
        self.record_busy_time(engine);
        let Some(fake) = self.engines.get_mut(&engine) else { return };
        let (interrupted, loads) = fake.restart(now);
        for load in loads {
            self.store.drop_load(load, now);
            if let Some((id, generation, order)) = self.store_loads.remove(&load) {
                self.order_result(id, generation, order, OrderResult::NoAnswer, HALL_DELAY_MS);
            }
        }
        self.interrupt_requests(interrupted);
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
        let interrupted = open.into_iter().filter(|request| {
            self.evidence.callers.get(request).is_some_and(|caller| caller.outcome.is_none())
        });
        self.evidence.interrupted_by_stop.extend(interrupted);
        self.kill_host(id);
        self.push(15_000, SiteEvent::StartHost(id));
    }
}
