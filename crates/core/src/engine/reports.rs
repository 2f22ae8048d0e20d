//! Reconciliation with the engine's reports.

use std::collections::BTreeSet;

use crate::{
    chart::{EngineEvent, EngineState, ResidencyEvent, ResidencyState},
    clock::ClockMillis,
    engine::{ControllerOutput, EngineController, EngineReport, OrderAction, Residency},
    id::AdapterKey,
};

impl EngineController {
    /// Handles a report. Reports arrive late and out of order; only their sequence counts.
    pub fn handle_report(
        &mut self,
        report: &EngineReport,
        now: ClockMillis,
        out: &mut ControllerOutput,
    ) {
        if self.state == EngineState::Foreign {
            return;
        }
        if report.incarnation < self.incarnation {
            return;
        }
        if report.incarnation > self.incarnation {
            self.handle_restart(report, now, out);
        }
        if report.sequence < self.sequence {
            return;
        }
        self.sequence = report.sequence;
        self.highest_seen_token = self.highest_seen_token.max(report.token);
        if report.token > self.token && self.token > 0 {
            self.lose_ownership(EngineEvent::FenceLost, now, out);
            return;
        }
        if report.leaving {
            self.mark_leaving(now, out);
        }
        if report.sequence >= self.authoritative_from {
            self.reconcile(report, now, out);
            if self.step(EngineEvent::Settled) {
                let held = report.adapters.len();
                out.timeline_texts.push(format!("owned, {held} adapters resident"));
                self.refuse_not_resident(out);
            }
        }
        self.grant_ready_permits(now, out);
        self.ask_for_load_turns(now, out);
    }

    fn handle_restart(
        &mut self,
        report: &EngineReport,
        now: ClockMillis,
        out: &mut ControllerOutput,
    ) {
        let known = self.incarnation > 0;
        self.incarnation = report.incarnation;
        self.sequence = 0;
        if known {
            // The restarted engine has forgotten the fence, so it must be taken over again.
            self.lose_ownership(EngineEvent::Restarted, now, out);
        }
    }

    /// Updates the residencies from a report that was written after the fence was raised.
    fn reconcile(&mut self, report: &EngineReport, now: ClockMillis, out: &mut ControllerOutput) {
        let settling = self.state == EngineState::Settling;
        for reported in &report.adapters {
            let residency =
                self.residencies.entry(reported.adapter).or_insert_with(|| Residency::new(now));
            let previous_state = residency.state;
            if previous_state == ResidencyState::Absent && !settling {
                residency.mark_uncertain(self.token);
            }
            if settling {
                // Running requests were sent under an earlier token; no more can arrive under it.
                residency.proven_idle = false;
                residency.provable_from = self.authoritative_from;
            }
            if !residency.proven_idle
                && report.sequence >= residency.provable_from
                && reported.running == 0
            {
                residency.proven_idle = true;
            }
            match previous_state {
                ResidencyState::Loading => {
                    self.finish_load(reported.adapter, report.sequence, now, out);
                }
                ResidencyState::Clearing | ResidencyState::Queued => {
                    self.finish_load(reported.adapter, report.sequence, now, out);
                }
                ResidencyState::Resident | ResidencyState::Draining | ResidencyState::Unloading => {
                }
                ResidencyState::Absent | ResidencyState::Failed => {
                    residency.step(ResidencyEvent::Loaded, now);
                    residency.reported_from = report.sequence;
                    self.mark_digest_dirty();
                }
            }
        }
        self.reconcile_missing(report, now, out);
        self.unload_unknown_adapters(report, out);
        self.retry_unconfirmed_unloads(out);
        self.start_cleared_load(now, out);
    }

    /// Updates the residencies of adapters that a report does not list.
    fn reconcile_missing(
        &mut self,
        report: &EngineReport,
        now: ClockMillis,
        out: &mut ControllerOutput,
    ) {
        let reported: BTreeSet<AdapterKey> =
            report.adapters.iter().map(|reported| reported.adapter).collect();
        let missing: Vec<(AdapterKey, ResidencyState)> = self
            .residencies
            .iter()
            .filter(|(adapter, _)| !reported.contains(adapter))
            .filter(|(_, residency)| report.sequence >= residency.reported_from)
            .map(|(adapter, residency)| (*adapter, residency.state))
            .collect();
        for (adapter, state) in missing {
            match state {
                ResidencyState::Resident | ResidencyState::Draining | ResidencyState::Unloading => {
                    self.handle_slot_freed(adapter, now, out);
                }
                ResidencyState::Loading if !report.loading.contains(&adapter) => {
                    self.resolve_unconfirmed_load(adapter, report.sequence, now, out);
                }
                _ => {}
            }
        }
    }

    /// Fails a load without an answer whose adapter is neither resident nor loading.
    ///
    /// The fence was raised since the order was sent, so the load cannot take effect later.
    fn resolve_unconfirmed_load(
        &mut self,
        adapter: AdapterKey,
        sequence: u64,
        now: ClockMillis,
        out: &mut ControllerOutput,
    ) {
        let Some(residency) = self.residencies.get(&adapter) else { return };
        if residency.order_unconfirmed && sequence >= residency.provable_from {
            self.fail_load(adapter, now, out);
        }
    }

    fn unload_unknown_adapters(&self, report: &EngineReport, out: &mut ControllerOutput) {
        for unknown in report.unknown_adapters.iter().filter(|unknown| unknown.running == 0) {
            self.order(OrderAction::UnloadUnknown(unknown.name.clone()), out);
        }
    }
}
