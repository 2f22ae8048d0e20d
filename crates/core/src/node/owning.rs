//! Which engines this host owns, and the outside of owning one.

use std::time::Duration;

use crate::{
    chart::{DrainState, EngineState, MemberState},
    clock::ClockMillis,
    engine::{
        ControlOutput, EngineControl, EngineOrder, EngineReport, OrderAction, OrderResult,
        StoreWish,
    },
    id::{EngineId, HostId},
    member::MemberUpdate,
    message::PeerMessage,
    node::{HostChange, HostEntry, HostKind, NodeCore, NodeOrder},
    owner::{OwnedRole, rendezvous, role_key},
    settings::SettingKey,
};

impl NodeCore {
    /// Calls an engine's control and carries out what follows.
    pub(super) fn control(
        &mut self,
        engine: EngineId,
        call: impl FnOnce(&mut EngineControl, ClockMillis, &mut ControlOutput),
    ) {
        let now = self.now();
        let Some(control) = self.controls.get_mut(&engine) else { return };
        let before = control.state();
        let mut output = ControlOutput::default();
        call(control, now, &mut output);
        let after = control.state();
        if before != after {
            self.note(format!("engine {engine}"), after.name());
            if after == EngineState::TakingOver {
                self.counters.takeovers += 1;
            }
            // A take-over goes on with the engine's report, so it is asked for at once.
            self.report_due.insert(engine, now);
        }
        self.carry_out(engine, output);
    }

    fn carry_out(&mut self, engine: EngineId, output: ControlOutput) {
        let ControlOutput { orders, messages, wishes, notes, .. } = output;
        self.counters.loads_ended += u64::from(output.loads_ended);
        self.counters.loads_failed += u64::from(output.loads_failed);
        self.counters.permits_granted += u64::from(output.granted);
        let address = self.backends.engines.get(&engine).map(|view| view.facts.address.clone());
        for order in orders {
            let Some(address) = address.clone() else { continue };
            self.orders.push(NodeOrder::Order { address, order });
        }
        for envelope in messages {
            self.send(envelope.to, envelope.message);
        }
        for wish in wishes {
            let message = match wish {
                StoreWish::Ask(ask) => PeerMessage::LoadAsk(ask),
                StoreWish::End(turn) => PeerMessage::LoadEnd(turn),
            };
            self.send(self.turns_host, message);
        }
        for text in notes {
            self.note(format!("engine {engine}"), text);
        }
    }

    pub(super) fn take_report(&mut self, engine: EngineId, report: &EngineReport) {
        self.control(engine, |control, now, out| control.report(report, now, out));
        if report.leaving {
            self.mark_leaving(engine);
        }
    }

    pub(super) fn order_ended(&mut self, order: &EngineOrder, result: OrderResult) {
        self.control(order.engine, |control, now, out| {
            control.order_ended(order, result, now, out);
        });
        let awaits = self.controls.get(&order.engine).is_some_and(EngineControl::awaits_proof);
        if awaits && order.action == OrderAction::Raise {
            self.report_due.insert(order.engine, self.now());
        }
    }

    /// Takes changes of the platform's host list, which lags: it seeds, and never takes back.
    pub(super) fn take_hosts(&mut self, change: HostChange) {
        self.hosts_known = true;
        for entry in change.entries {
            self.take_host(entry);
        }
        for host in change.gone_hosts {
            // Only the platform's word that a host is gone is certain enough without a fence.
            self.holder_gone(host, true, None);
        }
        for engine in change.gone_engines {
            self.backends.remove_engine(engine);
            self.control(engine, EngineControl::unassign);
            self.controls.remove(&engine);
            self.report_due.remove(&engine);
        }
        for server in change.gone_servers {
            self.backends.servers.remove(&server);
        }
        self.view_dirty = true;
        self.settle_ownership();
    }

    /// Takes the backend servers from a peer, as long as the host list itself was never seen.
    pub(super) fn take_backends(&mut self, backends: Vec<HostEntry>) {
        self.hosts_known = true;
        for entry in backends {
            self.take_host(entry);
        }
        self.view_dirty = true;
    }

