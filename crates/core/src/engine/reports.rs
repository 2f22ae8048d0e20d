//! What the engine's own reports prove.

use std::collections::BTreeSet;

use crate::{
    chart::{EngineEvent, EngineState, ResidencyEvent, ResidencyState},
    clock::ClockMillis,
    engine::{ControllerOutput, EngineController, EngineReport, OrderAction, Residency},
    id::AdapterKey,
};

impl EngineController {
    /// Takes a report. Reports lag and overtake one another, so only their sequence counts.
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
                out.notes.push(format!("owned, {held} adapters resident"));
                self.refuse_not_resident(out);
            }
        }
        self.grant_ready_permits(now, out);
        self.request_loads(now, out);
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
            // The new life knows no token, so ours starts from what the report shows.
            self.lose_ownership(EngineEvent::Restarted, now, out);
        }
    }

    /// Brings the owner's picture in line with a report written after our fence was raised.
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
                // Whatever runs was sent under an earlier token; none of it can still arrive.
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

    /// Draws the conclusions from what a report does not show.
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

    /// A load whose answer was lost, that is neither there nor under way, did not take place: the
    /// fence was raised since, so it can not take effect later either.
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
