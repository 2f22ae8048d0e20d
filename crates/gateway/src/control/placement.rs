//! This host's part in placement: the leases and planners of its domains, and the frames exchanged
//! with peers.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    clock::duration_millis,
    fleet::{EngineEntry, ModelKey, ServiceName, WeightVersion, routes::ModelHosting},
    id::FenceToken,
    placement::{
        LoadRateLimiter, OrderAnswer, PlacementPlanner, PlannedOrder,
        residency::{AffinityResidency, ResidencyPolicy, StandingResidency},
    },
};

use crate::{
    control::{TICK_INTERVAL, domain::PlanSubscriber, orders::spawn_actions, state::ControlState},
    events::HostEvent,
    peers::frame::{DemandFrame, PlanFrame},
};

/// Minimum delay between two ticks of the domains.
const MIN_TICK_DELAY: Duration = Duration::from_millis(2);

impl ControlState {
    /// Handles a peer's demand; `subscriber` receives the plan from now on.
    pub fn handle_peer_demand(
        &mut self,
        frame: &DemandFrame,
        subscriber: Option<PlanSubscriber>,
    ) -> bool {
        let now = self.shared.clock.now();
        let Some(domain) = self.domains.get_mut(frame.service.as_str()) else { return false };
        if !domain.holds_lease {
            return false;
        }
        let entries: Vec<_> = frame.entries.iter().map(Into::into).collect();
        let host = Arc::from(frame.host.as_str());
        if let Some(planner) = &mut domain.planner {
            planner.record_demand(&host, &entries, now);
            planner.record_work(&host, &frame.work(), now);
        }
        if let Some(throughput) = &frame.store_throughput {
            domain.receive_throughput(throughput.into());
        }
        self.shared.wake_control.notify_one();
        for existing in domain.subscribers.iter_mut().filter(|existing| existing.host == host) {
            existing.awaiting_estimates.record(&entries);
        }
        if let Some(subscriber) = subscriber {
            self.add_subscriber(&frame.service, subscriber);
        }
        true
    }

    /// Adds a subscriber to a service's plan and sends it the complete state.
    fn add_subscriber(&mut self, service: &str, subscriber: PlanSubscriber) {
        let now = self.shared.clock.now();
        let aggregates = self.aggregate_snapshot(&subscriber.host, service);
        let Some(domain) = self.domains.get_mut(service) else { return };
        let mut frames = std::iter::once(domain.full_plan()).chain(aggregates);
        if frames.all(|frame| subscriber.frames.try_send(frame).is_ok()) {
            domain.add_subscriber(subscriber, now);
        }
    }

    /// Applies a placer's plan.
    pub fn apply_placer_plan(&mut self, frame: &PlanFrame) {
        let now = self.shared.clock.now();
        let Some(domain) = self.domains.get_mut(frame.service.as_str()) else { return };
        if !domain.holds_lease && domain.apply_plan(frame, now) {
            let service = Arc::clone(&domain.service);
            self.shared.shared_work().update(domain.decode_work(frame));
            self.record_host_report(frame.host_report());
            let has_residency = !frame.engines.is_empty() || !frame.changes.is_empty();
            // A frame without content is the heartbeat of a placer with no changed work.
            let is_heartbeat = !has_residency && frame.estimates.is_empty();
            if is_heartbeat || !frame.work.is_empty() {
                self.shared.shared_work().confirm(&service, now);
            }
            self.table_changed |= has_residency || !frame.estimates.is_empty();
            self.publish();
        }
    }

    /// Handles an engine's response to an order.
    pub fn handle_order_answer(
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
        if domain.lease_token == token
            && let Some(planner) = &mut domain.planner
        {
            planner.handle_order_answer(order.id, answer, now);
            self.shared.wake_control.notify_one();
        }
    }

    /// Does what is due: demand, placement and publication; returns the delay until the next call.
    pub fn tick(&mut self, state: &Rc<RefCell<Self>>) -> Duration {
        let now = self.shared.clock.now();
        self.send_demand(now);
        self.handle_new_era();
        self.apply_due_listings(now);
        self.update_position_metrics();
        self.tick_feed(now);
        self.tick_announcements(now);
        self.update_freshness();
        let services: Vec<ServiceName> = self.domains.keys().cloned().collect();
        let mut delay = TICK_INTERVAL;
        for service in services {
            let due = self.tick_domain(&service, state, now);
            delay = due.map_or(delay, |due| delay.min(due.since(now).max(MIN_TICK_DELAY)));
        }
        let due = self.tick_aggregates(now);
        delay = due.map_or(delay, |due| delay.min(due.since(now).max(MIN_TICK_DELAY)));
        self.publish();
        delay
    }

    fn send_demand(&mut self, now: ClockMillis) {
        let reports = self.shared.demand().drain(now);
        let host = Arc::clone(&self.shared.profile.name);
        for (service, report) in reports {
            if let Some(domain) = self.domains.get_mut(&service) {
                domain.send_demand(&host, &report, now);
            }
        }
    }

