//! Handling of the results of engine orders.

use crate::{
    chart::{EngineEvent, EngineState, ResidencyState},
    clock::ClockMillis,
    engine::{ControllerOutput, EngineController, EngineOrder, OrderAction, OrderResult},
    id::{AdapterKey, FenceToken},
};

impl EngineController {
    /// Handles the result of an order.
    pub fn handle_order_ended(
        &mut self,
        order: &EngineOrder,
        result: OrderResult,
        now: ClockMillis,
        out: &mut ControllerOutput,
    ) {
        if let OrderResult::Fenced { token } = result {
            self.handle_fenced(order, token, now, out);
            return;
        }
        if let OrderResult::Done { incarnation, sequence } = result {
            if incarnation != self.incarnation && self.incarnation != 0 {
                // The engine restarted meanwhile; its next report shows the new state.
                self.raise_started_at = None;
                return;
            }
            self.incarnation = incarnation;
            self.sequence = self.sequence.max(sequence);
        }
        match &order.action {
            OrderAction::RaiseFence => self.raise_ended(order.token, result, out),
            OrderAction::Load(adapter) => self.load_ended(*adapter, result, now, out),
            OrderAction::Unload(adapter) => self.unload_ended(*adapter, result, now, out),
            OrderAction::UnloadUnknown(_) => {}
        }
    }

    /// Handles an order that was refused for its token.
    ///
    /// If the higher token is this host's own, a raise overtook the order, which is then repeated.
    fn handle_fenced(
        &mut self,
        order: &EngineOrder,
        token: FenceToken,
        now: ClockMillis,
        out: &mut ControllerOutput,
    ) {
        self.highest_seen_token = self.highest_seen_token.max(token);
        if token > self.token {
            self.raise_started_at = None;
            self.lose_ownership(EngineEvent::FenceLost, now, out);
            return;
        }
        if order.token == self.token {
            self.raise_started_at = None;
        }
        let repeated = match &order.action {
            OrderAction::Load(adapter) => self.is_in_state(*adapter, ResidencyState::Loading),
            OrderAction::Unload(adapter) => self.is_in_state(*adapter, ResidencyState::Unloading),
            _ => false,
        };
        if repeated {
            self.order(order.action.clone(), out);
        }
    }

    fn is_in_state(&self, adapter: AdapterKey, state: ResidencyState) -> bool {
        self.residencies.get(&adapter).is_some_and(|residency| residency.state == state)
    }

    fn raise_ended(&mut self, token: FenceToken, result: OrderResult, out: &mut ControllerOutput) {
        if token != self.token {
            return;
        }
        self.raise_started_at = None;
        let OrderResult::Done { sequence, .. } = result else { return };
        self.authoritative_from = sequence;
        for residency in self.residencies.values_mut() {
            // The uncounted requests were sent under a lower token, which the engine now refuses.
            if residency.needs_raise() && token > residency.uncertain_token {
                residency.provable_from = sequence;
            }
        }
        if self.state == EngineState::TakingOver {
            self.step(EngineEvent::FenceRaised);
            out.timeline_texts.push(format!("fence raised to {token:x}"));
        }
    }

    fn load_ended(
        &mut self,
        adapter: AdapterKey,
        result: OrderResult,
        now: ClockMillis,
        out: &mut ControllerOutput,
    ) {
        let Some(residency) = self.residencies.get_mut(&adapter) else { return };
        if residency.state != ResidencyState::Loading {
            return;
        }
        match result {
            OrderResult::Done { sequence, .. } => self.finish_load(adapter, sequence, now, out),
            OrderResult::Failed | OrderResult::NotSent => self.fail_load(adapter, now, out),
            // The load may have taken effect; a raise and a report after it resolve this.
            _ => {
                residency.order_unconfirmed = true;
                residency.mark_uncertain(self.token);
            }
        }
    }

    fn unload_ended(
        &mut self,
        adapter: AdapterKey,
        result: OrderResult,
        now: ClockMillis,
        out: &mut ControllerOutput,
    ) {
        let Some(residency) = self.residencies.get(&adapter) else { return };
        if residency.state != ResidencyState::Unloading {
            return;
        }
        match result {
            OrderResult::Done { .. } => self.handle_slot_freed(adapter, now, out),
            // The unload may still take effect later, after the adapter was loaded again: the fence
            // is raised above its token before the slot is used.
            _ => self.mark_unload_unconfirmed(adapter, now),
        }
    }

    fn mark_unload_unconfirmed(&mut self, adapter: AdapterKey, now: ClockMillis) {
        let token = self.token;
        if let Some(residency) = self.residencies.get_mut(&adapter) {
            residency.order_unconfirmed = true;
            residency.mark_uncertain(token);
        }
        self.restart_quiet_period(now);
    }

    /// Repeats unload orders without an answer once the original can no longer take effect.
    pub(super) fn retry_unconfirmed_unloads(&mut self, out: &mut ControllerOutput) {
        let due: Vec<AdapterKey> = self
            .residencies
            .iter()
            .filter(|(_, residency)| residency.state == ResidencyState::Unloading)
            .filter(|(_, residency)| residency.order_unconfirmed && !residency.needs_raise())
            .map(|(adapter, _)| *adapter)
            .collect();
        for adapter in due {
            if let Some(residency) = self.residencies.get_mut(&adapter) {
                residency.order_unconfirmed = false;
            }
            self.order(OrderAction::Unload(adapter), out);
        }
    }
}
