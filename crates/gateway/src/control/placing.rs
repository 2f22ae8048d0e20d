//! This host's part in placement: its domains' leases, its own planners, and their peers.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    clock::duration_millis,
    fleet::{EngineEntry, ModelKey, ServiceName, WeightVersion, routes::ModelHosting},
    id::FenceToken,
    placement::{LoadWindow, OrderAnswer, PlacementPlanner, PlannedOrder},
};

use crate::{
    control::{
        TICK,
        domain::{PlanSubscriber, waited_keys},
        orders::start_actions,
        quotas::keep_ledger,
        state::ControlState,
    },
    events::HostEvent,
    peers::frame::{DemandFrame, PlanFrame},
};

/// How often this host tells the ledger of the quotas anything, so that its silence shows when it is cut off.
const LEDGER_WORD: Duration = Duration::from_millis(250);

/// The shortest pause between two looks at the domains.
const LEAST_PAUSE: Duration = Duration::from_millis(2);

impl ControlState {
    /// Takes a peer's demand; `subscriber` gets the plan from now on.
    pub fn peer_demand(&mut self, frame: &DemandFrame, subscriber: Option<PlanSubscriber>) -> bool {
        let now = self.shared.clock.now();
        let begins = subscriber.is_some();
        let suspects = if begins { self.suspects_for_all(&frame.service, now) } else { Vec::new() };
        let Some(domain) = self.domains.get_mut(frame.service.as_str()) else { return false };
        let Some(planner) = &mut domain.planner else { return false };
        let entries: Vec<_> = frame.entries.iter().map(Into::into).collect();
        let host = Arc::from(frame.host.as_str());
        planner.demand_noted(&host, &entries, now);
        planner.work_noted(&host, &frame.work(), now);
        if let Some(ledger) = &mut domain.ledger {
            ledger.take_usage(&host, frame, begins, now);
        }
        self.shared.wake_control.notify_one();
        let waited: Vec<ModelKey> = waited_keys(&entries).collect();
        for known in domain.subscribers.iter_mut().filter(|known| known.host == host) {
            known.asked.extend(waited.iter().cloned());
        }
        if let Some(subscriber) = subscriber
            && subscriber.frames.try_send(domain.whole_plan(suspects)).is_ok()
        {
            domain.subscribers.push(subscriber);
        }
        self.suspects_heard(&frame.suspects, now);
        true
    }

    /// Takes a placer's plan.
    pub fn peer_plan(&mut self, frame: &PlanFrame) {
        let now = self.shared.clock.now();
        let Some(domain) = self.domains.get_mut(frame.service.as_str()) else { return };
        if domain.planner.is_none() && domain.adopt_plan(frame, now) {
            self.shared.shared_work().take(domain.told_work(frame));
            self.hosts_counted(frame.hosts);
            self.take_quota_words(frame, now);
            self.suspects_heard(&frame.suspects, now);
            let holdings = !frame.engines.is_empty() || !frame.changes.is_empty();
            self.changed |= holdings || !frame.estimates.is_empty();
            self.publish();
        }
    }

    /// Takes an engine's word on an order.
    pub fn order_answered(
        &mut self,
        service: &str,
        token: FenceToken,
        order: &PlannedOrder,
        answer: OrderAnswer,
        now: ClockMillis,
    ) {
        let Some(domain) = self.domains.get_mut(service) else { return };
        domain.tenure.order_ended(now);
        if answer == OrderAnswer::Fenced {
            domain.tenure.refused(token);
        }
        if domain.planned_token == token
            && let Some(planner) = &mut domain.planner
        {
            planner.order_answered(order.id, answer, now);
            self.shared.wake_control.notify_one();
        }
    }

    /// Does what is due: demand, placement, publication. Returns when it is to be called again.
    pub fn tick(&mut self, own: &Rc<RefCell<Self>>) -> Duration {
        let now = self.shared.clock.now();
        self.tell_demand(now);
        self.tell_suspects(now);
        self.log_suspects();
        self.log_limits(now);
        self.note_era();
        self.settle_listings(now);
        self.show_positions();
        self.tick_feed(now);
        self.tell_freshness();
        let services: Vec<ServiceName> = self.domains.keys().cloned().collect();
        let mut pause = TICK;
        for service in services {
            let due = self.tick_domain(&service, own, now);
            pause = due.map_or(pause, |due| pause.min(due.since(now).max(LEAST_PAUSE)));
        }
        self.publish();
        pause
    }