    /// Follows the state of a domain's lease. Returns whether a new tenure has started, or nothing
    /// if this host does not hold the lease.
    fn update_lease(&mut self, service: &ServiceName, now: ClockMillis) -> Option<bool> {
        let domain = self.domains.get_mut(service)?;
        let state = domain.tenure.state();
        if self.lease_states.insert(Arc::clone(service), state) != Some(state) {
            let (service, token) = (service.to_string(), domain.tenure.token());
            let state = state.name().into();
            self.shared.events.write(HostEvent::Lease { service, state, token });
        }
        if !domain.tenure.is_holder() {
            if std::mem::take(&mut domain.holds_lease) {
                domain.planner = None;
                domain.reset_encoding_state();
                domain.subscribers.clear();
                domain.plan_up_to_date = false;
                self.shared.demand().resend_all(service);
            }
            return None;
        }
        let is_new = !domain.holds_lease || domain.lease_token != domain.tenure.token();
        domain.holds_lease = true;
        if is_new {
            domain.begin_tenure(self.host_count.reported(), now);
            self.shared.demand().resend_all(service);
        }
        let report = domain.update_host_report(now);
        self.record_host_report(report);
        Some(is_new)
    }

    /// Does what is due in one domain; returns when its next load is due, if known.
    fn tick_domain(
        &mut self,
        service: &ServiceName,
        state: &Rc<RefCell<Self>>,
        now: ClockMillis,
    ) -> Option<ClockMillis> {
        let is_new = self.update_lease(service, now)?;
        let hosting = self.hosting(service)?;
        let rate_limiter = self.load_rate_limiter(&hosting);
        let residency = self.residency_policy();
        let listed = self.engines.values().filter(|entry| entry.service == *service);
        let engines: Vec<Arc<EngineEntry>> = listed.cloned().collect();
        let versions =
            self.versions.iter().map(|(key, published)| (Arc::clone(key), published.newest()));
        let versions: HashMap<ModelKey, WeightVersion> = versions.collect();
        let domain = self.domains.get_mut(service)?;
        let follows_changes =
            self.routes.as_ref().is_some_and(|routes| routes.has_tight_timeouts());
        let token = domain.tenure.acting_token(now);
        let is_new = is_new || domain.planner.is_none();
        let new = || PlacementPlanner::new(hosting.clone(), rate_limiter);
        let planner = domain.planner.get_or_insert_with(new);
        planner.set_hosting(&hosting);
        planner.set_residency_policy(residency);
        if is_new {
            planner.begin_tenure(now);
        }
        planner.set_engines(&engines);
        if is_new {
            planner.restore_weight_caches(&domain.weight_caches);
        }
        if is_new || !domain.has_throughput() {
            domain.restore_throughput();
        }
        let planner = domain.planner.as_mut()?;
        planner.set_versions(&versions);
        planner.set_limits(self.shared.limits().rate_limits());
        planner.set_cooldowns(self.shared.cooldowns().unavailable_engines(now).cloned().collect());
        if let Some(speed) = self.shared.prefill_speeds().get(service) {
            planner.set_prefill_speed(speed);
        }
        let actions = planner.plan(token.is_some(), now);
        let due = planner.next_load_due(now);
        let quarantined = planner.take_quarantined_loads();
        let changed = domain.apply_own_plan();
        if let Some(throughput) = domain.take_changed_throughput() {
            self.shared.events.write(HostEvent::StorePace {
                service: service.to_string(),
                full_speed: throughput.parallel_loads,
                load_millis: duration_millis(throughput.load_time),
            });
        }
        for load in quarantined {
            self.shared.events.write(HostEvent::LoadHeld {
                service: service.to_string(),
                key: load.key.to_string(),
                ends: load.engine_failures,
                millis: duration_millis(load.quarantine),
            });
        }
        self.table_changed |= !changed.is_empty();
        domain.send_plan_changes(changed, now);
        let work = domain.send_work(now);
        let mut shared_work = self.shared.shared_work();
        shared_work.update(work);
        shared_work.confirm(service, now);
        drop(shared_work);
        self.table_changed |= domain.send_estimates(follows_changes, now);
        spawn_actions(state, service, domain.lease_token, actions);
        due
    }

    fn hosting(&self, service: &str) -> Option<ModelHosting> {
        self.routes.as_ref()?.service(service)?.hosting.clone()
    }

    /// Returns the policy that the configuration calls for.
    fn residency_policy(&self) -> &'static dyn ResidencyPolicy {
        if self.has_tight_timeouts() { &AffinityResidency } else { &StandingResidency }
    }

    /// Returns whether the configuration in force has tight timeouts.
    pub(super) fn has_tight_timeouts(&self) -> bool {
        self.routes.as_ref().is_some_and(|routes| routes.has_tight_timeouts())
    }

    fn load_rate_limiter(&self, hosting: &ModelHosting) -> LoadRateLimiter {
        let bounds = &self.shared.profile.bounds;
        LoadRateLimiter::new(hosting.loads_per_second, bounds.load_window, bounds.load_overage)
    }
}
