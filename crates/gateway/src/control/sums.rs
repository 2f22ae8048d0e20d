//! State that all hosts hold together: each host reports its part, a coordinator aggregates it and publishes the result.
//!
//! The coordinator is the placer of one service. Reports and results travel over the connections that carry demand and plans.
//! Each kind of state is a [`FleetSum`]. Nothing is agreed on: a new coordinator receives all reports again, and until then each
//! host decides by what it knows.

pub mod departures;
pub mod limits;
pub mod quotas;
pub mod suspects;

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use reelreel_core::{
    ClockMillis,
    fleet::{EngineEntry, EngineIncarnation, EngineName, ServiceName, routes::RouteTable},
    id::FenceToken,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    control::{
        domain::{PlacementDomain, RemovedSubscriber},
        state::ControlState,
        sums::{
            departures::DepartureSum, limits::LimitSum, quotas::QuotaSum, suspects::SuspectSum,
        },
    },
    host::SharedState,
    peers::{
        aggregate_frames::{AggregateFrame, HostReportFrame},
        frame::{EncodedFrame, FrameBody},
    },
    profile::HostProfile,
    store::membership::GroupMember,
};

/// The longest time between two frames of the coordinator, so that its silence shows.
const ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// What a sum needs to act.
#[derive(Clone, Copy)]
pub struct SumContext<'state> {
    /// The time.
    pub now: ClockMillis,
    /// The configuration in force.
    pub routes: Option<&'state RouteTable>,
    /// This host's name.
    pub host: &'state Arc<str>,
    /// Whether the store has confirmed this host's lease lately, where it is the coordinator; otherwise another one may act too.
    pub confirmed: bool,
    engines: &'state BTreeMap<EngineName, Arc<EngineEntry>>,
    owners: &'state HashMap<u32, GroupMember>,
    profile: &'state HostProfile,
}

impl SumContext<'_> {
    /// Returns the incarnation in which an engine is listed, unless it is leaving.
    pub fn active_life(&self, engine: &str) -> Option<EngineIncarnation> {
        let entry = self.engines.get(engine).filter(|entry| !entry.leaving);
        entry.map(|entry| entry.incarnation)
    }

    /// Returns whether this host stands in for the coordinator for an engine: it holds the partition that the engine's name falls
    /// to.
    pub fn stands_in(&self, engine: &str) -> bool {
        let partitions = u64::from(self.profile.partitions.max(1));
        let partition = u32::try_from(xxh3_64(engine.as_bytes()) % partitions).unwrap_or_default();
        self.owners.get(&partition).is_some_and(|owner| owner.address == self.profile.peer_address)
    }
}

