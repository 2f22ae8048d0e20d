//! Limits of plain services. Hosts report their requests while a service is short of capacity, and the
//! coordinator publishes the rate that its servers answer in time.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use reelreel_core::{
    ClockMillis,
    fleet::{
        ServiceName,
        routes::RouteTable,
        service_limit::{IntervalLoad, LoadSums, PublishedLimit, ServiceLimit},
        service_share::{LoadReport, report_interval},
    },
};

use crate::{
    control::{
        aggregates::{AggregateContext, FleetAggregate},
        domain::RemovedSubscriber,
    },
    events::HostEvent,
    host::SharedState,
    peers::{
        aggregate_frames::{AggregateFrame, HostReportFrame},
        service_load_messages::ServiceLimitMessage,
    },
};

/// Minimum time between two log events about the limit of one service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two counts of a service's ready servers, which scan the listed engines.
const SERVER_COUNT_INTERVAL: Duration = Duration::from_millis(20);

/// What the coordinator publishes about a service.
enum DueLimit {
    /// Nothing yet.
    NotDue,
    /// This limit.
    Limit(PublishedLimit),
    /// That the limit has ended.
    Ended,
}

/// What the coordinator knows about a service that is short of capacity.
struct ServiceTracker {
    limit: ServiceLimit,
    /// The requests of all hosts since the last publication.
    sums: LoadSums,
    open: HashMap<Arc<str>, u32>,
    updated_at: ClockMillis,
    /// When the ready servers were last counted.
    counted_at: ClockMillis,
    logged_at: ClockMillis,
    /// Sends that full servers refused since the last log event.
    full: u32,
}

impl ServiceTracker {
    fn new(ready_servers: u32, now: ClockMillis) -> Self {
        Self {
            limit: ServiceLimit::new(ready_servers, now),
            sums: LoadSums::default(),
            open: HashMap::new(),
            updated_at: now,
            counted_at: now,
            logged_at: ClockMillis::default(),
            full: 0,
        }
    }

    fn add(&mut self, host: &Arc<str>, report: &LoadReport) {
        self.sums += report.sums;
        self.full = self.full.saturating_add(report.sums.full);
        self.open.insert(Arc::clone(host), report.open);
    }

    /// Returns what is due to be published.
    fn publish(
        &mut self,
        service: &str,
        interval: Duration,
        context: &AggregateContext<'_>,
    ) -> DueLimit {
        let now = context.now;
        let elapsed = now.since(self.updated_at);
        if elapsed < interval && now.since(self.counted_at) < SERVER_COUNT_INTERVAL {
            return DueLimit::NotDue;
        }
        self.counted_at = now;
        let (ready_servers, slots) = context.ready_servers(service);
        let target = context.routes.and_then(|routes| routes.shortest_latency_target(service));
        let Some(latency_target) = target else { return DueLimit::Ended };
        if elapsed < interval {
            let scaled = self.limit.set_ready_servers(ready_servers, now);
            return if scaled { self.published(now) } else { DueLimit::NotDue };
        }
        self.updated_at = now;
        let load = IntervalLoad {
            sums: std::mem::take(&mut self.sums),
            open: self.open.values().fold(0, |total, open| total.saturating_add(*open)),
            elapsed,
            ready_servers,
            slots,
            latency_target,
        };
        self.limit.update(&load, now);
        self.published(now)
    }

    fn published(&self, now: ClockMillis) -> DueLimit {
        self.limit.published(now).map_or(DueLimit::Ended, DueLimit::Limit)
    }

    /// Returns the log event of a published limit, if one is due.
    fn event(
        &mut self,
        service: &str,
        limit: Option<&PublishedLimit>,
        now: ClockMillis,
    ) -> Option<HostEvent> {
        if limit.is_some_and(|limit| !limit.measured || now.since(self.logged_at) < LOG_INTERVAL) {
            return None;
        }
        self.logged_at = now;
        Some(HostEvent::ServiceLimit {
            service: service.to_owned(),
            limit: limit.map(|limit| limit.rate.round()),
            arrivals: limit.map(|limit| limit.arrivals.round()),
            servers: self.limit.ready_servers(),
            full: std::mem::take(&mut self.full),
        })
    }
}

/// Limits of plain services: what the coordinator tracks, and this host's shares.
pub struct ServiceLoadAggregate {
    shared: Arc<SharedState>,
    /// The services that are short of capacity, while this host coordinates.
    trackers: Option<BTreeMap<ServiceName, ServiceTracker>>,
}

impl ServiceLoadAggregate {
    /// Starts without trackers.
    pub const fn new(shared: Arc<SharedState>) -> Self {
        Self { shared, trackers: None }
    }

    fn hosts(&self) -> u32 {
        self.shared.table.borrow().hosts
    }

    fn forget_host(&mut self, host: &str) {
        for tracker in self.trackers.iter_mut().flat_map(BTreeMap::values_mut) {
            tracker.open.remove(host);
        }
    }

