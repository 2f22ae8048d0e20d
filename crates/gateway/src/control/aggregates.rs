//! Fleet-wide state: each host reports its part, and a coordinator aggregates the reports and
//! publishes the result.
//!
//! The coordinator is the placer of one service. Reports and results use the same connections as
//! demand and plans. Each kind of state is a [`FleetAggregate`]. There is no consensus: a new
//! coordinator receives all reports again, and until then each host decides by what it knows.

pub mod departures;
pub mod host_links;
pub mod limits;
pub mod quotas;
pub mod service_load;
pub mod suspects;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
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
        aggregates::{
            departures::DepartureAggregate, host_links::HostLinksAggregate, limits::LimitAggregate,
            quotas::QuotaAggregate, service_load::ServiceLoadAggregate, suspects::SuspectAggregate,
        },
        domain::{PlacementDomain, RemovedSubscriber},
        host_count::HostReport,
        state::ControlState,
    },
    host::SharedState,
    peers::{
        aggregate_frames::{AggregateFrame, HostReportFrame},
        frame::{EncodedFrame, FrameBody},
    },
    profile::HostProfile,
    store::membership::GroupMember,
};

/// Maximum time between two frames of the coordinator, so that hosts notice when it fails.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Context for operations on an aggregate.
#[derive(Clone, Copy)]
pub struct AggregateContext<'state> {
    /// The current time.
    pub now: ClockMillis,
    /// The configuration in force.
    pub routes: Option<&'state RouteTable>,
    /// Name of this host.
    pub host: &'state Arc<str>,
    /// Whether the store has recently confirmed this host's lease as coordinator. If not, another
    /// host may be acting too.
    pub confirmed: bool,
    engines: &'state BTreeMap<EngineName, Arc<EngineEntry>>,
    owners: &'state HashMap<u32, GroupMember>,
    profile: &'state HostProfile,
}

impl AggregateContext<'_> {
    /// Returns the incarnation in which an engine is listed, unless it is leaving.
    pub fn active_incarnation(&self, engine: &str) -> Option<EngineIncarnation> {
        let entry = self.engines.get(engine).filter(|entry| !entry.leaving);
        entry.map(|entry| entry.incarnation)
    }

    /// Returns the other members of the group, and the hosts to contact first.
    fn known_hosts(&self) -> BTreeSet<SocketAddr> {
        let members = self.owners.values().map(|owner| owner.address);
        let mut hosts: BTreeSet<SocketAddr> =
            members.chain(self.profile.seeds.iter().copied()).collect();
        hosts.remove(&self.profile.peer_address);
        hosts
    }

    /// Returns how many engines of a service accept requests, and their slots.
    fn ready_servers(&self, service: &str) -> (u32, u32) {
        let entries = self.engines.values();
        let ready = entries.filter(|entry| &*entry.service == service && !entry.leaving);
        ready.fold((0, 0), |(servers, slots), entry| {
            (servers + 1, entry.slots.saturating_add(slots))
        })
    }

    /// Returns whether this host acts for an engine while the coordinator is unreachable: it owns
    /// the partition of the engine's name.
    pub fn is_fallback_coordinator(&self, engine: &str) -> bool {
        let partitions = u64::from(self.profile.partitions.max(1));
        let partition = u32::try_from(xxh3_64(engine.as_bytes()) % partitions).unwrap_or_default();
        self.owners.get(&partition).is_some_and(|owner| owner.address == self.profile.peer_address)
    }
}

