//! Orders to engines, loads, and engines' reports.

use reelreel_core::{
    NodeEvent,
    engine::{EngineOrder, OrderAction, OrderResult},
    id::{AdapterKey, EngineId, HostId, RequestId},
};

use crate::{
    engine::{FakeSlot, RunningRequest},
    exchange::UNREACHED,
    fault::StepKind,
    host::HostInput,
    site::{Arrival, FakeSite, NEAR, SiteMutation},
};

impl FakeSite {
    pub(crate) fn engine_order(&mut self, id: HostId, life: u64, order: EngineOrder) {
        let now = self.now;
        if !self.reaches(id, order.engine) {
            self.order_result(id, life, order, OrderResult::NotSent, UNREACHED);
            return;
        }
        let kind = match order.action {
            OrderAction::RaiseFence => StepKind::RaiseFenceArrives,
            OrderAction::Load(_) => StepKind::LoadBegins,
            OrderAction::Unload(_) | OrderAction::UnloadUnknown(_) => StepKind::UnloadArrives,
        };
        self.note(|| format!("order from host {id}: {order:?}"));
        self.step(kind, Some(id), Some(order.engine), None);
        let unfenced = self.shape.mutation == Some(SiteMutation::IgnoreFence);
        let Some(engine) = self.engines.get_mut(&order.engine).filter(|engine| !engine.gone) else {
            self.order_result(id, life, order, OrderResult::NotSent, NEAR);
            return;
        };
        if !unfenced && let Err(token) = engine.pass_fence(order.token, now) {
            self.order_result(id, life, order, OrderResult::Fenced { token }, NEAR);
            return;
        }
        match order.action {
            OrderAction::RaiseFence => {
                let result = engine.done();
                self.order_result(id, life, order, result, NEAR);
            }
            OrderAction::Load(adapter) => self.begin_load(id, life, order, adapter),
            OrderAction::Unload(adapter) => self.unload(id, life, order, adapter),
            OrderAction::UnloadUnknown(_) => {}
        }
    }

    pub(crate) fn order_result(
        &mut self,
        id: HostId,
        life: u64,
        order: EngineOrder,
        result: OrderResult,
        delay: u64,
    ) {
        let done = matches!(result, OrderResult::Done { .. } | OrderResult::Failed);
        let lost = done && self.active.order_answer_lost > 0;
        let (result, delay) = if lost { (OrderResult::NoAnswer, 3_000) } else { (result, delay) };
        let event = NodeEvent::OrderEnded { order, result };
        self.push(delay, Arrival::Input(id, life, HostInput::Event(event)));
    }

    pub(crate) fn begin_load(
        &mut self,
        id: HostId,
        life: u64,
        order: EngineOrder,
        adapter: AdapterKey,
    ) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&order.engine) else { return };
        match engine.slots.get(&adapter) {
            Some(FakeSlot::Loaded { .. }) => {
                let result = engine.done();
                self.order_result(id, life, order, result, NEAR);
                return;
            }
            Some(FakeSlot::Loading(_)) => {
                self.order_result(id, life, order, OrderResult::Failed, NEAR);
                return;
            }
            None => {}
        }
        if engine.slots.len() >= engine.shape.slots as usize {
            self.order_result(id, life, order, OrderResult::Failed, NEAR);
            return;
        }
        let load = self.store.begin(now);
        engine.slots.insert(adapter, FakeSlot::Loading(load));
        engine.changed(now);
        self.evidence.loads += 1;
        self.store_loads.insert(load, (id, life, order));
        self.plan_store_check();
    }

    pub(crate) fn plan_store_check(&mut self) {
        if let Some(at) = self.store.next_done() {
            self.push(at.saturating_sub(self.now), Arrival::StoreCheck);
        }
    }

    pub(crate) fn store_check(&mut self) {
        let now = self.now;
        let done = self.store.finish(now);
        let any = !done.is_empty();
        for load in done {
            self.load_done(load);
        }
        if any {
            self.plan_store_check();
        }
    }

    pub(crate) fn load_done(&mut self, load: u64) {
        let now = self.now;
        let Some((id, life, order)) = self.store_loads.remove(&load) else { return };
        let OrderAction::Load(adapter) = order.action else { return };
        self.step(StepKind::LoadEnds, Some(id), Some(order.engine), None);
        let fails = self.active.load_fails > 0;
        let Some(engine) = self.engines.get_mut(&order.engine) else { return };
        // The step may have restarted the engine, whose new life knows nothing of the load.
        if engine.slots.get(&adapter) != Some(&FakeSlot::Loading(load)) {
            self.order_result(id, life, order, OrderResult::NoAnswer, NEAR);
            return;
        }
        let result = if fails {
            engine.slots.remove(&adapter);
            engine.changed(now);
            OrderResult::Failed
        } else {
            engine.slots.insert(adapter, FakeSlot::Loaded { used: false });
            engine.changed(now);
            engine.done()
        };
        self.order_result(id, life, order, result, NEAR);
    }

    pub(crate) fn unload(
        &mut self,
        id: HostId,
        life: u64,
        order: EngineOrder,
        adapter: AdapterKey,
    ) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&order.engine) else { return };
        let slot = engine.slots.get(&adapter).copied();
        if let Some(FakeSlot::Loaded { used }) = slot {
            engine.slots.remove(&adapter);
            let on = |running: &RunningRequest| running.adapter == adapter;
            let cut: Vec<RequestId> = engine
                .running
                .iter()
                .filter(|(_, running)| on(running))
                .map(|(request, _)| *request)
                .collect();
            for request in &cut {
                engine.running.remove(request);
            }
            engine.changed(now);
            self.note(|| format!("engine {} unloads {adapter:?}, cuts {cut:x?}", order.engine));
            self.evidence.unused_loads += u64::from(!used);
            self.evidence.cut_by_unload.extend(&cut);
            self.cut(cut);
        }
        let Some(engine) = self.engines.get(&order.engine) else { return };
        let result = engine.done();
        self.order_result(id, life, order, result, NEAR);
    }

    pub(crate) fn engine_report(&mut self, id: HostId, life: u64, engine: EngineId) {
        if !self.reaches(id, engine) {
            return;
        }
        let now = self.now;
        let hide = self.shape.mutation == Some(SiteMutation::HideLeaving);
        let Some(fake) = self.engines.get(&engine).filter(|engine| !engine.gone) else { return };
        let mut report = fake.report(now);
        report.leaving &= !hide;
        let event = NodeEvent::EngineReported { engine, report };
        self.push(NEAR, Arrival::Input(id, life, HostInput::Event(event)));
    }
}