    fn update_metrics(&self, now: ClockMillis) {
        let shares = self.shared.service_shares();
        for (service, limit) in shares.limits(now) {
            self.shared.metrics.set_service_limit(service, limit.as_ref());
        }
    }
}

/// Returns whether limits of plain services are in force.
fn limits_services(context: &AggregateContext<'_>) -> bool {
    context.routes.is_some_and(RouteTable::has_tight_timeouts)
}

/// Returns whether the engines of a configured service hold no models.
fn is_plain(context: &AggregateContext<'_>, service: &str) -> bool {
    let service = context.routes.and_then(|routes| routes.service(service));
    service.is_some_and(|service| service.hosting.is_none())
}

impl FleetAggregate for ServiceLoadAggregate {
    fn start_coordinating(&mut self, _: &AggregateContext<'_>) {
        self.trackers = Some(BTreeMap::new());
        self.resend_all();
    }

    fn stop_coordinating(&mut self) {
        self.trackers = None;
    }

    fn resend_all(&mut self) {
        self.shared.service_shares().resend_all();
    }

    fn report(&mut self, frame: &mut HostReportFrame, context: &AggregateContext<'_>) -> bool {
        if !limits_services(context) {
            return false;
        }
        let hosts = self.hosts();
        let reports = self.shared.service_shares().take_reports(hosts, context.now);
        frame.service_loads = reports.iter().map(Into::into).collect();
        !reports.is_empty()
    }

    fn acknowledge(&mut self, frame: &HostReportFrame, sent: bool) {
        if !sent {
            let mut shares = self.shared.service_shares();
            for message in &frame.service_loads {
                shares.restore(&message.into());
            }
        }
    }

    fn add_report(
        &mut self,
        host: &Arc<str>,
        frame: &HostReportFrame,
        context: &AggregateContext<'_>,
    ) {
        let Some(trackers) = self.trackers.as_mut().filter(|_| limits_services(context)) else {
            return;
        };
        for report in frame.service_loads.iter().map(LoadReport::from) {
            let is_new = report.short && !trackers.contains_key(&report.service);
            if is_new && is_plain(context, &report.service) {
                let (ready_servers, _) = context.ready_servers(&report.service);
                let tracker = ServiceTracker::new(ready_servers, context.now);
                trackers.insert(Arc::clone(&report.service), tracker);
            }
            if let Some(tracker) = trackers.get_mut(&report.service) {
                tracker.add(host, &report);
            }
        }
    }

    fn snapshot(
        &mut self,
        host: &Arc<str>,
        frame: &mut AggregateFrame,
        context: &AggregateContext<'_>,
    ) {
        self.forget_host(host);
        let trackers = self.trackers.iter().flatten();
        let limits = trackers.map(|(service, tracker)| {
            ServiceLimitMessage::new(service, tracker.limit.published(context.now))
        });
        frame.service_limits = limits.collect();
    }

    fn handle_unsubscribe(&mut self, subscriber: &RemovedSubscriber, _: &AggregateContext<'_>) {
        self.forget_host(&subscriber.host);
    }

    fn publish(&mut self, frame: &mut AggregateFrame, _: bool, context: &AggregateContext<'_>) {
        let interval = report_interval(self.hosts());
        let Some(trackers) = &mut self.trackers else { return };
        if !limits_services(context) {
            trackers.clear();
        }
        let now = context.now;
        trackers.retain(|service, tracker| {
            let limit = match tracker.publish(service, interval, context) {
                DueLimit::NotDue => return true,
                DueLimit::Limit(limit) => Some(limit),
                DueLimit::Ended => None,
            };
            frame.service_limits.push(ServiceLimitMessage::new(service, limit));
            self.shared.service_shares().apply_limit(service, limit, now);
            if let Some(event) = tracker.event(service, limit.as_ref(), now) {
                self.shared.events.write(event);
            }
            limit.is_some()
        });
    }

    fn receive(&mut self, frame: &AggregateFrame, context: &AggregateContext<'_>) {
        let mut shares = self.shared.service_shares();
        for message in &frame.service_limits {
            let service: ServiceName = Arc::from(message.service.as_str());
            if is_plain(context, &service) {
                shares.apply_limit(&service, message.limit(), context.now);
            }
        }
    }

    fn tick(&mut self, context: &AggregateContext<'_>) {
        if limits_services(context) {
            self.update_metrics(context.now);
        }
    }

    fn next_due(&self, now: ClockMillis) -> Option<ClockMillis> {
        let hosts = self.hosts();
        let trackers = self.trackers.iter().flat_map(BTreeMap::values);
        let publication = trackers.map(|tracker| tracker.updated_at + report_interval(hosts)).min();
        let report = self.shared.service_shares().next_report(hosts, now);
        publication.into_iter().chain(report).min()
    }
}
