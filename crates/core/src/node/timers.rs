//! What is due by time alone.

use crate::{
    chart::{DrainEvent, DrainState, EngineState, RequestState},
    clock::ClockMillis,
    engine::EngineControl,
    id::{EngineId, RequestId},
    node::{NodeCore, NodeOrder, open::AskState},
    request::{RefusalKind, RequestRefusal},
};

/// How many times as often a report is asked for while something waits for it.
const FAST_REPORTS: u32 = 16;

impl NodeCore {
    pub(super) fn tick(&mut self) {
        let now = self.now();
        let gap = self.last_tick.map(|last| now.since(last)).unwrap_or_default();
        if gap > self.config.times.pause_limit {
            self.woke_from_pause(gap);
        }
        self.last_tick = Some(now);
        for host in self.members.expire(now) {
            self.member_changed(host);
        }
        self.send_heartbeats();
        self.settle_ownership();
        self.tick_engines();
        self.ask_reports();
        self.give_turns();
        self.fire_timers();
        self.append_claims();
        self.append_snapshot();
        self.go_on_draining();
    }

    fn tick_engines(&mut self) {
        let engines: Vec<EngineId> = self.controls.keys().copied().collect();
        for engine in engines {
            self.control(engine, EngineControl::tick);
        }
        self.controls.retain(|_, control| control.state() != EngineState::Foreign);
    }

    fn ask_reports(&mut self) {
        let now = self.now();
        let wanted: Vec<EngineId> = self
            .controls
            .iter()
            .filter(|(_, control)| control.wants_reports())
            .map(|(engine, _)| *engine)
            .filter(|engine| self.report_due.get(engine).is_none_or(|due| now >= *due))
            .collect();
        for engine in wanted {
            let pause = self.report_pause(engine);
            self.report_due.insert(engine, now + pause);
            let Some(view) = self.backends.engines.get(&engine) else { continue };
            let address = view.facts.address.clone();
            self.orders.push(NodeOrder::AskReport { engine, address });
        }
    }

    fn report_pause(&mut self, engine: EngineId) -> std::time::Duration {
        let usual = self.config.times.report_every;
        let awaits = self.controls.get(&engine).is_some_and(EngineControl::awaits_proof);
        // What waits for the report, which lags, asks for it more often.
        if awaits { usual / FAST_REPORTS } else { self.jitter(usual) }
    }

    /// Sets or, with `None`, moves a request's timer to its deadline.
    pub(super) fn set_timer(&mut self, id: RequestId, at: Option<ClockMillis>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        self.timers.remove(&(open.timer, id));
        let at = at.unwrap_or(open.deadline).min(open.deadline);
        open.timer = at;
        if !open.state.is_dispatched() {
            self.timers.insert((at, id));
        }
    }

    fn fire_timers(&mut self) {
        let now = self.now();
        while let Some((at, id)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, id));
            self.timer_fired(id);
        }
    }

    fn timer_fired(&mut self, id: RequestId) {
        let now = self.now();
        let Some(open) = self.open.get(&id) else { return };
        if now >= open.deadline {
            self.deadline_passed(id);
            return;
        }
        if !open.state.is_asking() {
            return;
        }
        match open.ask {
            AskState::Paused => self.send_on(id),
            AskState::Queued => self.ask_again(id),
            AskState::Sent => {
                // No answer: the message or the owner may be gone, so it is routed anew.
                self.counters.asks_repeated += 1;
                self.send_on(id);
            }
        }
    }

    fn deadline_passed(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let claiming = open.state == RequestState::Claiming;
        if claiming {
            let message = "the idempotency key could not be claimed before the deadline";
            let refusal = RequestRefusal::not_run(RefusalKind::LogAway, message);
            self.end_not_run(id, refusal);
        } else if open.state.is_asking() {
            let message = "the deadline passed while the request waited";
            let refusal = RequestRefusal::not_run(RefusalKind::DeadlinePassed, message);
            self.end_not_run(id, refusal);
        }
    }

    /// Moves a planned stop on.
    pub(super) fn go_on_draining(&mut self) {
        if self.drain == DrainState::HandingOver {
            let late = self.now().since(self.drain_since) > self.config.times.handover_limit;
            if late {
                let engines: Vec<EngineId> = self.controls.keys().copied().collect();
                for engine in engines {
                    self.control(engine, EngineControl::unassign);
                }
            }
            let owns =
                self.controls.values().any(|control| control.state() != EngineState::Foreign);
            if !owns || !self.has_heirs() {
                self.drain = self.drain.after(DrainEvent::HandedOver);
                self.note("host", "engines handed over");
            }
        }
        if self.drain == DrainState::Finishing {
            self.finish_drain();
        }
    }

    fn has_heirs(&self) -> bool {
        self.members.eligible_owners(Some(self.config.hall)).next().is_some()
    }

    /// Ends a planned stop once the last stream has ended. Only a tick does so, so that the orders
    /// which tell the last callers go out before the process may exit.
    fn finish_drain(&mut self) {
        if self.open.is_empty() && self.drain == DrainState::Finishing {
            self.drain = self.drain.after(DrainEvent::StreamsEnded);
            self.note("host", "stopped");
            self.orders.push(NodeOrder::Stopped);
        }
    }
}