    fn take_host(&mut self, HostEntry { kind, leaving }: HostEntry) {
        match kind {
            HostKind::Entry { host, hall, address } => {
                let (incarnation, refutations) = (0, 0);
                let state = MemberState::Alive;
                let update = MemberUpdate { host, hall, address, incarnation, refutations, state };
                self.hear_member(&update);
            }
            HostKind::Engine(facts) => {
                let engine = facts.engine;
                if let Some(control) = self.controls.get_mut(&engine) {
                    control.update_facts(facts.clone());
                }
                self.backends.put_engine(facts, leaving);
                if leaving {
                    self.mark_leaving(engine);
                }
            }
            HostKind::Server(facts) => self.backends.put_server(facts, leaving),
        }
    }

    /// Brings ownership in line with the view, after the view changed.
    pub(super) fn settle_ownership(&mut self) {
        let joining = self.now().since(self.started) < self.config.times.join_wait;
        if joining || !std::mem::take(&mut self.view_dirty) {
            return;
        }
        self.settle_turns_host();
        let own_hall = self.config.hall;
        let engines: Vec<EngineId> = self
            .backends
            .engines
            .values()
            .filter(|view| view.facts.hall == own_hall)
            .map(|view| view.facts.engine)
            .collect();
        for engine in engines {
            if self.owner_in(engine, own_hall) == Some(self.config.host) {
                self.own(engine);
            } else {
                self.disown(engine);
            }
        }
    }

    fn own(&mut self, engine: EngineId) {
        let half_life = Duration::from_millis(self.site_number(SettingKey::PopularityHalfLifeMs));
        let Some(view) = self.backends.engines.get(&engine) else { return };
        let (host, policy) = (self.config.host, self.config.policy.clone());
        let times = self.config.times.engine(half_life);
        let facts = &view.facts;
        let left = view.leave.holds();
        self.controls
            .entry(engine)
            .or_insert_with(|| EngineControl::new(facts.clone(), host, policy, times));
        self.control(engine, |control, now, out| {
            control.assign(now);
            if left {
                control.leave_seen(now, out);
            }
        });
    }

    fn disown(&mut self, engine: EngineId) {
        let Some(control) = self.controls.get(&engine) else { return };
        // A stopping host serves a fenced engine until another has raised the fence.
        let hands_over = self.drain == DrainState::HandingOver && control.facts().checks_fence;
        if !hands_over {
            self.control(engine, EngineControl::unassign);
        }
    }

    /// Passes on the residencies that changed.
    pub(super) fn spread_digests(&mut self) {
        let digests: Vec<_> =
            self.controls.values_mut().filter_map(EngineControl::take_digest).collect();
        let hosts = self.members.live_count();
        for digest in digests {
            let engine = digest.engine;
            if self.backends.put_digest(&digest) {
                self.digest_gossip.add(engine, hosts);
            }
        }
    }

    /// Takes the news that a holder of permits is gone, or that its process began a new life.
    pub(super) fn holder_gone(&mut self, host: HostId, certain: bool, but: Option<u64>) {
        let engines: Vec<EngineId> = self.controls.keys().copied().collect();
        for engine in engines {
            self.control(engine, |control, now, _| control.holder_gone(host, certain, but, now));
        }
    }

    /// A stopped process does not know what happened meanwhile: engines that do not check fences
    /// are given up, since another host may own them by now.
    pub(super) fn woke_from_pause(&mut self, gap: Duration) {
        self.counters.pauses += 1;
        self.note("host", format!("was paused for {} ms", gap.as_millis()));
        let unfenced: Vec<EngineId> = self
            .controls
            .iter()
            .filter(|(_, control)| !control.facts().checks_fence)
            .map(|(engine, _)| *engine)
            .collect();
        for engine in unfenced {
            self.control(engine, EngineControl::unassign);
        }
        self.view_dirty = true;
    }

    fn settle_turns_host(&mut self) {
        let key = role_key(OwnedRole::LoadScheduler, 0);
        let host = rendezvous(key, self.members.eligible_owners(None)).unwrap_or(self.config.host);
        if host == self.turns_host {
            return;
        }
        if self.turns_host == self.config.host {
            self.turns.clear();
        }
        self.turns_host = host;
        self.note("store", format!("host {host} gives the turns"));
    }
}
