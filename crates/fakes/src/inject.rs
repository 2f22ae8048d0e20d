//! Injection and end of faults.

use rand::RngExt;
use reelreel_core::{
    NodeEvent,
    node::{DispatchResult, LogStream},
    settings::{ChangeRecord, EditAction, SettingKey, SettingValue, SettingsEdit, SettingsPath},
};

use crate::{
    fault::{FaultKind, PlannedFault},
    host::HostInput,
    site::{FakeSite, FaultTarget, HALL_DELAY_MS, SiteAction, SiteEvent, WALL_CLOCK_START_MS},
};

/// The age of the copy from which a log is restored, in milliseconds.
const LOG_COPY_AGE_MS: u64 = 3_000;

/// When operators start to republish lost changes after a restore, in milliseconds.
const REPUBLISH_DELAY_MS: u64 = 500;

/// The maximum interval between two republished changes, in milliseconds.
const MAX_REPUBLISH_INTERVAL_MS: u64 = 2_000;

impl FakeSite {
    /// Injects a fault and schedules its end.
    pub(crate) fn begin_fault(&mut self, planned: PlannedFault, mut target: FaultTarget) {
        if target.host.is_none() {
            target.host = self.ready_host();
            target.hall = target.host.and_then(|id| self.hosts.get(&id)).map(|host| host.hall);
        }
        if target.engine.is_none_or(|engine| !self.engines.contains_key(&engine)) {
            target.engine = self.engines.keys().next().copied();
        }
        let fault_end = Some(self.now + planned.duration_ms);
        self.evidence.last_fault_end = self.evidence.last_fault_end.max(fault_end);
        self.set_fault(planned.fault, target, true);
        self.push(planned.duration_ms, SiteEvent::EndFault(planned, target));
    }

    pub(crate) fn end_fault(&mut self, planned: PlannedFault, target: FaultTarget) {
        self.set_fault(planned.fault, target, false);
        if planned.fault == FaultKind::LogRestoredOlder {
            let began = self.now.saturating_sub(planned.duration_ms);
            self.restore_older_log(began.saturating_sub(LOG_COPY_AGE_MS));
        }
    }

    /// Restores the log from a copy and schedules the republication of the lost changes.
    fn restore_older_log(&mut self, copied_at: u64) {
        let lost = self.log.restore_older_copy(WALL_CLOCK_START_MS + copied_at);
        self.reference.enter_era(self.log.era);
        let (records, _) = self.log.read(LogStream::Settings, 0);
        for record in records {
            self.reference.fold(record);
        }
        let mut delay = REPUBLISH_DELAY_MS;
        for payload in lost {
            // The settings stream holds nothing but change records.
            let Ok(record) = serde_json::from_slice(&payload) else { continue };
            delay += self.rng.random_range(1..MAX_REPUBLISH_INTERVAL_MS);
            self.push(delay, SiteEvent::Action(SiteAction::Publish(record)));
        }
        for stream in LogStream::ALL {
            self.notify_readers(stream);
        }
    }

