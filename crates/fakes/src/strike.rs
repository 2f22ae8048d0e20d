//! Faults as they strike and as they end.

use rand::RngExt;
use reelreel_core::{
    NodeEvent,
    node::{DispatchResult, LogStream},
    settings::{ChangeRecord, EditAction, SettingKey, SettingValue, SettingsEdit, SettingsPath},
};

use crate::{
    fault::{FaultKind, PlannedFault},
    host::HostInput,
    site::{Arrival, FakeSite, FaultTarget, NEAR, SiteAction, WALL_START},
};

/// How old the copy is from which a log comes back. Unit: milliseconds.
const COPY_AGE: u64 = 3_000;

/// How long after its return operators write again what it lost, and how long each takes at most. Unit: milliseconds.
const AGAIN_AFTER: u64 = 500;
const AGAIN_WITHIN: u64 = 2_000;

impl FakeSite {
    /// Lets a fault strike.
    pub(crate) fn begin_fault(&mut self, planned: PlannedFault, mut target: FaultTarget) {
        if target.host.is_none() {
            target.host = self.ready_host();
            target.hall = target.host.and_then(|id| self.hosts.get(&id)).map(|host| host.hall);
        }
        if target.engine.is_none_or(|engine| !self.engines.contains_key(&engine)) {
            target.engine = self.engines.keys().next().copied();
        }
        let over = Some(self.now + planned.duration_ms);
        self.evidence.last_fault_end = self.evidence.last_fault_end.max(over);
        self.switch_fault(planned.fault, target, true);
        self.push(planned.duration_ms, Arrival::EndFault(planned, target));
    }

    pub(crate) fn end_fault(&mut self, planned: PlannedFault, target: FaultTarget) {
        self.switch_fault(planned.fault, target, false);
        if planned.fault == FaultKind::LogRestoredOlder {
            let began = self.now.saturating_sub(planned.duration_ms);
            self.fall_back_log(began.saturating_sub(COPY_AGE));
        }
    }

    /// Brings the log back from a copy; operators write again what they had published since.
    fn fall_back_log(&mut self, copied_at: u64) {
        let lost = self.log.fall_back(WALL_START + copied_at);
        self.reference.enter_era(self.log.era);
        let (records, _) = self.log.read(LogStream::Settings, 0);
        for record in records {
            self.reference.fold(record);
        }
        let mut pause = AGAIN_AFTER;
        for payload in lost {
            // The fakes' operators publish nothing else.
            let Ok(record) = serde_json::from_slice(&payload) else { continue };
            pause += self.rng.random_range(1..AGAIN_WITHIN);
            self.push(pause, Arrival::Act(SiteAction::Publish(record)));
        }
        for stream in LogStream::ALL {
            self.wake_readers(stream);
        }
    }

    pub(crate) fn switch_fault(&mut self, fault: FaultKind, target: FaultTarget, on: bool) {
        let count = |counter: &mut u32| {
            *counter = if on { *counter + 1 } else { counter.saturating_sub(1) };
        };
        match fault {
            FaultKind::HostKilled => self.switch_killed(target, on),
            FaultKind::HostFrozen => self.switch_frozen(target, on),
            FaultKind::EngineRestarted if on => {
                if let Some(engine) = target.engine {
                    self.restart_engine(engine);
                }
            }
            FaultKind::LoadFails => count(&mut self.active.load_fails),
            FaultKind::OrderAnswerLost => count(&mut self.active.order_answer_lost),
            FaultKind::OrderLate => count(&mut self.active.order_late),
            FaultKind::OrderAbandoned => count(&mut self.active.order_given_up),
            FaultKind::StoreUnavailable => {
                count(&mut self.active.store_away);
                self.change_store();
            }
            FaultKind::StoreSlow => {
                count(&mut self.active.store_slow);
                self.change_store();
            }
            FaultKind::LogUnavailable | FaultKind::LogRestoredOlder => {
                count(&mut self.active.log_away)
            }
            FaultKind::LogSlow => count(&mut self.active.log_slow),
            FaultKind::AppendAnswerLost => count(&mut self.active.append_lost),
            FaultKind::HostListStale => count(&mut self.active.hosts_stale),
            FaultKind::PeersPartitionedOneWay | FaultKind::PeersPartitionedBothWays => {
                let host = target.host.and_then(|id| self.hosts.get_mut(&id));
                if let Some(host) = host {
                    count(&mut host.deaf);
                    if fault == FaultKind::PeersPartitionedBothWays {
                        count(&mut host.mute);
                    }
                }
            }
            FaultKind::HallPartitioned => self.switch_hall(target, on),
            FaultKind::CallerGone if on => self.hang_up(target),
            FaultKind::MessageDuplicated => count(&mut self.active.doubled),
            FaultKind::MessageLate => count(&mut self.active.late),
            FaultKind::MessageOutOfOrder => count(&mut self.active.disorder),
            FaultKind::MessageLost => count(&mut self.active.lossy),
            FaultKind::OperatorsRace if on => self.race_operators(),
            FaultKind::ClockJump => {
                const HOUR: i64 = 3_600_000;
                if let Some(host) = target.host.and_then(|id| self.hosts.get_mut(&id)) {
                    host.wall_skew += if on { HOUR } else { -HOUR };
                }
            }
            FaultKind::EngineRestarted | FaultKind::CallerGone | FaultKind::OperatorsRace => {}
        }
    }

    pub(crate) fn switch_killed(&mut self, target: FaultTarget, on: bool) {
        let Some(host) = target.host else { return };
        if on {
            self.kill_host(host);
        } else {
            self.start_host(host);
        }
    }

    pub(crate) fn switch_frozen(&mut self, target: FaultTarget, on: bool) {
        let Some(id) = target.host else { return };
        if on {
            if let Some(host) = self.hosts.get_mut(&id) {
                host.frozen = host.core.is_some();
            }
        } else {
            self.thaw(id);
        }
    }

    pub(crate) fn switch_hall(&mut self, target: FaultTarget, on: bool) {
        let hall = target.hall.or_else(|| self.halls.first().copied());
        let Some(hall) = hall else { return };
        if on {
            self.active.cut_halls.push(hall);
        } else if let Some(place) = self.active.cut_halls.iter().position(|cut| *cut == hall) {
            self.active.cut_halls.remove(place);
        }
    }

    pub(crate) fn change_store(&mut self) {
        let (away, slow) = (self.active.store_away > 0, self.active.store_slow > 0);
        let now = self.now;
        self.store.change(now, |store| {
            store.away = away;
            store.slowness = if slow { 10.0 } else { 1.0 };
        });
        self.plan_store_check();
    }

    pub(crate) fn hang_up(&mut self, target: FaultTarget) {
        let Some(request) = target.request else { return };
        let Some(caller) = self.evidence.callers.get_mut(&request) else { return };
        if caller.outcome.is_some() {
            return;
        }
        caller.disconnected = true;
        let id = caller.host;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let life = host.life;
        let event = match host.exchanges.remove(&request) {
            Some(_) => NodeEvent::DispatchEnded { request, result: DispatchResult::CallerGone },
            None => NodeEvent::CallerGone(request),
        };
        self.push(NEAR, Arrival::Input(id, life, HostInput::Event(event)));
    }

    /// Two operators publish against the same revision, at the same place.
    pub(crate) fn race_operators(&mut self) {
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
            self.push(u64::try_from(index).unwrap_or(0), Arrival::Act(SiteAction::Publish(record)));
        }
    }
}
