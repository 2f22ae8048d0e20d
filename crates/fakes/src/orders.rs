//! Orders to engines, loads and engine reports.

use reelreel_core::{
    NodeEvent,
    engine::{EngineOrder, OrderAction, OrderResult},
    id::{AdapterKey, EngineId, HostId, RequestId},
};

use crate::{
    engine::{FakeSlot, RunningRequest},
    exchange::CONNECT_TIMEOUT_MS,
    fault::StepKind,
    host::HostInput,
    site::{FakeSite, HALL_DELAY_MS, SiteEvent, SiteMutation},
};

impl FakeSite {
    pub(crate) fn engine_order(&mut self, id: HostId, generation: u64, order: EngineOrder) {
        let now = self.now;
        if !self.reaches_backend(id, order.engine) {
            self.order_result(id, generation, order, OrderResult::NotSent, CONNECT_TIMEOUT_MS);
            return;
        }
        let kind = match order.action {
            OrderAction::RaiseFence => StepKind::RaiseFenceArrives,
            OrderAction::Load(_) => StepKind::LoadBegins,
            OrderAction::Unload(_) | OrderAction::UnloadUnknown(_) => StepKind::UnloadArrives,
        };
        self.trace_line(|| format!("order from host {id}: {order:?}"));
        self.record_step(kind, Some(id), Some(order.engine), None);
        let unfenced = self.config.mutation == Some(SiteMutation::IgnoreFence);
        let Some(engine) = self.engines.get_mut(&order.engine).filter(|engine| !engine.removed)
        else {
            self.order_result(id, generation, order, OrderResult::NotSent, HALL_DELAY_MS);
            return;
        };
        if !unfenced && let Err(token) = engine.check_fence(order.token, now) {
            self.order_result(id, generation, order, OrderResult::Fenced { token }, HALL_DELAY_MS);
            return;
        }
        match order.action {
            OrderAction::RaiseFence => {
                let result = engine.order_done();
                self.order_result(id, generation, order, result, HALL_DELAY_MS);
            }
            OrderAction::Load(adapter) => self.begin_load(id, generation, order, adapter),
            OrderAction::Unload(adapter) => self.unload(id, generation, order, adapter),
            OrderAction::UnloadUnknown(_) => {}
        }
    }

    pub(crate) fn order_result(
        &mut self,
        id: HostId,
        generation: u64,
        order: EngineOrder,
        result: OrderResult,
        delay: u64,
    ) {
        let done = matches!(result, OrderResult::Done { .. } | OrderResult::Failed);
        let lost = done && self.active.order_answer_lost > 0;
        let (result, delay) = if lost { (OrderResult::NoAnswer, 3_000) } else { (result, delay) };
        let event = NodeEvent::OrderEnded { order, result };
        self.push(delay, SiteEvent::Input(id, generation, HostInput::Event(event)));
    }

    pub(crate) fn begin_load(
        &mut self,
        id: HostId,
        generation: u64,
        order: EngineOrder,
        adapter: AdapterKey,
    ) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&order.engine) else { return };
        match engine.slots.get(&adapter) {
            Some(FakeSlot::Loaded { .. }) => {
                let result = engine.order_done();
                self.order_result(id, generation, order, result, HALL_DELAY_MS);
                return;
            }
            Some(FakeSlot::Loading(_)) => {
                self.order_result(id, generation, order, OrderResult::Failed, HALL_DELAY_MS);
                return;
            }
            None => {}
        }
        if engine.slots.len() >= engine.config.slots as usize {
            self.order_result(id, generation, order, OrderResult::Failed, HALL_DELAY_MS);
            return;
        }
        let load = self.store.begin(now);
        engine.slots.insert(adapter, FakeSlot::Loading(load));
        engine.record_change(now);
        self.evidence.loads += 1;
        self.store_loads.insert(load, (id, generation, order));
        self.schedule_store_check();
    }

    pub(crate) fn schedule_store_check(&mut self) {
        if let Some(at) = self.store.next_completion() {
            self.push(at.saturating_sub(self.now), SiteEvent::StoreCheck);
        }
    }

    pub(crate) fn complete_loads(&mut self) {
        let now = self.now;
        let done = self.store.finish(now);
        let any = !done.is_empty();
        for load in done {
            self.complete_load(load);
        }
        if any {
            self.schedule_store_check();
        }
    }

    pub(crate) fn complete_load(&mut self, load: u64) {
        let now = self.now;
        let Some((id, generation, order)) = self.store_loads.remove(&load) else { return };
        let OrderAction::Load(adapter) = order.action else { return };
        self.record_step(StepKind::LoadEnds, Some(id), Some(order.engine), None);
        let fails = self.active.load_fails > 0;
        let Some(engine) = self.engines.get_mut(&order.engine) else { return };
        // A fault injected at the step may have restarted the engine, which discards the load.
        if engine.slots.get(&adapter) != Some(&FakeSlot::Loading(load)) {
            self.order_result(id, generation, order, OrderResult::NoAnswer, HALL_DELAY_MS);
            return;
        }
        let result = if fails {
            engine.slots.remove(&adapter);
            engine.record_change(now);
            OrderResult::Failed
        } else {
            engine.slots.insert(adapter, FakeSlot::Loaded { used: false });
            engine.record_change(now);
            engine.order_done()
        };
        self.order_result(id, generation, order, result, HALL_DELAY_MS);
    }

    pub(crate) fn unload(
        &mut self,
        id: HostId,
        generation: u64,
        order: EngineOrder,
        adapter: AdapterKey,
    ) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&order.engine) else { return };
        let slot = engine.slots.get(&adapter).copied();
        if let Some(FakeSlot::Loaded { used }) = slot {
            engine.slots.remove(&adapter);
            let uses_adapter = |running: &RunningRequest| running.adapter == adapter;
            let interrupted: Vec<RequestId> = engine
                .running
                .iter()
                .filter(|(_, running)| uses_adapter(running))
                .map(|(request, _)| *request)
                .collect();
            for request in &interrupted {
                engine.running.remove(request);
            }
            engine.record_change(now);
            self.trace_line(|| {
                format!("engine {} unloads {adapter:?}, interrupts {interrupted:x?}", order.engine)
            });
            self.evidence.unused_loads += u64::from(!used);
            self.evidence.interrupted_by_unload.extend(&interrupted);
            self.interrupt_requests(interrupted);
        }
        let Some(engine) = self.engines.get(&order.engine) else { return };
        let result = engine.order_done();
        self.order_result(id, generation, order, result, HALL_DELAY_MS);
    }

    pub(crate) fn engine_report(&mut self, id: HostId, generation: u64, engine: EngineId) {
        if !self.reaches_backend(id, engine) {
            return;
        }
        let now = self.now;
        let hide = self.config.mutation == Some(SiteMutation::HideLeaving);
        let Some(fake) = self.engines.get(&engine).filter(|engine| !engine.removed) else { return };
        let mut report = fake.report(now);
        report.leaving &= !hide;
        let event = NodeEvent::EngineReported { engine, report };
        self.push(HALL_DELAY_MS, SiteEvent::Input(id, generation, HostInput::Event(event)));
    }
}