    pub(crate) fn set_fault(&mut self, fault: FaultKind, target: FaultTarget, enabled: bool) {
        let count = |counter: &mut u32| {
            *counter = if enabled { *counter + 1 } else { counter.saturating_sub(1) };
        };
        match fault {
            FaultKind::HostKilled => self.set_host_killed(target, enabled),
            FaultKind::HostFrozen => self.set_host_frozen(target, enabled),
            FaultKind::EngineRestarted if enabled => {
                if let Some(engine) = target.engine {
                    self.restart_engine(engine);
                }
            }
            FaultKind::LoadFails => count(&mut self.active.load_fails),
            FaultKind::OrderAnswerLost => count(&mut self.active.order_answer_lost),
            FaultKind::OrderLate => count(&mut self.active.order_late),
            FaultKind::OrderAbandoned => count(&mut self.active.order_abandoned),
            FaultKind::StoreUnavailable => {
                count(&mut self.active.store_unavailable);
                self.update_store();
            }
            FaultKind::StoreSlow => {
                count(&mut self.active.store_slow);
                self.update_store();
            }
            FaultKind::LogUnavailable | FaultKind::LogRestoredOlder => {
                count(&mut self.active.log_unavailable);
            }
            FaultKind::LogSlow => count(&mut self.active.log_slow),
            FaultKind::AppendAnswerLost => count(&mut self.active.append_answer_lost),
            FaultKind::HostListStale => count(&mut self.active.host_list_stale),
            FaultKind::PeersPartitionedOneWay | FaultKind::PeersPartitionedBothWays => {
                let host = target.host.and_then(|id| self.hosts.get_mut(&id));
                if let Some(host) = host {
                    count(&mut host.inbound_blocked);
                    if fault == FaultKind::PeersPartitionedBothWays {
                        count(&mut host.outbound_blocked);
                    }
                }
            }
            FaultKind::HallPartitioned => self.set_hall_partitioned(target, enabled),
            FaultKind::CallerGone if enabled => self.disconnect_caller(target),
            FaultKind::MessageDuplicated => count(&mut self.active.message_duplicated),
            FaultKind::MessageLate => count(&mut self.active.message_late),
            FaultKind::MessageOutOfOrder => count(&mut self.active.message_out_of_order),
            FaultKind::MessageLost => count(&mut self.active.message_lost),
            FaultKind::OperatorsRace if enabled => self.publish_conflicting_changes(),
            FaultKind::ClockJump => {
                const HOUR_MS: i64 = 3_600_000;
                if let Some(host) = target.host.and_then(|id| self.hosts.get_mut(&id)) {
                    host.wall_skew += if enabled { HOUR_MS } else { -HOUR_MS };
                }
            }
            FaultKind::EngineRestarted | FaultKind::CallerGone | FaultKind::OperatorsRace => {}
        }
    }

    pub(crate) fn set_host_killed(&mut self, target: FaultTarget, enabled: bool) {
        let Some(host) = target.host else { return };
        if enabled {
            self.kill_host(host);
        } else {
            self.start_host(host);
        }
    }

    pub(crate) fn set_host_frozen(&mut self, target: FaultTarget, enabled: bool) {
        let Some(id) = target.host else { return };
        if enabled {
            if let Some(host) = self.hosts.get_mut(&id) {
                host.frozen = host.core.is_some();
            }
        } else {
            self.unfreeze_host(id);
        }
    }

    pub(crate) fn set_hall_partitioned(&mut self, target: FaultTarget, enabled: bool) {
        let hall = target.hall.or_else(|| self.halls.first().copied());
        let Some(hall) = hall else { return };
        if enabled {
            self.active.partitioned_halls.push(hall);
        } else if let Some(index) =
            self.active.partitioned_halls.iter().position(|partitioned| *partitioned == hall)
        {
            self.active.partitioned_halls.remove(index);
        }
    }

    pub(crate) fn update_store(&mut self) {
        let (unavailable, slow) = (self.active.store_unavailable > 0, self.active.store_slow > 0);
        let now = self.now;
        self.store.change(now, |store| {
            store.unavailable = unavailable;
            store.slowdown = if slow { 10.0 } else { 1.0 };
        });
        self.schedule_store_check();
    }

    pub(crate) fn disconnect_caller(&mut self, target: FaultTarget) {
        let Some(request) = target.request else { return };
        let Some(caller) = self.evidence.callers.get_mut(&request) else { return };
        if caller.outcome.is_some() {
            return;
        }
        caller.disconnected = true;
        let id = caller.host;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let generation = host.generation;
        let event = match host.exchanges.remove(&request) {
            Some(_) => NodeEvent::DispatchEnded { request, result: DispatchResult::CallerGone },
            None => NodeEvent::CallerGone(request),
        };
        self.push(HALL_DELAY_MS, SiteEvent::Input(id, generation, HostInput::Event(event)));
    }

    /// Schedules two changes of the same setting that are based on the same revision.
    pub(crate) fn publish_conflicting_changes(&mut self) {
        let base_revision = self.reference.revision();
        if base_revision == 0 {
            return;
        }
        for (index, worth) in [3.0, 4.0].into_iter().enumerate() {
            let path = SettingsPath::site().child("assist");
            let action = EditAction::Set(SettingKey::Worth, SettingValue::Float(worth));
            let record = ChangeRecord {
                format: 1,
                change_id: format!("race-{}-{index}", self.now),
                base_revision,
                author: format!("operator-{index}"),
                message: String::new(),
                edits: vec![SettingsEdit { path, action }],
            };
            self.push(
                u64::try_from(index).unwrap_or(0),
                SiteEvent::Action(SiteAction::Publish(record)),
            );
        }
    }
}
