//! How hosts hold a sum together: what each of them counts, one of them adds up and all hear.
//!
//! The placer of one service adds up, over the connections on which hosts tell it their demand and it tells them its plan: no
//! further service and no further connection. What is added up is a [`FleetSum`]; the lane only carries its words. Nothing is
//! agreed on: when another host takes over it is told everything anew, and until then each host decides by what it knows.

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
    fleet::{EngineBirth, EngineEntry, EngineName, ServiceName, routes::RouteTable},
    id::FenceToken,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    control::{
        domain::{GoneListener, PlacementDomain},
        state::ControlState,
        sums::{
            departures::DepartureSum, limits::LimitSum, quotas::QuotaSum, suspects::SuspectSum,
        },
    },
    host::SharedState,
    peers::{
        frame::{EncodedFrame, FrameBody},
        sum_frames::{CountFrame, SumFrame},
    },
    profile::HostProfile,
    store::membership::GroupMember,
};

/// How often the host that adds up says something at least, so that its silence shows.
const ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// What a sum must know to act.
#[derive(Clone, Copy)]
pub struct SumContext<'state> {
    /// The time.
    pub now: ClockMillis,
    /// The configuration in force.
    pub routes: Option<&'state RouteTable>,
    /// This host's name.
    pub host: &'state Arc<str>,
    /// Whether the store has confirmed this host's lease lately, where it adds up: another one may do so too otherwise.
    pub confirmed: bool,
    engines: &'state BTreeMap<EngineName, Arc<EngineEntry>>,
    owners: &'state HashMap<u32, GroupMember>,
    profile: &'state HostProfile,
}

impl SumContext<'_> {
    /// Returns the incarnation in which an engine is listed, unless it is leaving.
    pub fn active_life(&self, engine: &str) -> Option<EngineBirth> {
        let entry = self.engines.get(engine).filter(|entry| !entry.leaving);
        entry.map(|entry| entry.born)
    }

    /// Returns whether this host is the one that the group names for an engine while nobody is heard to add up: the holder of
    /// the partition that the engine's name falls to.
    pub fn stands_in(&self, engine: &str) -> bool {
        let partitions = u64::from(self.profile.partitions.max(1));
        let partition = u32::try_from(xxh3_64(engine.as_bytes()) % partitions).unwrap_or_default();
        self.owners.get(&partition).is_some_and(|owner| owner.address == self.profile.peers)
    }
}

