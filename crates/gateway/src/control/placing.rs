//! This host's part in placement: its domains' leases, its own planners, and their peers.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    clock::duration_millis,
    fleet::{EngineEntry, ModelKey, ServiceName, WeightVersion, routes::ModelHosting},
    id::FenceToken,
    placement::{LoadRateLimiter, OrderAnswer, PlacementPlanner, PlannedOrder},
};

use crate::{
    control::{
        TICK,
        domain::{PlanSubscriber, waited_keys},
        orders::start_actions,
        state::ControlState,
    },
    events::HostEvent,
    peers::frame::{DemandFrame, PlanFrame},
};

/// The shortest pause between two looks at the domains.
const LEAST_PAUSE: Duration = Duration::from_millis(2);

impl ControlState {
    /// Takes a peer's demand; `subscriber` gets the plan from now on.
    pub fn peer_demand(&mut self, frame: &DemandFrame, subscriber: Option<PlanSubscriber>) -> bool {
        let now = self.shared.clock.now();
        let Some(domain) = self.domains.get_mut(frame.service.as_str()) else { return false };
        if !domain.leads {
            return false;
        }
        let entries: Vec<_> = frame.entries.iter().map(Into::into).collect();
        let host = Arc::from(frame.host.as_str());
        if let Some(planner) = &mut domain.planner {
            planner.record_demand(&host, &entries, now);
            planner.record_work(&host, &frame.work(), now);
        }
        self.shared.wake_control.notify_one();
        let waited: Vec<ModelKey> = waited_keys(&entries).collect();
        for known in domain.subscribers.iter_mut().filter(|known| known.host == host) {
            known.asked.extend(waited.iter().cloned());
        }
        if let Some(subscriber) = subscriber {
            self.begin_listening(&frame.service, subscriber);
        }
        true
    }

    /// Takes a host that begins to listen to a service's placer, and tells it everything.
    fn begin_listening(&mut self, service: &str, subscriber: PlanSubscriber) {
        let sums = self.snapshot_for(&subscriber.host, service);
        let Some(domain) = self.domains.get_mut(service) else { return };
        let mut frames = std::iter::once(domain.whole_plan()).chain(sums);
        if frames.all(|frame| subscriber.frames.try_send(frame).is_ok()) {
            domain.subscribers.push(subscriber);
        }
    }

