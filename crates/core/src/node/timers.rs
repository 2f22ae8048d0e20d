//! Periodic work and request timers.

use crate::{
    chart::{DrainEvent, DrainState, EngineState, RequestState},
    clock::ClockMillis,
    engine::EngineController,
    id::{EngineId, RequestId},
    node::{NodeAction, NodeCore, open_request::PermitAskState},
    request::{RefusalKind, RequestRefusal},
};

/// The factor by which reports are fetched more often while a controller waits for one.
const FAST_REPORT_FACTOR: u32 = 16;

impl NodeCore {
    pub(super) fn handle_tick(&mut self) {
        let now = self.now();
        let gap = self.last_tick.map(|last| now.since(last)).unwrap_or_default();
        if gap > self.config.times.pause_threshold {
            self.handle_process_pause(gap);
        }
        self.last_tick = Some(now);
        for host in self.members.expire(now) {
            self.member_changed(host);
        }
        self.send_heartbeats();
        self.update_ownership();
        self.tick_controllers();
        self.fetch_due_reports();
        self.grant_turns();
        self.fire_due_timers();
        self.append_claims();
        self.append_snapshot();
        self.advance_drain();
    }

    fn tick_controllers(&mut self) {
        let engines: Vec<EngineId> = self.controllers.keys().copied().collect();
        for engine in engines {
            self.with_controller(engine, EngineController::tick);
        }
        self.controllers.retain(|_, controller| controller.state() != EngineState::Foreign);
    }

    fn fetch_due_reports(&mut self) {
        let now = self.now();
        let wanted: Vec<EngineId> = self
            .controllers
            .iter()
            .filter(|(_, controller)| controller.wants_reports())
            .map(|(engine, _)| *engine)
            .filter(|engine| self.next_report_at.get(engine).is_none_or(|due| now >= *due))
            .collect();
        for engine in wanted {
            let interval = self.report_interval(engine);
            self.next_report_at.insert(engine, now + interval);
            let Some(view) = self.backends.engines.get(&engine) else { continue };
            let address = view.info.address.clone();
            self.actions.push(NodeAction::FetchReport { engine, address });
        }
    }

    fn report_interval(&mut self, engine: EngineId) -> std::time::Duration {
        let interval = self.config.times.report_every;
        let awaits_report =
            self.controllers.get(&engine).is_some_and(EngineController::awaits_settling_report);
        // Reports lag, so a controller that waits for one fetches them more often.
        if awaits_report { interval / FAST_REPORT_FACTOR } else { self.jitter(interval) }
    }

    /// Sets a request's timer; `None` sets it to the deadline.
    pub(super) fn set_timer(&mut self, id: RequestId, at: Option<ClockMillis>) {
        let Some(entry) = self.open_requests.get_mut(&id) else { return };
        self.timers.remove(&(entry.timer_at, id));
        let at = at.unwrap_or(entry.deadline).min(entry.deadline);
        entry.timer_at = at;
        if !entry.state.is_dispatched() {
            self.timers.insert((at, id));
        }
    }

    fn fire_due_timers(&mut self) {
        let now = self.now();
        while let Some((at, id)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, id));
            self.handle_timer(id);
        }
    }

    fn handle_timer(&mut self, id: RequestId) {
        let now = self.now();
        let Some(entry) = self.open_requests.get(&id) else { return };
        if now >= entry.deadline {
            self.handle_deadline(id);
            return;
        }
        if !entry.state.is_asking() {
            return;
        }
        match entry.ask_state {
            PermitAskState::Backoff => self.route_request(id),
            PermitAskState::Queued => self.repeat_permit_ask(id),
            PermitAskState::Sent => {
                // No answer: the message was lost or the owner is gone, so the request is routed
                // again.
                self.counters.asks_repeated += 1;
                self.route_request(id);
            }
        }
    }

    fn handle_deadline(&mut self, id: RequestId) {
        let Some(entry) = self.open_requests.get(&id) else { return };
        let claiming = entry.state == RequestState::Claiming;
        if claiming {
            let message = "the idempotency key could not be claimed before the deadline";
            let refusal = RequestRefusal::not_run(RefusalKind::LogAway, message);
            self.end_not_run(id, refusal);
        } else if entry.state.is_asking() {
            let message = "the deadline passed while the request waited";
            let refusal = RequestRefusal::not_run(RefusalKind::DeadlinePassed, message);
            self.end_not_run(id, refusal);
        }
    }

    /// Advances a graceful shutdown.
    pub(super) fn advance_drain(&mut self) {
        if self.drain == DrainState::HandingOver {
            let late = self.now().since(self.drain_started_at) > self.config.times.handover_timeout;
            if late {
                let engines: Vec<EngineId> = self.controllers.keys().copied().collect();
                for engine in engines {
                    self.with_controller(engine, EngineController::unassign);
                }
            }
            let owns = self
                .controllers
                .values()
                .any(|controller| controller.state() != EngineState::Foreign);
            if !owns || !self.has_successors() {
                self.drain = self.drain.after(DrainEvent::HandedOver);
                self.record_event("host", "engines handed over");
            }
        }
        if self.drain == DrainState::Finishing {
            self.finish_drain();
        }
    }

    fn has_successors(&self) -> bool {
        self.members.eligible_owners(Some(self.config.hall)).next().is_some()
    }

    /// Completes a graceful shutdown once the last request has ended.
    ///
    /// Called from a tick, so that the answers to the last callers are sent before the process may
    /// exit.
    fn finish_drain(&mut self) {
        if self.open_requests.is_empty() && self.drain == DrainState::Finishing {
            self.drain = self.drain.after(DrainEvent::StreamsEnded);
            self.record_event("host", "stopped");
            self.actions.push(NodeAction::Stopped);
        }
    }
}
