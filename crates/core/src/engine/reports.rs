//! What the engine's own reports prove.

use std::collections::BTreeSet;

use crate::{
    chart::{EngineEvent, EngineState, ResidencyEvent, ResidencyState},
    clock::ClockMillis,
    engine::{ControlOutput, EngineController, EngineReport, OrderAction, Residency},
    id::AdapterKey,
};

impl EngineController {
    /// Takes a report. Reports lag and overtake one another, so only their sequence counts.
    pub fn report(&mut self, report: &EngineReport, now: ClockMillis, out: &mut ControlOutput) {
        if self.state == EngineState::Foreign {
            return;
        }
        if report.incarnation < self.incarnation {
            return;
        }
        if report.incarnation > self.incarnation {
            self.new_life(report, now, out);
        }
        if report.sequence < self.sequence {
            return;
        }
        self.sequence = report.sequence;
        self.seen_token = self.seen_token.max(report.token);
        if report.token > self.token && self.token > 0 {
            self.lose(EngineEvent::FenceLost, now, out);
            return;
        }
        if report.leaving {
            self.leave_seen(now, out);
        }
        if report.sequence >= self.truth_from {
            self.reconcile(report, now, out);
            if self.step(EngineEvent::Settled) {
                let held = report.adapters.len();
                out.notes.push(format!("owned, {held} adapters resident"));
                self.refuse_not_resident(out);
            }
        }
        self.pump(now, out);
        self.want_loads(now, out);
    }

    fn new_life(&mut self, report: &EngineReport, now: ClockMillis, out: &mut ControlOutput) {
        let known = self.incarnation > 0;
        self.incarnation = report.incarnation;
        self.sequence = 0;
        if known {
            // The new life knows no token, so ours starts from what the report shows.
            self.lose(EngineEvent::Restarted, now, out);
        }
    }

    /// Brings the owner's picture in line with a report written after our fence was raised.
    fn reconcile(&mut self, report: &EngineReport, now: ClockMillis, out: &mut ControlOutput) {
        let settling = self.state == EngineState::Settling;
        for shown in &report.adapters {
            let stay = self.residencies.entry(shown.adapter).or_insert_with(|| Residency::new(now));
            let was = stay.state;
            if was == ResidencyState::Absent && !settling {
                stay.doubt(self.token);
            }
            if settling {
                // Whatever runs was sent under an earlier token; none of it can still arrive.
                stay.proven_idle = false;
                stay.proof_from = self.truth_from;
            }
            if !stay.proven_idle && report.sequence >= stay.proof_from && shown.running == 0 {
                stay.proven_idle = true;
            }
            match was {
                ResidencyState::Loading => {
                    self.load_done(shown.adapter, report.sequence, now, out);
                }
                ResidencyState::Clearing | ResidencyState::Queued => {
                    self.load_done(shown.adapter, report.sequence, now, out);
                }
                ResidencyState::Resident | ResidencyState::Draining | ResidencyState::Unloading => {
                }
                ResidencyState::Absent | ResidencyState::Failed => {
                    stay.step(ResidencyEvent::Loaded, now);
                    stay.shown_from = report.sequence;
                    self.mark_digest();
                }
            }
        }
        self.miss(report, now, out);
        self.unload_strangers(report, out);
        self.repeat_unloads(out);
        self.load_cleared(now, out);
    }

    /// Draws the conclusions from what a report does not show.
    fn miss(&mut self, report: &EngineReport, now: ClockMillis, out: &mut ControlOutput) {
        let shown: BTreeSet<AdapterKey> =
            report.adapters.iter().map(|shown| shown.adapter).collect();
        let missing: Vec<(AdapterKey, ResidencyState)> = self
            .residencies
            .iter()
            .filter(|(adapter, _)| !shown.contains(adapter))
            .filter(|(_, stay)| report.sequence >= stay.shown_from)
            .map(|(adapter, stay)| (*adapter, stay.state))
            .collect();
        for (adapter, state) in missing {
            match state {
                ResidencyState::Resident | ResidencyState::Draining | ResidencyState::Unloading => {
                    self.slot_freed(adapter, now, out);
                }
                ResidencyState::Loading if !report.loading.contains(&adapter) => {
                    self.settle_doubtful_load(adapter, report.sequence, now, out);
                }
                _ => {}
            }
        }
    }

    /// A load whose answer was lost, that is neither there nor under way, did not take place: the
    /// fence was raised since, so it can not take effect later either.
    fn settle_doubtful_load(
        &mut self,
        adapter: AdapterKey,
        sequence: u64,
        now: ClockMillis,
        out: &mut ControlOutput,
    ) {
        let Some(stay) = self.residencies.get(&adapter) else { return };
        if stay.doubtful && sequence >= stay.proof_from {
            self.load_failed(adapter, now, out);
        }
    }

    fn unload_strangers(&self, report: &EngineReport, out: &mut ControlOutput) {
        for stranger in report.unknown_adapters.iter().filter(|stranger| stranger.running == 0) {
            self.order(OrderAction::UnloadUnknown(stranger.name.clone()), out);
        }
    }
}