/// State that all hosts report and the coordinator aggregates.
pub trait FleetSum {
    /// Starts coordinating under a new lease.
    fn begin(&mut self, context: &SumContext<'_>);

    /// Stops coordinating.
    fn end(&mut self);

    /// Marks this host's reports as pending, since another host has become the coordinator.
    fn resend_all(&mut self);

    /// Writes this host's pending reports; returns whether they are due.
    fn report(&mut self, frame: &mut HostReportFrame, context: &SumContext<'_>) -> bool;

    /// Takes whether the reports of a frame were sent.
    fn acknowledge(&mut self, frame: &HostReportFrame, sent: bool);

    /// Aggregates a host's reports.
    fn count(&mut self, host: &Arc<str>, frame: &HostReportFrame, context: &SumContext<'_>);

    /// Writes the whole state for a new subscriber.
    fn snapshot(&mut self, host: &Arc<str>, frame: &mut AggregateFrame, context: &SumContext<'_>);

    /// Takes that a subscriber has disconnected.
    fn unsubscribed(&mut self, listener: &RemovedSubscriber, context: &SumContext<'_>);

    /// Writes what has changed for all subscribers and applies it to this host; `due` asks for what is published regularly.
    fn publish(&mut self, frame: &mut AggregateFrame, due: bool, context: &SumContext<'_>);

    /// Applies what the coordinator has published.
    fn receive(&mut self, frame: &AggregateFrame, context: &SumContext<'_>);

    /// Returns frames for single hosts.
    fn replies(&mut self) -> Vec<(Arc<str>, AggregateFrame)> {
        Vec::new()
    }

    /// Does what is due on every host, and logs what has happened.
    fn tick(&mut self, _context: &SumContext<'_>) {}

    /// Returns when the coordinator has something to publish next.
    fn next_due(&self, _now: ClockMillis) -> Option<ClockMillis> {
        None
    }
}

/// All sums, and whether this host coordinates them.
pub struct SumLane {
    sums: Vec<Box<dyn FleetSum>>,
    /// The service whose placer coordinates, and the lease under which this host does.
    keeps: Option<(ServiceName, FenceToken)>,
    /// When a frame was last published.
    spoken: ClockMillis,
}

impl SumLane {
    /// Starts without any lease.
    pub fn new(shared: &Arc<SharedState>) -> Self {
        let sums: Vec<Box<dyn FleetSum>> = vec![
            Box::new(QuotaSum::new(Arc::clone(shared))),
            Box::new(SuspectSum::new(Arc::clone(shared))),
            Box::new(LimitSum::new(Arc::clone(shared))),
            Box::new(DepartureSum::new(Arc::clone(shared))),
        ];
        Self { sums, keeps: None, spoken: ClockMillis::default() }
    }

    /// Takes the lease under which this host coordinates, if any.
    fn keep(&mut self, lease: Option<(ServiceName, FenceToken)>, context: &SumContext<'_>) {
        if self.keeps == lease {
            return;
        }
        self.keeps = lease;
        for sum in &mut self.sums {
            if self.keeps.is_some() { sum.begin(context) } else { sum.end() }
        }
    }

    /// Aggregates the reports of all hosts, this one included, and publishes the result.
    fn add_up(&mut self, domain: &mut PlacementDomain, context: &SumContext<'_>) {
        let mut own = HostReportFrame::default();
        for sum in &mut self.sums {
            sum.report(&mut own, context);
            sum.acknowledge(&own, true);
            sum.count(context.host, &own, context);
        }
        for listener in domain.take_removed() {
            for sum in &mut self.sums {
                sum.unsubscribed(&listener, context);
            }
        }
        let due = context.now.since(self.spoken) >= ALIVE_INTERVAL;
        let mut frame = AggregateFrame::default();
        for sum in &mut self.sums {
            sum.publish(&mut frame, due, context);
        }
        if due || frame != AggregateFrame::default() {
            self.spoken = context.now;
            domain.broadcast(&encoded_sums(domain, frame));
        }
        for (host, frame) in self.sums.iter_mut().flat_map(|sum| sum.replies()) {
            domain.tell_one(&host, &encoded_sums(domain, frame));
        }
    }

    /// Sends this host's reports to the coordinator.
    fn report(&mut self, domain: &PlacementDomain, context: &SumContext<'_>) {
        let Some(placer) = &domain.placer else { return };
        let (host, service) = (context.host.to_string(), domain.service.to_string());
        let mut frame = HostReportFrame { host, service, ..HostReportFrame::default() };
        let mut due = false;
        for sum in &mut self.sums {
            due |= sum.report(&mut frame, context);
        }
        if due {
            let sent = placer.try_send(FrameBody::HostReport(frame.clone()).encoded()).is_ok();
            for sum in &mut self.sums {
                sum.acknowledge(&frame, sent);
            }
        }
    }
}

/// Encodes a frame for the subscribers of a domain's placer.
fn encoded_sums(domain: &PlacementDomain, frame: AggregateFrame) -> EncodedFrame {
    let (service, token) = (domain.service.to_string(), domain.planned_token);
    let hosts = domain.listeners();
    FrameBody::Aggregate(AggregateFrame { service, token, hosts, ..frame }).encoded()
}

impl ControlState {
    /// Returns the service whose placer coordinates: the first one with models, or the first one where none has any.
    pub(super) fn sums_service(&self) -> Option<ServiceName> {
        self.routes.as_ref()?.coordinating_service().map(Arc::clone)
    }

    /// Sends this host's reports, or aggregates those of all; returns when it is to be called again, if that is known.
    pub(super) fn tick_sums(&mut self, now: ClockMillis) -> Option<ClockMillis> {
        let service = self.sums_service()?;
        let confirmed = self.domains.get(&service)?.tenure.is_confirmed(now);
        let (lane, domains, context) = self.sum_parts(now);
        let context = SumContext { confirmed, ..context };
        let domain = domains.get_mut(&service)?;
        lane.keep(domain.leads.then_some((service, domain.planned_token)), &context);
        if domain.leads {
            lane.add_up(domain, &context);
        } else {
            lane.report(domain, &context);
        }
        for sum in &mut lane.sums {
            sum.tick(&context);
        }
        lane.sums.iter().filter_map(|sum| sum.next_due(now)).min()
    }

    /// Returns the lane, the domains, and the context of sums, borrowed apart.
    fn sum_parts(
        &mut self,
        now: ClockMillis,
    ) -> (&mut SumLane, &mut BTreeMap<ServiceName, PlacementDomain>, SumContext<'_>) {
        let Self { lane, domains, routes, shared, engines, owners, .. } = self;
        let profile = &shared.profile;
        let context = SumContext {
            now,
            routes: routes.as_deref(),
            host: &profile.name,
            confirmed: true,
            engines,
            owners,
            profile,
        };
        (lane, domains, context)
    }

    /// Aggregates a host's reports, where this one coordinates.
    pub fn peer_count(&mut self, frame: &HostReportFrame) {
        let now = self.shared.clock.now();
        let (lane, _, context) = self.sum_parts(now);
        if lane.keeps.as_ref().is_none_or(|(service, _)| **service != *frame.service) {
            return;
        }
        let host = Arc::from(frame.host.as_str());
        for sum in &mut lane.sums {
            sum.count(&host, frame, &context);
        }
        self.shared.wake_control.notify_one();
    }

    /// Returns the whole state for a new subscriber of a service's placer, where this host coordinates.
    pub(super) fn snapshot_for(&mut self, host: &Arc<str>, service: &str) -> Option<EncodedFrame> {
        let now = self.shared.clock.now();
        let (lane, domains, context) = self.sum_parts(now);
        if lane.keeps.as_ref().is_none_or(|(keeps, _)| **keeps != *service) {
            return None;
        }
        let mut frame = AggregateFrame::default();
        for sum in &mut lane.sums {
            sum.snapshot(host, &mut frame, &context);
        }
        Some(encoded_sums(domains.get(service)?, frame))
    }

    /// Applies what the coordinator has published.
    pub fn sums_received(&mut self, frame: &AggregateFrame) {
        let now = self.shared.clock.now();
        let adds_up = self.sums_service().is_some_and(|service| *service == *frame.service);
        let domain = self.domains.get(frame.service.as_str());
        let newest = domain.is_some_and(|domain| !domain.leads && frame.token >= domain.plan_token);
        if !adds_up || !newest {
            return;
        }
        let (lane, _, context) = self.sum_parts(now);
        for sum in &mut lane.sums {
            sum.receive(frame, &context);
        }
        self.hosts_counted(frame.hosts);
        self.publish();
    }

    /// Marks this host's reports as pending where the coordinating service has another placer.
    pub fn resend_sums(&mut self, service: &str) {
        if self.sums_service().is_some_and(|summing| &*summing == service) {
            for sum in &mut self.lane.sums {
                sum.resend_all();
            }
        }
    }
}
