//! Assignment of engines to this host, and the I/O of their controllers.

use std::time::Duration;

use crate::{
    chart::{DrainState, EngineState, MemberState},
    clock::ClockMillis,
    engine::{
        ControllerOutput, EngineController, EngineOrder, EngineReport, OrderAction, OrderResult,
        TurnMessage,
    },
    id::{EngineId, HostId},
    member::MemberUpdate,
    message::PeerMessage,
    node::{HostEntry, HostKind, HostListChange, NodeAction, NodeCore},
    owner::{OwnedRole, rendezvous, role_key},
    settings::SettingKey,
};

impl NodeCore {
    /// Calls an engine's controller and applies its output.
    pub(super) fn with_controller(
        &mut self,
        engine: EngineId,
        call: impl FnOnce(&mut EngineController, ClockMillis, &mut ControllerOutput),
    ) {
        let now = self.now();
        let Some(controller) = self.controllers.get_mut(&engine) else { return };
        let before = controller.state();
        let mut output = ControllerOutput::default();
        call(controller, now, &mut output);
        let after = controller.state();
        if before != after {
            self.record_event(format!("engine {engine}"), after.name());
            if after == EngineState::TakingOver {
                self.counters.takeovers += 1;
            }
            // A take-over waits for the engine's report, so it is fetched at once.
            self.next_report_at.insert(engine, now);
        }
        self.apply_controller_output(engine, output);
    }

    fn apply_controller_output(&mut self, engine: EngineId, output: ControllerOutput) {
        let ControllerOutput { orders, messages, turn_messages, timeline_texts, .. } = output;
        self.counters.loads_ended += u64::from(output.loads_ended);
        self.counters.loads_failed += u64::from(output.loads_failed);
        self.counters.permits_granted += u64::from(output.permits_granted);
        let address = self.backends.engines.get(&engine).map(|view| view.info.address.clone());
        for order in orders {
            let Some(address) = address.clone() else { continue };
            self.actions.push(NodeAction::SendOrder { address, order });
        }
        for envelope in messages {
            self.send(envelope.to, envelope.message);
        }
        for turn_message in turn_messages {
            let message = match turn_message {
                TurnMessage::Ask(ask) => PeerMessage::LoadAsk(ask),
                TurnMessage::Release(turn) => PeerMessage::LoadEnd(turn),
            };
            self.send(self.scheduling_host, message);
        }
        for text in timeline_texts {
            self.record_event(format!("engine {engine}"), text);
        }
    }

    pub(super) fn handle_report(&mut self, engine: EngineId, report: &EngineReport) {
        self.with_controller(engine, |controller, now, out| {
            controller.handle_report(report, now, out);
        });
        if report.leaving {
            self.mark_leaving(engine);
        }
    }

    pub(super) fn handle_order_ended(&mut self, order: &EngineOrder, result: OrderResult) {
        self.with_controller(order.engine, |controller, now, out| {
            controller.handle_order_ended(order, result, now, out);
        });
        let awaits_report = self
            .controllers
            .get(&order.engine)
            .is_some_and(EngineController::awaits_settling_report);
        if awaits_report && order.action == OrderAction::RaiseFence {
            self.next_report_at.insert(order.engine, self.now());
        }
    }

    /// Applies changes of the platform's host list.
    ///
    /// The list lags behind, so it adds hosts but does not override what peers report of them.
    pub(super) fn handle_host_list_change(&mut self, change: HostListChange) {
        self.host_list_known = true;
        for entry in change.entries {
            self.apply_host_entry(entry);
        }
        for host in change.removed_hosts {
            // Without a fence, only removal from the host list proves that the process has ended.
            self.holder_gone(host, true, None);
        }
        for engine in change.removed_engines {
            self.backends.remove_engine(engine);
            self.with_controller(engine, EngineController::unassign);
            self.controllers.remove(&engine);
            self.next_report_at.remove(&engine);
        }
        for server in change.removed_servers {
            self.backends.servers.remove(&server);
        }
        self.ownership_dirty = true;
        self.update_ownership();
    }

    /// Adopts a peer's list of backend servers while the host list was never received.
    pub(super) fn adopt_backends(&mut self, backends: Vec<HostEntry>) {
        self.host_list_known = true;
        for entry in backends {
            self.apply_host_entry(entry);
        }
        self.ownership_dirty = true;
    }

