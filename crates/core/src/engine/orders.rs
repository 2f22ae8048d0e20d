//! What the engine's answers to orders mean.

use crate::{
    chart::{EngineEvent, EngineState, ResidencyState},
    clock::ClockMillis,
    engine::{ControlOutput, EngineController, EngineOrder, OrderAction, OrderResult},
    id::{AdapterKey, FenceToken},
};

impl EngineController {
    /// Takes the end of an order.
    pub fn order_ended(
        &mut self,
        order: &EngineOrder,
        result: OrderResult,
        now: ClockMillis,
        out: &mut ControlOutput,
    ) {
        if let OrderResult::Fenced { token } = result {
            self.fenced(order, token, now, out);
            return;
        }
        if let OrderResult::Done { incarnation, sequence } = result {
            if incarnation != self.incarnation && self.incarnation != 0 {
                // The engine was restarted in between; its next report tells the rest.
                self.raising = None;
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

    /// An order was refused for its token. When the higher token is our own, a raise overtook the
    /// order, which is simply repeated.
    fn fenced(
        &mut self,
        order: &EngineOrder,
        token: FenceToken,
        now: ClockMillis,
        out: &mut ControlOutput,
    ) {
        self.seen_token = self.seen_token.max(token);
        if token > self.token {
            self.raising = None;
            self.lose(EngineEvent::FenceLost, now, out);
            return;
        }
        if order.token == self.token {
            self.raising = None;
        }
        let repeated = match &order.action {
            OrderAction::Load(adapter) => self.is_in(*adapter, ResidencyState::Loading),
            OrderAction::Unload(adapter) => self.is_in(*adapter, ResidencyState::Unloading),
            _ => false,
        };
        if repeated {
            self.order(order.action.clone(), out);
        }
    }

    fn is_in(&self, adapter: AdapterKey, state: ResidencyState) -> bool {
        self.residencies.get(&adapter).is_some_and(|stay| stay.state == state)
    }

    fn raise_ended(&mut self, token: FenceToken, result: OrderResult, out: &mut ControlOutput) {
        if token != self.token {
            return;
        }
        self.raising = None;
        let OrderResult::Done { sequence, .. } = result else { return };
        self.truth_from = sequence;
        for stay in self.residencies.values_mut() {
            // Whatever was in doubt was sent under a lower token, which the engine now refuses.
            if stay.awaits_raise() && token > stay.doubt_token {
                stay.proof_from = sequence;
            }
        }
        if self.state == EngineState::TakingOver {
            self.step(EngineEvent::FenceRaised);
            out.notes.push(format!("fence raised to {token:x}"));
        }
    }

    fn load_ended(
        &mut self,
        adapter: AdapterKey,
        result: OrderResult,
        now: ClockMillis,
        out: &mut ControlOutput,
    ) {
        let Some(stay) = self.residencies.get_mut(&adapter) else { return };
        if stay.state != ResidencyState::Loading {
            return;
        }
        match result {
            OrderResult::Done { sequence, .. } => self.load_done(adapter, sequence, now, out),
            OrderResult::Failed | OrderResult::NotSent => self.load_failed(adapter, now, out),
            // It may have taken effect: the next raise and the report after it will tell.
            _ => {
                stay.doubtful = true;
                stay.doubt(self.token);
            }
        }
    }

    fn unload_ended(
        &mut self,
        adapter: AdapterKey,
        result: OrderResult,
        now: ClockMillis,
        out: &mut ControlOutput,
    ) {
        let Some(stay) = self.residencies.get(&adapter) else { return };
        if stay.state != ResidencyState::Unloading {
            return;
        }
        match result {
            OrderResult::Done { .. } => self.slot_freed(adapter, now, out),
            // It may still take effect later, when the adapter is back and serves: the fence is
            // raised above it before anything else happens to the slot.
            _ => self.doubt_unload(adapter, now),
        }
    }

    fn doubt_unload(&mut self, adapter: AdapterKey, now: ClockMillis) {
        let token = self.token;
        if let Some(stay) = self.residencies.get_mut(&adapter) {
            stay.doubtful = true;
            stay.doubt(token);
        }
        self.quiet_from(now);
    }

    /// Repeats unload orders whose answer was lost, once they can not take effect any more.
    pub(super) fn repeat_unloads(&mut self, out: &mut ControlOutput) {
        let due: Vec<AdapterKey> = self
            .residencies
            .iter()
            .filter(|(_, stay)| stay.state == ResidencyState::Unloading)
            .filter(|(_, stay)| stay.doubtful && !stay.awaits_raise())
            .map(|(adapter, _)| *adapter)
            .collect();
        for adapter in due {
            if let Some(stay) = self.residencies.get_mut(&adapter) {
                stay.doubtful = false;
            }
            self.order(OrderAction::Unload(adapter), out);
        }
    }
}