/// Something that all hosts count and one of them adds up.
pub trait FleetSum {
    /// Takes that this host begins to add up, under a new lease.
    fn begin(&mut self, context: &SumContext<'_>);

    /// Takes that this host adds up no longer.
    fn end(&mut self);

    /// Makes this host's words be told again, to another host that adds up.
    fn tell_again(&mut self);

    /// Writes this host's words for who adds up; returns whether they are to go now.
    fn tell(&mut self, frame: &mut CountFrame, context: &SumContext<'_>) -> bool;

    /// Takes whether the words of a frame went.
    fn was_told(&mut self, frame: &CountFrame, sent: bool);

    /// Adds a host's words up.
    fn count(&mut self, host: &Arc<str>, frame: &CountFrame, context: &SumContext<'_>);

    /// Takes that a host begins to listen, and writes everything that it is to hear.
    fn greet(&mut self, host: &Arc<str>, frame: &mut SumFrame, context: &SumContext<'_>);

    /// Takes that a host listens no longer.
    fn left(&mut self, listener: &GoneListener, context: &SumContext<'_>);

    /// Writes what all other hosts are to hear now, and has this one hear it; `due` says that they are to hear something.
    fn spread(&mut self, frame: &mut SumFrame, due: bool, context: &SumContext<'_>);

    /// Takes what the host that adds up says.
    fn hear(&mut self, frame: &SumFrame, context: &SumContext<'_>);

    /// Takes what single hosts are to hear now.
    fn answers(&mut self) -> Vec<(Arc<str>, SumFrame)> {
        Vec::new()
    }

    /// Does what is due on every host, and logs what has happened.
    fn tick(&mut self, _context: &SumContext<'_>) {}

    /// Returns when this host, which adds up, has something to tell.
    fn next_due(&self, _now: ClockMillis) -> Option<ClockMillis> {
        None
    }
}

/// The sums of all hosts, and whether this one adds up.
pub struct SumLane {
    sums: Vec<Box<dyn FleetSum>>,
    /// The service whose placer adds up, and the lease under which this host does.
    keeps: Option<(ServiceName, FenceToken)>,
    /// When all listeners last heard something.
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

    /// Takes under which lease this host adds up, if under any.
    fn keep(&mut self, lease: Option<(ServiceName, FenceToken)>, context: &SumContext<'_>) {
        if self.keeps == lease {
            return;
        }
        self.keeps = lease;
        for sum in &mut self.sums {
            if self.keeps.is_some() { sum.begin(context) } else { sum.end() }
        }
    }

    /// Adds up what all hosts say, this one included, and tells it.
    fn add_up(&mut self, domain: &mut PlacementDomain, context: &SumContext<'_>) {
        let mut own = CountFrame::default();
        for sum in &mut self.sums {
            sum.tell(&mut own, context);
            sum.was_told(&own, true);
            sum.count(context.host, &own, context);
        }
        for listener in domain.take_gone() {
            for sum in &mut self.sums {
                sum.left(&listener, context);
            }
        }
        let due = context.now.since(self.spoken) >= ALIVE_INTERVAL;
        let mut frame = SumFrame::default();
        for sum in &mut self.sums {
            sum.spread(&mut frame, due, context);
        }
        if due || frame != SumFrame::default() {
            self.spoken = context.now;
            domain.broadcast(&encoded_sums(domain, frame));
        }
        for (host, frame) in self.sums.iter_mut().flat_map(|sum| sum.answers()) {
            domain.tell_one(&host, &encoded_sums(domain, frame));
        }
    }

    /// Tells who adds up what this host counts.
    fn tell(&mut self, domain: &PlacementDomain, context: &SumContext<'_>) {
        let Some(placer) = &domain.placer else { return };
        let (host, service) = (context.host.to_string(), domain.service.to_string());
        let mut frame = CountFrame { host, service, ..CountFrame::default() };
        let mut due = false;
        for sum in &mut self.sums {
            due |= sum.tell(&mut frame, context);
        }
        if due {
            let sent = placer.try_send(FrameBody::Count(frame.clone()).encoded()).is_ok();
            for sum in &mut self.sums {
                sum.was_told(&frame, sent);
            }
        }
    }
}

/// Encodes what listeners of a domain's placer hear of sums.
fn encoded_sums(domain: &PlacementDomain, frame: SumFrame) -> EncodedFrame {
    let (service, token) = (domain.service.to_string(), domain.planned_token);
    let hosts = domain.listeners();
    FrameBody::Sums(SumFrame { service, token, hosts, ..frame }).encoded()
}

impl ControlState {
    /// Returns the service whose placer adds up: the first one with models, and the first one where none has any.
    pub(super) fn sums_service(&self) -> Option<ServiceName> {
        self.routes.as_ref()?.leading_service().map(Arc::clone)
    }

    /// Tells what this host counts, or adds up what all say; returns when it is to be called again, if that is known.
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
            lane.tell(domain, &context);
        }
        for sum in &mut lane.sums {
            sum.tick(&context);
        }
        lane.sums.iter().filter_map(|sum| sum.next_due(now)).min()
    }

    /// Returns the lane, the domains, and what sums must know, apart from one another.
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

    /// Takes what a host counts, where this one adds up.
    pub fn peer_count(&mut self, frame: &CountFrame) {
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

    /// Returns everything that a host is to hear which begins to listen to a service's placer, where that adds up.
    pub(super) fn greet_listener(
        &mut self,
        host: &Arc<str>,
        service: &str,
    ) -> Option<EncodedFrame> {
        let now = self.shared.clock.now();
        let (lane, domains, context) = self.sum_parts(now);
        if lane.keeps.as_ref().is_none_or(|(keeps, _)| **keeps != *service) {
            return None;
        }
        let mut frame = SumFrame::default();
        for sum in &mut lane.sums {
            sum.greet(host, &mut frame, &context);
        }
        Some(encoded_sums(domains.get(service)?, frame))
    }

    /// Takes what the host that adds up says.
    pub fn sums_heard(&mut self, frame: &SumFrame) {
        let now = self.shared.clock.now();
        let adds_up = self.sums_service().is_some_and(|service| *service == *frame.service);
        let domain = self.domains.get(frame.service.as_str());
        let newest = domain.is_some_and(|domain| !domain.leads && frame.token >= domain.plan_token);
        if !adds_up || !newest {
            return;
        }
        let (lane, _, context) = self.sum_parts(now);
        for sum in &mut lane.sums {
            sum.hear(frame, &context);
        }
        self.hosts_counted(frame.hosts);
        self.publish();
    }

    /// Makes this host's words be told again where a service's placer, which adds up, is another one now.
    pub fn tell_sums_again(&mut self, service: &str) {
        if self.sums_service().is_some_and(|summing| &*summing == service) {
            for sum in &mut self.lane.sums {
                sum.tell_again();
            }
        }
    }
}