    fn apply_host_entry(&mut self, HostEntry { kind, leaving }: HostEntry) {
        match kind {
            HostKind::Entry { host, hall, address } => {
                let (incarnation, refutations) = (0, 0);
                let state = MemberState::Alive;
                let update = MemberUpdate { host, hall, address, incarnation, refutations, state };
                self.merge_member(&update);
            }
            HostKind::Engine(info) => {
                let engine = info.engine;
                if let Some(controller) = self.controllers.get_mut(&engine) {
                    controller.update_info(info.clone());
                }
                self.backends.upsert_engine(info, leaving);
                if leaving {
                    self.mark_leaving(engine);
                }
            }
            HostKind::Server(info) => self.backends.upsert_server(info, leaving),
        }
    }

    /// Recomputes which engines this host owns if members or backend servers have changed.
    pub(super) fn update_ownership(&mut self) {
        let joining = self.now().since(self.started_at) < self.config.times.join_delay;
        if joining || !std::mem::take(&mut self.ownership_dirty) {
            return;
        }
        self.update_scheduling_host();
        let own_hall = self.config.hall;
        let engines: Vec<EngineId> = self
            .backends
            .engines
            .values()
            .filter(|view| view.info.hall == own_hall)
            .map(|view| view.info.engine)
            .collect();
        for engine in engines {
            if self.owner_in(engine, own_hall) == Some(self.config.host) {
                self.assign_engine(engine);
            } else {
                self.unassign_engine(engine);
            }
        }
    }

    fn assign_engine(&mut self, engine: EngineId) {
        let half_life = Duration::from_millis(self.site_integer(SettingKey::PopularityHalfLifeMs));
        let Some(view) = self.backends.engines.get(&engine) else { return };
        let (host, policy) = (self.config.host, self.config.policy.clone());
        let times = self.config.times.engine(half_life);
        let info = &view.info;
        let leaving = view.leaving_mark.is_set();
        self.controllers
            .entry(engine)
            .or_insert_with(|| EngineController::new(info.clone(), host, policy, times));
        self.with_controller(engine, |controller, now, out| {
            controller.assign(now);
            if leaving {
                controller.mark_leaving(now, out);
            }
        });
    }

    fn unassign_engine(&mut self, engine: EngineId) {
        let Some(controller) = self.controllers.get(&engine) else { return };
        // A stopping host keeps serving a fenced engine until its successor raises the fence.
        let hands_over = self.drain == DrainState::HandingOver && controller.info().checks_fence;
        if !hands_over {
            self.with_controller(engine, EngineController::unassign);
        }
    }

    /// Gossips the digests of owned engines that have changed.
    pub(super) fn gossip_digests(&mut self) {
        let digests: Vec<_> =
            self.controllers.values_mut().filter_map(EngineController::take_digest).collect();
        let hosts = self.members.live_count();
        for digest in digests {
            let engine = digest.engine;
            if self.backends.store_digest(&digest) {
                self.digest_gossip.add(engine, hosts);
            }
        }
    }

    /// Releases the permits of a host that is gone or has restarted.
    ///
    /// Permits of `except_incarnation`, which replaced the earlier process, are kept.
    pub(super) fn holder_gone(
        &mut self,
        host: HostId,
        confirmed: bool,
        except_incarnation: Option<u64>,
    ) {
        let engines: Vec<EngineId> = self.controllers.keys().copied().collect();
        for engine in engines {
            self.with_controller(engine, |controller, now, _| {
                controller.holder_gone(host, confirmed, except_incarnation, now);
            });
        }
    }

    /// Gives up engines that do not check fences after the process was paused: another host may own
    /// them by now.
    pub(super) fn handle_process_pause(&mut self, gap: Duration) {
        self.counters.pauses += 1;
        self.record_event("host", format!("was paused for {} ms", gap.as_millis()));
        let unfenced: Vec<EngineId> = self
            .controllers
            .iter()
            .filter(|(_, controller)| !controller.info().checks_fence)
            .map(|(engine, _)| *engine)
            .collect();
        for engine in unfenced {
            self.with_controller(engine, EngineController::unassign);
        }
        self.ownership_dirty = true;
    }

    fn update_scheduling_host(&mut self) {
        let key = role_key(OwnedRole::LoadScheduler, 0);
        let host = rendezvous(key, self.members.eligible_owners(None)).unwrap_or(self.config.host);
        if host == self.scheduling_host {
            return;
        }
        if self.scheduling_host == self.config.host {
            self.load_scheduler.clear();
        }
        self.scheduling_host = host;
        self.record_event("store", format!("host {host} gives the turns"));
    }
}
