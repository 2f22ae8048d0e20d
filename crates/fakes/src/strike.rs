//! Faults as they strike and as they end.

use reelreel_core::{
    NodeEvent,
    node::DispatchEnding,
    settings::{ChangeRecord, EditAction, SettingKey, SettingValue, SettingsEdit, SettingsPath},
};

use crate::{
    fault::{FaultKind, PlannedFault},
    host::HostInput,
    site::{Arrival, FakeSite, FaultTarget, NEAR, SiteAction},
};

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
        let over = Some(self.now + planned.lasts);
        self.evidence.last_fault_end = self.evidence.last_fault_end.max(over);
        self.switch_fault(planned.fault, target, true);
        self.push(planned.lasts, Arrival::EndFault(planned, target));
    }

    pub(crate) fn end_fault(&mut self, planned: PlannedFault, target: FaultTarget) {
        self.switch_fault(planned.fault, target, false);
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
            FaultKind::OrderGivenUp => count(&mut self.active.order_given_up),
            FaultKind::StoreAway => {
                count(&mut self.active.store_away);
                self.change_store();
            }
            FaultKind::StoreSlow => {
                count(&mut self.active.store_slow);
                self.change_store();
            }
            FaultKind::LogAway => count(&mut self.active.log_away),
            FaultKind::LogSlow => count(&mut self.active.log_slow),
            FaultKind::AppendAnswerLost => count(&mut self.active.append_lost),
            FaultKind::HostListStale => count(&mut self.active.hosts_stale),
            FaultKind::PeersCutOneWay | FaultKind::PeersCutBothWays => {
                let host = target.host.and_then(|id| self.hosts.get_mut(&id));
                if let Some(host) = host {
                    count(&mut host.deaf);
                    if fault == FaultKind::PeersCutBothWays {
                        count(&mut host.mute);
                    }
                }
            }
            FaultKind::HallCutOff => self.switch_hall(target, on),
            FaultKind::CallerGone if on => self.hang_up(target),
            FaultKind::MessageDoubled => count(&mut self.active.doubled),
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
        if caller.told.is_some() {
            return;
        }
        caller.hung_up = true;
        let id = caller.host;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let life = host.life;
        let event = match host.exchanges.remove(&request) {
            Some(_) => NodeEvent::DispatchEnded { request, ending: DispatchEnding::CallerGone },
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
            let action = EditAction::Set(SettingKey::Worth, SettingValue::Fraction(worth));
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