/// State that all hosts report and the coordinator aggregates.
pub trait FleetAggregate {
    /// Starts coordinating under a new lease.
    fn start_coordinating(&mut self, context: &AggregateContext<'_>);

    /// Stops coordinating.
    fn stop_coordinating(&mut self);

    /// Marks this host's reports as pending, because another host has become the coordinator.
    fn resend_all(&mut self);

    /// Writes this host's pending reports; returns whether they are due.
    fn report(&mut self, frame: &mut HostReportFrame, context: &AggregateContext<'_>) -> bool;

    /// Handles whether the reports of a frame were sent.
    fn acknowledge(&mut self, frame: &HostReportFrame, sent: bool);

    /// Adds a host's reports.
    fn add_report(
        &mut self,
        host: &Arc<str>,
        frame: &HostReportFrame,
        context: &AggregateContext<'_>,
    );

    /// Writes the complete state for a new subscriber.
    fn snapshot(
        &mut self,
        host: &Arc<str>,
        frame: &mut AggregateFrame,
        context: &AggregateContext<'_>,
    );

    /// Handles the disconnect of a subscriber.
    fn handle_unsubscribe(
        &mut self,
        subscriber: &RemovedSubscriber,
        context: &AggregateContext<'_>,
    );

    /// Writes the changes for all subscribers and applies them to this host; `due` also requests
    /// periodic updates.
    fn publish(&mut self, frame: &mut AggregateFrame, due: bool, context: &AggregateContext<'_>);

    /// Applies a frame that the coordinator published.
    fn receive(&mut self, frame: &AggregateFrame, context: &AggregateContext<'_>);

    /// Returns frames for individual hosts.
    fn replies(&mut self) -> Vec<(Arc<str>, AggregateFrame)> {
        Vec::new()
    }

    /// Does what is due on every host, and logs events.
    fn tick(&mut self, _context: &AggregateContext<'_>) {}

    /// Returns when the coordinator must publish next.
    fn next_due(&self, _now: ClockMillis) -> Option<ClockMillis> {
        None
    }
}

/// All aggregates, and the lease under which this host coordinates them.
pub struct AggregateSet {
    members: Vec<Box<dyn FleetAggregate>>,
    /// The coordinating service and the token of its lease, while this host coordinates.
    coordinating: Option<(ServiceName, FenceToken)>,
    /// When all aggregates last had to publish. Frames in between do not postpone it: an aggregate
    /// that publishes often must not keep the others from showing that nothing has changed.
    published_at: ClockMillis,
}

impl AggregateSet {
    /// Creates the aggregates; this host does not coordinate.
    pub fn new(shared: &Arc<SharedState>) -> Self {
        let members: Vec<Box<dyn FleetAggregate>> = vec![
            Box::new(QuotaAggregate::new(Arc::clone(shared))),
            Box::new(SuspectAggregate::new(Arc::clone(shared))),
            Box::new(LimitAggregate::new(Arc::clone(shared))),
            Box::new(DepartureAggregate::new(Arc::clone(shared))),
            Box::new(ServiceLoadAggregate::new(Arc::clone(shared))),
            Box::new(HostLinksAggregate::new(Arc::clone(shared))),
        ];
        Self { members, coordinating: None, published_at: ClockMillis::default() }
    }

    /// Sets the lease under which this host coordinates, if any.
    fn set_lease(
        &mut self,
        lease: Option<(ServiceName, FenceToken)>,
        context: &AggregateContext<'_>,
    ) {
        if self.coordinating == lease {
            return;
        }
        self.coordinating = lease;
        for aggregate in &mut self.members {
            if self.coordinating.is_some() {
                aggregate.start_coordinating(context);
            } else {
                aggregate.stop_coordinating();
            }
        }
    }

    /// Aggregates the reports of all hosts, including this one, and publishes the result.
    fn coordinate(&mut self, domain: &mut PlacementDomain, context: &AggregateContext<'_>) {
        let mut own_report = HostReportFrame::default();
        for aggregate in &mut self.members {
            aggregate.report(&mut own_report, context);
            aggregate.acknowledge(&own_report, true);
            aggregate.add_report(context.host, &own_report, context);
        }
        for subscriber in domain.take_removed() {
            for aggregate in &mut self.members {
                aggregate.handle_unsubscribe(&subscriber, context);
            }
        }
        let due = context.now.since(self.published_at) >= HEARTBEAT_INTERVAL;
        let mut frame = AggregateFrame::default();
        for aggregate in &mut self.members {
            aggregate.publish(&mut frame, due, context);
        }
        if due {
            self.published_at = context.now;
        }
        if due || frame != AggregateFrame::default() {
            domain.broadcast(&encode_frame(domain, frame));
        }
        for (host, frame) in self.members.iter_mut().flat_map(|aggregate| aggregate.replies()) {
            domain.send_to(&host, &encode_frame(domain, frame));
        }
    }

    /// Sends this host's reports to the coordinator.
    fn report(&mut self, domain: &PlacementDomain, context: &AggregateContext<'_>) {
        let Some(placer) = &domain.placer_sender else { return };
        let (host, service) = (context.host.to_string(), domain.service.to_string());
        let mut frame = HostReportFrame { host, service, ..HostReportFrame::default() };
        let mut due = false;
        for aggregate in &mut self.members {
            due |= aggregate.report(&mut frame, context);
        }
        if due {
            let sent = placer.try_send(FrameBody::HostReport(frame.clone()).encoded()).is_ok();
            for aggregate in &mut self.members {
                aggregate.acknowledge(&frame, sent);
            }
        }
    }
}

/// Encodes a frame for the subscribers of a domain's placer.
fn encode_frame(domain: &PlacementDomain, frame: AggregateFrame) -> EncodedFrame {
    let (service, token) = (domain.service.to_string(), domain.lease_token);
    let HostReport { hosts, complete: hosts_complete } = domain.host_report();
    FrameBody::Aggregate(AggregateFrame { service, token, hosts, hosts_complete, ..frame })
        .encoded()
}

impl ControlState {
    /// Returns the service whose placer coordinates: the first one with models, or else the first
    /// one.
    pub(super) fn coordinating_service(&self) -> Option<ServiceName> {
        self.routes.as_ref()?.coordinating_service().map(Arc::clone)
    }

    /// Sends this host's reports, or aggregates those of all hosts; returns when it must be called
    /// again, if known.
    pub(super) fn tick_aggregates(&mut self, now: ClockMillis) -> Option<ClockMillis> {
        let service = self.coordinating_service()?;
        let confirmed = self.domains.get(&service)?.tenure.is_confirmed(now);
        let (aggregates, domains, context) = self.aggregate_parts(now);
        let context = AggregateContext { confirmed, ..context };
        let domain = domains.get_mut(&service)?;
        aggregates.set_lease(domain.holds_lease.then_some((service, domain.lease_token)), &context);
        if domain.holds_lease {
            aggregates.coordinate(domain, &context);
        } else {
            aggregates.report(domain, &context);
        }
        for aggregate in &mut aggregates.members {
            aggregate.tick(&context);
        }
        aggregates.members.iter().filter_map(|aggregate| aggregate.next_due(now)).min()
    }

    /// Returns the aggregates, the domains and the context as separate borrows.
    fn aggregate_parts(
        &mut self,
        now: ClockMillis,
    ) -> (&mut AggregateSet, &mut BTreeMap<ServiceName, PlacementDomain>, AggregateContext<'_>)
    {
        let Self { aggregates, domains, routes, shared, engines, owners, .. } = self;
        let profile = &shared.profile;
        let context = AggregateContext {
            now,
            routes: routes.as_deref(),
            host: &profile.name,
            confirmed: true,
            engines,
            owners,
            profile,
        };
        (aggregates, domains, context)
    }

    /// Adds a host's reports, if this host coordinates.
    pub fn aggregate_peer_reports(&mut self, frame: &HostReportFrame) {
        let now = self.shared.clock.now();
        let (aggregates, _, context) = self.aggregate_parts(now);
        if aggregates.coordinating.as_ref().is_none_or(|(service, _)| **service != *frame.service) {
            return;
        }
        let host = Arc::from(frame.host.as_str());
        for aggregate in &mut aggregates.members {
            aggregate.add_report(&host, frame, &context);
        }
        self.shared.wake_control.notify_one();
    }

    /// Returns the complete state for a new subscriber of a service's placer, if this host
    /// coordinates.
    pub(super) fn aggregate_snapshot(
        &mut self,
        host: &Arc<str>,
        service: &str,
    ) -> Option<EncodedFrame> {
        let now = self.shared.clock.now();
        let (aggregates, domains, context) = self.aggregate_parts(now);
        if aggregates
            .coordinating
            .as_ref()
            .is_none_or(|(coordinating, _)| **coordinating != *service)
        {
            return None;
        }
        let mut frame = AggregateFrame::default();
        for aggregate in &mut aggregates.members {
            aggregate.snapshot(host, &mut frame, &context);
        }
        Some(encode_frame(domains.get(service)?, frame))
    }

    /// Applies a frame that the coordinator published.
    pub fn apply_published_aggregates(&mut self, frame: &AggregateFrame) {
        let now = self.shared.clock.now();
        let coordinates =
            self.coordinating_service().is_some_and(|service| *service == *frame.service);
        let domain = self.domains.get(frame.service.as_str());
        let newest =
            domain.is_some_and(|domain| !domain.holds_lease && frame.token >= domain.plan_token);
        if !coordinates || !newest {
            return;
        }
        let (aggregates, _, context) = self.aggregate_parts(now);
        for aggregate in &mut aggregates.members {
            aggregate.receive(frame, &context);
        }
        self.record_host_report(frame.host_report());
        self.publish();
    }

    /// Marks this host's reports as pending if `service` is the coordinating service, whose placer
    /// has changed.
    pub fn resend_reports(&mut self, service: &str) {
        if self.coordinating_service().is_some_and(|coordinating| &*coordinating == service) {
            for aggregate in &mut self.aggregates.members {
                aggregate.resend_all();
            }
        }
    }
}