    fn tell_demand(&mut self, now: ClockMillis) {
        let mut drained = self.shared.demand().drain(now);
        let host = Arc::clone(&self.shared.profile.name);
        let mut used = self.shared.quotas().untold();
        let ledger_service = self.ledger_service();
        let due = !used.is_empty() || now.since(self.ledger_told) >= LEDGER_WORD;
        if let Some(service) = ledger_service.as_ref().filter(|_| due) {
            drained.entry(Arc::clone(service)).or_default();
            self.ledger_told = now;
        }
        for (service, told) in drained {
            let Some(domain) = self.domains.get_mut(&service) else { continue };
            let granted = if ledger_service.as_ref() == Some(&service) {
                std::mem::take(&mut used)
            } else {
                Vec::new()
            };
            if domain.tell_demand(&host, &told, &granted, now) {
                self.shared.quotas().was_told(&granted);
            }
        }
    }

    /// Does what is due in one domain; returns when its next load ends, if this host knows.
    fn tick_domain(
        &mut self,
        service: &ServiceName,
        own: &Rc<RefCell<Self>>,
        now: ClockMillis,
    ) -> Option<ClockMillis> {
        let hosting = self.hosting(service)?;
        let window = self.load_window(&hosting);
        let listed = self.engines.values().filter(|entry| entry.service == *service);
        let engines: Vec<Arc<EngineEntry>> = listed.cloned().collect();
        let versions = self.versions.iter().map(|(key, named)| (Arc::clone(key), named.newest()));
        let versions: HashMap<ModelKey, WeightVersion> = versions.collect();
        let keeps_ledger = self.ledger_service().as_ref() == Some(service);
        let domain = self.domains.get_mut(service)?;
        let token = domain.tenure.acting_token(now);
        let state = domain.tenure.state();
        if self.lease_states.insert(Arc::clone(service), state) != Some(state) {
            let (service, token) = (service.to_string(), domain.tenure.token());
            let state = state.name().into();
            self.shared.events.write(HostEvent::Lease { service, state, token });
        }
        if !domain.tenure.is_holder() {
            if domain.planner.take().is_some() {
                domain.ledger = None;
                domain.begin_telling();
                domain.subscribers.clear();
                domain.plan_live = false;
                self.shared.demand().tell_again(service);
            }
            return None;
        }
        let begins = domain.planner.is_none() || domain.planned_token != domain.tenure.token();
        let new = || PlacementPlanner::new(hosting.clone(), window);
        let planner = domain.planner.get_or_insert_with(new);
        planner.hosting_changed(&hosting);
        if begins {
            domain.planned_token = domain.tenure.token();
            planner.begin_tenure(now);
            self.shared.demand().tell_again(service);
            self.shared.quarantine().tell_all_again();
        }
        planner.engines_listed(&engines);
        if begins {
            planner.recall(&domain.memories);
            if let Some(pace) = domain.pace {
                planner.pace_known(pace);
            }
        }
        if keeps_ledger {
            let bounds = &self.shared.profile.bounds;
            if begins {
                domain.ledger = None;
            }
            let opens_full = self.shared.quotas().opens_full();
            keep_ledger(&mut domain.ledger, self.routes.as_deref(), bounds, opens_full, now);
        } else {
            domain.ledger = None;
        }
        planner.versions_named(&versions);
        if let Some(speed) = self.shared.reading().get(service) {
            planner.reading_learnt(speed);
        }
        let actions = planner.plan(token.is_some(), now);
        let due = planner.next_due(now);
        let held = planner.take_held_loads();
        let changed = domain.adopt_own_plan();
        if let Some(pace) = domain.take_changed_pace() {
            self.shared.events.write(HostEvent::StorePace {
                service: service.to_string(),
                full_speed: pace.full_speed,
                load_millis: duration_millis(pace.load_time),
            });
        }
        for load in held {
            self.shared.events.write(HostEvent::LoadHeld {
                service: service.to_string(),
                key: load.key.to_string(),
                ends: load.ends,
                millis: duration_millis(load.time),
            });
        }
        self.changed |= !changed.is_empty();
        domain.tell_plan(changed, now);
        let listeners = domain.listeners();
        let work = domain.tell_work(now);
        domain.tell_quotas(now);
        if let Some(ledger) = &mut domain.ledger {
            self.shared.quotas().ledger_heard(&ledger.quotas.named(now), now);
        }
        self.shared.shared_work().take(work);
        self.changed |= domain.answer_asked(now);
        start_actions(own, service, domain.planned_token, actions);
        self.hosts_counted(listeners);
        due
    }

    fn hosting(&self, service: &str) -> Option<ModelHosting> {
        self.routes.as_ref()?.service(service)?.hosting.clone()
    }

    fn load_window(&self, hosting: &ModelHosting) -> LoadWindow {
        let bounds = &self.shared.profile.bounds;
        LoadWindow::new(hosting.loads_per_second, bounds.load_window, bounds.load_overage)
    }
}