    /// Takes a placer's plan.
    pub fn peer_plan(&mut self, frame: &PlanFrame) {
        let now = self.shared.clock.now();
        let Some(domain) = self.domains.get_mut(frame.service.as_str()) else { return };
        if !domain.leads && domain.adopt_plan(frame, now) {
            self.shared.shared_work().take(domain.told_work(frame));
            self.hosts_counted(frame.hosts);
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
        domain.tenure.record_order_end(now);
        if answer == OrderAnswer::Fenced {
            domain.tenure.handle_token_refusal(token);
        }
        if domain.planned_token == token
            && let Some(planner) = &mut domain.planner
        {
            planner.handle_order_answer(order.id, answer, now);
            self.shared.wake_control.notify_one();
        }
    }

    /// Does what is due: demand, placement, publication. Returns when it is to be called again.
    pub fn tick(&mut self, own: &Rc<RefCell<Self>>) -> Duration {
        let now = self.shared.clock.now();
        self.tell_demand(now);
        self.note_era();
        self.settle_listings(now);
        self.show_positions();
        self.tick_feed(now);
        self.tick_announcements(now);
        self.tell_freshness();
        let services: Vec<ServiceName> = self.domains.keys().cloned().collect();
        let mut pause = TICK;
        for service in services {
            let due = self.tick_domain(&service, own, now);
            pause = due.map_or(pause, |due| pause.min(due.since(now).max(LEAST_PAUSE)));
        }
        let due = self.tick_sums(now);
        pause = due.map_or(pause, |due| pause.min(due.since(now).max(LEAST_PAUSE)));
        self.publish();
        pause
    }

    fn tell_demand(&mut self, now: ClockMillis) {
        let drained = self.shared.demand().drain(now);
        let host = Arc::clone(&self.shared.profile.name);
        for (service, told) in drained {
            if let Some(domain) = self.domains.get_mut(&service) {
                domain.tell_demand(&host, &told, now);
            }
        }
    }

    /// Begins or ends what belongs to the lease of a domain; returns whether a new one has begun, none while this host has none.
    fn follow_lease(&mut self, service: &ServiceName) -> Option<bool> {
        let domain = self.domains.get_mut(service)?;
        let state = domain.tenure.state();
        if self.lease_states.insert(Arc::clone(service), state) != Some(state) {
            let (service, token) = (service.to_string(), domain.tenure.token());
            let state = state.name().into();
            self.shared.events.write(HostEvent::Lease { service, state, token });
        }
        if !domain.tenure.is_holder() {
            if std::mem::take(&mut domain.leads) {
                domain.planner = None;
                domain.begin_telling();
                domain.subscribers.clear();
                domain.plan_live = false;
                self.shared.demand().tell_again(service);
            }
            return None;
        }
        let begins = !domain.leads || domain.planned_token != domain.tenure.token();
        domain.leads = true;
        if begins {
            domain.planned_token = domain.tenure.token();
            self.shared.demand().tell_again(service);
        }
        self.hosts_counted(self.domains[service].listeners());
        Some(begins)
    }

    /// Does what is due in one domain; returns when its next load ends, if this host knows.
    fn tick_domain(
        &mut self,
        service: &ServiceName,
        own: &Rc<RefCell<Self>>,
        now: ClockMillis,
    ) -> Option<ClockMillis> {
        let begins = self.follow_lease(service)?;
        let hosting = self.hosting(service)?;
        let window = self.load_window(&hosting);
        let listed = self.engines.values().filter(|entry| entry.service == *service);
        let engines: Vec<Arc<EngineEntry>> = listed.cloned().collect();
        let versions = self.versions.iter().map(|(key, named)| (Arc::clone(key), named.newest()));
        let versions: HashMap<ModelKey, WeightVersion> = versions.collect();
        let domain = self.domains.get_mut(service)?;
        let token = domain.tenure.acting_token(now);
        let begins = begins || domain.planner.is_none();
        let new = || PlacementPlanner::new(hosting.clone(), window);
        let planner = domain.planner.get_or_insert_with(new);
        planner.set_hosting(&hosting);
        if begins {
            planner.begin_tenure(now);
        }
        planner.set_engines(&engines);
        if begins {
            planner.restore_weight_caches(&domain.memories);
            if let Some(pace) = domain.pace {
                planner.restore_throughput(pace);
            }
        }
        planner.set_versions(&versions);
        planner.set_limits(self.shared.limits().limits());
        planner.set_cooldowns(self.shared.cooldowns().unavailable_engines(now).cloned().collect());
        if let Some(speed) = self.shared.prefill_speeds().get(service) {
            planner.set_prefill_speed(speed);
        }
        let actions = planner.plan(token.is_some(), now);
        let due = planner.next_load_due(now);
        let held = planner.take_quarantined_loads();
        let changed = domain.adopt_own_plan();
        if let Some(pace) = domain.take_changed_pace() {
            self.shared.events.write(HostEvent::StorePace {
                service: service.to_string(),
                full_speed: pace.parallel_loads,
                load_millis: duration_millis(pace.load_time),
            });
        }
        for load in held {
            self.shared.events.write(HostEvent::LoadHeld {
                service: service.to_string(),
                key: load.key.to_string(),
                ends: load.engine_failures,
                millis: duration_millis(load.quarantine),
            });
        }
        self.changed |= !changed.is_empty();
        domain.tell_plan(changed, now);
        let work = domain.tell_work(now);
        self.shared.shared_work().take(work);
        self.changed |= domain.answer_asked(now);
        start_actions(own, service, domain.planned_token, actions);
        due
    }

    fn hosting(&self, service: &str) -> Option<ModelHosting> {
        self.routes.as_ref()?.service(service)?.hosting.clone()
    }

    fn load_window(&self, hosting: &ModelHosting) -> LoadRateLimiter {
        let bounds = &self.shared.profile.bounds;
        LoadRateLimiter::new(hosting.loads_per_second, bounds.load_window, bounds.load_overage)
    }
}
